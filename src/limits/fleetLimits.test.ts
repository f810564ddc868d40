/**
 * Rate, burst and retry budget over several entries: never exceeded beyond what the exchange's delay explains, whatever
 * entries fail to hear, and nobody refused inside the rate.
 */

import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import { createFleetQuota } from "./fleetQuota.js";
import type { FleetQuota } from "./fleetQuota.js";
import { createFleetRetryBudget } from "./fleetRetryBudget.js";

const limits = { ratePerSecond: 1_000, burst: 1_000 };
const exchangeMs = 400;
const stepMs = 20;
const units = 50;
const runMs = 20_000;

interface FleetCase {
    readonly name: string;
    readonly entries: number;
    /** Offered load as a multiple of the rate. */
    readonly load: number;
    /** Whether two entries hear each other at a moment. */
    readonly hears: (from: number, to: number, atMs: number) => boolean;
    /** Largest part of what is offered within the rate that may be refused. */
    readonly maxRefusedPart: number;
}

const together = (): boolean => true;
const cases: readonly FleetCase[] = [
    { name: "one entry at half the rate", entries: 1, load: 0.5, hears: together, maxRefusedPart: 0 },
    { name: "four entries at 0.8 of the rate", entries: 4, load: 0.8, hears: together, maxRefusedPart: 0 },
    { name: "four entries at 7 times the rate", entries: 4, load: 7, hears: together, maxRefusedPart: 1 },
    { name: "four entries that hear nobody, at 7 times", entries: 4, load: 7, hears: () => false, maxRefusedPart: 1 },
    {
        name: "one of four entries cut off for 8 s, at 7 times",
        entries: 4,
        load: 7,
        hears: (from, to, atMs) => (from !== 0 && to !== 0) || atMs < 4_000 || atMs > 12_000,
        maxRefusedPart: 1,
    },
    {
        name: "two halves that don't hear each other, at 7 times",
        entries: 4,
        load: 7,
        hears: (from, to) => from % 2 === to % 2,
        maxRefusedPart: 1,
    },
];

interface Run {
    readonly admittedAtMs: readonly number[];
    readonly refused: number;
    readonly offered: number;
}

async function play({ entries, load, hears }: FleetCase): Promise<Run> {
    const clock = createVirtualClock();
    const random = createRandom(11);
    const quotas: readonly FleetQuota[] = Array.from(
        { length: entries },
        () => createFleetQuota(clock, { leniency: 0 }),
    );
    const admittedAtMs: number[] = [];
    let refused = 0;
    let offered = 0;
    for (let atMs = 0; atMs < runMs; atMs += stepMs) {
        if (atMs % exchangeMs === 0) {
            quotas.forEach((quota, to) => {
                const heard = quotas.filter((other, from) => from !== to && hears(from, to, atMs));
                quota.setKnownShare((heard.length + 1) / entries);
                heard.forEach(other => quota.noteUsage(`start-${quotas.indexOf(other)}`, other.usage()));
            });
        }
        const arrivals = load * limits.ratePerSecond * stepMs / 1_000 / units;
        for (let index = 0; index < Math.floor(arrivals + random()); index++) {
            offered += 1;
            const quota = quotas[Math.floor(random() * entries)];
            if (quota?.admit("account", limits, units).kind === "admitted") {
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

function mostInWindow(admittedAtMs: readonly number[]): number {
    return Math.max(
        ...admittedAtMs.map(startMs =>
            admittedAtMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length * units
        ),
    );
}

describe("a quota over all entries", () => {
    it.each(cases)("$name", async fleet => {
        const { admittedAtMs, refused, offered } = await play(fleet);
        const allowed = limits.ratePerSecond * windowMs / 1_000 + limits.burst;
        // All entries may admit at full speed until they hear of each other.
        const overshoot = fleet.load * limits.ratePerSecond * exchangeMs / 1_000;
        expect(mostInWindow(admittedAtMs)).toBeLessThanOrEqual(allowed + overshoot);
        expect(refused).toBeLessThanOrEqual(fleet.maxRefusedPart * offered);
        // Nor does the fleet stand idle: in the long run it admits what is offered, up to half the rate at least.
        const wanted = Math.min(fleet.load, 0.5) * limits.ratePerSecond * runMs / 1_000;
        expect(admittedAtMs.length * units).toBeGreaterThanOrEqual(wanted * 0.95);
    });

    it("gives back what was refused later on", () => {
        const clock = createVirtualClock();
        const quota = createFleetQuota(clock, { leniency: 0 });
        const first = quota.admit("account", limits, 1_000);
        expect(quota.admit("account", limits, 1_000)).toEqual({ kind: "refused", retryAfterMs: 1_000 });
        if (first.kind === "admitted") {
            first.refund();
            first.refund();
        }
        expect(quota.usage()).toEqual({ account: 0 });
        expect(quota.admit("account", limits, 1_000).kind).toBe("admitted");
    });

    it("does not hold an entry's past against the account when it is first heard", () => {
        const quota = createFleetQuota(createVirtualClock(), { leniency: 0 });
        quota.admit("account", limits, 100);
        quota.noteUsage("other", { account: 1_000_000 });
        expect(quota.admit("account", limits, 800).kind).toBe("admitted");
    });
});

describe("the retry budget of an entry", () => {
    const settings = { ratio: 0.2, slack: 40, windowMs: 10_000 };

    it("stays inside its part of the whole for any number of entries", () => {
        for (const entries of [1, 4, 10]) {
            const budget = createFleetRetryBudget(createVirtualClock(), settings);
            budget.setEntries(entries);
            Array.from({ length: 100 }, () => budget.noteRequest("s"));
            const taken = Array.from({ length: 200 }, () => budget.take("s")).filter(Boolean).length;
            expect(taken).toBeLessThanOrEqual(0.2 * 100 + 40 / entries);
            expect(taken).toBeGreaterThan(0);
        }
    });

    it("forgets repeats and requests after its window", async () => {
        const clock = createVirtualClock();
        const budget = createFleetRetryBudget(clock, settings);
        while (budget.take("s")) {
            // Takes all there is.
        }
        await clock.advance(settings.windowMs + 1);
        expect(budget.take("s")).toBe(true);
    });
});
