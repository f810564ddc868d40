/**
 * Messages between an entry and the agent beside an endpoint. No message contains a caller's key.
 */

import { z } from "zod";

const nonNegativeInteger = z.number().int().min(0);
const durationMs = z.number().min(0);
const requestClass = z.enum(["interactive", "deferrable"]);

/** Fields of every request for work. `requestId` and `attempt` together identify one attempt. */
const workRequestFields = {
    requestId: z.string().min(1),
    attempt: nonNegativeInteger,
    clientAccount: z.string().min(1),
    weight: z.number().positive(),
    requestClass,
    /** Maximum time that the work may wait in the agent's queue. */
    maxQueueMs: durationMs,
};

/** Load of an endpoint. The agent includes it in every response except that of `startDecode`. */
export const loadSchema = z.object({
    slots: nonNegativeInteger,
    activeSlots: nonNegativeInteger,
    queuedRequests: nonNegativeInteger,
    queuedTokens: nonNegativeInteger,
    kvFreeBytes: z.number(),
    /** New work is refused because the agent is draining or the endpoint is down. */
    unavailable: z.boolean(),
});

export const reserveDecodeSchema = z.object({
    ...workRequestFields,
    promptTokens: nonNegativeInteger,
    maxOutputTokens: z.number().int().positive(),
    kvBytes: z.number().min(0),
    /** A reservation that is not started within this time is released. */
    startWithinMs: durationMs,
});

export const startDecodeSchema = z.object({
    requestId: z.string(),
    attempt: nonNegativeInteger,
    model: z.string(),
    kvId: z.string(),
    /** Address of the prefill engine, from which the KV cache is transferred. */
    kvSource: z.string(),
    /** Number of tokens already sent to the caller by earlier attempts. */
    emittedTokens: nonNegativeInteger,
    maxOutputTokens: z.number().int().positive(),
});

export const prefillSchema = z.object({
    ...workRequestFields,
    model: z.string(),
    /** The prompt followed by the text already sent to the caller. */
    prompt: z.string(),
    promptTokens: nonNegativeInteger,
});

export const serviceCallSchema = z.object({
    ...workRequestFields,
    method: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
    idempotent: z.boolean(),
    timeoutMs: durationMs,
});

/** Why an agent refused work. Refused work was not run, not even in part. */
export const refusalReasonSchema = z.enum([
    "draining",
    "endpointDown",
    "queueTimeout",
    "queueFull",
    "tooLarge",
    "cancelled",
    "stale",
]);

/**
 * Set if the endpoint has ended with the failed work: when it was found to have ended, in Unix milliseconds of the
 * agent's host. All work that failed with one end has the same value.
 */
const endpointEndedAtMs = z.number().optional();

const refusedSchema = z.object({ kind: z.literal("refused"), reason: refusalReasonSchema, load: loadSchema });

export const prefillResponseSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("prefilled"),
        kvId: z.string(),
        kvSource: z.string(),
        kvBytes: z.number(),
        promptTokens: nonNegativeInteger,
        cachedTokens: nonNegativeInteger,
        expiresInMs: durationMs,
        /** Software version of the engine; only engines of this version can use the KV cache. */
        softwareVersion: z.string().min(1),
        load: loadSchema,
    }),
    refusedSchema,
    z.object({ kind: z.literal("engineFailed"), cause: z.string(), endpointEndedAtMs, load: loadSchema }),
]);

export const startDecodeResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("started") }),
    z.object({ kind: z.literal("refused"), reason: refusalReasonSchema }),
]);

export const serviceResponseSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("answered"),
        status: z.number().int(),
        headers: z.record(z.string(), z.string()),
        bodyBase64: z.string(),
        load: loadSchema,
    }),
    refusedSchema,
    /** The service could not be reached, so the call was not run. */
    z.object({ kind: z.literal("unreachable"), cause: z.string(), load: loadSchema }),
    /** The call was sent but no complete response arrived, so it may have run. */
    z.object({ kind: z.literal("unknown"), cause: z.string(), endpointEndedAtMs, load: loadSchema }),
]);

/** Events of a decode stream. After `reserved`, the engine's events are forwarded unchanged. */
export const decodeEventSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("reserved"), load: loadSchema }),
    z.object({ type: z.literal("refused"), reason: refusalReasonSchema, load: loadSchema }),
    /** Names the software version of the engine that writes the tokens. */
    z.object({ type: z.literal("imported"), softwareVersion: z.string().min(1) }),
    /** Indices start at the request's `emittedTokens` and are consecutive; a token may be sent again. */
    z.object({ type: z.literal("token"), index: nonNegativeInteger, text: z.string() }),
    z.object({
        type: z.literal("end"),
        finishReason: z.enum(["stop", "length"]),
        /** Number of output tokens, those of earlier attempts included. */
        completionTokens: nonNegativeInteger,
    }),
    z.object({ type: z.literal("failed"), stage: z.enum(["import", "decode"]), cause: z.string(), endpointEndedAtMs }),
]);

export type EndpointLoad = Readonly<z.output<typeof loadSchema>>;
export type ReserveDecodeRequest = Readonly<z.output<typeof reserveDecodeSchema>>;
export type StartDecodeRequest = Readonly<z.output<typeof startDecodeSchema>>;
export type PrefillRequest = Readonly<z.output<typeof prefillSchema>>;
export type ServiceCall = Readonly<z.output<typeof serviceCallSchema>>;
export type RefusalReason = z.output<typeof refusalReasonSchema>;
export type PrefillResponse = Readonly<z.output<typeof prefillResponseSchema>>;
export type StartDecodeResponse = Readonly<z.output<typeof startDecodeResponseSchema>>;
export type ServiceResponse = Readonly<z.output<typeof serviceResponseSchema>>;
export type DecodeEvent = Readonly<z.output<typeof decodeEventSchema>>;

/** HTTP path of the decode stream. */
export const decodePath = "/decode";
/** JSON-RPC methods of the agent. */
export const agentMethods = {
    prefill: "endpoint.prefill",
    startDecode: "endpoint.startDecode",
    callService: "endpoint.callService",
    load: "endpoint.load",
} as const;

/** A key that identifies one attempt of a request. */
export function attemptKey(requestId: string, attempt: number): string {
    return `${requestId}#${attempt}`;
}

/** Formats a server-sent event. */
export function formatEvent(event: unknown): string {
    return `data: ${JSON.stringify(event)}\n\n`;
}
