/**
 * Calls to other processes end at their time limit although garbage is collected meanwhile, and leave no timer and no
 * listener behind. Each process that is called accepts a request and then does what the case says, without end.
 */

import { getEventListeners } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import {
    createTestForwardContext,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    requestTo,
    routeOf,
    silentDecisionLog,
    smallSize,
} from "../fakes/forwardingHarness.js";
import { collectGarbageDuring } from "../fakes/garbage.js";
import { createEngineClient } from "../platform/engineClient.js";
import { createStoreClient } from "../platform/storeClient.js";
import { systemClock } from "../src/common/clock.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import { createEngineNotices } from "../src/engines/engineNotices.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import { createEvacuations } from "../src/engines/evacuations.js";
import { forward } from "../src/forwarding/forward.js";
import type { ForwardRequest } from "../src/forwarding/forwardRequest.js";
import type { Route } from "../src/routes/desiredState.js";
import type { RpcError } from "../src/rpc/errors.js";
import { createRpcClient } from "../src/rpc/rpcClient.js";
import type { RpcClient } from "../src/rpc/rpcClient.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";

/** What a process does with a connection on which a request has arrived. */
type Behavior = (socket: Socket) => void;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0)) {
        await cleanUp();
    }
});

/** Starts a process that answers nothing but by `behave`; resolves with its address. */
async function startServer(behave: Behavior): Promise<string> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => behave(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    cleanups.push(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const requestId = "r-1";
const responseHead = "HTTP/1.1 200 OK\r\n"
    + `x-gooseberrywell-request-id: ${requestId}\r\nx-gooseberrywell-response-seal: s\r\n`
    + "transfer-encoding: chunked\r\n";
const streamHead = `${responseHead}content-type: text/event-stream\r\n\r\n`;
const firstEvent = "id: 1\ndata: a\n\n";
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const silent: Behavior = () => undefined;
const endlessBlock = chunkOf("z".repeat(16_384));
const blockIntervalMs = 2;
const endsNever: Behavior = socket => {
    socket.write(`${responseHead}\r\n`);
    const timer = setInterval(() => socket.write(endlessBlock), blockIntervalMs);
    socket.once("close", () => clearInterval(timer));
};
const beginsStream: Behavior = socket => void socket.write(`${streamHead}${chunkOf(firstEvent)}`);

interface ForwardCase {
    readonly name: string;
    readonly route: Route;
    readonly behave: Behavior;
    readonly outcome: string;
}

const routeTimeoutMs = 400;
const bounded = { timeoutMs: routeTimeoutMs };

const plainCases: readonly ForwardCase[] = [
    {
        name: "a plain call that its engine leaves unanswered",
        route: routeOf("nonIdempotent", bounded),
        behave: silent,
        outcome: "504",
    },
    {
        name: "a plain call whose response never ends",
        route: routeOf("nonIdempotent", bounded),
        behave: endsNever,
        outcome: "200, broken",
    },
];

const streamCases: readonly ForwardCase[] = [
    {
        name: "a stream that its engine leaves unanswered",
        route: routeOf("stream", bounded),
        behave: silent,
        outcome: "504",
    },
    {
        name: "a stream that stops after its first event",
        route: routeOf("stream", bounded),
        behave: beginsStream,
        outcome: `200 ${firstEvent}, broken`,
    },
    {
        name: "a resumable stream that stops after its first event",
        route: routeOf("stream", { ...bounded, isResumable: true }),
        behave: beginsStream,
        outcome: `200 ${firstEvent}, broken`,
    },
];

/** Forwards requests to one engine, over real connections and with the clock of this machine. */
async function createForwarder(
    route: Route,
    behave: Behavior,
): Promise<(request: ForwardRequest) => Promise<string>> {
    const notices = createEngineNotices(systemClock, silentDecisionLog);
    const rates = createEngineRates(systemClock, silentDecisionLog);
    const evacuations = createEvacuations(systemClock, silentDecisionLog);
    const coldEngines = createColdEngines(systemClock, silentDecisionLog);
    const engines = createEngineClient({
        clock: systemClock,
        log: silentDecisionLog,
        notices,
        rates,
        evacuations,
        coldEngines,
    });
    const state = desiredStateOf([route]);
    // Without reservations, the first call to the engine is the request itself.
    const services = state.services.map(({ engine, ...service }) => ({
        ...service,
        engine: engine === undefined ? undefined : { ...engine, maxReservationMs: 0 },
    }));
    const context = createTestForwardContext({
        clock: systemClock,
        notices,
        rates,
        engines,
        state: { ...state, services },
    });
    const stage = route.services[0]?.service === "models" ? "decode" : undefined;
    context.directory.load([engineRecord("e-1", stage, { address: await startServer(behave) })], "current");
    cleanups.push(() => engines.close());
    return async request => describeOutcome(await forward(context, request));
}

function requestOn(route: Route, callerDisconnected: AbortSignal): ForwardRequest {
    return requestTo(`${route.pathPrefix}x`, {
        requestId,
        receivedAtMs: systemClock.monotonicMs(),
        callerDisconnected,
        ...route.kind === "stream" ? { size: smallSize } : {},
    });
}

describe("a forwarded request ends at its route's timeout", () => {
    // A full garbage collection removed the timeout of a call with its timer, and the call never ended.
    it.each([...streamCases, ...plainCases])("$name: $outcome", async ({ route, behave, outcome }) => {
        const forwardTo = await createForwarder(route, behave);
        const { signal } = new AbortController();
        const received = await collectGarbageDuring(forwardTo(requestOn(route, signal)));
        expect(received.replace(/ z+,/u, ",")).toBe(outcome);
        expect(getEventListeners(signal, "abort")).toHaveLength(0);
    });
});

const warmUpCalls = 6_000;
const storeRows = JSON.stringify({ rows: [], row_version: 1 });
const storeResponse = `HTTP/1.1 200 OK\r\ncontent-length: ${storeRows.length}\r\n\r\n${storeRows}`;

describe("a call to the store", () => {
    // Once the store's client was compiled, a call for changes on a connection that had gone silent never ended.
    it("for changes ends at its timeout on a silent connection, after many calls", async () => {
        let isSilent = false;
        const address = await startServer(socket => {
            const answer = (): unknown => isSilent || socket.write(storeResponse);
            socket.on("data", answer);
            answer();
        });
        const client = createStoreClient(address, createPrometheusMetrics());
        cleanups.push(() => client.close());
        const feed = client.feed("t");
        const { signal } = new AbortController();
        const position = { era: 0, revision: 1 };
        for (let call = 0; call < warmUpCalls; call++) {
            await feed.changesAfter(position, 0, signal);
        }
        isSilent = true;
        const changes = await collectGarbageDuring(feed.changesAfter(position, 0, signal));
        expect(changes.isErr && changes.error.kind).toBe("unknown");
        expect(getEventListeners(signal, "abort")).toHaveLength(0);
    });
});

interface RpcCase {
    readonly name: string;
    readonly behave: Behavior;
    readonly call: (rpc: RpcClient, url: string, signal: AbortSignal) => Promise<Result<unknown, RpcError>>;
    readonly outcome: string;
}

const options = { timeoutMs: routeTimeoutMs };
const rpcCases: readonly RpcCase[] = [
    {
        name: "a call that is left unanswered",
        behave: silent,
        call: (rpc, url, signal) => rpc.call(url, "m", {}, { ...options, signal }),
        outcome: "timeout",
    },
    {
        name: "a call whose response never ends",
        behave: endsNever,
        call: (rpc, url, signal) => rpc.call(url, "m", {}, { ...options, signal }),
        outcome: "interrupted",
    },
    {
        name: "a stream that is left unanswered",
        behave: silent,
        call: (rpc, url, signal) => rpc.stream(url, "/s", {}, { ...options, signal }),
        outcome: "timeout",
    },
];

describe("between processes of a site", () => {
    it.each(rpcCases)("$name ends: $outcome", async ({ behave, call, outcome }) => {
        const rpc = createRpcClient(64 * 1_024);
        cleanups.push(() => rpc.close());
        const { signal } = new AbortController();
        const address = await startServer(behave);
        const ended = await collectGarbageDuring(call(rpc, `http://${address}`, signal));
        expect(ended.isErr && ended.error.kind).toBe(outcome);
        expect(getEventListeners(signal, "abort")).toHaveLength(0);
    });
});
