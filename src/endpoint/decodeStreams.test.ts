/**
 * How an agent passes on a decode stream that its engine breaks off, at each byte, over real connections from the engine to
 * the entry.
 */

import { afterEach, expect, it } from "vitest";
import { startScriptedServer, wholeResponses } from "../../fakes/cutResponses.js";
import { freeWorkQueue, requestAttributes } from "../../fakes/requestHarness.js";
import { systemClock } from "../common/clock.js";
import { openAgentStream } from "../requests/agentStream.js";
import { listen } from "../rpc/httpServer.js";
import { createRpcClient } from "../rpc/rpcClient.js";
import { silentTelemetry } from "../telemetry/telemetry.js";
import { createDecodeStreams } from "./decodeStreams.js";
import { createEngineClient } from "./engineClient.js";
import { formatEvent } from "./messages.js";

const eventTimeoutMs = 5_000;
const endedAtMs = 123;
const attempt = { requestId: "r-1", attempt: 1 };
const startRequest = { ...attempt, model: "m", kvId: "k", kvSource: "s", emittedTokens: 0, maxOutputTokens: 2 };
const reserveRequest = {
    ...requestAttributes,
    ...attempt,
    maxQueueMs: eventTimeoutMs,
    promptTokens: 1,
    maxOutputTokens: 2,
    kvBytes: 0,
    startWithinMs: eventTimeoutMs,
};
const begin = formatEvent({ type: "imported", softwareVersion: "v1" })
    + formatEvent({ type: "token", index: 0, text: "a" });
const secondToken = formatEvent({ type: "token", index: 1, text: "b" });
const end = formatEvent({ type: "end", finishReason: "length", completionTokens: 2 });
const rest = secondToken + end;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

/** What the entry reads after its reservation, and the counters of the agent. */
async function relay(text: string): Promise<readonly [readonly string[], Readonly<Record<string, number>>]> {
    const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    const broken = { name: "", pieces: [head + text], close: "end", isMarked: false } as const;
    const engineServer = await startScriptedServer([
        broken,
        ...wholeResponses({ status: "200 OK", headers: [], body: "{}" }).slice(0, 1),
    ]);
    const engine = createEngineClient(`http://${engineServer.address}`);
    const { counters } = silentTelemetry();
    const streams = createDecodeStreams({
        engine,
        queue: freeWorkQueue,
        clock: systemClock,
        counters,
        stopped: new AbortController().signal,
        onEngineError: () => undefined,
        checkEnded: async () => endedAtMs,
    });
    const agent = await listen("127.0.0.1", 0, () => (request, response) => streams.serve(reserveRequest, response));
    const rpc = createRpcClient();
    cleanups.push(engineServer.close, engine.close, agent.close, rpc.close);
    const { signal } = new AbortController();
    const opened = await openAgentStream(rpc, systemClock, agent.url, reserveRequest, signal);
    const stream = opened.unwrapOr(undefined as never);
    await stream.next(eventTimeoutMs);
    streams.start(startRequest);
    const events: string[] = [];
    for (;;) {
        const event = await stream.next(eventTimeoutMs);
        if (event.isErr) {
            return [[...events, event.error], counters.snapshot()];
        }
        const isEnded = event.value.type === "failed" && event.value.endpointEndedAtMs === endedAtMs;
        events.push(isEnded ? "ended" : event.value.type);
    }
}

// Half an event joined with the agent's own event: that the engine had ended was lost, and with it the suspicion against the
// request. Half an end event counted as the end, and the attempt was not cancelled.
it("a stream that breaks off at any byte is reported as broken off by an engine that ended", async () => {
    for (let length = 0; length <= rest.length; length++) {
        const [events, counters] = await relay(begin + rest.slice(0, length));
        const tokens = length < secondToken.length ? ["token"] : ["token", "token"];
        const isWhole = length === rest.length;
        expect([length, events]).toEqual([
            length,
            ["imported", ...tokens, isWhole ? "end" : "ended", "interrupted"],
        ]);
        expect(counters["endpoint.cancelled"]).toBe(isWhole ? undefined : 1);
    }
});
