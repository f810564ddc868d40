/**
 * A stand-in of the platform's engines by their published protocol: stages, reservations, prefill, streams, plain work.
 * It keeps a record of all that ran and is told which faults to commit.
 */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** What becomes of the next requests: `cut` breaks off in the middle, `lost` runs and resets without an answer. */
export type EngineFault = "none" | "shed" | "reset" | "silent" | "cut" | "lost" | "error";

export interface PlatformEngineShape {
    readonly id: string;
    readonly stage: "prefill" | "decode" | undefined;
    /** Events of each stream, and the pause between them. */
    readonly events: number;
    readonly eventMs: number;
    /** Reservations and streams that fit at one time. */
    readonly places: number;
}

/** One run of a request, as the engine saw it. */
export interface EngineRun {
    readonly requestId: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly target: string;
    readonly body: string;
}

export interface PlatformEngine {
    readonly id: string;
    readonly stage: PlatformEngineShape["stage"];
    /** IP address and port. */
    readonly address: string;
    readonly runs: EngineRun[];
    /** All headers of all requests, for what must never arrive. */
    readonly seen: string[];
    /** Reservations, caches and streams that are held now. */
    readonly held: () => number;
    readonly setFault: (fault: EngineFault) => void;
    readonly close: () => Promise<void>;
}

const prefix = "x-gooseberrywell-";
const cacheLifeMs = 500;

export async function startPlatformEngine(shape: PlatformEngineShape): Promise<PlatformEngine> {
    const runs: EngineRun[] = [];
    const seen: string[] = [];
    const holds = new Set<string>();
    const caches = new Set<string>();
    const sockets = new Set<Socket>();
    let streams = 0;
    let serial = 0;
    let fault: EngineFault = "none";

    function answer(
        response: ServerResponse,
        status: number,
        body: string,
        headers: Record<string, string> = {},
    ): void {
        response.writeHead(status, { "content-length": Buffer.byteLength(body), ...headers });
        response.end(body);
    }

    function reject(response: ServerResponse, status: number, requestId: string): void {
        answer(response, status, "", { [`${prefix}not-executed`]: "1", [`${prefix}request-id`]: requestId });
    }

    function takeHold(response: ServerResponse, body: string): void {
        if (fault === "shed" || holds.size + streams >= shape.places) {
            answer(response, 503, "");
            return;
        }
        const { ttl_ms: lifeMs } = JSON.parse(body) as { readonly ttl_ms: number; };
        serial += 1;
        const hold = `hold-${serial}`;
        holds.add(hold);
        setTimeout(() => holds.delete(hold), lifeMs).unref();
        answer(response, 200, JSON.stringify({ hold }));
    }

    function prefill(response: ServerResponse): void {
        serial += 1;
        const handle = `cache-${serial}`;
        caches.add(handle);
        setTimeout(() => caches.delete(handle), cacheLifeMs).unref();
        answer(response, 200, JSON.stringify({ kv_handle: handle, tokens: 1, version: 1 }));
    }

    /** Streams numbered events after `last`; the body names the request, so that a crossed answer shows. */
    function stream(request: IncomingMessage, response: ServerResponse, requestId: string, last: number): void {
        streams += 1;
        response.writeHead(200, {
            "content-type": "text/event-stream",
            [`${prefix}request-id`]: requestId,
            [`${prefix}response-seal`]: `seal-${shape.id}`,
        });
        let next = last + 1;
        const breakAt = fault === "cut" ? next + 1 : undefined;
        const timer = setInterval(() => {
            if (next === breakAt) {
                response.write(`id: ${next}\ndata: ha`, () => request.socket.resetAndDestroy());
                return;
            }
            response.write(`id: ${next}\ndata: ${requestId}\n\n`);
            next += 1;
            if (next > shape.events) {
                response.end();
            }
        }, shape.eventMs);
        response.once("close", () => {
            clearInterval(timer);
            streams -= 1;
        });
    }

    function run(request: IncomingMessage, response: ServerResponse, body: string): void {
        const header = (name: string): string => String(request.headers[name] ?? "");
        const requestId = header(`${prefix}request-id`);
        if (header(`${prefix}expected-instance`) !== shape.id) {
            answer(response, 421, "");
            return;
        }
        if (fault === "shed") {
            reject(response, 503, requestId);
            return;
        }
        if (header(`${prefix}serving-stage`) === "prefill") {
            prefill(response);
            return;
        }
        holds.delete(header(`${prefix}kv-hold`));
        runs.push({
            requestId,
            headers: Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, String(value)])),
            target: request.url ?? "",
            body,
        });
        if (fault === "lost") {
            request.socket.resetAndDestroy();
            return;
        }
        if (shape.stage === "decode") {
            stream(request, response, requestId, Number(header("last-event-id") || 0));
            return;
        }
        answer(response, fault === "error" ? 500 : 200, `done ${requestId}`, {
            [`${prefix}request-id`]: requestId,
            [`${prefix}response-seal`]: `seal-${shape.id}`,
        });
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks).toString();
        seen.push(`${JSON.stringify(request.rawHeaders)}${body}`);
        if (fault === "silent") {
            return;
        }
        if (fault === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        const [, call = "", id = ""] = (request.url ?? "").split("/");
        if (call === "hold-take") {
            takeHold(response, body);
        }
        else if (call === "hold-drop") {
            answer(response, holds.delete(id) ? 200 : 404, "");
        }
        else if (call === "kv-handle") {
            answer(response, caches.delete(id) ? 200 : 404, "");
        }
        else if (call === "report") {
            answer(response, 200, JSON.stringify({ stage: shape.stage, busy: false, sequence: 0 }));
        }
        else if (call === "order") {
            answer(response, 409, "");
        }
        else {
            run(request, response, body);
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

    return {
        id: shape.id,
        stage: shape.stage,
        address: `127.0.0.1:${port}`,
        runs,
        seen,
        held: () => holds.size + caches.size + streams,
        setFault: next => {
            fault = next;
        },
        close: async () => {
            sockets.forEach(socket => socket.destroy());
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
