/**
 * Sizes the shares: a share grows if its requests run short of tokens, and shrinks if it is larger than its demand
 * and other holders borrow from it.
 */

import type { BucketLimits } from "./bucket.js";
import type { RateLimiterContext } from "./rateLimiterContext.js";
import { measureDemand } from "./share.js";
import type { Share } from "./share.js";
import { unitsPerAccount } from "./shareRow.js";

export interface ShareSizing {
    /**
     * Takes free units for a share that is short of tokens: an equal part for a share without units, else half of the
     * free units. Returns whether the share grew.
     */
    readonly growOnDemand: (share: Share, limits: BucketLimits) => Promise<boolean>;
    /** Grows or shrinks a share towards its measured demand. */
    readonly rebalance: (share: Share) => Promise<void>;
    /** Returns all units except those that unexpired lent tokens still occupy. */
    readonly release: (share: Share) => Promise<void>;
}

/** Delay until the next attempt to grow after one that got no units. */
const growRetryMs = 5_000;
/** Size of a share relative to its smoothed demand, so that variations of the demand fit into it. */
const demandHeadroom = 1.25;
/** A share that lends shrinks only if it exceeds its wanted size by this factor. */
const shrinkThreshold = 1.2;

export function createShareSizing(context: RateLimiterContext): ShareSizing {
    const { dependencies, settings, ledger, limitsOf } = context;
    const { clock, lease } = dependencies;

    /** Takes free units and the tokens that come with them. */
    async function grow(share: Share, wantedUnits: number, takeHalfOfFree = false): Promise<void> {
        const holderId = lease.holderId();
        if (!lease.isValid() || context.isReleasing) {
            return;
        }
        const limits = limitsOf(share);
        const options = { wantedUnits, takeHalfOfFree, minimumUnits: Math.min(wantedUnits, minimumUnits(limits)) };
        const changed = await ledger.grow(share.clientAccount, limits.burstRequests, options);
        if (holderId !== lease.holderId()) {
            return;
        }
        share.writeOutcomeUnknown ||= changed.isErr && changed.error === "unknown";
        if (changed.isOk) {
            applyUnits(share, changed.value.units, changed.value.tokens);
        }
    }

    /** Resolves a write with an unknown outcome and applies the units that the row records. */
    async function resolveUnknownWrite(share: Share): Promise<void> {
        const holderId = lease.holderId();
        const changed = await ledger.resolveUnknownWrite(share.clientAccount, limitsOf(share).burstRequests);
        if (changed.isOk && holderId === lease.holderId()) {
            applyUnits(share, changed.value.units, 0);
        }
    }

    function applyUnits(share: Share, units: number, tokens: number): void {
        share.writeOutcomeUnknown = false;
        share.units = units;
        share.bucket.setFraction(units / unitsPerAccount, clock.monotonicMs(), tokens);
    }

    async function shrink(share: Share, wantedUnits: number): Promise<void> {
        const holderId = lease.holderId();
        const { burstRequests } = limitsOf(share);
        const kept = Math.min(share.units, Math.max(wantedUnits, lentUnits(share, burstRequests)));
        const tokens = debitAbove(share, kept);
        const changed = await ledger.shrink(share.clientAccount, burstRequests, kept, tokens);
        if (holderId !== lease.holderId()) {
            return;
        }
        if (changed.isErr && changed.error === "unchanged") {
            // Nothing was written: the holder keeps its units, and the debited tokens go back into its bucket.
            share.bucket.setFraction(share.units / unitsPerAccount, clock.monotonicMs(), tokens);
            return;
        }
        share.writeOutcomeUnknown = changed.isErr;
        share.units = kept;
    }

    /** Units that cannot be returned yet, because unexpired lent tokens count against their capacity. */
    function lentUnits(share: Share, burstRequests: number): number {
        const lent = share.bucket.lentTokens(clock.monotonicMs());
        return burstRequests === 0 ? 0 : Math.ceil(unitsPerAccount * lent / burstRequests);
    }

    /**
     * Shrinks the bucket to `kept` units and debits a proportional part of its tokens. Returns the debited tokens, or 0
     * without a valid lease.
     */
    function debitAbove(share: Share, kept: number): number {
        const nowMs = clock.monotonicMs();
        const leaseValid = lease.isValid();
        const availableTokens = share.bucket.available(nowMs);
        const debited = share.units === 0 ? 0 : availableTokens * (share.units - kept) / share.units;
        share.bucket.take(debited, nowMs);
        share.bucket.setFraction(kept / unitsPerAccount, nowMs);
        return leaseValid ? debited : 0;
    }

    async function growOnDemand(share: Share, limits: BucketLimits): Promise<boolean> {
        const unitsBefore = share.units;
        if (share.growing === undefined) {
            const hasFree = unitsBefore === 0 || ledger.freeUnitsOf(share.clientAccount) > 0;
            if (!hasFree || clock.monotonicMs() < share.nextGrowMs) {
                return false;
            }
            share.growing = grow(share, unitsBefore === 0 ? equalUnits(limits) : 0, unitsBefore > 0).finally(() => {
                share.growing = undefined;
                const retryDelayMs = share.units > unitsBefore ? 0 : growRetryMs;
                share.nextGrowMs = clock.monotonicMs() + retryDelayMs;
            });
        }
        await share.growing;
        return share.units > unitsBefore;
    }

    /** Units of an equal part for every entry, but at least the minimum. */
    function equalUnits(limits: BucketLimits): number {
        const entries = dependencies.peers().length + 1;
        return Math.max(minimumUnits(limits), Math.ceil(unitsPerAccount / entries));
    }

    /** Smallest size of a share, see `minimumShareTokens`. */
    function minimumUnits(limits: BucketLimits): number {
        const units = unitsPerAccount * settings.minimumShareTokens / Math.max(1, limits.burstRequests);
        return Math.min(unitsPerAccount, Math.ceil(units));
    }

    /** Units that cover the demand with headroom, within the minimum and the whole account. */
    function wantedUnits(demandPerSecond: number, limits: BucketLimits): number {
        const proportional = unitsPerAccount * demandHeadroom * demandPerSecond / limits.ratePerSecond;
        return Math.min(unitsPerAccount, Math.max(minimumUnits(limits), Math.ceil(proportional)));
    }

    async function rebalanceShare(share: Share): Promise<void> {
        if (share.writeOutcomeUnknown) {
            await resolveUnknownWrite(share);
            return;
        }
        const limits = dependencies.limitsOf(share.clientAccount);
        if (limits === undefined) {
            await shrink(share, 0);
            return;
        }
        const { lentTokens, shortfalls } = share;
        const wanted = wantedUnits(measureDemand(share, clock.monotonicMs()), limits);
        if (lentTokens > 0 && share.units > wanted * shrinkThreshold) {
            await shrink(share, Math.max(wanted, Math.ceil(share.units / 2)));
        }
        else if (shortfalls > 0 && share.units < wanted) {
            await grow(share, wanted - share.units);
        }
        else if (shortfalls > 0 && ledger.freeUnitsOf(share.clientAccount) > 0) {
            await grow(share, 0, true);
        }
    }

    return { growOnDemand, rebalance: rebalanceShare, release: share => shrink(share, 0) };
}
