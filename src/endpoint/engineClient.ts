/**
 * The agent's client for the HTTP interface of its engine.
 */

import { Result } from "true-myth";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { runLimited } from "../common/callLimit.js";
import { checkValue, describeInvalidInput } from "../common/json.js";
import { readText } from "../common/readText.js";
import { createGuardedAgent } from "../rpc/guardedClient.js";
import { createGuardedConnector } from "../rpc/guardedConnector.js";

export interface AttemptId {
    readonly requestId: string;
    readonly attempt: number;
}

export interface EnginePrefillRequest extends AttemptId {
    readonly model: string;
    readonly prompt: string;
    readonly priority: number;
}

export interface EngineDecodeRequest extends AttemptId {
    readonly model: string;
    readonly kvId: string;
    readonly kvSource: string;
    readonly emittedTokens: number;
    readonly maxOutputTokens: number;
    readonly priority: number;
}

const nonNegativeInteger = z.number().int().min(0);

const prefillResultSchema = z.object({
    kvId: z.string(),
    kvSource: z.string(),
    kvBytes: z.number().min(0),
    promptTokens: nonNegativeInteger,
    cachedTokens: nonNegativeInteger,
    expiresInMs: z.number(),
    softwareVersion: z.string().min(1),
});

const runningSchema = z.object({
    requests: z.array(z.object({ requestId: z.string(), attempt: nonNegativeInteger })),
});

export type EnginePrefillResult = Readonly<z.output<typeof prefillResultSchema>>;

/**
 * Why a call failed. `unreachable`: the connection was refused. `refused`: the engine responded with an error status, so
 * it runs the call no more, but may have run it in part. `failed`: any other failure; the engine may still run the call.
 */
export interface EngineError {
    readonly kind: "unreachable" | "failed" | "refused";
    readonly cause: string;
}

export interface EngineClient {
    readonly prefill: (prefill: EnginePrefillRequest, signal: AbortSignal) => Promise<
        Result<EnginePrefillResult, EngineError>
    >;
    /** The response body is a stream of server-sent events. */
    readonly decode: (decode: EngineDecodeRequest, signal: AbortSignal) => Promise<
        Result<Dispatcher.ResponseData, EngineError>
    >;
    readonly cancel: (id: AttemptId) => Promise<Result<undefined, EngineError>>;
    /** The attempts that the engine currently runs. */
    readonly running: () => Promise<Result<readonly AttemptId[], EngineError>>;
    readonly close: () => Promise<void>;
}

const maxEngineConnections = 512;
const connectTimeoutMs = 10_000;
const controlTimeoutMs = 2_000;
/** Responses other than streams are small JSON objects; the largest lists the attempts that the engine runs. */
const maxResponseBytes = 1_048_576;
const statusOk = 200;

export function createEngineClient(engineUrl: string): EngineClient {
    const dispatcher = createGuardedAgent({
        connect: createGuardedConnector(connectTimeoutMs),
        connections: maxEngineConnections,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
    });

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
                const cause = `${path}: status ${response.statusCode}: ${await readText(
                    response.body,
                    maxResponseBytes,
                )}`;
                return Result.err({ kind: "refused", cause });
            }
            return Result.ok(response);
        }
        catch (error) {
            return Result.err(toEngineError(path, error));
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
            const parsedBody: unknown = JSON.parse(await readText(response.value.body, maxResponseBytes));
            return checkValue(schema, parsedBody).mapErr(invalid => ({
                kind: "failed",
                cause: `${path}: ${describeInvalidInput(invalid)}`,
            }));
        }
        catch (error) {
            return Result.err(toEngineError(path, error));
        }
    }

    function sendControl<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<Result<z.output<Schema>, EngineError>> {
        return runLimited(
            { timeoutMs: controlTimeoutMs },
            ({ signal }) => sendForJson(path, body, schema, signal),
        );
    }

    return {
        prefill: (prefill, signal) => sendForJson("/prefill", prefill, prefillResultSchema, signal),
        decode: (decode, signal) => send("/decode", decode, signal),
        cancel: async id => {
            const response = await sendControl("/cancel", id, z.object({}));
            return response.map(() => undefined);
        },
        running: async () => {
            const response = await sendControl("/running", {}, runningSchema);
            return response.map(({ requests }): readonly AttemptId[] => requests);
        },
        close: () => dispatcher.destroy(),
    };
}

function toEngineError(path: string, error: unknown): EngineError {
    const cause = `${path}: ${error instanceof Error ? error.message : String(error)}`;
    const connectionRefused = (error as { readonly code?: string; }).code === "ECONNREFUSED";
    return { kind: connectionRefused ? "unreachable" : "failed", cause };
}
