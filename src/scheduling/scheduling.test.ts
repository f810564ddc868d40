/**
 * Queueing for decode engines: which requests wait, in which order, and which are refused. Each title names the load
 * pattern that the test covers.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { ForwardingHarness } from "../../fakes/forwardingHarness.js";
import type { EngineRecord, Stage } from "../engines/enginePort.js";
import { forward } from "../forwarding/forward.js";
import type { ForwardRequest, GenerationSize } from "../forwarding/forwardRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import { createDecodeQueue } from "./decodeQueue.js";
import type { QueuedRequest } from "./decodeQueue.js";
import { allowsLocalPrefill, isLocalPrefillFaster, rankForDecode, rankForPlain } from "./placement.js";
import { createStreamDurations } from "./streamDurations.js";

const decode = [engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];
const prefill = engineRecord("p-1", "prefill");

function generationOf(size: GenerationSize, request: Partial<ForwardRequest> = {}): GenerationRequest {
    const state = desiredStateOf([routeOf("stream")]);
    const engineSpec = state.services[1]?.engine;
    const route = state.routes[0];
    if (engineSpec === undefined || route === undefined) {
        throw new Error("the harness's state has no route or no engine spec");
    }
    return {
        request: requestTo("/stream/x", { size, ...request }),
        route,
        service: "models",
        deadlineMs: 2_000,
        softwareVersion: undefined,
        priority: 5,
        homeRegions: undefined,
        fingerprint: "request:1",
        size,
        engineSpec,
        callBudget: { tryAcquireCall: () => true, recordCall: () => undefined, recordPrefill: () => undefined },
    };
}

function harnessWith(reserve: (engine: EngineRecord, tokens: number) => boolean): ForwardingHarness {
    let reservations = 0;
    const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
        reserve: async (engine, tokens) => {
            reservations += 1;
            return reserve(engine, tokens) ? Result.ok({ id: `h-${reservations}`, tokens }) : errorOf("notExecuted");
        },
    });
    harness.load([prefill, ...decode]);
    return harness;
}

const sizeOf = (promptTokens: number): GenerationSize => ({ ...smallSize, promptTokens });

describe("allocation at decode engines", () => {
    it("burst: requests wait until memory is freed, and get it in queue order", async () => {
        let hasCapacity = false;
        const harness = harnessWith(() => hasCapacity);
        const order: string[] = [];
        const all = ["r-1", "r-2", "r-3"].map(async requestId => {
            const allocation = await harness.context.decodeScheduler.allocate(
                generationOf(sizeOf(1_000), { requestId }),
            );
            order.push(allocation.isOk ? requestId : "refused");
        });
        await harness.clock.advance(200);
        expect(order).toEqual([]);
        expect(harness.context.decodeScheduler.queuedRequests()).toBe(3);
        hasCapacity = true;
        await harness.clock.advance(200);
        await Promise.all(all);
        expect(order).toEqual(["r-1", "r-2", "r-3"]);
    });

    it("sustained overload: requests that cannot start in time are refused at once with a retry delay", async () => {
        const harness = harnessWith(() => false);
        const pending = Array.from(
            { length: 40 },
            () => harness.context.decodeScheduler.allocate(generationOf(sizeOf(3_000))),
        );
        const lastResult = await Promise.race([pending.at(-1), harness.clock.settle()]);
        expect(lastResult?.isErr && lastResult.error.cause).toBe("too many requests wait for a decode engine");
        expect(lastResult?.isErr && lastResult.error.retryAfterMs).toBeGreaterThan(400);
        await harness.clock.advance(2_000);
        const ended = await Promise.all(pending);
        expect(ended.every(allocation => allocation.isErr)).toBe(true);
    });

    it("simultaneous requests: none is refused while the engines have capacity", async () => {
        const harness = harnessWith(() => true);
        const pending = Array.from(
            { length: 4 },
            () => harness.context.decodeScheduler.allocate(generationOf(sizeOf(4_500))),
        );
        await harness.clock.advance(50);
        expect((await Promise.all(pending)).every(allocation => allocation.isOk)).toBe(true);
    });

    it("first requests after an idle period: none is refused for lack of recent allocations", async () => {
        const harness = harnessWith(() => false);
        const pending = [1, 2].map(() => harness.context.decodeScheduler.allocate(generationOf(sizeOf(3_000))));
        const first = await Promise.race([...pending, harness.clock.settle()]);
        expect(first).toBeUndefined();
        await harness.clock.advance(2_000);
    });

    it("full engines: the memory that all responses will need stays within what the engines have", async () => {
        const harness = harnessWith(() => true);
        const { decodeScheduler } = harness.context;
        const pending = Array.from({ length: 4 }, () => decodeScheduler.allocate(generationOf(sizeOf(4_500))));
        await harness.clock.advance(50);
        expect(decodeScheduler.queuedRequests()).toBe(0);
        const nextAllocation = decodeScheduler.allocate(generationOf(sizeOf(4_500)));
        await harness.clock.advance(50);
        expect(decodeScheduler.queuedRequests()).toBe(1);
        const allocations = (await Promise.all(pending)).map(allocation => allocation.unwrapOr(undefined as never));
        expect(allocations.map(({ engine }) => engine.id).sort()).toEqual(["m-1", "m-1", "m-2", "m-2"]);
        allocations[0]?.end();
        await harness.clock.advance(50);
        expect((await nextAllocation).isOk).toBe(true);
    });

    it("requests whose callers disconnect leave the queue", async () => {
        const harness = harnessWith(() => false);
        const caller = new AbortController();
        const pending = harness.context.decodeScheduler.allocate(
            generationOf(sizeOf(1_000), { callerDisconnected: caller.signal }),
        );
        await harness.clock.settle();
        caller.abort();
        expect((await pending).isErr).toBe(true);
        expect(harness.context.decodeScheduler.queuedRequests()).toBe(0);
    });

    it("larger than any engine: refused immediately", async () => {
        const harness = harnessWith(() => true);
        expect((await harness.context.decodeScheduler.allocate(generationOf(sizeOf(20_000)))).isErr).toBe(true);
        expect(harness.calls).toEqual([]);
    });
});

function queuedRequest(name: string, changes: Partial<QueuedRequest> = {}): QueuedRequest & { readonly name: string; } {
    return {
        name,
        clientAccount: name,
        tokens: 100,
        enqueuedAtMs: 0,
        latestStartMs: 500,
        queueDeadlineMs: 1_000,
        ...changes,
    };
}

interface QueueCase {
    readonly name: string;
    readonly nowMs: number;
    readonly queued: readonly (QueuedRequest & { readonly name: string; })[];
    readonly allocated?: Readonly<Record<string, number>>;
    readonly order: readonly string[];
}

const queueCases: readonly QueueCase[] = [
    {
        name: "the request with the earliest `latestStartMs` goes first",
        nowMs: 0,
        queued: [queuedRequest("a", { latestStartMs: 600 }), queuedRequest("b")],
        order: ["b", "a"],
    },
    {
        name: "late requests come after those that can still meet their objective",
        nowMs: 300,
        queued: [queuedRequest("late", { latestStartMs: 200 }), queuedRequest("a")],
        order: ["a", "late"],
    },
    {
        name: "hot account: an account with many recent allocations is moved back",
        nowMs: 0,
        queued: [queuedRequest("hot"), queuedRequest("small", { latestStartMs: 550 })],
        allocated: { hot: 50_000 },
        order: ["small", "hot"],
    },
    {
        name: "large requests: a request at the head that has waited too long is not overtaken",
        nowMs: 400,
        queued: [
            queuedRequest("large", { tokens: 9_000 }),
            queuedRequest("small", { enqueuedAtMs: 390, latestStartMs: 890 }),
        ],
        order: ["large"],
    },
];

describe("queue order", () => {
    it.each(queueCases)("$name", ({ nowMs, queued, allocated, order }) => {
        const queue = createDecodeQueue<QueuedRequest & { readonly name: string; }>();
        queued.forEach(queue.add);
        Object.entries(allocated ?? {}).forEach(([account, tokens]) =>
            queue.recordAllocatedTokens(account, tokens, nowMs)
        );
        expect(queue.candidates(nowMs).map(item => item.name)).toEqual(order);
    });

    it("removes requests whose queue deadline has passed", () => {
        const queue = createDecodeQueue<QueuedRequest & { readonly name: string; }>();
        queue.add(queuedRequest("a"));
        expect(queue.takeExpired(999)).toEqual([]);
        expect(queue.takeExpired(1_000).map(item => item.name)).toEqual(["a"]);
        expect(queue.size()).toBe(0);
    });
});

describe("placement", () => {
    const work = { requests: 0, kvTokens: 0, prefillTokens: 0 };
    const viewOf = (loads: Readonly<Record<string, Partial<typeof work>>>) => ({
        dataCentre: "a",
        workAt: (id: string) => ({ ...work, ...loads[id] }),
        isCold: () => false,
        enginesFor: (service: string, stage: Stage) => [prefill, ...decode].filter(engine => engine.stage === stage),
        random: () => 0,
    });

    it("prefers free memory, then the entry's own data centre", () => {
        const engines = [engineRecord("far", "decode", { dataCentre: "b" }), engineRecord("near", "decode")];
        expect(rankForDecode(viewOf({}), engines, 10_000)[0]?.id).toBe("near");
        expect(rankForDecode(viewOf({ near: { kvTokens: 5_000 } }), engines, 10_000)[0]?.id).toBe("far");
    });

    it("prefers the plain instance with fewer requests", () => {
        const engines = [engineRecord("x"), engineRecord("y")];
        expect(rankForPlain(viewOf({ x: { requests: 2 } }), engines)[0]?.id).toBe("y");
    });

    it("burst of prompts: a decode engine prefills locally if that is faster and its events stay on time", () => {
        const [engine] = decode;
        const { route, engineSpec } = generationOf(smallSize);
        expect(allowsLocalPrefill(route, { ...engineSpec, tokensPerEvent: 8 })).toBe(true);
        expect(allowsLocalPrefill(route, { ...engineSpec, tokensPerEvent: 11 })).toBe(false);
        if (engine !== undefined) {
            expect(isLocalPrefillFaster(viewOf({}), engine, prefill, 5_000)).toBe(false);
            expect(isLocalPrefillFaster(viewOf({ "p-1": { prefillTokens: 20_000 } }), engine, prefill, 5_000)).toBe(
                true,
            );
        }
    });
});

interface DurationCase {
    readonly name: string;
    /** Duration and output tokens of the streams that have ended. */
    readonly ended: readonly (readonly [durationMs: number, outputTokens: number])[];
    readonly outputTokens: number;
    readonly expectedMs: number | undefined;
}

