/**
 * One run of the limits' measurement: the same arrivals through the shares, a naive bucket and two baselines.
 */

import { startLimitsFleet } from "../fakes/limitsFleet.js";
import { createVirtualClock } from "../fakes/virtualClock.js";
import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { BucketLimits } from "../src/limits/bucket.js";

export interface LimitsPattern {
    readonly name: string;
    /** Offered requests as a part of the rate. */
    readonly load: number;
    /** Picks the holder that a request arrives at. */
    readonly pick: (random: Random, holders: number) => number;
}

export interface LimitsRunShape {
    readonly holders: number;
    readonly limits: BucketLimits;
    readonly pattern: LimitsPattern;
    readonly seed: number;
}

export interface LimitsRunResult {
    readonly offered: number;
    readonly naiveAdmitted: number;
    readonly sharesAdmitted: number;
    readonly splitAdmitted: number;
    readonly ownerAdmitted: number;
    readonly borrowCalls: number;
}

interface Arrival {
    readonly atMs: number;
    readonly holder: number;
}

const durationMs = 60_000;
const ownerPausedFromMs = 30_000;
const ownerPausedToMs = 40_000;
/** With sticky callers one holder gets this many times the others' requests. */
const stickyFactor = 20;

export const limitsPatterns: readonly LimitsPattern[] = [
    { name: "uniform, 0.9 of the rate", load: 0.9, pick: (random, holders) => Math.floor(random() * holders) },
    { name: "sticky, 0.9 of the rate", load: 0.9, pick: pickSticky },
    { name: "uniform, 5 times the rate", load: 5, pick: (random, holders) => Math.floor(random() * holders) },
];

function pickSticky(random: Random, holders: number): number {
    const position = random() * (stickyFactor + holders - 1);
    return position < stickyFactor ? 0 : 1 + Math.floor(position - stickyFactor);
}

function poissonArrivals({ limits, pattern, holders, seed }: LimitsRunShape): readonly Arrival[] {
    const random = createRandom(seed);
    const arrivals: Arrival[] = [];
    let atMs = 0;
    while (atMs < durationMs) {
        atMs += -Math.log(1 - random()) * 1_000 / (pattern.load * limits.ratePerSecond);
        arrivals.push({ atMs, holder: pattern.pick(random, holders) });
    }
    return arrivals;
}

/** A plain token bucket, written down as simply as can be. */
function naiveBucket({ ratePerSecond, burstRequests }: BucketLimits): (atMs: number) => boolean {
    let tokens = burstRequests;
    let lastMs = 0;
    return atMs => {
        tokens = Math.min(burstRequests, tokens + (atMs - lastMs) * ratePerSecond / 1_000);
        lastMs = atMs;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    };
}

function countAdmitted(arrivals: readonly Arrival[], admit: (arrival: Arrival) => boolean): number {
    return arrivals.filter(admit).length;
}

export async function createLimitsRun(shape: LimitsRunShape): Promise<LimitsRunResult> {
    const { holders, limits } = shape;
    const arrivals = poissonArrivals(shape);
    const naive = naiveBucket(limits);
    const naiveAdmitted = countAdmitted(arrivals, arrival => naive(arrival.atMs));
    const part = { ratePerSecond: limits.ratePerSecond / holders, burstRequests: limits.burstRequests / holders };
    const split = Array.from({ length: holders }, () => naiveBucket(part));
    const splitAdmitted = countAdmitted(arrivals, ({ holder, atMs }) => split[holder]?.(atMs) ?? false);
    const owner = naiveBucket(limits);
    const ownerAdmitted = countAdmitted(
        arrivals,
        ({ atMs }) => (atMs < ownerPausedFromMs || atMs >= ownerPausedToMs) && owner(atMs),
    );

    const clock = createVirtualClock();
    const fleet = await startLimitsFleet(clock, {
        holders,
        limits,
        leaseMs: 900_000,
        marginMs: 90_000,
        renewMs: 300_000,
        rebalanceMs: 5_000,
        seed: shape.seed,
    });
    const startMs = clock.monotonicMs();
    for (const { atMs, holder } of arrivals) {
        await clock.advance(Math.max(0, startMs + atMs - clock.monotonicMs()));
        void fleet.arrive(holder);
    }
    await clock.advance(5_000);
    return {
        offered: arrivals.length,
        naiveAdmitted,
        sharesAdmitted: fleet.admittedAtMs().length,
        splitAdmitted,
        ownerAdmitted,
        borrowCalls: fleet.counts.get("limits.borrowCalls") ?? 0,
    };
}
