/**
 * Differential test of the rate limiter: several holders on a virtual clock against one token bucket for the whole
 * account. Under any combination of faults, the fleet admits no request that this single bucket would have refused.
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { fleetAccount, startLimitsFleet } from "../../fakes/limitsFleet.js";
import type { LimitsFleet, LimitsFleetOptions } from "../../fakes/limitsFleet.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { BucketLimits } from "./bucket.js";

interface LimitsChange {
    readonly atMs: number;
    readonly limits: BucketLimits;
}

const seed = 20_261_204;
const tolerance = 1e-6;
const fleetOptions: LimitsFleetOptions = {
    holders: 3,
    limits: { ratePerSecond: 20, burstRequests: 12 },
    leaseMs: 12_000,
    marginMs: 2_000,
    renewMs: 4_000,
    rebalanceMs: 2_000,
    seed,
};

/** Replays all admissions against a single bucket; returns the time of the first that it would refuse. */
function firstExcess(admittedAtMs: readonly number[], limits: BucketLimits): number | undefined {
    let tokens = limits.burstRequests;
    let nowMs = 0;
    for (const atMs of admittedAtMs) {
        tokens = Math.min(limits.burstRequests, tokens + (atMs - nowMs) * limits.ratePerSecond / 1_000) - 1;
        nowMs = atMs;
        if (tokens < -tolerance) {
            return atMs;
        }
    }
    return undefined;
}

interface Excess {
    readonly fromMs: number;
    readonly toMs: number;
    readonly admitted: number;
}

/**
 * Returns the first window in which more was admitted than allowed: the largest burst in force in the window, plus the
 * refill at the rates in force.
 */
function firstExcessWindow(admittedAtMs: readonly number[], changes: readonly LimitsChange[]): Excess | undefined {
    for (let last = 0; last < admittedAtMs.length; last++) {
        for (let first = last; first >= 0; first--) {
            const fromMs = admittedAtMs[first] as number;
            const toMs = admittedAtMs[last] as number;
            const admitted = last - first + 1;
            if (admitted > allowedIn(fromMs, toMs, changes) + tolerance) {
                return { fromMs, toMs, admitted };
            }
        }
    }
    return undefined;
}

function allowedIn(fromMs: number, toMs: number, changes: readonly LimitsChange[]): number {
    let tokens = 0;
    let burst = 0;
    changes.forEach(({ atMs, limits }, index) => {
        const startMs = Math.max(fromMs, atMs);
        const endMs = Math.min(toMs, changes[index + 1]?.atMs ?? Number.POSITIVE_INFINITY);
        if (startMs <= endMs) {
            tokens += (endMs - startMs) * limits.ratePerSecond / 1_000;
            burst = Math.max(burst, limits.burstRequests);
        }
    });
    return tokens + burst;
}

type Step =
    | { readonly kind: "arrivals"; readonly holder: number; readonly count: number; }
    | { readonly kind: "pause" | "resume" | "restart" | "release"; readonly holder: number; }
    | { readonly kind: "store"; readonly fault: "down" | "losesResponses" | "none"; }
    | { readonly kind: "borrow"; readonly fault: "loseRequests" | "loseResponses" | "duplicate" | "delay" | "none"; }
    | { readonly kind: "limits"; readonly limits: BucketLimits; }
    | { readonly kind: "wait"; readonly durationMs: number; };

const holderIndex = fc.integer({ min: 0, max: fleetOptions.holders - 1 });

const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("arrivals" as const),
            holder: holderIndex,
            count: fc.integer({ min: 1, max: 25 }),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constantFrom("pause" as const, "resume" as const, "restart" as const, "release" as const),
            holder: holderIndex,
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("store" as const),
            fault: fc.constantFrom("down" as const, "losesResponses" as const, "none" as const),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("borrow" as const),
            fault: fc.constantFrom(
                "loseRequests" as const,
                "loseResponses" as const,
                "duplicate" as const,
                "delay" as const,
                "none" as const,
            ),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("limits" as const),
            limits: fc.record({
                ratePerSecond: fc.integer({ min: 1, max: 60 }),
                burstRequests: fc.integer({ min: 1, max: 30 }),
            }),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("wait" as const),
            durationMs: fc.oneof(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 1_000, max: 20_000 })),
        }),
    },
);

