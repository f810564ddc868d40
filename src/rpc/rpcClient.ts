/**
 * Client for JSON-RPC 2.0 over keep-alive HTTP, and for streaming requests to the same processes.
 */

import { createJSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import { Result } from "true-myth";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import { limitCall, runLimited } from "../common/callLimit.js";
import type { CallLimit, CallLimitOptions } from "../common/callLimit.js";
import { readText } from "../common/readText.js";
import { toRpcError } from "./errors.js";
import type { RpcError } from "./errors.js";
import { FreshPool } from "./freshPool.js";
import { createGuardedConnector } from "./guardedConnector.js";
import { closedStatus } from "./httpServer.js";
import { maxRpcBodyBytes, rpcPath } from "./rpcServer.js";

export interface CallOptions {
    /**
     * For a call, the limit on the response, or on each part of `bytesPerTimeout` of a larger one; for a stream, on the
     * response's headers.
     */
    readonly timeoutMs: number;
    /** Aborting it closes the connection, by which the called process learns of the cancellation. */
    readonly signal?: AbortSignal;
}

/** A streaming response; closing the body early closes the connection. */
export type StreamResponse = Dispatcher.ResponseData;

export interface RpcClient {
    /** Calls `method` at the process with base URL `url`. The result is unchecked; the caller validates it. */
    readonly call: (url: string, method: string, params: unknown, options: CallOptions) => Promise<
        Result<unknown, RpcError>
    >;
    /** Posts JSON and resolves as soon as the response's headers have arrived, with any status but `closedStatus`. */
    readonly stream: (url: string, path: string, body: unknown, options: CallOptions) => Promise<
        Result<StreamResponse, RpcError>
    >;
    /** Closes all connections at once; running calls fail. */
    readonly close: () => Promise<void>;
}

const connectTimeoutMs = 2_000;
const idleConnectionMs = 30_000;
const connectionsPerPeer = 512;
const jsonHeaders = { "content-type": "application/json" };

/** Creates a client with its own connection pools; a response to a call that is larger than `maxResponseBytes` is an error. */
export function createRpcClient(maxResponseBytes = maxRpcBodyBytes): RpcClient {
    const connect = createGuardedConnector(connectTimeoutMs);
    const dispatcher = new Agent({
        factory: (origin, options) => new FreshPool(origin, { ...options, connect }),
        connections: connectionsPerPeer,
        pipelining: 1,
        keepAliveTimeout: idleConnectionMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    let nextId = 1;

    async function post(
        url: string,
        path: string,
        body: unknown,
        { signal, isTimedOut }: CallLimit,
    ): Promise<Result<StreamResponse, RpcError>> {
        try {
            const response = await dispatcher.request({
                origin: url,
                path,
                method: "POST",
                headers: jsonHeaders,
                body: JSON.stringify(body),
                signal,
            });
            if (response.statusCode === closedStatus) {
                await response.body.dump();
                return Result.err({ kind: "unreachable", delivered: "no", cause: "the connection was closed as idle" });
            }
            return Result.ok(response);
        }
        catch (error) {
            return Result.err(toRpcError(error, isTimedOut()));
        }
    }

    return {
        call: (url, method, params, options) =>
            runLimited(toLimit(options), async limit => {
                const id = nextId++;
                const request = createJSONRPCRequest(id, method, params as never);
                const response = await post(url, rpcPath, request, limit);
                return response.isErr
                    ? Result.err(response.error)
                    : readResponse(response.value, id, maxResponseBytes, limit);
            }),
        stream: async (url, path, body, options) => {
            const limit = limitCall(toLimit(options));
            const response = await post(url, path, body, limit);
            if (response.isErr) {
                limit.end();
                return response;
            }
            limit.liftTimeout();
            limit.endWith(response.value.body);
            return response;
        },
        close: () => dispatcher.destroy(),
    };
}

function toLimit({ timeoutMs, signal }: CallOptions): CallLimitOptions {
    return { timeoutMs, cancelledBy: signal === undefined ? [] : [signal] };
}

async function readResponse(
    response: StreamResponse,
    id: number,
    maxResponseBytes: number,
    { isTimedOut, recordBytes, receivedBytes }: CallLimit,
): Promise<Result<unknown, RpcError>> {
    try {
        const text = await readText(response.body, maxResponseBytes, recordBytes);
        const rpcResponse: unknown = JSON.parse(text);
        const isResponse = isJSONRPCResponse(rpcResponse);
        // An error that is found before the call is read names no call.
        if (isResponse && rpcResponse.error !== undefined && (rpcResponse.id === id || rpcResponse.id === null)) {
            const { code, message } = rpcResponse.error;
            return Result.err({ kind: "rejected", delivered: "yes", code, cause: message });
        }
        if (isResponse && rpcResponse.error === undefined && rpcResponse.id === id) {
            return Result.ok(rpcResponse.result);
        }
        const cause = `not a response to the call: status ${response.statusCode}`;
        return Result.err({ kind: "interrupted", delivered: "maybe", cause });
    }
    catch (error) {
        const failure = toRpcError(error, isTimedOut());
        return Result.err({ ...failure, cause: `${failure.cause}; ${receivedBytes()} bytes of the response` });
    }
}
