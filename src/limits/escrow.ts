/**
 * Admission against a client account's rate and burst, counted over all entry processes together.
 *
 * Each process holds a share of the account's limits (see `shareRow`) under its lease and runs a token bucket on it.
 * When its own tokens do not suffice it borrows from other holders. Tokens are debited before they are credited
 * anywhere else, so a lost message loses tokens and never makes any.
 */

import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { RowKey, TableService } from "../platform/ports.js";
import { createBucket, tokenTolerance } from "./bucket.js";
import type { BucketLimits, TokenBucket } from "./bucket.js";
import { limitsTable, urlOfHolder } from "./lease.js";
import type { HolderLease } from "./lease.js";
import {
    freeUnits,
    growShare,
    newShareRow,
    reclaimShares,
    shareRowSchema,
    shareUnits,
    shrinkShare,
} from "./shareRow.js";
import type { ShareChange, ShareRow } from "./shareRow.js";

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

export interface EscrowSettings {
    /** How long a loan may be spent, counted by the borrower from before it asked. */
    readonly loanLifeMs: number;
    /** A refusal is put off for a token that comes within this time. */
    readonly maxTokenWaitMs: number;
    /** An admission older than this must be taken again before the request is dispatched. */
    readonly maxAdmissionAgeMs: number;
    /** How many peers one request may ask for tokens. */
    readonly maxLenders: number;
}

export const defaultEscrowSettings: EscrowSettings = {
    loanLifeMs: 1_000,
    maxTokenWaitMs: 40,
    maxAdmissionAgeMs: 1_000,
    maxLenders: 3,
};

export interface EscrowDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly lease: HolderLease;
    readonly limitsOf: (clientAccount: string) => BucketLimits | undefined;
    /** Base URLs of other entry processes, asked while an account's holders are not known. */
    readonly peers: () => readonly string[];
    /** Asks a process for tokens; resolves to what it debited for us, 0 on any failure. */
    readonly borrow: (lender: string, clientAccount: string, tokens: number, timeoutMs: number) => Promise<number>;
    readonly count: (name: string, value?: number) => void;
}

export interface Escrow {
    readonly admit: (clientAccount: string) => Promise<AdmissionDecision>;
    /** Whether an admission is recent enough to dispatch under. */
    readonly isFresh: (admission: Admission) => boolean;
    /** Serves a peer's `borrow`. */
    readonly lend: (clientAccount: string, tokens: number) => number;
    /** Applies changed limits to all buckets. */
    readonly reload: () => void;
    /** Moves shares towards where requests arrive; called every few seconds. */
    readonly rebalance: () => Promise<void>;
    /** Drops all shares without telling anyone; for a lost lease. */
    readonly dropAll: () => void;
    /** Gives all shares back, with their tokens. */
    readonly releaseAll: () => Promise<void>;
}

interface Share {
    readonly bucket: TokenBucket;
    /** URLs of the other holders, as last read. */
    holders: readonly string[];
    units: number;
    demand: number;
    shortfalls: number;
    lentTokens: number;
    demandPerSecond: number;
    measuredAtMs: number;
    joining: Promise<void> | undefined;
    nextJoinMs: number;
}

const msPerSecond = 1_000;
const joinRetryMs = 5_000;
const demandSmoothing = 0.5;
const demandHeadroom = 1.25;
const shrinkThreshold = 1.2;
const noShareRetryMs = 500;
const rowAttempts = 4;

