/**
 * Tests of the simulated engine and of load policies on it: an engine keeps to its slots and its KV memory, a
 * simulation repeats exactly with the same seed, and the policy in force yields more good responses than each baseline
 * on the load patterns for which it was chosen.
 */

import { describe, expect, it } from "vitest";
import { requestTo } from "../fakes/forwardingHarness.js";
import { patternNames, patterns } from "../fakes/loadPatterns.js";
import { policies } from "../fakes/loadPolicies.js";
import { createSimulatedEngine } from "../fakes/simulatedEngine.js";
import type { SimulatedEngine, SimulatedEngineSpec } from "../fakes/simulatedEngine.js";
import { simulateFleet } from "../fakes/simulatedFleet.js";
import type { FleetMetrics } from "../fakes/simulatedFleet.js";
import { createVirtualClock } from "../fakes/virtualClock.js";
import type { VirtualClock } from "../fakes/virtualClock.js";
import type { EngineRequest, SendOptions } from "../src/engines/enginePort.js";

const engineSpec: SimulatedEngineSpec = {
    slots: 3,
    kvTokens: 10_000,
    decodeStepMs: 4,
    decodeStepMsPerRequest: 1,
    prefillTokensPerMs: 50,
    prefillChunkTokens: 2_000,
    tokensPerEvent: 10,
    prefillOverheadMs: 80,
    cacheLifetimeMs: 500,
};

function requestOf(promptTokens: number, outputTokens: number): EngineRequest {
    return requestTo("/stream/x", { body: Buffer.from(JSON.stringify({ promptTokens, outputTokens })) });
}

function optionsOf(signal: AbortSignal = new AbortController().signal): SendOptions {
    return { remainingMs: 10_000, signal };
}

interface ObservedRequest {
    firstAtMs: number | undefined;
    endAtMs: number | undefined;
    isRejected: boolean;
}

/** Sends a request and records when its first event and its end arrive. */
function sendAndObserve(
    engine: SimulatedEngine,
    clock: VirtualClock,
    request: EngineRequest,
    options = optionsOf(),
): ObservedRequest {
    const observed: ObservedRequest = { firstAtMs: undefined, endAtMs: undefined, isRejected: false };
    void engine.send(request, options).then(response => {
        if (response.isErr) {
            observed.isRejected = true;
            return;
        }
        observed.firstAtMs = clock.monotonicMs();
        response.value.body.on("end", () => (observed.endAtMs = clock.monotonicMs())).resume();
    });
    return observed;
}

describe("the simulated engine", () => {
    it("prefills the whole prompt first, then emits an event every few decode steps", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("m", "decode", engineSpec, clock, () => true);
        const observed = sendAndObserve(engine, clock, requestOf(5_000, 100));
        await clock.advance(2_000);
        // First event: 5,000 prompt tokens at 50 per millisecond, then one event.
        // End: ten events of ten steps of 4 ms each.
        expect(observed.firstAtMs).toBeGreaterThanOrEqual(100);
        expect(observed.firstAtMs).toBeLessThan(160);
        expect(observed.endAtMs).toBeGreaterThanOrEqual(460);
        expect(observed.endAtMs).toBeLessThan(520);
    });

    it("generates tokens more slowly the more requests run, and rejects requests beyond its capacity", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("m", "decode", engineSpec, clock, () => true);
        const running = [1, 2, 3].map(() => sendAndObserve(engine, clock, requestOf(1_000, 100)));
        const rejected = sendAndObserve(engine, clock, requestOf(9_000, 100));
        await clock.advance(3_000);
        expect(rejected.isRejected).toBe(true);
        expect(Math.max(...running.map(({ endAtMs }) => endAtMs ?? Number.POSITIVE_INFINITY))).toBeGreaterThan(600);
    });

    it("sets aside the capacity of a reservation, and frees it when the reservation expires unused", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("m", "decode", engineSpec, clock, () => true);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
        expect(engine.reserve(8_000, 300).isOk).toBe(false);
        await clock.advance(400);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
    });

    it("preempts the newest request when KV memory runs out, and still completes every request", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("m", "decode", engineSpec, clock, () => true);
        const both = [1, 2].map(() => sendAndObserve(engine, clock, requestOf(4_500, 1_000)));
        await clock.advance(30_000);
        expect(engine.stats().preempted).toBeGreaterThan(0);
        expect(both.every(({ endAtMs }) => endAtMs !== undefined)).toBe(true);
    });

    it("prefills prompts one after another, and drops a KV cache that is not fetched in time", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("p", "prefill", engineSpec, clock, () => true);
        const endedAtMs: number[] = [];
        for (const request of [requestOf(5_000, 1), requestOf(5_000, 1)]) {
            void engine.prefill(request).then(() => endedAtMs.push(clock.monotonicMs()));
        }
        await clock.advance(300);
        expect(endedAtMs).toEqual([180, 280]);
        await clock.advance(1_000);
        expect(engine.stats().unusedCacheTokens).toBe(10_000);
    });

    it("frees the memory of a request whose caller has disconnected", async () => {
        const clock = createVirtualClock();
        const engine = createSimulatedEngine("m", "decode", engineSpec, clock, () => true);
        const caller = new AbortController();
        const cancelled = sendAndObserve(engine, clock, requestOf(8_000, 1_000), optionsOf(caller.signal));
        await clock.advance(300);
        caller.abort();
        await clock.advance(100);
        expect(engine.reserve(8_000, 300).isOk).toBe(true);
        expect(cancelled.endAtMs).toBeUndefined();
    });
});

