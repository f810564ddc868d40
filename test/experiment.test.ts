/**
 * The model of engines keeps its limits, runs repeat by their seed, and the policy in force answers the patterns of load
 * that it was chosen for.
 */

import { describe, expect, it } from "vitest";
import { requestTo } from "../fakes/forwardingRig.js";
import { patternNames, patterns } from "../fakes/loadPatterns.js";
import { policies } from "../fakes/loadPolicies.js";
import { createModelEngine } from "../fakes/modelEngine.js";
import type { ModelEngine, ModelEngineShape } from "../fakes/modelEngine.js";
import { playFleet } from "../fakes/modelFleet.js";
import type { FleetMeasures } from "../fakes/modelFleet.js";
import { createVirtualClock } from "../fakes/virtualClock.js";
import type { VirtualClock } from "../fakes/virtualClock.js";
import type { EngineRequest, SendOptions } from "../src/engines/enginePort.js";

const shape: ModelEngineShape = {
    slots: 3,
    kvTokens: 10_000,
    stepMs: 4,
    stepMsPerRequest: 1,
    readTokensPerMs: 50,
    pieceTokens: 2_000,
    tokensPerEvent: 10,
    prefillSetUpMs: 80,
    cacheLifeMs: 500,
};

function requestOf(promptTokens: number, outputTokens: number): EngineRequest {
    return requestTo("/stream/x", { body: Buffer.from(JSON.stringify({ promptTokens, outputTokens })) });
}

function optionsOf(signal: AbortSignal = new AbortController().signal): SendOptions {
    return { remainingMs: 10_000, signal };
}

interface Watched {
    firstAtMs: number | undefined;
    endAtMs: number | undefined;
    isRejected: boolean;
}

/** Sends a request and notes when its first event and its end come. */
function watch(engine: ModelEngine, clock: VirtualClock, request: EngineRequest, options = optionsOf()): Watched {
    const watched: Watched = { firstAtMs: undefined, endAtMs: undefined, isRejected: false };
    void engine.send(request, options).then(answer => {
        if (answer.isErr) {
            watched.isRejected = true;
            return;
        }
        watched.firstAtMs = clock.monotonicMs();
        answer.value.body.on("end", () => (watched.endAtMs = clock.monotonicMs())).resume();
    });
    return watched;
}

describe("the model of an engine", () => {
    it("reads the prompt first, then makes an event every few steps", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("m", "decode", shape, clock, () => true);
        const one = watch(engine, clock, requestOf(5_000, 100));
        await clock.advance(2_000);
        // 5,000 tokens at 50 a millisecond and one event; ten events of ten steps of 4 ms.
        expect(one.firstAtMs).toBeGreaterThanOrEqual(100);
        expect(one.firstAtMs).toBeLessThan(160);
        expect(one.endAtMs).toBeGreaterThanOrEqual(460);
        expect(one.endAtMs).toBeLessThan(520);
    });

    it("makes each token more slowly the more requests run, and rejects what finds no room", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("m", "decode", shape, clock, () => true);
        const running = [1, 2, 3].map(() => watch(engine, clock, requestOf(1_000, 100)));
        const rejected = watch(engine, clock, requestOf(9_000, 100));
        await clock.advance(3_000);
        expect(rejected.isRejected).toBe(true);
        expect(Math.max(...running.map(({ endAtMs }) => endAtMs ?? Number.POSITIVE_INFINITY))).toBeGreaterThan(600);
    });

    it("keeps a reservation for its request, and frees it when it is not used", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("m", "decode", shape, clock, () => true);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
        expect(engine.reserve(8_000, 300).isOk).toBe(false);
        await clock.advance(400);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
    });

    it("stops the newest request when memory runs out, and ends all of them all the same", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("m", "decode", shape, clock, () => true);
        const both = [1, 2].map(() => watch(engine, clock, requestOf(4_500, 1_000)));
        await clock.advance(30_000);
        expect(engine.figures().preempted).toBeGreaterThan(0);
        expect(both.every(({ endAtMs }) => endAtMs !== undefined)).toBe(true);
    });

    it("reads prompts one after the other, and drops a cache that nobody takes", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("p", "prefill", shape, clock, () => true);
        const endedAtMs: number[] = [];
        for (const request of [requestOf(5_000, 1), requestOf(5_000, 1)]) {
            void engine.prefill(request).then(() => endedAtMs.push(clock.monotonicMs()));
        }
        await clock.advance(300);
        expect(endedAtMs).toEqual([180, 280]);
        await clock.advance(1_000);
        expect(engine.figures().unusedCacheTokens).toBe(10_000);
    });

    it("stops working for a caller that has gone", async () => {
        const clock = createVirtualClock();
        const engine = createModelEngine("m", "decode", shape, clock, () => true);
        const caller = new AbortController();
        const gone = watch(engine, clock, requestOf(8_000, 1_000), optionsOf(caller.signal));
        await clock.advance(300);
        caller.abort();
        await clock.advance(100);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
        expect(gone.endAtMs).toBeUndefined();
    });
});

async function play(patternName: string, policyName: string, seed: number): Promise<FleetMeasures> {
    const pattern = patterns[patternName];
    const policy = policies[policyName];
    if (pattern === undefined || policy === undefined) {
        throw new Error(`no such pattern or policy: ${patternName}, ${policyName}`);
    }
    return playFleet(policy.shapeOf(pattern.shape), pattern.arrivals(seed), policy.createPlaces, seed);
}

interface Comparison {
    readonly pattern: string;
    readonly baseline: string;
}

/** What the policy in force was chosen for: each pattern with the baseline that answers it worse. */
const comparisons: readonly Comparison[] = [
    { pattern: "steady", baseline: "atRandom" },
    { pattern: "burst", baseline: "waitsWhenLate" },
    { pattern: "overload", baseline: "waitsWhenLate" },
    { pattern: "overload", baseline: "inTurn" },
    { pattern: "hotAccount", baseline: "waitsWhenLate" },
    { pattern: "burst", baseline: "onePrefillEngine" },
    { pattern: "burst", baseline: "threePrefillEngines" },
];

describe("load policies on the model", () => {
    it.each(patternNames)("%s: the same seed gives the same figures", async pattern => {
        expect(await play(pattern, "inForce", 1)).toEqual(await play(pattern, "inForce", 1));
    });

    it.each(comparisons)("$pattern: more answers are good than with $baseline", async ({ pattern, baseline }) => {
        const seeds = [1, 2, 3, 4];
        const goodPart = async (policy: string): Promise<number> => {
            const runs: FleetMeasures[] = [];
            for (const seed of seeds) {
                runs.push(await play(pattern, policy, seed));
            }
            return runs.reduce((sum, run) => sum + run.goodPart, 0) / seeds.length;
        };
        expect(await goodPart("inForce")).toBeGreaterThan(await goodPart(baseline));
    });
});
