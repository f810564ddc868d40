/**
 * Messages between an entry and the agent beside an endpoint. None of them carries a caller's key.
 */

import { z } from "zod";

const count = z.number().int().min(0);
const durationMs = z.number().min(0);
const requestClass = z.enum(["interactive", "deferrable"]);

/** On whose behalf, and how urgently, work is asked for. `requestId` and `attempt` together name one attempt. */
const workOwner = {
    requestId: z.string().min(1),
    attempt: count,
    clientAccount: z.string().min(1),
    weight: z.number().positive(),
    requestClass,
    /** How long the work may wait in the agent's queue. */
    maxQueueMs: durationMs,
};

/** How full an endpoint is; every answer of an agent carries it. */
export const loadSchema = z.object({
    slots: count,
    activeSlots: count,
    queuedRequests: count,
    queuedTokens: count,
    kvFreeBytes: z.number(),
    /** Refuses new work: draining, or the endpoint does not answer. */
    unavailable: z.boolean(),
});

export const reserveDecodeSchema = z.object({
    ...workOwner,
    promptTokens: count,
    maxOutputTokens: z.number().int().positive(),
    kvBytes: z.number().min(0),
    /** A reservation that is not started within this time is given up. */
    startWithinMs: durationMs,
});

export const startDecodeSchema = z.object({
    requestId: z.string(),
    attempt: count,
    model: z.string(),
    kvId: z.string(),
    /** The prefill engine's address for the transfer. */
    kvSource: z.string(),
    /** Tokens that the caller has already been sent by earlier attempts. */
    emittedTokens: count,
    maxOutputTokens: z.number().int().positive(),
});

export const prefillSchema = z.object({
    ...workOwner,
    model: z.string(),
    /** The prompt, with the text already sent to the caller appended. */
    prompt: z.string(),
    promptTokens: count,
});

export const serviceCallSchema = z.object({
    ...workOwner,
    method: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
    idempotent: z.boolean(),
    timeoutMs: durationMs,
});

/** Why an agent did not run something; each of these means that nothing was run. */
export const refusalReasonSchema = z.enum([
    "draining",
    "endpointDown",
    "queueTimeout",
    "queueFull",
    "tooLarge",
    "cancelled",
    "stale",
]);

const refusedSchema = z.object({ kind: z.literal("refused"), reason: refusalReasonSchema, load: loadSchema });

export const prefillAnswerSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("prefilled"),
        kvId: z.string(),
        kvSource: z.string(),
        kvBytes: z.number(),
        promptTokens: count,
        cachedTokens: count,
        expiresInMs: durationMs,
        load: loadSchema,
    }),
    refusedSchema,
    z.object({ kind: z.literal("engineFailed"), cause: z.string(), load: loadSchema }),
]);

export const startDecodeAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("started") }),
    z.object({ kind: z.literal("refused"), reason: refusalReasonSchema }),
]);

export const serviceAnswerSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("answered"),
        status: z.number().int(),
        headers: z.record(z.string(), z.string()),
        bodyBase64: z.string(),
        load: loadSchema,
    }),
    refusedSchema,
    /** The service was not reached: nothing was run. */
    z.object({ kind: z.literal("unreachable"), cause: z.string(), load: loadSchema }),
    /** The call was sent and no whole answer came: it may have run. */
    z.object({ kind: z.literal("unknown"), cause: z.string(), load: loadSchema }),
]);

/** Events of a decode stream; the engine's own events pass through unchanged after `reserved`. */
export const decodeEventSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("reserved"), load: loadSchema }),
    z.object({ type: z.literal("refused"), reason: refusalReasonSchema, load: loadSchema }),
    z.object({ type: z.literal("imported") }),
    z.object({ type: z.literal("token"), index: count, text: z.string() }),
    z.object({
        type: z.literal("end"),
        finishReason: z.enum(["stop", "length"]),
        completionTokens: count,
    }),
    z.object({ type: z.literal("failed"), stage: z.enum(["import", "decode"]), cause: z.string() }),
]);

export type EndpointLoad = Readonly<z.output<typeof loadSchema>>;
export type ReserveDecode = Readonly<z.output<typeof reserveDecodeSchema>>;
export type StartDecode = Readonly<z.output<typeof startDecodeSchema>>;
export type Prefill = Readonly<z.output<typeof prefillSchema>>;
export type ServiceCall = Readonly<z.output<typeof serviceCallSchema>>;
export type RefusalReason = z.output<typeof refusalReasonSchema>;
export type PrefillAnswer = Readonly<z.output<typeof prefillAnswerSchema>>;
export type StartDecodeAnswer = Readonly<z.output<typeof startDecodeAnswerSchema>>;
export type ServiceAnswer = Readonly<z.output<typeof serviceAnswerSchema>>;
export type DecodeEvent = Readonly<z.output<typeof decodeEventSchema>>;

/** Path of the decode stream, and the names of the agent's methods. */
export const decodePath = "/decode";
export const agentMethods = {
    prefill: "endpoint.prefill",
    startDecode: "endpoint.startDecode",
    callService: "endpoint.callService",
    load: "endpoint.load",
} as const;

/** Names one attempt of a request. */
export function attemptKey(requestId: string, attempt: number): string {
    return `${requestId}#${attempt}`;
}

/** Formats a server-sent event. */
export function formatEvent(event: unknown): string {
    return `data: ${JSON.stringify(event)}\n\n`;
}