async function simulate(patternName: string, policyName: string, seed: number): Promise<FleetMetrics> {
    const pattern = patterns[patternName];
    const policy = policies[policyName];
    if (pattern === undefined || policy === undefined) {
        throw new Error(`unknown load pattern or policy: ${patternName}, ${policyName}`);
    }
    return simulateFleet(policy.divideEngines(pattern.fleet), pattern.arrivals(seed), policy.createScheduler, seed);
}

interface Comparison {
    readonly pattern: string;
    readonly baseline: string;
}

/** Load patterns for which the policy in force was chosen, each with a baseline that yields fewer good responses. */
const comparisons: readonly Comparison[] = [
    { pattern: "steady", baseline: "atRandom" },
    { pattern: "burst", baseline: "waitsWhenLate" },
    { pattern: "overload", baseline: "waitsWhenLate" },
    { pattern: "overload", baseline: "inTurn" },
    { pattern: "hotAccount", baseline: "waitsWhenLate" },
    { pattern: "burst", baseline: "onePrefillEngine" },
    { pattern: "burst", baseline: "threePrefillEngines" },
];

describe("load policies in the simulation", () => {
    it.each(patternNames)("%s: the same seed gives the same measurements", async pattern => {
        expect(await simulate(pattern, "inForce", 1)).toEqual(await simulate(pattern, "inForce", 1));
    });

    it.each(comparisons)(
        "$pattern: more responses meet their latency objectives than with $baseline",
        async ({ pattern, baseline }) => {
            const seeds = [1, 2, 3, 4];
            const meanGoodFraction = async (policy: string): Promise<number> => {
                const runs: FleetMetrics[] = [];
                for (const seed of seeds) {
                    runs.push(await simulate(pattern, policy, seed));
                }
                return runs.reduce((sum, run) => sum + run.goodFraction, 0) / seeds.length;
            };
            expect(await meanGoodFraction("inForce")).toBeGreaterThan(await meanGoodFraction(baseline));
        },
    );

    it.each(["mixedPriorities", "mostlyUrgent"])(
        "%s: the more urgent, the less is refused; none starves",
        async pattern => {
            const runs: FleetMetrics[] = [];
            for (const seed of [1, 2, 3, 4]) {
                runs.push(await simulate(pattern, "inForce", seed));
            }
            const refusedOf = (priority: number): number =>
                runs.reduce(
                    (sum, run) => sum + (run.byPriority.find(item => item.priority === priority)?.refusedFraction ?? 0),
                    0,
                ) / runs.length;
            const servedOfAll = 1 - runs.reduce((sum, run) => sum + run.refusedFraction, 0) / runs.length;
            const refused = (runs[0]?.byPriority ?? []).map(({ priority }) => refusedOf(priority));
            expect(refused.length).toBeGreaterThan(1);
            refused.slice(1).forEach((lessUrgent, index) => {
                expect(lessUrgent).toBeGreaterThan((refused[index] ?? 0) - 0.05);
            });
            expect(refused.at(-1)).toBeGreaterThan(refused[0] ?? 1);
            expect(1 - Math.max(...refused)).toBeGreaterThan(servedOfAll / 4);
        },
    );
});
