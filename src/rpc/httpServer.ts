/**
 * The HTTP server that entries and agents use: request routing, size-limited bodies, graceful close.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Result } from "true-myth";
import { createBodyBlocks } from "../common/bodyBlocks.js";
import { createConnectionBudget } from "./connectionBudget.js";
import { guardConnections, guardOf } from "./connectionGuard.js";
import type { ConnectionGuardOptions } from "./connectionGuard.js";
import { hasBody, trackConnections } from "./connections.js";
import type { Connections, Traffic } from "./connections.js";
import { openListener } from "./openListener.js";

export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Selects the handler of a request; `undefined` results in a 404 response. */
export type Router = (method: string, path: string) => Handler | undefined;

export type BodyError =
    | { readonly kind: "tooLarge"; readonly limitBytes: number; }
    | { readonly kind: "aborted"; }
    /** The connections hold too much; the request has not run. */
    | { readonly kind: "overBudget"; }
    /** It came more slowly than the lowest rate. */
    | { readonly kind: "tooSlow"; };

/** Status codes of the refusals; a request whose body has not been read has not run. */
export const bodyErrorStatuses = { tooLarge: 413, aborted: 400, overBudget: 503, tooSlow: 408 } as const;
/** When a caller may try again that was refused because the connections hold too much. */
export const overBudgetRetryMs = 1_000;

export interface HttpServer {
    /** Base URL with an IP address, such as `http://127.0.0.1:4100`. */
    readonly url: string;
    readonly server: Server;
    readonly traffic: () => Traffic;
    /** Adds `connection: close` to all further responses. */
    readonly announceClose: () => void;
    /**
     * Accepts no new connections and resolves once all requests that have arrived are done: their responses are sent, and
     * the handlers of those whose client has disconnected have ended.
     */
    readonly drain: () => Promise<void>;
    /** Closes the listener and every connection at once. */
    readonly close: () => Promise<void>;
}

const keepAliveTimeoutMs = 65_000;
const idleSweepMs = 50;
/** During a drain, a request that takes longer to arrive is dropped; it has not been run. */
const receiveTimeoutMs = 15_000;
/** Says on a connection that is closed as idle that no further request on it has been run, nor will be. */
export const closedStatus = 408;
export const farewell = `HTTP/1.1 ${closedStatus} Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;

/** For the listeners of a process whose settings name no memory. */
const defaultGuard: ConnectionGuardOptions = { budget: createConnectionBudget(undefined) };

/**
 * Listens on `address` and `port`; port 0 lets the operating system choose. Rejects if it cannot listen; `onError` gets the
 * errors after that.
 */
export async function listen(
    address: string,
    port: number,
    router: Router,
    guard: ConnectionGuardOptions = defaultGuard,
    onError: (error: Error) => void = () => undefined,
): Promise<HttpServer> {
    const server = createServer();
    guardConnections(server, guard);
    const connections = trackConnections(server);
    const running = new Set<Promise<void>>();
    server.on("request", (request, response) => {
        if (connections.isClosed(request.socket)) {
            // The request was on its way while the connection was closed, and the farewell is its response.
            request.resume();
            return;
        }
        const handled = dispatch(router, request, response).finally(() => running.delete(handled));
        running.add(handled);
    });
    server.keepAliveTimeout = keepAliveTimeoutMs;
    server.requestTimeout = 0;
    await openListener(server, { port, host: address }, onError);
    const bound = server.address() as AddressInfo;
    return {
        url: `http://${bound.address}:${bound.port}`,
        server,
        traffic: connections.traffic,
        announceClose: connections.announceClose,
        drain: async () => {
            await drainConnections(connections);
            await Promise.all(running);
        },
        close: () => closeServer(server),
    };
}

async function dispatch(router: Router, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = pathOf(request);
    const handler = router(request.method ?? "GET", path);
    if (handler === undefined) {
        sendJson(response, 404, { error: { message: `no route for ${request.method} ${path}`, notRun: true } });
        return;
    }
    try {
        await handler(request, response);
    }
    catch (error) {
        failResponse(response, error);
    }
}

function failResponse(response: ServerResponse, error: unknown): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const message = error instanceof Error ? error.message : String(error);
    sendJson(response, 500, { error: { message, notRun: false } });
}

async function drainConnections(connections: Connections): Promise<void> {
    connections.announceClose();
    const closed = connections.stopAccepting();
    // A client keeps its connection alive after the last response, so connections that become idle during the drain
    // are closed at intervals.
    const idleSweep = setInterval(() => connections.closeIdle(farewell), idleSweepMs);
    const incompleteSweep = setInterval(connections.closeIncomplete, receiveTimeoutMs);
    connections.closeIdle(farewell);
    await closed;
    clearInterval(idleSweep);
    clearInterval(incompleteSweep);
}

async function closeServer(server: Server): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
}

/** The path of a request, without its query. */
export function pathOf(request: IncomingMessage): string {
    const url = request.url ?? "/";
    const queryStart = url.indexOf("?");
    return queryStart < 0 ? url : url.slice(0, queryStart);
}

/** The query parameters of a request. */
export function queryOf(request: IncomingMessage): URLSearchParams {
    const url = request.url ?? "/";
    const queryStart = url.indexOf("?");
    return new URLSearchParams(queryStart < 0 ? "" : url.slice(queryStart + 1));
}

/** Reads a request body of at most `limitBytes`; a connection whose body fails is closed after its responses. */
export function readBody(request: IncomingMessage, limitBytes: number): Promise<Result<Buffer, BodyError>> {
    const connection = guardOf(request.socket);
    const blocks = createBodyBlocks();
    return new Promise(resolve => {
        const finish = (outcome: Result<Buffer, BodyError>): void => {
            request.off("data", onData).off("end", onEnd).off("close", onAbort);
            resolve(outcome);
        };
        const fail = (kind: BodyError["kind"]): void => {
            blocks.drop();
            finish(Result.err(kind === "tooLarge" ? { kind, limitBytes } : { kind }));
        };
        const onAbort = (): void => fail("aborted");
        const refuseTooLarge = (): void => {
            if (connection === undefined) {
                // Discards the rest, so that the connection can be reused.
                request.resume();
            }
            connection?.yieldFor("tooLarge");
            fail("tooLarge");
        };
        const earlierCause = connection?.yielded();
        if (earlierCause === "overBudget" || earlierCause !== undefined && !request.complete) {
            fail(earlierCause);
            return;
        }
        if (request.destroyed) {
            fail("aborted");
            return;
        }
        request.on("error", () => undefined);
        if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
            refuseTooLarge();
            return;
        }
        const holding = hasBody(request) ? connection?.openBody(request, fail) : undefined;
        function onData(chunk: Buffer): void {
            holding?.receive(chunk.length);
            if (blocks.sizeBytes() + chunk.length > limitBytes) {
                refuseTooLarge();
            }
            else if (holding?.charge(blocks.costWith(chunk.length)) !== false) {
                blocks.append(chunk);
            }
        }
        function onEnd(): void {
            const sizeBytes = blocks.sizeBytes();
            if (holding?.charge(blocks.costWith(0) + sizeBytes) === false) {
                return;
            }
            holding?.complete();
            const body = blocks.take();
            holding?.charge(sizeBytes);
            finish(Result.ok(body));
        }
        request.on("data", onData).on("end", onEnd).on("close", onAbort);
    });
}

/** Sends `value` as a JSON response. */
export function sendJson(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = JSON.stringify(value);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
}

/** A signal that aborts when the client disconnects before the response has been sent in full. */
export function disconnectSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
