/**
 * The agent's client for its engine's HTTP interface.
 */

import { Result } from "true-myth";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";

export interface AttemptId {
    readonly requestId: string;
    readonly attempt: number;
}

export interface EnginePrefill extends AttemptId {
    readonly model: string;
    readonly prompt: string;
    readonly priority: number;
}

export interface EngineDecode extends AttemptId {
    readonly model: string;
    readonly kvId: string;
    readonly kvSource: string;
    readonly emittedTokens: number;
    readonly maxOutputTokens: number;
    readonly priority: number;
}

const count = z.number().int().min(0);

const prefillResultSchema = z.object({
    kvId: z.string(),
    kvSource: z.string(),
    kvBytes: z.number().min(0),
    promptTokens: count,
    cachedTokens: count,
    expiresInMs: z.number(),
});

const runningSchema = z.object({
    requests: z.array(z.object({ requestId: z.string(), attempt: count })),
});

export type EnginePrefillResult = Readonly<z.output<typeof prefillResultSchema>>;

/** `refused` means that the engine answered and ran nothing. */
export interface EngineError {
    readonly kind: "unreachable" | "failed" | "refused";
    readonly cause: string;
}

export interface EngineClient {
    readonly prefill: (prefill: EnginePrefill, signal: AbortSignal) => Promise<
        Result<EnginePrefillResult, EngineError>
    >;
    /** The body is a stream of server-sent events. */
    readonly decode: (decode: EngineDecode, signal: AbortSignal) => Promise<
        Result<Dispatcher.ResponseData, EngineError>
    >;
    readonly cancel: (id: AttemptId) => Promise<Result<undefined, EngineError>>;
    readonly running: () => Promise<Result<readonly AttemptId[], EngineError>>;
    readonly close: () => Promise<void>;
}

const engineConnections = 512;
const controlTimeoutMs = 2_000;
const statusOk = 200;

export function createEngineClient(engineUrl: string): EngineClient {
    const dispatcher = new Agent({ connections: engineConnections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

    async function send(
        path: string,
        body: unknown,
        signal: AbortSignal,
    ): Promise<Result<Dispatcher.ResponseData, EngineError>> {
        try {
            const response = await dispatcher.request({
                origin: engineUrl,
                path,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                signal,
            });
            if (response.statusCode !== statusOk) {
                const cause = `${path}: status ${response.statusCode}: ${await response.body.text()}`;
                return Result.err({ kind: "refused", cause });
            }
            return Result.ok(response);
        }
        catch (error) {
            return Result.err(fromFailure(path, error));
        }
    }

    async function sendForJson<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
        signal: AbortSignal,
    ): Promise<Result<z.output<Schema>, EngineError>> {
        const response = await send(path, body, signal);
        if (response.isErr) {
            return Result.err(response.error);
        }
        try {
            const answer = await response.value.body.json();
            return checkValue(schema, answer).mapErr(invalid => ({
                kind: "failed",
                cause: `${path}: ${describeInvalidInput(invalid)}`,
            }));
        }
        catch (error) {
            return Result.err(fromFailure(path, error));
        }
    }

    function sendControl<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<Result<z.output<Schema>, EngineError>> {
        return sendForJson(path, body, schema, AbortSignal.timeout(controlTimeoutMs));
    }

    return {
        prefill: (prefill, signal) => sendForJson("/prefill", prefill, prefillResultSchema, signal),
        decode: (decode, signal) => send("/decode", decode, signal),
        cancel: async id => {
            const answer = await sendControl("/cancel", id, z.object({}));
            return answer.map(() => undefined);
        },
        running: async () => {
            const answer = await sendControl("/running", {}, runningSchema);
            return answer.map(({ requests }): readonly AttemptId[] => requests);
        },
        close: () => dispatcher.destroy(),
    };
}

function fromFailure(path: string, error: unknown): EngineError {
    const cause = `${path}: ${error instanceof Error ? error.message : String(error)}`;
    const refused = (error as { readonly code?: string; }).code === "ECONNREFUSED";
    return { kind: refused ? "unreachable" : "failed", cause };
}
