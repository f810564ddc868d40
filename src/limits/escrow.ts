/**
 * Admission against a client account's rate and burst, counted over all entry processes together.
 *
 * Each process holds a share of the account's limits (see `shareLedger`) under its lease and runs a token bucket on
 * it. When its own tokens do not suffice it borrows from other holders. Tokens are debited before they are credited
 * anywhere else, so a lost message loses tokens and never makes any.
 */

import type { BucketLimits } from "./bucket.js";
import { createEscrowContext } from "./escrowContext.js";
import type { EscrowDependencies, EscrowSettings, Loan } from "./escrowContext.js";
import { createLoans } from "./loans.js";
import { createPreference } from "./preference.js";
import { createShare } from "./share.js";
import type { Share } from "./share.js";
import { shareUnits } from "./shareRow.js";
import { createShareSizing } from "./shareSizing.js";

/** Leave to run one request; it goes stale, see `isFresh`. */
export interface Admission {
    readonly clientAccount: string;
    readonly takenAtMs: number;
    readonly takenAtWallMs: number;
}

/** A refusal; the request was not run and may be repeated after `retryAfterMs`. */
export interface LimitRefusal {
    readonly kind: "rateExceeded" | "unknownAccount" | "noShare";
    readonly retryAfterMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "admitted"; readonly admission: Admission; }
    | { readonly kind: "refused"; readonly refusal: LimitRefusal; };

export interface Escrow {
    readonly admit: (clientAccount: string) => Promise<AdmissionDecision>;
    /** Whether an admission is recent enough to dispatch under. */
    readonly isFresh: (admission: Admission) => boolean;
    /** Serves a peer's `borrow`. */
    readonly lend: (clientAccount: string, tokens: number) => Loan;
    /** Applies changed limits to all buckets. */
    readonly reload: () => void;
    /** Moves shares towards where requests arrive; called every few seconds. */
    readonly rebalance: () => Promise<void>;
    /** Drops all shares without telling anyone; for a lost lease. */
    readonly dropAll: () => void;
    /** Gives all shares back, with their tokens. */
    readonly releaseAll: () => Promise<void>;
}

/** A caller comes back after this time where no share could be had. */
const noShareRetryMs = 500;
const msPerSecond = 1_000;
/** Shares of unused accounts that are taken in one rebalance. */
const preferredPerRebalance = 50;

export function createEscrow(dependencies: EscrowDependencies, settings: EscrowSettings): Escrow {
    const context = createEscrowContext(dependencies, settings);
    const { ledger, limitsOf, takeOwn, ownTokens } = context;
    const loans = createLoans(context);
    const sizing = createShareSizing(context);
    const { clock, lease, count } = dependencies;
    const shares = new Map<string, Share>();
    const preference = createPreference();

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
        while (await sizing.extend(share, limits)) {
            if (takeOwn(share, 1)) {
                return admitted(clientAccount);
            }
        }
        if (takeOwn(share, 1) || await takeAfterWait(share) || await loans.takeWithLoans(share)) {
            return admitted(clientAccount);
        }
        if (share.units === 0 && ledger.holdersOf(clientAccount).length === 0) {
            return refused("noShare", noShareRetryMs);
        }
        return refused("rateExceeded", retryAfterMs(share, limits));
    }

    function retryAfterMs(share: Share, limits: BucketLimits): number {
        const missing = Math.max(0, 1 - ownTokens(share));
        const fraction = Math.max(share.bucket.fraction(), 1 / shareUnits);
        const ownMs = missing / (fraction * limits.ratePerSecond) * msPerSecond;
        const fleetMs = msPerSecond / limits.ratePerSecond;
        // Other holders refill too, so the fleet's interval counts unless the own share is the faster one.
        return Math.max(1, Math.min(ownMs, fleetMs));
    }

    /**
     * Takes shares of unused accounts for which this process is among the first choices. Without them, nobody could
     * admit a request of such an account while the store is down.
     */
    async function holdPreferred(): Promise<void> {
        const entries = [dependencies.url, ...dependencies.peers()];
        const missing = preference.accountsOf(dependencies.url, entries, dependencies.clientAccounts())
            .filter(clientAccount => (shares.get(clientAccount)?.units ?? 0) === 0);
        for (const clientAccount of missing.slice(0, preferredPerRebalance)) {
            const limits = dependencies.limitsOf(clientAccount);
            if (limits !== undefined) {
                await sizing.extend(shareOf(clientAccount, limits), limits);
            }
        }
        dependencies.gauge("limits.sharesHeld", [...shares.values()].filter(share => share.units > 0).length);
    }

    async function rebalance(): Promise<void> {
        const short = [...shares.values()].filter(share => share.shortfalls > 0);
        if (short.length > 0) {
            await ledger.refresh(short.map(share => share.clientAccount));
        }
        for (const share of shares.values()) {
            await sizing.rebalance(share);
        }
        await holdPreferred();
    }

    async function releaseAll(): Promise<void> {
        context.isReleasing = true;
        const nowMs = clock.monotonicMs();
        if ([...shares.values()].some(share => share.bucket.lentTokens(nowMs) > 0)) {
            await clock.sleep(settings.loanLifeMs);
        }
        for (const share of shares.values()) {
            if (share.units > 0) {
                await sizing.giveBack(share);
            }
        }
    }

    return {
        admit,
        isFresh: admission =>
            clock.monotonicMs() - admission.takenAtMs < settings.maxAdmissionAgeMs
            && clock.wallMs() - admission.takenAtWallMs < settings.maxAdmissionAgeMs,
        lend: (clientAccount, tokens) => loans.lend(shares.get(clientAccount), tokens),
        reload: () => shares.forEach(share => share.bucket.setLimits(limitsOf(share), clock.monotonicMs())),
        rebalance,
        dropAll: () => {
            // Requests in progress may still refer to a share, so its tokens go too.
            shares.forEach(share => share.bucket.setFraction(0, clock.monotonicMs()));
            shares.clear();
        },
        releaseAll,
    };
}
