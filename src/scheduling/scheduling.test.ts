/**
 * Queueing for decode engines: which requests wait, in which order, and which are refused. Each title names the load
 * pattern that the test covers.
 */

import fc from "fast-check";
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
import {
    allowsLocalPrefill,
    isLocalPrefillFaster,
    prefillTokensPerMs,
    rankForDecode,
    rankForPlain,
    rankForPrefill,
} from "./placement.js";
import { createStreamDurations } from "./streamDurations.js";

const decode = [engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];
const prefill = engineRecord("p-1", "prefill");

function generationOf(
    size: GenerationSize,
    request: Partial<ForwardRequest> = {},
    priority = 5,
): GenerationRequest {
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
        priority,
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

interface ShortageCase {
    readonly name: string;
    readonly isFull: boolean;
    /** Prompt tokens ahead at the prefill engine. */
    readonly prefillTokens: number;
    readonly stage: Stage | undefined;
    readonly cause: string | undefined;
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

    it.each<ShortageCase>([
        {
            name: "the decode engines are full",
            isFull: true,
            prefillTokens: 0,
            stage: "decode",
            cause: "no decode engine had room in time",
        },
        {
            name: "the prompts ahead would take the only prefill engine too long",
            isFull: false,
            prefillTokens: 1_000_000,
            stage: "prefill",
            cause: "no prefill engine could read the prompt in time",
        },
        { name: "both have room", isFull: false, prefillTokens: 0, stage: undefined, cause: undefined },
    ])("names the stage without room: $name", async ({ isFull, prefillTokens, stage, cause }) => {
        const harness = harnessWith(() => !isFull);
        const { decodeScheduler, loads } = harness.context;
        loads.start(prefill.id, { requests: 1, kvTokens: 0, prefillTokens });
        const generation = generationOf(sizeOf(1_000));
        const strictSpec = { ...generation.engineSpec, tokensPerEvent: generation.route.maxGapMs };
        const allocation = decodeScheduler.allocate({ ...generation, engineSpec: strictSpec });
        await harness.clock.advance(100);
        expect(decodeScheduler.shortStage("models")).toBe(stage);
        await harness.clock.advance(2_000);
        const ended = await allocation;
        expect(ended.isErr ? ended.error.cause : undefined).toBe(cause);
        expect(decodeScheduler.shortStage("models")).toBeUndefined();
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
        priority: 5,
        work: 100,
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
            queuedRequest("large", { work: 9_000 }),
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

/** The order of a queue whose requests all have one priority, as it is without priorities. */
function orderOfEqualPriorities<Item extends QueuedRequest>(
    queued: readonly Item[],
    penaltyMs: Readonly<Record<string, number>>,
    nowMs: number,
): readonly Item[] {
    const rankOf = ({ clientAccount, latestStartMs }: Item): number =>
        (nowMs > latestStartMs ? 1e9 : 0) + latestStartMs + (penaltyMs[clientAccount] ?? 0);
    const ordered = [...queued].sort((a, b) => rankOf(a) - rankOf(b)).slice(0, 4);
    const blocking = ordered.findIndex(item => nowMs - item.enqueuedAtMs > 350);
    return blocking < 0 ? ordered : ordered.slice(0, blocking + 1);
}

const equalRequests = fc.record({
    clientAccount: fc.constantFrom("a", "b", "c"),
    work: fc.integer({ min: 1, max: 20_000 }),
    enqueuedAtMs: fc.integer({ min: 0, max: 400 }),
    latestStartMs: fc.integer({ min: 300, max: 1_500 }),
    isServed: fc.boolean(),
});

describe("equal priorities", () => {
    it("change nothing: neither the order nor who is admitted, leaves the queue or finds room", () => {
        fc.assert(
            fc.property(
                fc.array(equalRequests, { maxLength: 12 }),
                fc.integer({ min: 0, max: 9 }),
                (drawn, priority) => {
                    const nowMs = 400;
                    const queue = createDecodeQueue<QueuedRequest>();
                    const queued = drawn.map(request => ({ ...request, priority, queueDeadlineMs: 1_000 }));
                    for (const request of queued) {
                        queue.recordArrival(request, request.enqueuedAtMs);
                        queue.add(request);
                        if (request.isServed) {
                            queue.recordServed(request, nowMs);
                        }
                    }
                    queue.recordAllocatedTokens("a", 50_000, nowMs);
                    expect(queue.candidates(nowMs)).toEqual(orderOfEqualPriorities(queued, { a: 200 }, nowMs));
                    const arrival = queuedRequest("arrival", { priority, latestStartMs: 0 });
                    expect(queue.tokensAheadOf(arrival, nowMs)).toBe(queue.tokens());
                    expect(queue.stepsBehind(arrival, nowMs)).toBe(0);
                    queue.add(arrival);
                    expect(queue.takeYielding(arrival, () => true, nowMs)).toEqual([]);
                },
            ),
            { seed: 20_261_206, numRuns: 300 },
        );
    });
});

describe("mixed priorities in a burst", () => {
    const large = sizeOf(3_000);

    it("an urgent arrival is admitted where a less urgent one is refused, and others leave the full queue for it", async () => {
        const harness = harnessWith(() => false);
        const { decodeScheduler, metrics } = harness.context;
        const lessUrgent = Array.from({ length: 12 }, () => decodeScheduler.allocate(generationOf(large, {}, 3)));
        await harness.clock.settle();
        const queuedBefore = decodeScheduler.queuedRequests();
        expect(queuedBefore).toBeLessThan(12);
        const urgent = [1, 2].map(() => decodeScheduler.allocate(generationOf(large, {}, 0)));
        expect(await Promise.race([...urgent, harness.clock.settle()])).toBeUndefined();
        expect(decodeScheduler.queuedRequests()).toBeLessThan(queuedBefore + 2);
        const refused = await Promise.race([...lessUrgent.slice(0, queuedBefore).reverse(), harness.clock.settle()]);
        expect(refused?.isErr && refused.error.cause).toBe("more urgent requests need the room that is left");
        expect(refused?.isErr && refused.error.retryAfterMs).toBeGreaterThan(400);
        expect(await metrics.text()).toContain("turned_away{label=\"displaced\",outcome=\"3\"}");
        await harness.clock.advance(2_000);
        await Promise.all([...lessUrgent, ...urgent]);
    });

    // Its engine's work was counted for good, since nobody ended an allocation that came after the refusal.
    it("a request that leaves the queue while its reservation is made holds no engine", async () => {
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            reserve: async (engine, tokens) => {
                await harness.clock.sleep(200);
                return Result.ok({ id: engine.id, tokens });
            },
        });
        harness.load([prefill, ...decode]);
        const { decodeScheduler, loads } = harness.context;
        const lessUrgent = [1, 2].map(() => decodeScheduler.allocate(generationOf(large, {}, 3)));
        await harness.clock.advance(20);
        const urgent = Array.from({ length: 40 }, () => decodeScheduler.allocate(generationOf(large, {}, 0)));
        await harness.clock.advance(3_000);
        const results = await Promise.all([...lessUrgent, ...urgent]);
        expect(results.some(result => result.isErr && result.error.cause.startsWith("more urgent"))).toBe(true);
        results.forEach(result => result.isOk && result.value.end());
        expect(loads.own()).toEqual({});
    });

    it("the last room of an engine is kept for more urgent requests, and found by them", async () => {
        const harness = harnessWith(() => true);
        const { decodeScheduler } = harness.context;
        // Each of two engines has 10,000 tokens; 9,300 of them are in use.
        const running = [1, 2].map(() => decodeScheduler.allocate(generationOf(sizeOf(9_200), {}, 0)));
        await harness.clock.advance(50);
        expect((await Promise.all(running)).every(({ isOk }) => isOk)).toBe(true);
        const order: string[] = [];
        const small = { promptTokens: 500, maxOutputTokens: 100, outputHintTokens: 100 };
        const all = [["less", 2], ["more", 0]].map(async ([name, priority]) => {
            const allocation = await decodeScheduler.allocate(generationOf(small, {}, Number(priority)));
            order.push(`${name}: ${allocation.isOk ? "placed" : "refused"}`);
        });
        await harness.clock.advance(2_000);
        await Promise.all(all);
        expect(order).toEqual(["more: placed", "less: refused"]);
    });

    it("a less urgent request that needs a whole engine gets an idle one", async () => {
        const harness = harnessWith(() => true);
        const { decodeScheduler } = harness.context;
        const urgent = decodeScheduler.allocate(generationOf(smallSize, {}, 0));
        await harness.clock.advance(50);
        expect((await urgent).isOk).toBe(true);
        const whole = decodeScheduler.allocate(generationOf(sizeOf(9_800), {}, 9));
        await harness.clock.advance(2_000);
        expect((await whole).isOk).toBe(true);
    });
});

describe("placement", () => {
    const work = { requests: 0, kvTokens: 0, prefillTokens: 0 };
    const viewOf = (loads: Readonly<Record<string, Partial<typeof work>>>, entries = 4) => ({
        dataCentre: "a",
        entries: () => entries,
        workAt: (id: string) => ({ ...work, ...loads[id] }),
        isCold: () => false,
        prefillRateOf: () => prefillTokensPerMs,
        enginesFor: (service: string, stage: Stage) => [prefill, ...decode].filter(engine => engine.stage === stage),
        random: () => 0,
    });

    it("prefers free memory, then the entry's own data centre", () => {
        const engines = [engineRecord("far", "decode", { dataCentre: "b" }), engineRecord("near", "decode")];
        expect(rankForDecode(viewOf({}), engines, 10_000)[0]?.id).toBe("near");
        expect(rankForDecode(viewOf({ near: { kvTokens: 5_000 } }), engines, 10_000)[0]?.id).toBe("far");
    });

    const nearnessCases = [
        { name: "a near engine with a little less free memory", entries: 4, near: 500, chosen: "near" },
        { name: "a far engine with much more free memory", entries: 4, near: 1_000, chosen: "far" },
        { name: "a near engine where many entries see the same free engine", entries: 25, near: 4_500, chosen: "near" },
        { name: "a far engine where near room is short", entries: 25, near: 5_500, chosen: "far" },
        {
            name: "a far engine rather than a full one, however many entries",
            entries: 1_400,
            near: 9_000,
            chosen: "far",
        },
    ];

    it.each(nearnessCases)("decode: chooses $name", ({ entries, near, chosen }) => {
        const engines = [engineRecord("far", "decode", { dataCentre: "b" }), engineRecord("near", "decode")];
        const view = viewOf({ near: { kvTokens: near } }, entries);
        expect(rankForDecode(view, engines, 10_000)[0]?.id).toBe(chosen);
    });

    const prefillCases = [
        {
            name: "the engine near the decode engine, not near the entry",
            entries: 4,
            waiting: 0,
            chosen: "near-decode",
        },
        { name: "a far engine that starts sooner", entries: 4, waiting: 1_000, chosen: "near-entry" },
        {
            name: "the engine near the decode engine among many entries",
            entries: 25,
            waiting: 2_500,
            chosen: "near-decode",
        },
    ];

    it.each(prefillCases)("prefill: chooses $name", ({ entries, waiting, chosen }) => {
        const engines = [
            engineRecord("near-entry", "prefill", { dataCentre: "a" }),
            engineRecord("near-decode", "prefill", { dataCentre: "b" }),
        ];
        const view = viewOf({ "near-decode": { prefillTokens: waiting } }, entries);
        const decodeEngine = engineRecord("d", "decode", { dataCentre: "b" });
        expect(rankForPrefill(view, engines, decodeEngine)[0]?.id).toBe(chosen);
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
