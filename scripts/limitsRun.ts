/**
 * Compares ways to enforce an account's rate limit on the same arrivals: shares with borrowed tokens, a single global
 * token bucket, an equal static split, and one owner per account.
 */

import { startLimitsFleet } from "../fakes/limitsFleet.js";
import { createVirtualClock } from "../fakes/virtualClock.js";
import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { BucketLimits } from "../src/limits/bucket.js";

export interface LimitsPattern {
    readonly name: string;
    /** Offered load as a multiple of the rate limit. */
    readonly load: number;
    /** Picks the holder at which a request arrives. */
    readonly pickHolder: (random: Random, holders: number) => number;
}

export interface LimitsRunOptions {
    readonly holders: number;
    readonly limits: BucketLimits;
    readonly pattern: LimitsPattern;
    readonly seed: number;
}

/** Numbers of requests in one run: all that arrived, and those that each way admits. */
export interface LimitsComparison {
    readonly offered: number;
    readonly naiveAdmitted: number;
    readonly sharesAdmitted: number;
    readonly staticSplitAdmitted: number;
    readonly singleOwnerAdmitted: number;
    /** Calls by which holders borrow tokens from each other. */
    readonly borrowCalls: number;
}

interface Arrival {
    readonly atMs: number;
    readonly holder: number;
}

const durationMs = 60_000;
const ownerPausedFromMs = 30_000;
const ownerPausedToMs = 40_000;
/** With sticky callers, one holder receives this many times as many requests as each of the others. */
const stickyFactor = 20;

export const limitsPatterns: readonly LimitsPattern[] = [
    { name: "uniform, 0.9 of the rate", load: 0.9, pickHolder: (random, holders) => Math.floor(random() * holders) },
    { name: "sticky, 0.9 of the rate", load: 0.9, pickHolder: pickSticky },
    { name: "uniform, 5 times the rate", load: 5, pickHolder: (random, holders) => Math.floor(random() * holders) },
];

function pickSticky(random: Random, holders: number): number {
    const position = random() * (stickyFactor + holders - 1);
    return position < stickyFactor ? 0 : 1 + Math.floor(position - stickyFactor);
}

function poissonArrivals({ limits, pattern, holders, seed }: LimitsRunOptions): readonly Arrival[] {
    const random = createRandom(seed);
    const arrivals: Arrival[] = [];
    let atMs = 0;
    while (atMs < durationMs) {
        atMs += -Math.log(1 - random()) * 1_000 / (pattern.load * limits.ratePerSecond);
        arrivals.push({ atMs, holder: pattern.pickHolder(random, holders) });
    }
    return arrivals;
}

/** Creates a minimal token bucket; the returned function reports whether a request at `atMs` is admitted. */
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

/** Runs the same arrivals through all ways: the shares as holders in virtual time, the others as plain buckets. */
export async function compareLimits(options: LimitsRunOptions): Promise<LimitsComparison> {
    const { holders, limits } = options;
    const arrivals = poissonArrivals(options);
    const globalBucket = naiveBucket(limits);
    const naiveAdmitted = countAdmitted(arrivals, arrival => globalBucket(arrival.atMs));
    const splitLimits = {
        ratePerSecond: limits.ratePerSecond / holders,
        burstRequests: limits.burstRequests / holders,
    };
    const splitBuckets = Array.from({ length: holders }, () => naiveBucket(splitLimits));
    const staticSplitAdmitted = countAdmitted(arrivals, ({ holder, atMs }) => splitBuckets[holder]?.(atMs) ?? false);
    const ownerBucket = naiveBucket(limits);
    const singleOwnerAdmitted = countAdmitted(
        arrivals,
        ({ atMs }) => (atMs < ownerPausedFromMs || atMs >= ownerPausedToMs) && ownerBucket(atMs),
    );

    const clock = createVirtualClock();
    const fleet = await startLimitsFleet(clock, {
        holders,
        limits,
        leaseMs: 900_000,
        marginMs: 90_000,
        renewMs: 300_000,
        rebalanceMs: 5_000,
        seed: options.seed,
    });
    const startMs = clock.monotonicMs();
    for (const { atMs, holder } of arrivals) {
        await clock.advance(Math.max(0, startMs + atMs - clock.monotonicMs()));
        void fleet.handleRequest(holder);
    }
    await clock.advance(5_000);
    return {
        offered: arrivals.length,
        naiveAdmitted,
        sharesAdmitted: fleet.admittedAtMs().length,
        staticSplitAdmitted,
        singleOwnerAdmitted,
        borrowCalls: fleet.counts.get("limits.borrowCalls") ?? 0,
    };
}
