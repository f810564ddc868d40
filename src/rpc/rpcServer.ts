/**
 * Server for JSON-RPC 2.0 over HTTP POST, one call per request. The connection of a call shows whether its caller is
 * alive: when the calling process disconnects, the signal passed to the method aborts.
 */

import { JSONRPCErrorException, JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest } from "json-rpc-2.0";
import type { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import { bodyErrorStatuses, disconnectSignal, overBudgetRetryMs, readBody, sendJson } from "./httpServer.js";
import type { Handler } from "./httpServer.js";

/** What a method receives besides the parameters of a call. */
export interface CallContext {
    /** Aborts when the calling process disconnects. */
    readonly signal: AbortSignal;
}

/** A method that checks its own parameters. */
export interface RpcMethod {
    /** Throws a `JSONRPCErrorException` if `params` are invalid. */
    readonly invoke: (params: unknown, context: CallContext) => Promise<unknown>;
}

export type RpcMethods = Readonly<Record<string, RpcMethod>>;

export const rpcPath = "/rpc";
/** Limit on the body of a call and on that of its response. */
export const maxRpcBodyBytes = 16 * 1024 * 1024;
const msPerSecond = 1_000;
const invalidParamsCode = -32602;
const parseErrorCode = -32700;

/** Declares a method; parameters that do not match `schema` are rejected with an error that names the field. */
export function rpcMethod<Schema extends z.ZodType, MethodResult>(
    schema: Schema,
    run: (params: z.output<Schema>, context: CallContext) => Promise<MethodResult>,
): RpcMethod {
    return {
        invoke: (params, context) => {
            const checked = checkValue(schema, params);
            if (checked.isErr) {
                throw new JSONRPCErrorException(describeInvalidInput(checked.error), invalidParamsCode);
            }
            return run(checked.value, context);
        },
    };
}

/** The HTTP handler that serves `methods` under `rpcPath`. */
export function createRpcHandler(methods: RpcMethods): Handler {
    const server = new JSONRPCServer<CallContext>({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
        server.addMethod(name, (params, context) => method.invoke(params, context));
    }
    return async (request, response) => {
        const signal = disconnectSignal(response);
        const body = await readBody(request, maxRpcBodyBytes);
        if (body.isErr) {
            const { kind } = body.error;
            const retryAfter: Readonly<Record<string, string>> = kind === "overBudget"
                ? { "retry-after": String(overBudgetRetryMs / msPerSecond) }
                : {};
            sendJson(response, bodyErrorStatuses[kind], rpcFailure(`request body: ${kind}`), retryAfter);
            return;
        }
        const call = parseCall(body.value.toString("utf8"));
        if (call === undefined) {
            sendJson(response, 400, rpcFailure("request body: not valid JSON"));
            return;
        }
        const rpcResponse = await server.receive(call, { signal });
        if (!signal.aborted) {
            sendJson(response, 200, rpcResponse ?? {});
        }
    };
}

function parseCall(text: string): JSONRPCRequest | undefined {
    try {
        return JSON.parse(text) as JSONRPCRequest;
    }
    catch {
        return undefined;
    }
}

function rpcFailure(message: string): unknown {
    return { jsonrpc: "2.0", id: null, error: { code: parseErrorCode, message } };
}
