/**
 * In-memory state of a process's share of one account's limits.
 */

import { createBucket } from "./bucket.js";
import type { BucketLimits, TokenBucket } from "./bucket.js";

export interface Share {
    readonly clientAccount: string;
    readonly bucket: TokenBucket;
    /** By URL of a lender that had no tokens: monotonic time until which it is not asked again. */
    readonly emptyUntilMs: Map<string, number>;
    /** Monotonic time from which any lender may be asked. */
    nextBorrowMs: number;
    /** Size of the share in units, of which an account has `unitsPerAccount`. */
    units: number;
    /** A write of the row ended with an unknown outcome, so the row may differ from `units`. */
    writeOutcomeUnknown: boolean;
    /** The attempt to grow in progress, which concurrent requests share. */
    growing: Promise<void> | undefined;
    /** Monotonic time from which the next attempt to grow may start. */
    nextGrowMs: number;
    /** Requests since the last measurement of the demand. */
    requests: number;
    /** Requests since then that found too few tokens in this process's bucket. */
    shortfalls: number;
    /** Tokens lent to other holders since then. */
    lentTokens: number;
    /** Monotonic time of the last measurement. */
    measuredAtMs: number;
    /** Requests per second, exponentially smoothed over the measurements. */
    demandPerSecond: number;
}

const msPerSecond = 1_000;
const minimumElapsedSeconds = 0.001;
const demandSmoothing = 0.5;

export function createShare(clientAccount: string, limits: BucketLimits, nowMs: number): Share {
    return {
        clientAccount,
        bucket: createBucket(limits, nowMs),
        emptyUntilMs: new Map(),
        nextBorrowMs: nowMs,
        units: 0,
        writeOutcomeUnknown: false,
        growing: undefined,
        nextGrowMs: nowMs,
        requests: 0,
        shortfalls: 0,
        lentTokens: 0,
        measuredAtMs: nowMs,
        demandPerSecond: 0,
    };
}

/** Updates the smoothed demand from the requests since the last measurement, resets the counts and returns it. */
export function measureDemand(share: Share, nowMs: number): number {
    const elapsedSeconds = Math.max(minimumElapsedSeconds, (nowMs - share.measuredAtMs) / msPerSecond);
    const perSecond = share.requests / elapsedSeconds;
    share.demandPerSecond += demandSmoothing * (perSecond - share.demandPerSecond);
    share.measuredAtMs = nowMs;
    share.requests = 0;
    share.shortfalls = 0;
    share.lentTokens = 0;
    return share.demandPerSecond;
}
