/**
 * Distributed rate limiter: admits requests against a client account's rate and burst, which apply to all entry
 * processes together.
 *
 * Each process holds a share of the account's limits (see `shareLedger`) under its lease and runs a token bucket for
 * that share. A process that is short of tokens first takes free units, then waits briefly for its own refill, then
 * borrows tokens from other holders. Tokens are debited from one bucket or row before they are credited to another, so a
 * lost message can lose tokens but never create any.
 */

import type { BucketLimits } from "./bucket.js";
import { createDefaultHolders } from "./defaultHolders.js";
import { createRateLimiterContext } from "./rateLimiterContext.js";
import type { BorrowResponse, RateLimiterDependencies, RateLimiterSettings } from "./rateLimiterContext.js";
import { createShare } from "./share.js";
import type { Share } from "./share.js";
import { unitsPerAccount } from "./shareRow.js";
import { createShareSizing } from "./shareSizing.js";
import { createTokenBorrowing } from "./tokenBorrowing.js";

/** Permission to run one request, with its time on the monotonic and the wall clock. It expires, see `isFresh`. */
export interface Admission {
    readonly clientAccount: string;
    readonly takenAtMs: number;
    readonly takenAtWallMs: number;
}

/**
 * Why a request was refused. It was not run and may be retried after `retryAfterMs`. `noShare`: this process holds no
 * share of the account and knows of no other holder.
 */
export interface LimitRefusal {
    readonly kind: "rateExceeded" | "unknownAccount" | "noShare";
    readonly retryAfterMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "admitted"; readonly admission: Admission; }
    | { readonly kind: "refused"; readonly refusal: LimitRefusal; };

export interface RateLimiter {
    /** Takes one token of the account for a request. */
    readonly admit: (clientAccount: string) => Promise<AdmissionDecision>;
    /** Whether an admission is recent enough to dispatch its request. */
    readonly isFresh: (admission: Admission) => boolean;
    /** Handles a `borrow` call of another entry. */
    readonly lend: (clientAccount: string, tokens: number) => BorrowResponse;
    /** Applies the current limits to all buckets. */
    readonly reload: () => void;
    /** Adjusts the sizes of the shares to the observed demand; called every few seconds. */
    readonly rebalance: () => Promise<void>;
    /** Discards all shares locally, without writing to the store; for a lost lease. */
    readonly dropAll: () => void;
    /** Returns all shares with their tokens to the store, after lent tokens have expired. */
    readonly releaseAll: () => Promise<void>;
}

/** Retry delay of a refusal with `noShare`. */
const noShareRetryMs = 500;
const msPerSecond = 1_000;
/** Limits the shares of unused accounts that one rebalance acquires. */
const maxDefaultSharesPerRebalance = 50;

