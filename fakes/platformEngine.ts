/**
 * Fake platform engine that implements the platform's published engine protocol: stages, reservations, prefill, streams
 * and plain calls. It records every request that it executed, and injects the fault that it is set to.
 */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Writable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";

/**
 * Fault applied to requests until the next one is set. `shed` rejects requests as not executed, `reset` resets the
 * connection, `silent` never responds, `cut` resets in the middle of a stream, `cutFirst` does so only in streams that are
 * not resumed, `endInEvent` sends streams without a length or chunks and closes the connection in order in the middle of
 * one, `lost` executes the request and resets without a response, `error` responds to plain calls with status 500,
 * `endOnPart` ends the engine when it begins to write on a prompt with `deadlyPromptPart`, and starts it again soon after,
 * `rest` rejects requests and asks for a pause, `leaving` announces in all responses that the engine is leaving,
 * `endless` sends bytes that are no response until the connection is closed, `endlessHead` and `endlessBody` do so in the
 * head and in the body of a valid response, and `oldRejection` rejects one plain call and
 * then executes the others, but writes that rejection once more instead of their responses; and `lateReports`
 * answers reports after `lateReportMs`.
 */
export type EngineFault =
    | "none"
    | "shed"
    | "reset"
    | "silent"
    | "cut"
    | "cutFirst"
    | "endInEvent"
    | "lost"
    | "endOnPart"
    | "error"
    | "rest"
    | "leaving"
    | "endless"
    | "endlessHead"
    | "endlessBody"
    | "oldRejection"
    | "lateReports";

export interface FakePlatformEngineOptions {
    readonly id: string;
    readonly stage: "prefill" | "decode" | undefined;
    /** Number of events of each stream, and the interval between them. */
    readonly events: number;
    readonly eventMs: number;
    /** Maximum number of concurrent reservations and streams. */
    readonly capacity: number;
    /** Software version of the engine's current start; its streams name it in each event. */
    readonly softwareVersion: () => string;
    /** Unix milliseconds of the engine's start, as it reports them. */
    readonly bornMs?: () => number | undefined;
    /** Called when the engine has started again. */
    readonly onRestart?: () => void;
}

/** One execution of a request, as the engine received it. */
export interface EngineRun {
    readonly requestId: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly target: string;
    readonly body: string;
    /** Wall-clock time in ms at which it began. */
    readonly atMs: number;
}

/** A limit that an engine named; times are wall-clock times in ms. */
export interface NamedLimit {
    readonly value: string;
    readonly fromMs: number;
    /** `undefined` while it is named. */
    readonly untilMs: number | undefined;
}

export interface FakePlatformEngine {
    readonly id: string;
    /** Wall-clock times in ms at which requests arrived, executed or not. */
    readonly arrivedAtMs: number[];
    /** Sets the value of `Server-Limit` in all responses; `undefined` for none. It ends when the engine ends. */
    readonly nameLimit: (value: string | undefined) => void;
    /** The limits that the engine has named so far. */
    readonly limits: readonly NamedLimit[];
    /** Lets the engine end soon after it has begun to run a request with `deadlyBody`, and start again. */
    readonly endOnDeadlyBody: () => void;
    /** Lets the engine end after the first event of a stream on a prompt with `deadlyPromptPart`, and start again. */
    readonly endOnDeadlyPart: () => void;
    readonly stage: FakePlatformEngineOptions["stage"];
    /** IP address and port. */
    readonly address: string;
    readonly runs: EngineRun[];
    /** Headers and body of every request; tests search them for secrets that must never reach an engine. */
    readonly seen: string[];
    /** Number of reservations, caches and streams held now. */
    readonly held: () => number;
    readonly setFault: (fault: EngineFault) => void;
    /** Ends the engine, and starts it again soon after. */
    readonly restart: () => void;
    readonly close: () => Promise<void>;
}

export const deadlyPromptPart = "dead";
export const deadlyBody = "deadly";
/** Time from the end of an engine until it listens again. */
export const restartMs = 300;
/** How long a request with `deadlyBody` runs before it ends the engine. */
const deadlyRunMs = 20;
const durationInBody = /^takes (\d+) ms/u;
const headerPrefix = "x-gooseberrywell-";
const cacheLifetimeMs = 500;
const restS = 0.8;
/** Longer than an entry waits for its first report. */
const lateReportMs = 700;
const endlessBlock = Buffer.alloc(65_536, "z");
const endlessHeaders = Buffer.alloc(65_536, "x: z\r\n");

/** Body of a plain call that runs for `durationMs`. */
export function bodyOfDuration(durationMs: number): string {
    return `takes ${durationMs} ms`;
}