async function runStep(clock: VirtualClock, fleet: LimitsFleet, changes: LimitsChange[], current: Step): Promise<void> {
    switch (current.kind) {
        case "arrivals":
            Array.from({ length: current.count }, () => void fleet.handleRequest(current.holder));
            await clock.advance(5);
            return;
        case "pause":
            fleet.holder(current.holder).gate.pause();
            return;
        case "resume":
            fleet.holder(current.holder).gate.resume();
            return;
        case "restart":
            fleet.kill(current.holder);
            void fleet.start(current.holder);
            await clock.advance(20);
            return;
        case "release":
            void fleet.holder(current.holder).rateLimiter.releaseAll();
            await clock.advance(20);
            return;
        case "store":
            fleet.faults.storeDown = current.fault === "down";
            fleet.faults.storeLosesResponses = current.fault === "losesResponses";
            return;
        case "borrow":
            fleet.faults.loseBorrowRequests = current.fault === "loseRequests";
            fleet.faults.loseBorrowResponses = current.fault === "loseResponses";
            fleet.faults.duplicateBorrows = current.fault === "duplicate";
            fleet.faults.borrowDelayMs = current.fault === "delay" ? 700 : 1;
            return;
        case "limits":
            changes.push({ atMs: clock.monotonicMs(), limits: current.limits });
            fleet.setLimits(current.limits);
            return;
        case "wait":
            await clock.advance(current.durationMs);
    }
}

interface Scenario {
    readonly name: string;
    readonly limits?: BucketLimits;
    readonly run: (clock: VirtualClock, fleet: LimitsFleet) => Promise<void>;
}

/** Sends `count` requests to a holder at once. */
function burstAt(fleet: LimitsFleet, holder: number, count = fleetOptions.limits.burstRequests): void {
    Array.from({ length: count }, () => void fleet.handleRequest(holder));
}

/** Sends a request to a holder every 500 ms. */
async function sendSteadily(
    clock: VirtualClock,
    fleet: LimitsFleet,
    holder: number,
    durationMs: number,
): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
        void fleet.handleRequest(holder);
        await clock.advance(500);
    }
}

/** Makes a holder take all units, by sending more requests than its equal part covers, and lets its bucket refill. */
async function takeAllUnits(clock: VirtualClock, fleet: LimitsFleet, holder: number, fillMs: number): Promise<void> {
    burstAt(fleet, holder, 40);
    await clock.advance(fillMs);
}

const pastLeaseMs = 3 * (fleetOptions.leaseMs + fleetOptions.marginMs);

const scenarios: readonly Scenario[] = [
    {
        name: "a holder is paused past its lease, another takes its share, and it resumes with requests waiting",
        run: async (clock, fleet) => {
            await takeAllUnits(clock, fleet, 0, 1_000);
            fleet.holder(0).gate.pause();
            await sendSteadily(clock, fleet, 1, pastLeaseMs);
            await clock.advance(5_000);
            burstAt(fleet, 0);
            burstAt(fleet, 1);
            fleet.holder(0).gate.resume();
            await clock.advance(10);
        },
    },
    {
        name: "a holder that lost its share is asked for tokens by a holder that does not know of the loss",
        run: async (clock, fleet) => {
            await sendSteadily(clock, fleet, 0, 1_000);
            await sendSteadily(clock, fleet, 2, 500);
            fleet.holder(0).gate.pause();
            await sendSteadily(clock, fleet, 1, pastLeaseMs);
            await clock.advance(5_000);
            fleet.faults.storeDown = true;
            fleet.holder(0).gate.resume();
            burstAt(fleet, 1);
            burstAt(fleet, 2);
            await clock.advance(100);
        },
    },
    {
        name: "a borrower is paused with borrowed tokens while the lender refills",
        run: async (clock, fleet) => {
            await takeAllUnits(clock, fleet, 0, 1_000);
            fleet.faults.borrowDelayMs = 100;
            void fleet.handleRequest(1);
            // By now the lender has debited the tokens and its response is in flight.
            await clock.advance(150);
            fleet.holder(1).gate.pause();
            await clock.advance(700);
            void fleet.handleRequest(0);
            await clock.advance(100);
            fleet.holder(1).gate.resume();
            burstAt(fleet, 0);
            await clock.advance(10);
        },
    },
    {
        name: "borrowed tokens are spent at the instant at which the lender has refilled",
        limits: { ratePerSecond: 1_000, burstRequests: 4 },
        run: async (clock, fleet) => {
            await sendSteadily(clock, fleet, 0, 1_000);
            fleet.faults.borrowDelayMs = 200;
            void fleet.handleRequest(1);
            void fleet.handleRequest(1);
            // The lender debits the tokens 200 ms after the request; they arrive at the borrower after 400 ms.
            await clock.advance(385);
            await clock.advance(20);
            burstAt(fleet, 0, 4);
            await clock.advance(10);
        },
    },
    {
        name: "a share is divided while tokens lent from it are in flight",
        limits: { ratePerSecond: 200, burstRequests: 8 },
        run: async (clock, fleet) => {
            await takeAllUnits(clock, fleet, 0, 1_750);
            fleet.faults.borrowDelayMs = 100;
            burstAt(fleet, 1, 6);
            await clock.advance(150);
            fleet.holder(1).gate.pause();
            // The lender rebalances in this interval, and a third holder takes the units that it returns.
            await clock.advance(80);
            void fleet.handleRequest(2);
            await clock.advance(60);
            fleet.holder(1).gate.resume();
            burstAt(fleet, 0, 8);
            burstAt(fleet, 2, 8);
            await clock.advance(1);
        },
    },
    {
        name: "a share with a half-empty bucket is divided",
        limits: { ratePerSecond: 0.1, burstRequests: 12 },
        run: async (clock, fleet) => {
            burstAt(fleet, 0, 6);
            // The measured demand falls, so that the holder returns half of its share once it has lent tokens.
            await clock.advance(20_000);
            await sendSteadily(clock, fleet, 1, 500);
            await clock.advance(4_000);
            await sendSteadily(clock, fleet, 1, 6_000);
            burstAt(fleet, 0);
            burstAt(fleet, 1);
            await clock.advance(2_000);
        },
    },
    {
        name: "a holder is paused for less than its lease while another wants its share",
        run: async (clock, fleet) => {
            await takeAllUnits(clock, fleet, 0, 1_000);
            fleet.holder(0).gate.pause();
            // Calls to a paused process are lost; otherwise it would lend all its tokens as soon as it resumes.
            fleet.faults.loseBorrowRequests = true;
            await sendSteadily(clock, fleet, 1, 9_500);
            burstAt(fleet, 0);
            burstAt(fleet, 1);
            fleet.holder(0).gate.resume();
            await clock.advance(10);
        },
    },
    {
        name: "a share is returned while the responses of the store are lost, and other holders take it",
        run: async (clock, fleet) => {
            await sendSteadily(clock, fleet, 0, 500);
            fleet.faults.storeLosesResponses = true;
            void fleet.holder(0).rateLimiter.releaseAll();
            await clock.advance(100);
            fleet.faults.storeLosesResponses = false;
            burstAt(fleet, 0);
            burstAt(fleet, 1);
            burstAt(fleet, 2);
            await clock.advance(100);
        },
    },
];

