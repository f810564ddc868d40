/**
 * Engines whose responses are given byte by byte, behind an entry, over real connections from the engines' socket to the
 * caller's.
 */

import type { IncomingHttpHeaders } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { request as sendRequest } from "undici";
import { createEngineClient } from "../platform/engineClient.js";
import { listenForCallers } from "../platform/ingress.js";
import { systemClock } from "../src/common/clock.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import { createEngineNotices } from "../src/engines/engineNotices.js";
import type { EnginePort } from "../src/engines/enginePort.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import { createEvacuations } from "../src/engines/evacuations.js";
import { forward } from "../src/forwarding/forward.js";
import type { CallerLimits, Route } from "../src/routes/desiredState.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";
import { createTestForwardContext, desiredStateOf, engineRecord, silentDecisionLog } from "./forwardingHarness.js";
import { createVirtualClock } from "./virtualClock.js";

/** What an engine does with the connection after it has written its response. */
export type Close = "keep" | "end" | "reset";

export interface RawResponse {
    readonly bytes: string;
    readonly close: Close;
}

/** A request that an engine received to be run. */
export interface RawRequest {
    readonly requestId: string;
    readonly lastEventId: string | undefined;
    /** Number of requests before it, at all engines. */
    readonly index: number;
}

export interface RawEngines {
    readonly addresses: readonly string[];
    readonly requests: readonly RawRequest[];
}

/** Called after the test, the last one first. */
export type Cleanups = (() => Promise<void> | void)[];

/** Id of the request with which a stream began that a test takes up. */
export const beganRequestId = "r-0";
const bornMs = 1;

/** Starts engines that grant every reservation and answer each request with the response that `respond` returns. */
export async function startRawEngines(
    count: number,
    respond: (request: RawRequest) => RawResponse,
    cleanups: Cleanups,
): Promise<RawEngines> {
    const requests: RawRequest[] = [];
    const sockets = new Set<Socket>();
    let reservations = 0;
    const server: Server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", (bytes: Buffer) => {
            const head = bytes.toString();
            if (head.includes("/hold-take ")) {
                reservations += 1;
                writeJson(socket, { hold: `h-${reservations}` });
                return;
            }
            if (head.startsWith("GET /report ")) {
                writeJson(socket, { born: bornMs });
                return;
            }
            if (!head.includes("x-gooseberrywell-request-id")) {
                socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
                return;
            }
            const request: RawRequest = {
                requestId: /x-gooseberrywell-request-id: (\S+)/u.exec(head)?.[1] ?? "",
                lastEventId: /last-event-id: (\S+)/u.exec(head)?.[1],
                index: requests.length,
            };
            requests.push(request);
            const { bytes: response, close } = respond(request);
            socket.write(response, () => closeAs(socket, close));
        });
    });
    await new Promise<void>(resolve => server.listen(0, () => resolve()));
    cleanups.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    return { addresses: Array.from({ length: count }, (unused, index) => `127.0.0.${index + 1}:${port}`), requests };
}

function writeJson(socket: Socket, value: unknown): void {
    const body = JSON.stringify(value);
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
}

function closeAs(socket: Socket, close: Close): void {
    if (close === "end") {
        socket.end();
    }
    if (close === "reset") {
        socket.resetAndDestroy();
    }
}

/** Starts an entry with one route to the engines; returns its URL. */
export async function startEntry(
    { addresses }: Pick<RawEngines, "addresses">,
    route: Route,
    cleanups: Cleanups,
    limits: CallerLimits = desiredStateOf([]).limits,
): Promise<string> {
    const clock = createVirtualClock();
    const notices = createEngineNotices(clock, silentDecisionLog);
    const engines: EnginePort = createEngineClient({
        clock: systemClock,
        log: silentDecisionLog,
        notices,
        rates: createEngineRates(systemClock, silentDecisionLog),
        evacuations: createEvacuations(systemClock, silentDecisionLog),
        coldEngines: createColdEngines(systemClock, silentDecisionLog),
    });
    const context = createTestForwardContext({ clock, notices, engines, state: desiredStateOf([route]) });
    const service = route.services[0]?.service ?? "";
    const stage = service === "models" ? "decode" : undefined;
    context.directory.load(
        addresses.map((address, index) => engineRecord(`e-${index + 1}`, stage, { bornMs, address })),
        "current",
    );
    context.streamOrigins.record(beganRequestId, { service, softwareVersion: "v1" });
    const ingress = await listenForCallers({ ip: "127.0.0.1", port: 0 }, {
        clock,
        log: silentDecisionLog,
        metrics: createPrometheusMetrics(),
        limits: () => limits,
        desiredStateVersion: () => 1,
        forward: request => forward(context, request),
    });
    cleanups.push(() => engines.close(), () => ingress.close());
    return `http://127.0.0.1:${ingress.port}`;
}

/** What a caller has received: the text and headers of a response, and whether it was complete. */
export interface ReceivedResponse {
    /** 0 if the connection was closed without a response. */
    readonly status: number;
    readonly text: string;
    readonly headers: IncomingHttpHeaders;
    readonly isComplete: boolean;
}

export async function callEntry(
    entryUrl: string,
    route: Route,
    headers: Readonly<Record<string, string>> = {},
    body?: Buffer,
): Promise<ReceivedResponse> {
    let text = "";
    let status = 0;
    let received: IncomingHttpHeaders = {};
    try {
        const response = await sendRequest(`${entryUrl}${route.pathPrefix}x`, {
            method: "POST",
            headers: {
                "x-gooseberrywell-request-id": "r-1",
                "x-gooseberrywell-token-usage": "100,20",
                host: "caller.example",
                ...headers,
            },
            ...body === undefined ? {} : { body },
        });
        status = response.statusCode;
        received = response.headers;
        for await (const chunk of response.body as AsyncIterable<Buffer>) {
            text += chunk.toString();
        }
        return { status, text, headers: received, isComplete: true };
    }
    catch {
        return { status, text, headers: received, isComplete: false };
    }
}
