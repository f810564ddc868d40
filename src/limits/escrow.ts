/**
 * Admission against a client account's rate and burst, counted over all entry processes together.
 *
 * Each process holds a share of the account's limits (see `shareLedger`) under its lease and runs a token bucket on
 * it. When its own tokens do not suffice it borrows from other holders. Tokens are debited before they are credited
 * anywhere else, so a lost message loses tokens and never makes any.
 */

import type { Clock } from "../common/clock.js";
import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { TableService } from "../platform/ports.js";
import { tokenTolerance } from "./bucket.js";
import type { BucketLimits } from "./bucket.js";
import type { HolderLease } from "./lease.js";
import { byPreference, createPreference } from "./preference.js";
import { createShare, measureDemand } from "./share.js";
import type { Share } from "./share.js";
import { createShareLedger } from "./shareLedger.js";
import { shareUnits } from "./shareRow.js";

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

/**
 * A lender's answer. It debits all that it was asked for or nothing, since parts that do not add up to a whole token
 * at the borrower would be lost.
 */
export interface Loan {
    readonly tokens: number;
    /** For how long it need not be asked for the same again. */
    readonly emptyForMs: number;
}

export interface EscrowSettings {
    /** How long a loan may be spent, counted by the borrower from before it asked. */
    readonly loanLifeMs: number;
    /** A refusal is put off for a token that comes within this time. */
    readonly maxTokenWaitMs: number;
    /** An admission older than this must be taken again before the request is dispatched. */
    readonly maxAdmissionAgeMs: number;
    /** How many peers one request may ask for tokens. */
    readonly maxLenders: number;
    /** A share is not made smaller than this many tokens, since it would refuse too often by itself. */
    readonly minimumShareTokens: number;
}

/** The answer when no lender could be asked. */
export const noLoan: Loan = { tokens: 0, emptyForMs: 0 };

export const defaultEscrowSettings: EscrowSettings = {
    loanLifeMs: 300,
    maxTokenWaitMs: 40,
    maxAdmissionAgeMs: 1_000,
    maxLenders: 3,
    minimumShareTokens: 4,
};

export interface EscrowDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly lease: HolderLease;
    readonly limitsOf: (clientAccount: string) => BucketLimits | undefined;
    /** Base URL of this process. */
    readonly url: string;
    /** Base URLs of other entry processes, asked while an account's holders are not known. */
    readonly peers: () => readonly string[];
    readonly clientAccounts: () => readonly string[];
    /** Asks a process for tokens; resolves to `noLoan` on any failure. */
    readonly borrow: (lender: string, clientAccount: string, tokens: number, timeoutMs: number) => Promise<Loan>;
    readonly count: (name: string, value?: number) => void;
    readonly gauge: (name: string, value: number) => void;
}

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

const msPerSecond = 1_000;
const extensionRetryMs = 5_000;
const noShareRetryMs = 500;
const maxEmptyMs = 500;
const preferredPerRebalance = 50;
const demandHeadroom = 1.25;
const shrinkThreshold = 1.2;
const noLimits: BucketLimits = { ratePerSecond: 0, burstRequests: 0 };