function durationMsOf(body: string): number {
    return Number(durationInBody.exec(body)?.[1] ?? 0);
}

function hasDeadlyPart({ headers }: IncomingMessage): boolean {
    return String(headers[`${headerPrefix}prompt-prefix`] ?? "").includes(`${deadlyPromptPart}:`);
}

export async function startFakePlatformEngine(options: FakePlatformEngineOptions): Promise<FakePlatformEngine> {
    const runs: EngineRun[] = [];
    const seen: string[] = [];
    const reservations = new Set<string>();
    const caches = new Set<string>();
    const sockets = new Set<Socket>();
    let streams = 0;
    let lastId = 0;
    let fault: EngineFault = "none";
    const arrivedAtMs: number[] = [];
    const limits: NamedLimit[] = [];
    let endsOnDeadlyBody = false;
    let endsOnDeadlyPart = false;
    /** The response to the call that was rejected with the fault `oldRejection`. */
    let oldRejection = "";

    function respond(
        response: ServerResponse,
        status: number,
        body: string,
        headers: Record<string, string> = {},
    ): void {
        response.writeHead(status, {
            "content-length": Buffer.byteLength(body),
            ...fault === "leaving" ? { "server-leaving": "1" } : {},
            ...fault === "rest" && status === 503 ? { "retry-after": String(restS) } : {},
            ...headers,
        });
        response.end(body);
    }

    function sendWithoutEnd(target: Writable, block: Buffer): void {
        const writeMore = (): void => {
            while (!target.destroyed && target.write(block)) {
                // Written until the socket's buffer is full.
            }
        };
        target.on("drain", writeMore);
        writeMore();
    }

    function rejectAsNotExecuted(response: ServerResponse, status: number, requestId: string): void {
        respond(response, status, "", {
            [`${headerPrefix}not-executed`]: "1",
            [`${headerPrefix}request-id`]: requestId,
        });
    }

    function reserve(response: ServerResponse, body: string): void {
        if (fault === "shed" || fault === "rest" || reservations.size + streams >= options.capacity) {
            respond(response, 503, "");
            return;
        }
        const { ttl_ms: ttlMs } = JSON.parse(body) as { readonly ttl_ms: number; };
        lastId += 1;
        const reservation = `hold-${lastId}`;
        reservations.add(reservation);
        setTimeout(() => reservations.delete(reservation), ttlMs).unref();
        respond(response, 200, JSON.stringify({ hold: reservation }));
    }

    function prefill(response: ServerResponse): void {
        lastId += 1;
        const handle = `cache-${lastId}`;
        caches.add(handle);
        setTimeout(() => caches.delete(handle), cacheLifetimeMs).unref();
        respond(response, 200, JSON.stringify({ kv_handle: handle, tokens: 1, version: 1 }));
    }

    /**
     * Streams the events after `lastEventId`. Each contains the request id and the software version, so that a test detects
     * a mixed-up response, and one that is joined from two versions.
     */
    function stream(request: IncomingMessage, response: ServerResponse, requestId: string, lastEventId: number): void {
        streams += 1;
        // Without chunks, the response ends with its connection.
        response.useChunkedEncodingByDefault = fault !== "endInEvent";
        response.writeHead(200, {
            "content-type": "text/event-stream",
            [`${headerPrefix}request-id`]: requestId,
            [`${headerPrefix}response-seal`]: `seal-${options.id}`,
        });
        const softwareVersion = options.softwareVersion();
        const isDeadly = endsOnDeadlyPart && hasDeadlyPart(request);
        let next = lastEventId + 1;
        const endsInEvent = fault === "endInEvent";
        const isCut = fault === "cut" || endsInEvent || (fault === "cutFirst" && lastEventId === 0);
        const breakAt = isCut ? next + 1 : undefined;
        const timer = setInterval(() => {
            if (next === breakAt) {
                clearInterval(timer);
                response.write(
                    `id: ${next}\ndata: ha`,
                    () => void (endsInEvent ? request.socket.end() : request.socket.resetAndDestroy()),
                );
                return;
            }
            response.write(`id: ${next}\ndata: ${requestId} ${softwareVersion}\n\n`, () => isDeadly && endAndRestart());
            next += 1;
            if (next > options.events) {
                response.end();
            }
        }, options.eventMs);
        response.once("close", () => {
            clearInterval(timer);
            streams -= 1;
        });
    }

    function handleRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
        const header = (name: string): string => String(request.headers[name] ?? "");
        const requestId = header(`${headerPrefix}request-id`);
        if (header(`${headerPrefix}expected-instance`) !== options.id) {
            respond(response, 421, "");
            return;
        }
        if (fault === "shed" || fault === "rest") {
            rejectAsNotExecuted(response, 503, requestId);
            return;
        }
        if (fault === "oldRejection" && options.stage === undefined && oldRejection === "") {
            oldRejection = `HTTP/1.1 421 Misdirected\r\n${headerPrefix}request-id: ${requestId}\r\n`
                + `${headerPrefix}not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
            request.socket.write(oldRejection);
            return;
        }
        if (header(`${headerPrefix}serving-stage`) === "prefill") {
            prefill(response);
            return;
        }
        reservations.delete(header(`${headerPrefix}kv-hold`));
        runs.push({
            requestId,
            headers: Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, String(value)])),
            target: request.url ?? "",
            body,
            atMs: Date.now(),
        });
        if (fault === "oldRejection" && options.stage === undefined) {
            request.socket.write(oldRejection);
            return;
        }
        if (fault === "lost") {
            request.socket.resetAndDestroy();
            return;
        }
        if (fault === "endOnPart" && hasDeadlyPart(request)) {
            endAndRestart();
            return;
        }
        if (endsOnDeadlyBody && body === deadlyBody) {
            setTimeout(endAndRestart, deadlyRunMs).unref();
            return;
        }
        if (options.stage === "decode") {
            stream(request, response, requestId, Number(header("last-event-id") || 0));
            return;
        }
        const status = fault === "error" ? 500 : 200;
        setTimeout(() => {
            respond(response, status, `done ${requestId}`, {
                [`${headerPrefix}request-id`]: requestId,
                [`${headerPrefix}response-seal`]: `seal-${options.id}`,
            });
        }, durationMsOf(body));
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        arrivedAtMs.push(Date.now());
        const limit = limits.at(-1);
        if (limit !== undefined && limit.untilMs === undefined) {
            response.setHeader("server-limit", limit.value);
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks).toString();
        seen.push(`${JSON.stringify(request.rawHeaders)}${body}`);
        if (fault === "silent") {
            return;
        }
        if (fault === "endless" || fault === "endlessBody") {
            if (fault === "endlessBody") {
                response.writeHead(200, {
                    [`${headerPrefix}request-id`]: String(request.headers[`${headerPrefix}request-id`] ?? ""),
                    [`${headerPrefix}response-seal`]: `seal-${options.id}`,
                });
            }
            sendWithoutEnd(response, endlessBlock);
            return;
        }
        if (fault === "endlessHead") {
            request.socket.write("HTTP/1.1 200 OK\r\n");
            sendWithoutEnd(request.socket, endlessHeaders);
            return;
        }
        if (fault === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        const [, call = "", id = ""] = (request.url ?? "").split("/");
        if (call === "hold-take") {
            reserve(response, body);
        }
        else if (call === "hold-drop") {
            respond(response, reservations.delete(id) ? 200 : 404, "");
        }
        else if (call === "kv-handle") {
            respond(response, caches.delete(id) ? 200 : 404, "");
        }
        else if (call === "report") {
            const report = { stage: options.stage, busy: false, sequence: 0, born: options.bornMs?.() };
            if (fault === "lateReports") {
                await delay(lateReportMs);
            }
            respond(response, 200, JSON.stringify(report));
        }
        else if (call === "order") {
            respond(response, 409, "");
        }
        else {
            handleRequest(request, response, body);
        }
    }

    const server = createServer((request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const { port } = server.address() as AddressInfo;

    function nameLimit(value: string | undefined): void {
        const last = limits.pop();
        if (last !== undefined) {
            limits.push({ ...last, untilMs: last.untilMs ?? Date.now() });
        }
        if (value !== undefined) {
            limits.push({ value, fromMs: Date.now(), untilMs: undefined });
        }
    }

    function endAndRestart(): void {
        if (!server.listening) {
            return;
        }
        nameLimit(undefined);
        server.close();
        sockets.forEach(socket => socket.destroy());
        reservations.clear();
        caches.clear();
        setTimeout(() => server.listen(port, "127.0.0.1", options.onRestart), restartMs).unref();
    }

    return {
        id: options.id,
        stage: options.stage,
        address: `127.0.0.1:${port}`,
        runs,
        seen,
        arrivedAtMs,
        limits,
        nameLimit,
        endOnDeadlyBody: () => {
            endsOnDeadlyBody = true;
        },
        endOnDeadlyPart: () => {
            endsOnDeadlyPart = true;
        },
        restart: endAndRestart,
        held: () => reservations.size + caches.size + streams,
        setFault: next => {
            fault = next;
        },
        close: async () => {
            sockets.forEach(socket => socket.destroy());
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