const durationCases: readonly DurationCase[] = [
    { name: "no stream has ended", ended: [], outputTokens: 6_000, expectedMs: undefined },
    { name: "one stream has ended", ended: [[3_000, 4_000]], outputTokens: 6_000, expectedMs: undefined },
    { name: "eight streams have ended", ended: Array(8).fill([3_000, 4_000]), outputTokens: 6_000, expectedMs: 4_050 },
    { name: "streams that end at once", ended: Array(8).fill([100, 4_000]), outputTokens: 6_000, expectedMs: 900 },
    { name: "a slow service", ended: Array(8).fill([4_000, 700]), outputTokens: 1_400, expectedMs: 7_100 },
];

describe("expected durations of streams", () => {
    it.each(durationCases)("$name: $expectedMs ms", ({ ended, outputTokens, expectedMs }) => {
        const durations = createStreamDurations();
        ended.forEach(([durationMs, tokens]) => durations.record("models", durationMs, tokens));
        durations.record("other", 60_000, 1);
        expect(durations.expectedMs("models", outputTokens)).toBe(expectedMs);
    });

    it("do not refuse the longest requests of an entry that has just started", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]));
        harness.load([engineRecord("d-1", "decode")]);
        const size = { promptTokens: 1_000, maxOutputTokens: 8_000, outputHintTokens: 6_700 };
        const result = await forward(harness.context, requestTo("/stream/x", { size, callerTimeoutMs: 14_000 }));
        expect(result.kind).toBe("answered");
    });
});
