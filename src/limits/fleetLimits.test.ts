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
const reportEarly = (): void => undefined;
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
        () => createFleetQuota(clock, { burstTolerance: 0, limitsOf: () => limits, reportEarly }),
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
        const quota = createFleetQuota(clock, { burstTolerance: 0, limitsOf: () => limits, reportEarly });
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

    it("counts what others admit before this entry has admitted anything for the account", () => {
        const quota = createFleetQuota(createVirtualClock(), {
            burstTolerance: 0,
            limitsOf: () => limits,
            reportEarly,
        });
        quota.applyReportedUsage("other", {});
        quota.applyReportedUsage("other", { account: 900 });
        quota.applyEarlyReport("other", "account", 1_000);
        expect(quota.admit("account", limits, 100).kind).toBe("refused");
    });

    it("ignores an early report that arrives late, and one of an entry that is not known yet", () => {
        const quota = createFleetQuota(createVirtualClock(), {
            burstTolerance: 0,
            limitsOf: () => limits,
            reportEarly,
        });
        quota.applyEarlyReport("unknown", "account", 1_000);
        quota.applyReportedUsage("other", {});
        quota.applyReportedUsage("other", { account: 900 });
        quota.applyEarlyReport("other", "account", 500);
        expect(quota.admit("account", limits, 200).kind).toBe("refused");
        expect(quota.admit("account", limits, 100).kind).toBe("admitted");
    });

    it("does not charge an account for what an entry admitted before its first report", () => {
        const quota = createFleetQuota(createVirtualClock(), {
            burstTolerance: 0,
            limitsOf: () => limits,
            reportEarly,
        });
        quota.admit("account", limits, 100);
        quota.applyReportedUsage("other", { account: 1_000_000 });
        expect(quota.admit("account", limits, 800).kind).toBe("admitted");
    });
});

/** Requests of the crgsa-grind deployments: bookings of 200 tokens, streams of up to 17,000 against a burst of 23,800. */
const tokenLimits = { ratePerSecond: 23_800, burst: 23_800 };
const tolerance = 36_000;
/** The platform's allowance in a window: a tenth more than rate and burst, and its slack. */
const allowedInWindow = (tokenLimits.ratePerSecond * windowMs / 1_000 + tokenLimits.burst) * 1.1 + 72_000;
const reportDelayMs = 5;
/** A fleet of entries may refuse this much more cost than a single bucket would. */
const extraRefusalFraction = 0.1;

interface TokenRequest {
    readonly atMs: number;
    readonly entry: number;
    readonly cost: number;
}

/** Random arrivals at `load` times the rate on average, with a burst of twice that in the middle. */
function tokenRequests(entries: number, load: number, seed: number): readonly TokenRequest[] {
    const random = createRandom(seed);
    const requests: TokenRequest[] = [];
    const meanCost = 0.85 * 200 + 0.15 * 12_600;
    let atMs = 0;
    while (atMs < runMs) {
        const burst = atMs > runMs / 2 && atMs < runMs / 2 + 4_000 ? 2 : 1;
        const perMs = burst * load * tokenLimits.ratePerSecond / meanCost / 1_000;
        atMs += -Math.log(1 - random()) / perMs;
        const cost = random() < 0.85 ? 200 : 8_200 + Math.floor(random() * 8_800);
        requests.push({ atMs: Math.ceil(atMs), entry: Math.floor(random() * entries), cost });
    }
    return requests;
}

interface TokenRun {
    readonly refusedCost: number;
    readonly refusedSmall: number;
    readonly maxInWindow: number;
}

async function runTokens(
    entries: number,
    requests: readonly TokenRequest[],
): Promise<TokenRun> {
    const clock = createVirtualClock();
    const quotas: FleetQuota[] = Array.from({ length: entries }, (unused, from) =>
        createFleetQuota(clock, {
            burstTolerance: tolerance,
            limitsOf: () => tokenLimits,
            reportEarly: (account, admittedCost) => {
                void clock.sleep(reportDelayMs).then(() =>
                    quotas.forEach((quota, to) => {
                        if (to !== from) {
                            quota.applyEarlyReport(`start-${from}`, account, admittedCost);
                        }
                    })
                );
            },
        }));
    const admitted: TokenRequest[] = [];
    let refusedCost = 0;
    let refusedSmall = 0;
    let nextRoundMs = 0;
    for (const request of requests) {
        while (nextRoundMs <= request.atMs) {
            await clock.advance(nextRoundMs - clock.monotonicMs());
            quotas.forEach((quota, to) =>
                quotas.forEach((other, from) => from !== to && quota.applyReportedUsage(`start-${from}`, other.usage()))
            );
            nextRoundMs += peerSyncIntervalMs;
        }
        if (request.atMs > clock.monotonicMs()) {
            await clock.advance(request.atMs - clock.monotonicMs());
        }
        if (quotas[request.entry]?.admit("account", tokenLimits, request.cost).kind === "admitted") {
            admitted.push(request);
        }
        else {
            refusedCost += request.cost;
            refusedSmall += request.cost === 200 ? 1 : 0;
        }
    }
    const maxInWindow = Math.max(
        ...admitted.map(({ atMs: startMs }) =>
            admitted.filter(({ atMs }) => atMs >= startMs && atMs < startMs + windowMs)
                .reduce((sum, { cost }) => sum + cost, 0)
        ),
    );
    return { refusedCost, refusedSmall, maxInWindow };
}

const seeds = [1, 2, 3];

describe("a quota in tokens, compared with a single bucket", () => {
    it.each([4, 11, 27])(
        "%d entries refuse at most a tenth more, and few bookings for the sake of streams",
        async entries => {
            let single = 0;
            let fleet = 0;
            let refusedSmall = 0;
            for (const seed of seeds) {
                const requests = tokenRequests(entries, 0.95, seed);
                single += (await runTokens(1, requests.map(request => ({ ...request, entry: 0 })))).refusedCost;
                const run = await runTokens(entries, requests);
                fleet += run.refusedCost;
                refusedSmall += run.refusedSmall;
                expect(run.maxInWindow).toBeLessThanOrEqual(allowedInWindow);
            }
            expect(fleet).toBeLessThanOrEqual(single * (1 + extraRefusalFraction));
            expect(refusedSmall).toBeLessThanOrEqual(seeds.length);
        },
    );

    it.each([4, 11, 27])("%d entries stay within the platform's allowance at seven times the rate", async entries => {
        for (const seed of seeds) {
            const { maxInWindow } = await runTokens(entries, tokenRequests(entries, 7, seed));
            expect(maxInWindow).toBeLessThanOrEqual(allowedInWindow);
        }
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