export function createEscrow(dependencies: EscrowDependencies, settings: EscrowSettings): Escrow {
    const { clock, random, lease, count } = dependencies;
    const ledger = createShareLedger(dependencies.tables, lease, count);
    const shares = new Map<string, Share>();
    let releasing = false;
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

    function limitsOf(share: Share): BucketLimits {
        return dependencies.limitsOf(share.clientAccount) ?? noLimits;
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

    function takeOwn(share: Share, tokens: number): boolean {
        return lease.isValid() && share.bucket.take(tokens, clock.monotonicMs());
    }

    function ownTokens(share: Share): number {
        return lease.isValid() ? share.bucket.available(clock.monotonicMs()) : 0;
    }

    async function takeAfterWait(share: Share): Promise<boolean> {
        const waitMs = lease.isValid() ? share.bucket.waitMs(1, clock.monotonicMs()) : Number.POSITIVE_INFINITY;
        if (waitMs > settings.maxTokenWaitMs) {
            return false;
        }
        await clock.sleep(waitMs);
        return takeOwn(share, 1);
    }

    function lendersOf(share: Share): readonly string[] {
        const holders = ledger.holdersOf(share.clientAccount);
        const nowMs = clock.monotonicMs();
        const isPromising = (url: string): boolean => (share.emptyUntilMs.get(url) ?? 0) <= nowMs;
        if (holders.length > 0) {
            return pickSome(random, holders.filter(isPromising), settings.maxLenders);
        }
        // Every account has a share at its first choices, so they are asked while the row can't be read.
        return byPreference(share.clientAccount, dependencies.peers()).filter(isPromising).slice(
            0,
            settings.maxLenders,
        );
    }

    async function borrowFrom(lender: string, share: Share, tokens: number): Promise<Loan> {
        count("limits.borrowCalls");
        const loan = await dependencies.borrow(lender, share.clientAccount, tokens, settings.loanLifeMs);
        share.emptyUntilMs.set(lender, clock.monotonicMs() + Math.min(maxEmptyMs, loan.emptyForMs));
        return loan;
    }

    async function collectLoan(share: Share): Promise<number> {
        if (clock.monotonicMs() < share.nextBorrowMs) {
            return 0;
        }
        let emptyForMs = maxEmptyMs;
        for (const lender of lendersOf(share)) {
            const missing = 1 - ownTokens(share);
            if (missing <= tokenTolerance) {
                return 0;
            }
            const loan = await borrowFrom(lender, share, missing);
            if (loan.tokens > 0) {
                return loan.tokens;
            }
            emptyForMs = Math.min(emptyForMs, loan.emptyForMs);
        }
        // Where all lenders are short themselves, asking them for every request would only cost messages.
        share.nextBorrowMs = clock.monotonicMs() + emptyForMs;
        return 0;
    }

    async function takeWithLoans(share: Share): Promise<boolean> {
        const askedAtMs = clock.monotonicMs();
        const askedAtWallMs = clock.wallMs();
        let borrowed = await collectLoan(share);
        const loanAgeMs = Math.max(clock.monotonicMs() - askedAtMs, clock.wallMs() - askedAtWallMs);
        if (loanAgeMs >= settings.loanLifeMs) {
            count("limits.loansExpired");
            borrowed = 0;
        }
        return takeOwn(share, Math.max(0, 1 - borrowed)) || borrowed >= 1 - tokenTolerance;
    }

    /** Takes units from the ledger and the tokens that come with them. */
    async function grow(share: Share, wantedUnits: number, takeHalf = false): Promise<void> {
        const holderId = lease.holderId();
        if (!lease.isValid() || releasing) {
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

    /**
     * Takes free units while the share is short: first an equal part, later half of what is still free. Tells whether
     * it got any.
     */
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
        while (await extend(share, limits)) {
            if (takeOwn(share, 1)) {
                return admitted(clientAccount);
            }
        }
        if (takeOwn(share, 1) || await takeAfterWait(share) || await takeWithLoans(share)) {
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

    function lend(clientAccount: string, tokens: number): Loan {
        const share = shares.get(clientAccount);
        if (share === undefined || share.units === 0 || releasing || !lease.isValid()) {
            return { ...noLoan, emptyForMs: maxEmptyMs };
        }
        const nowMs = clock.monotonicMs();
        if (share.bucket.lend(tokens, nowMs, nowMs + settings.loanLifeMs)) {
            share.lentTokens += tokens;
            return { ...noLoan, tokens };
        }
        const emptyForMs = Math.min(maxEmptyMs, share.bucket.waitMs(tokens, nowMs));
        return { tokens: 0, emptyForMs };
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
                await extend(shareOf(clientAccount, limits), limits);
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
            await rebalanceShare(share);
        }
        await holdPreferred();
    }

    async function releaseAll(): Promise<void> {
        releasing = true;
        const nowMs = clock.monotonicMs();
        if ([...shares.values()].some(share => share.bucket.lentTokens(nowMs) > 0)) {
            await clock.sleep(settings.loanLifeMs);
        }
        for (const share of shares.values()) {
            if (share.units > 0) {
                await shrink(share, 0);
            }
        }
    }

    return {
        admit,
        isFresh: admission =>
            clock.monotonicMs() - admission.takenAtMs < settings.maxAdmissionAgeMs
            && clock.wallMs() - admission.takenAtWallMs < settings.maxAdmissionAgeMs,
        lend,
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
