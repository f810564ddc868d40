/**
 * What a process keeps about its share of one account's limits.
 */

import { createBucket } from "./bucket.js";
import type { BucketLimits, TokenBucket } from "./bucket.js";

export interface Share {
    readonly clientAccount: string;
    readonly bucket: TokenBucket;
    /** Until when a lender need not be asked, by its URL. */
    readonly emptyUntilMs: Map<string, number>;
    nextBorrowMs: number;
    units: number;
    /** A write of the row had no answer, so the row may differ from `units`. */
    unsettled: boolean;
    extending: Promise<void> | undefined;
    nextExtensionMs: number;
    // Since the last rebalance.
    requests: number;
    shortfalls: number;
    lentTokens: number;
    measuredAtMs: number;
    /** Smoothed over rebalances. */
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
        unsettled: false,
        extending: undefined,
        nextExtensionMs: nowMs,
        requests: 0,
        shortfalls: 0,
        lentTokens: 0,
        measuredAtMs: nowMs,
        demandPerSecond: 0,
    };
}

/** Smooths the demand since the last measurement and starts the next one. */
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
