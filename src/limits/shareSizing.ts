/**
 * How large a share is: it grows where requests arrive and shrinks where others ask for its tokens.
 */

import type { BucketLimits } from "./bucket.js";
import type { EscrowContext } from "./escrowContext.js";
import { measureDemand } from "./share.js";
import type { Share } from "./share.js";
import { shareUnits } from "./shareRow.js";

export interface ShareSizing {
    /**
     * Takes free units while the share is short: first an equal part, later half of what is still free. Tells whether
     * it got any.
     */
    readonly extend: (share: Share, limits: BucketLimits) => Promise<boolean>;
    /** Moves a share towards its demand. */
    readonly rebalance: (share: Share) => Promise<void>;
    /** Gives back all units that no outstanding loan needs. */
    readonly giveBack: (share: Share) => Promise<void>;
}

/** A share that got nothing is not extended again for this long. */
const extensionRetryMs = 5_000;
/** A share is made for this many times its demand, which varies. */
const demandHeadroom = 1.25;
/** A share that lends is made smaller only if it is larger than wanted by this factor. */
const shrinkThreshold = 1.2;

export function createShareSizing(context: EscrowContext): ShareSizing {
    const { dependencies, settings, ledger, limitsOf } = context;
    const { clock, lease } = dependencies;

    /** Takes units from the ledger and the tokens that come with them. */
    async function grow(share: Share, wantedUnits: number, takeHalf = false): Promise<void> {
        const holderId = lease.holderId();
        if (!lease.isValid() || context.isReleasing) {
            return;
        }
        const limits = limitsOf(share);
        const order = { wantedUnits, takeHalf, minimumUnits: Math.min(wantedUnits, minimumUnits(limits)) };
        const changed = await ledger.grow(share.clientAccount, limits.burstRequests, order);
        if (holderId !== lease.holderId()) {
            return;
        }
        share.unsettled ||= changed.isErr && changed.error === "unknown";
        if (changed.isOk) {
            takeUp(share, changed.value.units, changed.value.tokens);
        }
    }

    /** Writes the row anew after a write without an answer, and takes up what it says. */
    async function settle(share: Share): Promise<void> {
        const holderId = lease.holderId();
        const changed = await ledger.settle(share.clientAccount, limitsOf(share).burstRequests);
        if (changed.isOk && holderId === lease.holderId()) {
            takeUp(share, changed.value.units, 0);
        }
    }

    function takeUp(share: Share, units: number, tokens: number): void {
        share.unsettled = false;
        share.units = units;
        share.bucket.setFraction(units / shareUnits, clock.monotonicMs(), tokens);
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
            // Nothing was written, so the share and its tokens are still this holder's.
            share.bucket.setFraction(share.units / shareUnits, clock.monotonicMs(), tokens);
            return;
        }
        share.unsettled = changed.isErr;
        share.units = kept;
    }

    /** Units that must stay, because outstanding loans have their places in them. */
    function lentUnits(share: Share, burstRequests: number): number {
        const lent = share.bucket.lentTokens(clock.monotonicMs());
        return burstRequests === 0 ? 0 : Math.ceil(shareUnits * lent / burstRequests);
    }

    /** Debits the bucket's part above `kept` units; returns the tokens that leave with it. */
    function debitAbove(share: Share, kept: number): number {
        const nowMs = clock.monotonicMs();
        const valid = lease.isValid();
        const held = share.bucket.available(nowMs);
        const leaving = share.units === 0 ? 0 : held * (share.units - kept) / share.units;
        share.bucket.take(leaving, nowMs);
        share.bucket.setFraction(kept / shareUnits, nowMs);
        return valid ? leaving : 0;
    }

    async function extend(share: Share, limits: BucketLimits): Promise<boolean> {
        const unitsBefore = share.units;
        if (share.extending === undefined) {
            const hasFree = unitsBefore === 0 || ledger.freeUnitsOf(share.clientAccount) > 0;
            if (!hasFree || clock.monotonicMs() < share.nextExtensionMs) {
                return false;
            }
            share.extending = grow(share, unitsBefore === 0 ? equalUnits(limits) : 0, unitsBefore > 0).finally(() => {
                share.extending = undefined;
                const pauseMs = share.units > unitsBefore ? 0 : extensionRetryMs;
                share.nextExtensionMs = clock.monotonicMs() + pauseMs;
            });
        }
        await share.extending;
        return share.units > unitsBefore;
    }

    /** An equal part for every entry, unless the parts would be too small. */
    function equalUnits(limits: BucketLimits): number {
        const entries = dependencies.peers().length + 1;
        return Math.max(minimumUnits(limits), Math.ceil(shareUnits / entries));
    }

    function minimumUnits(limits: BucketLimits): number {
        const units = shareUnits * settings.minimumShareTokens / Math.max(1, limits.burstRequests);
        return Math.min(shareUnits, Math.ceil(units));
    }

    function wantedUnits(demandPerSecond: number, limits: BucketLimits): number {
        const proportional = shareUnits * demandHeadroom * demandPerSecond / limits.ratePerSecond;
        return Math.min(shareUnits, Math.max(minimumUnits(limits), Math.ceil(proportional)));
    }

    async function rebalanceShare(share: Share): Promise<void> {
        if (share.unsettled) {
            await settle(share);
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

    return { extend, rebalance: rebalanceShare, giveBack: share => shrink(share, 0) };
}