export function createRateLimiter(dependencies: RateLimiterDependencies, settings: RateLimiterSettings): RateLimiter {
    const context = createRateLimiterContext(dependencies, settings);
    const { ledger, limitsOf, takeOwn, ownTokens } = context;
    const tokenBorrowing = createTokenBorrowing(context);
    const sizing = createShareSizing(context);
    const { clock, lease, count } = dependencies;
    const shares = new Map<string, Share>();
    const defaultHolders = createDefaultHolders();

    function shareOf(clientAccount: string, limits: BucketLimits): Share {
        const existing = shares.get(clientAccount);
        if (existing !== undefined) {
            return existing;
        }
        const share = createShare(clientAccount, limits, clock.monotonicMs());
        shares.set(clientAccount, share);
        return share;
    }

    function admitted(clientAccount: string): AdmissionDecision {
        count("limits.admitted");
        const admission = { clientAccount, takenAtMs: clock.monotonicMs(), takenAtWallMs: clock.wallMs() };
        return { kind: "admitted", admission };
    }

    function refused(kind: LimitRefusal["kind"], retryAfterMs: number): AdmissionDecision {
        count(`limits.refused.${kind}`);
        return { kind: "refused", refusal: { kind, retryAfterMs: Math.ceil(retryAfterMs) } };
    }

    async function takeAfterWait(share: Share): Promise<boolean> {
        const waitMs = lease.isValid() ? share.bucket.waitMs(1, clock.monotonicMs()) : Number.POSITIVE_INFINITY;
        if (waitMs > settings.maxTokenWaitMs) {
            return false;
        }
        await clock.sleep(waitMs);
        return takeOwn(share, 1);
    }

    async function admit(clientAccount: string): Promise<AdmissionDecision> {
        const limits = dependencies.limitsOf(clientAccount);
        if (limits === undefined) {
            return refused("unknownAccount", 0);
        }
        const share = shareOf(clientAccount, limits);
        share.requests += 1;
        if (takeOwn(share, 1)) {
            return admitted(clientAccount);
        }
        share.shortfalls += 1;
        while (await sizing.growOnDemand(share, limits)) {
            if (takeOwn(share, 1)) {
                return admitted(clientAccount);
            }
        }
        if (takeOwn(share, 1) || await takeAfterWait(share) || await tokenBorrowing.takeWithBorrowing(share)) {
            return admitted(clientAccount);
        }
        if (share.units === 0 && ledger.holdersOf(clientAccount).length === 0) {
            return refused("noShare", noShareRetryMs);
        }
        return refused("rateExceeded", retryAfterMs(share, limits));
    }

    function retryAfterMs(share: Share, limits: BucketLimits): number {
        const missing = Math.max(0, 1 - ownTokens(share));
        const fraction = Math.max(share.bucket.fraction(), 1 / unitsPerAccount);
        const ownMs = missing / (fraction * limits.ratePerSecond) * msPerSecond;
        const fleetMs = msPerSecond / limits.ratePerSecond;
        // Other holders refill too: the delay is at most the interval at which the whole account gains a token.
        return Math.max(1, Math.min(ownMs, fleetMs));
    }

    /**
     * Acquires shares of accounts of which this process is a default holder but has no units yet. Without default
     * holders, no process could admit requests of an unused account while the store is down.
     */
    async function acquireDefaultShares(): Promise<void> {
        const entries = [dependencies.url, ...dependencies.peers()];
        const accountsWithoutShare = defaultHolders.accountsOf(dependencies.url, entries, dependencies.clientAccounts())
            .filter(clientAccount => (shares.get(clientAccount)?.units ?? 0) === 0);
        for (const clientAccount of accountsWithoutShare.slice(0, maxDefaultSharesPerRebalance)) {
            const limits = dependencies.limitsOf(clientAccount);
            if (limits !== undefined) {
                await sizing.growOnDemand(shareOf(clientAccount, limits), limits);
            }
        }
        dependencies.gauge("limits.sharesHeld", [...shares.values()].filter(share => share.units > 0).length);
    }

    async function rebalance(): Promise<void> {
        const sharesWithShortfalls = [...shares.values()].filter(share => share.shortfalls > 0);
        if (sharesWithShortfalls.length > 0) {
            await ledger.refresh(sharesWithShortfalls.map(share => share.clientAccount));
        }
        for (const share of shares.values()) {
            await sizing.rebalance(share);
        }
        await acquireDefaultShares();
    }

    async function releaseAll(): Promise<void> {
        context.isReleasing = true;
        const nowMs = clock.monotonicMs();
        if ([...shares.values()].some(share => share.bucket.lentTokens(nowMs) > 0)) {
            await clock.sleep(settings.borrowedTokenTtlMs);
        }
        for (const share of shares.values()) {
            if (share.units > 0) {
                await sizing.release(share);
            }
        }
    }

    return {
        admit,
        isFresh: admission =>
            clock.monotonicMs() - admission.takenAtMs < settings.maxAdmissionAgeMs
            && clock.wallMs() - admission.takenAtWallMs < settings.maxAdmissionAgeMs,
        lend: (clientAccount, tokens) => tokenBorrowing.lend(shares.get(clientAccount), tokens),
        reload: () => shares.forEach(share => share.bucket.setLimits(limitsOf(share), clock.monotonicMs())),
        rebalance,
        dropAll: () => {
            // Requests in progress may still refer to a share, so its bucket is emptied too.
            shares.forEach(share => share.bucket.setFraction(0, clock.monotonicMs()));
            shares.clear();
        },
        releaseAll,
    };
}