export function createEscrow(dependencies: EscrowDependencies, settings: EscrowSettings): Escrow {
    const { tables, clock, random, lease, count } = dependencies;
    const shares = new Map<string, Share>();
    let releasing = false;

    function rowKey(clientAccount: string): RowKey {
        return { table: limitsTable, key: `account/${clientAccount}` };
    }

    function lendersOf(share: Share): readonly string[] {
        const known = share.holders.length > 0 ? share.holders : dependencies.peers();
        return pickSome(random, known, settings.maxLenders);
    }

    function noteHolders(clientAccount: string, row: ShareRow): void {
        const share = shares.get(clientAccount);
        if (share !== undefined) {
            share.holders = Object.keys(row.units).filter(id => id !== lease.holderId()).map(urlOfHolder);
        }
    }

    function shareOf(clientAccount: string, limits: BucketLimits): Share {
        const existing = shares.get(clientAccount);
        if (existing !== undefined) {
            return existing;
        }
        const nowMs = clock.monotonicMs();
        const share: Share = {
            bucket: createBucket(limits, nowMs),
            holders: [],
            units: 0,
            demand: 0,
            shortfalls: 0,
            lentTokens: 0,
            demandPerSecond: 0,
            measuredAtMs: nowMs,
            joining: undefined,
            nextJoinMs: nowMs,
        };
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

    async function takeWithLoans(clientAccount: string, share: Share): Promise<boolean> {
        const askedAtMs = clock.monotonicMs();
        const askedAtWallMs = clock.wallMs();
        let borrowed = 0;
        for (const lender of lendersOf(share)) {
            const missing = 1 - borrowed - ownTokens(share);
            if (missing <= tokenTolerance) {
                break;
            }
            count("limits.borrowCalls");
            borrowed += await dependencies.borrow(lender, clientAccount, missing, settings.loanLifeMs);
        }
        const loanAgeMs = Math.max(clock.monotonicMs() - askedAtMs, clock.wallMs() - askedAtWallMs);
        if (loanAgeMs >= settings.loanLifeMs) {
            count("limits.loansExpired");
            borrowed = 0;
        }
        if (takeOwn(share, Math.max(0, 1 - borrowed))) {
            return true;
        }
        return borrowed >= 1 - tokenTolerance;
    }

    async function changeRow(
        clientAccount: string,
        limits: BucketLimits,
        change: (row: ShareRow) => Promise<ShareChange | undefined> | ShareChange | undefined,
    ): Promise<ShareChange | undefined> {
        const key = rowKey(clientAccount);
        for (let attempt = 0; attempt < rowAttempts; attempt++) {
            const rows = await tables.read([key]);
            if (rows.isErr) {
                return undefined;
            }
            const stored = rows.value[0];
            const row = stored === undefined
                ? newShareRow(limits.burstRequests)
                : shareRowSchema.parse(stored.value);
            noteHolders(clientAccount, row);
            const changed = await change(row);
            if (changed === undefined) {
                return undefined;
            }
            const outcome = await tables.commit({
                conditions: [{ ...key, version: stored?.version ?? 0 }],
                writes: [{ ...key, value: changed.row as unknown as JsonValue }],
            });
            if (outcome.isErr) {
                count("limits.rowUnknown");
                return undefined;
            }
            if (outcome.value.kind === "committed") {
                return changed;
            }
        }
        return undefined;
    }

    async function withoutEndedHolders(row: ShareRow): Promise<ShareRow> {
        const ended = new Set<string>();
        for (const holderId of Object.keys(row.units)) {
            if (holderId !== lease.holderId() && await lease.hasEnded(holderId)) {
                ended.add(holderId);
            }
        }
        return reclaimShares(row, ended);
    }

    async function grow(clientAccount: string, share: Share, limits: BucketLimits, wanted: number): Promise<void> {
        const holderId = lease.holderId();
        if (!lease.isValid()) {
            return;
        }
        const changed = await changeRow(clientAccount, limits, async row => {
            const scarce = freeUnits(row) < Math.min(wanted, minimumUnits(limits));
            const live = scarce ? await withoutEndedHolders(row) : row;
            if (freeUnits(live) < Math.min(wanted, minimumUnits(limits))) {
                return undefined;
            }
            // Free units admit nothing, so a holder that is short takes at least half of them.
            return growShare(live, holderId, Math.max(wanted, Math.ceil(freeUnits(live) / 2)));
        });
        if (changed === undefined || holderId !== lease.holderId()) {
            return;
        }
        share.units = changed.units;
        share.bucket.setFraction(changed.units / shareUnits, clock.monotonicMs(), changed.tokens);
    }

    async function shrink(clientAccount: string, share: Share, limits: BucketLimits, kept: number): Promise<void> {
        const holderId = lease.holderId();
        const tokens = shrinkBucket(share, kept);
        if (tokens === undefined) {
            return;
        }
        const changed = await changeRow(clientAccount, limits, row => shrinkShare(row, holderId, kept, tokens));
        share.units = changed?.units ?? kept;
    }

    /** Debits the bucket's part above `kept` units; returns the tokens that leave with it. */
    function shrinkBucket(share: Share, kept: number): number | undefined {
        const nowMs = clock.monotonicMs();
        const valid = lease.isValid();
        const held = share.bucket.available(nowMs);
        if (share.bucket.lentTokens(nowMs) > 0) {
            // A loan's place must stay with its lender until the loan is over.
            return undefined;
        }
        const leaving = share.units === 0 ? 0 : held * (share.units - kept) / share.units;
        share.bucket.take(leaving, nowMs);
        share.bucket.setFraction(kept / shareUnits, nowMs);
        return valid ? leaving : 0;
    }

    async function join(clientAccount: string, share: Share, limits: BucketLimits): Promise<void> {
        if (share.units > 0 || clock.monotonicMs() < share.nextJoinMs) {
            return;
        }
        share.joining ??= grow(clientAccount, share, limits, shareUnits).finally(() => {
            share.joining = undefined;
            share.nextJoinMs = clock.monotonicMs() + joinRetryMs;
        });
        await share.joining;
    }

    async function admit(clientAccount: string): Promise<AdmissionDecision> {
        const limits = dependencies.limitsOf(clientAccount);
        if (limits === undefined) {
            return refused("unknownAccount", 0);
        }
        const share = shareOf(clientAccount, limits);
        share.demand += 1;
        if (takeOwn(share, 1)) {
            return admitted(clientAccount);
        }
        share.shortfalls += 1;
        await join(clientAccount, share, limits);
        if (takeOwn(share, 1) || await takeAfterWait(share) || await takeWithLoans(clientAccount, share)) {
            return admitted(clientAccount);
        }
        if (share.units === 0 && dependencies.peers().length === 0) {
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

    function lend(clientAccount: string, tokens: number): number {
        const share = shares.get(clientAccount);
        if (share === undefined || releasing || !lease.isValid()) {
            return 0;
        }
        const nowMs = clock.monotonicMs();
        const given = share.bucket.lend(tokens, nowMs, nowMs + settings.loanLifeMs);
        share.lentTokens += given;
        return given;
    }

    async function refreshHolders(): Promise<void> {
        const accounts = [...shares].filter(([, share]) => share.shortfalls > 0).map(([clientAccount]) =>
            clientAccount
        );
        if (accounts.length === 0) {
            return;
        }
        const rows = await tables.read(accounts.map(rowKey));
        accounts.forEach((clientAccount, index) => {
            const row = rows.unwrapOr([])[index];
            if (row !== undefined) {
                noteHolders(clientAccount, shareRowSchema.parse(row.value));
            }
        });
    }

    async function rebalanceShare(clientAccount: string, share: Share): Promise<void> {
        const limits = dependencies.limitsOf(clientAccount);
        if (limits === undefined) {
            await shrink(clientAccount, share, { ratePerSecond: 0, burstRequests: 0 }, 0);
            return;
        }
        const { lentTokens, shortfalls } = share;
        const wanted = wantedUnits(measureDemand(share, clock.monotonicMs()), limits);
        if (lentTokens > 0 && share.units > wanted * shrinkThreshold) {
            await shrink(clientAccount, share, limits, Math.max(wanted, Math.ceil(share.units / 2)));
        }
        else if (shortfalls > 0 && share.units < wanted) {
            await grow(clientAccount, share, limits, wanted - share.units);
        }
    }

    return {
        admit,
        isFresh: admission =>
            clock.monotonicMs() - admission.takenAtMs < settings.maxAdmissionAgeMs
            && clock.wallMs() - admission.takenAtWallMs < settings.maxAdmissionAgeMs,
        lend,
        reload: () => {
            for (const [clientAccount, share] of shares) {
                const limits = dependencies.limitsOf(clientAccount) ?? { ratePerSecond: 0, burstRequests: 0 };
                share.bucket.setLimits(limits, clock.monotonicMs());
            }
        },
        rebalance: async () => {
            await refreshHolders();
            for (const [clientAccount, share] of shares) {
                await rebalanceShare(clientAccount, share);
            }
        },
        dropAll: () => {
            // Requests in progress may still refer to a share, so its tokens go too.
            shares.forEach(share => share.bucket.setFraction(0, clock.monotonicMs()));
            shares.clear();
        },
        releaseAll: async () => {
            releasing = true;
            const nowMs = clock.monotonicMs();
            if ([...shares.values()].some(share => share.bucket.lentTokens(nowMs) > 0)) {
                await clock.sleep(settings.loanLifeMs);
            }
            for (const [clientAccount, share] of shares) {
                const limits = dependencies.limitsOf(clientAccount);
                if (limits !== undefined && share.units > 0) {
                    await shrink(clientAccount, share, limits, 0);
                }
            }
        },
    };
}

/** The share that holds one whole token; a smaller one admits nothing by itself. */
function minimumUnits(limits: BucketLimits): number {
    return Math.min(shareUnits, Math.ceil(shareUnits / Math.max(1, limits.burstRequests)));
}

function wantedUnits(demandPerSecond: number, limits: BucketLimits): number {
    const proportional = shareUnits * demandHeadroom * demandPerSecond / limits.ratePerSecond;
    return Math.min(shareUnits, Math.max(minimumUnits(limits), Math.ceil(proportional)));
}

/** Smooths the demand since the last measurement and starts the next one. */
function measureDemand(share: Share, nowMs: number): number {
    const elapsedSeconds = Math.max(0.001, (nowMs - share.measuredAtMs) / msPerSecond);
    const perSecond = share.demand / elapsedSeconds;
    share.demandPerSecond += demandSmoothing * (perSecond - share.demandPerSecond);
    share.measuredAtMs = nowMs;
    share.demand = 0;
    share.shortfalls = 0;
    share.lentTokens = 0;
    return share.demandPerSecond;
}