describe("admission over all holders", () => {
    test.each(scenarios)("stays within the limits when $name", async ({ limits = fleetOptions.limits, run }) => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, { ...fleetOptions, limits });
        await run(clock, fleet);
        expect(fleet.admittedAtMs().length).toBeGreaterThan(0);
        expect(firstExcess(fleet.admittedAtMs(), limits)).toBeUndefined();
    });

    test("a holder whose lease has expired neither admits nor lends", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, { ...fleetOptions, renewMs: 60_000, leaseMs: 12_000 });
        await sendSteadily(clock, fleet, 0, 1_000);
        const { rateLimiter } = fleet.holder(0);
        expect(rateLimiter.lend(fleetAccount, 1).tokens).toBe(1);
        await clock.advance(12_000);
        expect(rateLimiter.lend(fleetAccount, 1).tokens).toBe(0);
        const late = fleet.handleRequest(0);
        await clock.advance(3_000);
        expect((await late).kind).toBe("refused");
    });

    test("a holder paused between admission and dispatch does not dispatch a stale burst", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        burstAt(fleet, 0, 40);
        await clock.advance(3_000);
        burstAt(fleet, 0);
        fleet.holder(0).gate.pause();
        await clock.advance(5_000);
        burstAt(fleet, 0);
        const resumedAtMs = clock.monotonicMs();
        fleet.holder(0).gate.resume();
        await clock.advance(1);
        const dispatched = fleet.dispatchedAtMs().filter(atMs => atMs >= resumedAtMs);
        expect(dispatched.length).toBe(fleetOptions.limits.burstRequests);
    });

    test("never exceeds rate and burst under random faults", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 60 }), async steps => {
                const clock = createVirtualClock();
                const fleet = await startLimitsFleet(clock, fleetOptions);
                const changes: LimitsChange[] = [{ atMs: 0, limits: fleetOptions.limits }];
                for (const current of steps) {
                    await runStep(clock, fleet, changes, current);
                }
                await clock.advance(2_000);
                expect(firstExcessWindow(fleet.admittedAtMs(), changes)).toBeUndefined();
            }),
            { seed, numRuns: 600 },
        );
    });

    test("the oracles detect a single excess admission", () => {
        const burst = Array.from({ length: fleetOptions.limits.burstRequests }, () => 0);
        const changes = [{ atMs: 0, limits: fleetOptions.limits }];
        expect(firstExcess([...burst, 50], fleetOptions.limits)).toBeUndefined();
        expect(firstExcess([...burst, 49], fleetOptions.limits)).toBe(49);
        expect(firstExcessWindow([...burst, 50], changes)).toBeUndefined();
        expect(firstExcessWindow([...burst, 49], changes)).toEqual({ fromMs: 0, toMs: 49, admitted: 13 });
    });

    test("a removed account is refused by every holder and gets no new burst when it is added again", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        burstAt(fleet, 0, 20);
        burstAt(fleet, 1, 20);
        await clock.advance(1_000);
        fleet.setLimits(undefined);
        const refused = await Promise.all([0, 1, 2].map(holder => fleet.handleRequest(holder)));
        expect(refused.map(decision => decision.kind === "refused" && decision.refusal.kind))
            .toEqual(["unknownAccount", "unknownAccount", "unknownAccount"]);
        await clock.advance(100);
        fleet.setLimits(fleetOptions.limits);
        [0, 1, 2].forEach(holder => burstAt(fleet, holder, 20));
        await clock.advance(1_000);
        expect(firstExcess(fleet.admittedAtMs(), fleetOptions.limits)).toBeUndefined();
    });

    test("units of a dead holder bring no tokens after the burst was lowered", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        const lowered = { ratePerSecond: 1, burstRequests: 2 };
        void fleet.handleRequest(0);
        await clock.advance(5);
        fleet.setLimits(lowered);
        await clock.advance(19);
        fleet.kill(0);
        void fleet.start(0);
        await clock.advance(20);
        burstAt(fleet, 1, 4);
        await clock.advance(100);
        expect(firstExcess(fleet.admittedAtMs(), lowered)).toBeUndefined();
    });

    test("a whole burst is admitted at one holder of a new account", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        const decisions = Array.from({ length: 30 }, () => fleet.handleRequest(0));
        await clock.advance(5_000);
        const admitted = (await Promise.all(decisions)).filter(decision => decision.kind === "admitted");
        expect(admitted.length).toBeGreaterThanOrEqual(fleetOptions.limits.burstRequests);
    });

    test("a refused request is admitted when retried after retryAfterMs", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, {
            ...fleetOptions,
            limits: { ratePerSecond: 2, burstRequests: 2 },
        });
        const decisions = Array.from({ length: 6 }, () => fleet.handleRequest(0));
        await clock.advance(3_000);
        const refused = (await Promise.all(decisions)).filter(decision => decision.kind === "refused");
        expect(refused.length).toBeGreaterThan(0);
        const retryAfterMs = refused[0]?.kind === "refused" ? refused[0].refusal.retryAfterMs : 0;
        expect(retryAfterMs).toBeGreaterThan(0);
        expect(retryAfterMs).toBeLessThanOrEqual(500);
        await clock.advance(retryAfterMs);
        const again = fleet.handleRequest(0);
        await clock.advance(100);
        expect((await again).kind).toBe("admitted");
    });

    const outageCases = [
        { name: "the store is down", fault: (fleet: LimitsFleet) => (fleet.faults.storeDown = true) },
        {
            name: "the responses of the store are lost",
            fault: (fleet: LimitsFleet) => (fleet.faults.storeLosesResponses = true),
        },
    ] as const;

    test.each(outageCases)("holders continue to admit while $name", async ({ fault }) => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, { ...fleetOptions, leaseMs: 900_000 });
        void fleet.handleRequest(0);
        await clock.advance(1_000);
        fault(fleet);
        const decisions: Promise<{ readonly kind: string; }>[] = [];
        for (let second = 0; second < 20; second++) {
            decisions.push(fleet.handleRequest(second % fleetOptions.holders));
            await clock.advance(1_000);
        }
        const kinds = (await Promise.all(decisions)).map(decision => decision.kind);
        expect(kinds.filter(kind => kind === "refused")).toEqual([]);
    });

    test("the share of a dead holder is used by others once its lease has expired", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        void fleet.handleRequest(0);
        await clock.advance(1_000);
        fleet.kill(0);
        const untilReclaimedMs = 2 * (fleetOptions.leaseMs + fleetOptions.marginMs);
        for (let waitedMs = 0; waitedMs < untilReclaimedMs; waitedMs += 1_000) {
            void fleet.handleRequest(1);
            await clock.advance(1_000);
        }
        const later = fleet.handleRequest(1);
        await clock.advance(1_000);
        expect((await later).kind).toBe("admitted");
    });

    test("a holder that restarts on the same address gets its share back at once", async () => {
        const clock = createVirtualClock();
        const fleet = await startLimitsFleet(clock, fleetOptions);
        void fleet.handleRequest(0);
        await clock.advance(1_000);
        fleet.kill(0);
        void fleet.start(0);
        await clock.advance(100);
        void fleet.handleRequest(0);
        await clock.advance(1_000);
        const later = fleet.handleRequest(0);
        await clock.advance(1_000);
        expect((await later).kind).toBe("admitted");
    });
});
