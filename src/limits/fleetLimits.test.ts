/**
 * Rate, burst and retry budget over several entries. Whatever reports are lost between the entries, the limits are
 * exceeded by no more than the delay of peer synchronization explains, and requests within the rate are not refused.
 */

import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import { createFleetQuota } from "./fleetQuota.js";
import type { FleetQuota } from "./fleetQuota.js";
import { createFleetRetryBudget } from "./fleetRetryBudget.js";

const limits = { ratePerSecond: 1_000, burst: 1_000 };
const peerSyncIntervalMs = 400;
const stepMs = 20;
const requestCost = 50;
const runMs = 20_000;

interface FleetCase {
    readonly name: string;
    readonly entries: number;
    /** Offered load as a multiple of the rate. */
    readonly load: number;
    /** Whether a usage report that one entry sends to another at `atMs` is delivered. */
    readonly isDelivered: (from: number, to: number, atMs: number) => boolean;
    /** Largest fraction of the offered requests that may be refused. */
    readonly maxRefusedFraction: number;
}

const fullyConnected = (): boolean => true;
const cases: readonly FleetCase[] = [
    { name: "one entry at half the rate", entries: 1, load: 0.5, isDelivered: fullyConnected, maxRefusedFraction: 0 },
    {
        name: "four entries at 0.8 of the rate",
        entries: 4,
        load: 0.8,
        isDelivered: fullyConnected,
        maxRefusedFraction: 0,
    },
    {
        name: "four entries at 7 times the rate",
        entries: 4,
        load: 7,
        isDelivered: fullyConnected,
        maxRefusedFraction: 1,
    },
    {
        name: "four entries that receive no reports, at 7 times the rate",
        entries: 4,
        load: 7,
        isDelivered: () => false,
        maxRefusedFraction: 1,
    },
    {
        name: "one of four entries cut off for 8 s, at 7 times the rate",
        entries: 4,
        load: 7,
        isDelivered: (from, to, atMs) => (from !== 0 && to !== 0) || atMs < 4_000 || atMs > 12_000,
        maxRefusedFraction: 1,
    },
    {
        name: "two halves that receive no reports from each other, at 7 times the rate",
        entries: 4,
        load: 7,
        isDelivered: (from, to) => from % 2 === to % 2,
        maxRefusedFraction: 1,
    },
];

interface Run {
    readonly admittedAtMs: readonly number[];
    readonly refused: number;
    readonly offered: number;
}

async function runFleet({ entries, load, isDelivered }: FleetCase): Promise<Run> {
    const clock = createVirtualClock();
    const random = createRandom(11);
    const quotas: readonly FleetQuota[] = Array.from(
        { length: entries },
        () => createFleetQuota(clock, { burstTolerance: 0 }),
    );
    const admittedAtMs: number[] = [];
    let refused = 0;
    let offered = 0;
    for (let atMs = 0; atMs < runMs; atMs += stepMs) {
        if (atMs % peerSyncIntervalMs === 0) {
            quotas.forEach((quota, to) => {
                const reporting = quotas.filter((other, from) => from !== to && isDelivered(from, to, atMs));
                quota.setReportingFraction((reporting.length + 1) / entries);
                reporting.forEach(other => quota.applyReportedUsage(`start-${quotas.indexOf(other)}`, other.usage()));
            });
        }
        const arrivals = load * limits.ratePerSecond * stepMs / 1_000 / requestCost;
        for (let index = 0; index < Math.floor(arrivals + random()); index++) {
            offered += 1;
            const quota = quotas[Math.floor(random() * entries)];
            if (quota?.admit("account", limits, requestCost).kind === "admitted") {
                admittedAtMs.push(atMs);
            }
            else {
                refused += 1;
            }
        }
        await clock.advance(stepMs);
    }
    return { admittedAtMs, refused, offered };
}

const windowMs = 8_000;

function maxAdmittedInWindow(admittedAtMs: readonly number[]): number {
    return Math.max(
        ...admittedAtMs.map(startMs =>
            admittedAtMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length * requestCost
        ),
    );
}

describe("a quota over all entries", () => {
    it.each(cases)("$name", async fleet => {
        const { admittedAtMs, refused, offered } = await runFleet(fleet);
        const allowed = limits.ratePerSecond * windowMs / 1_000 + limits.burst;
        // All entries may admit everything until usage is reported in the next round.
        const overshoot = fleet.load * limits.ratePerSecond * peerSyncIntervalMs / 1_000;
        expect(maxAdmittedInWindow(admittedAtMs)).toBeLessThanOrEqual(allowed + overshoot);
        expect(refused).toBeLessThanOrEqual(fleet.maxRefusedFraction * offered);
        // The fleet must not refuse too much either: over the whole run it admits the offered load up to half the rate.
        const expectedCost = Math.min(fleet.load, 0.5) * limits.ratePerSecond * runMs / 1_000;
        expect(admittedAtMs.length * requestCost).toBeGreaterThanOrEqual(expectedCost * 0.95);
    });

    it("returns the cost of a refunded request once", () => {
        const clock = createVirtualClock();
        const quota = createFleetQuota(clock, { burstTolerance: 0 });
        const first = quota.admit("account", limits, 1_000);
        expect(quota.admit("account", limits, 1_000)).toEqual({
            kind: "refused",
            retryAfterMs: 1_000,
            state: { bucketLevel: 0, reportingFraction: 1 },
        });
        if (first.kind === "admitted") {
            first.refund();
            first.refund();
        }
        expect(quota.usage()).toEqual({ account: 0 });
        expect(quota.admit("account", limits, 1_000).kind).toBe("admitted");
    });

    it("does not charge an account for what an entry admitted before its first report", () => {
        const quota = createFleetQuota(createVirtualClock(), { burstTolerance: 0 });
        quota.admit("account", limits, 100);
        quota.applyReportedUsage("other", { account: 1_000_000 });
        expect(quota.admit("account", limits, 800).kind).toBe("admitted");
    });
});

describe("the retry budget of an entry", () => {
    const settings = { ratio: 0.2, slack: 40, windowMs: 10_000 };

    it("stays within its part of the whole budget for any number of entries", () => {
        for (const entries of [1, 4, 10]) {
            const budget = createFleetRetryBudget(createVirtualClock(), settings);
            budget.setEntryCount(entries);
            Array.from({ length: 100 }, () => budget.recordRequest("s"));
            const taken = Array.from({ length: 200 }, () => budget.take("s")).filter(Boolean).length;
            expect(taken).toBeLessThanOrEqual(0.2 * 100 + 40 / entries);
            expect(taken).toBeGreaterThan(0);
        }
    });

    it("forgets retries and requests after its window", async () => {
        const clock = createVirtualClock();
        const budget = createFleetRetryBudget(clock, settings);
        while (budget.take("s")) {
            // Uses up the budget.
        }
        await clock.advance(settings.windowMs + 1);
        expect(budget.take("s")).toBe(true);
    });
});
