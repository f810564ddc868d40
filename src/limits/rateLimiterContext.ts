/**
 * Dependencies, settings and helpers that the parts of the rate limiter (see `rateLimiter`) have in common.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { TableService } from "../platform/ports.js";
import type { BucketLimits } from "./bucket.js";
import type { HolderLease } from "./lease.js";
import type { Share } from "./share.js";
import { createShareLedger } from "./shareLedger.js";
import type { ShareLedger } from "./shareLedger.js";

/**
 * A lender's response to `borrow`. The lender debits all requested tokens or none, since a partial amount that does
 * not complete a token at the borrower would be lost.
 */
export interface BorrowResponse {
    /** Tokens that the lender has debited; 0 if it lent none. */
    readonly tokens: number;
    /** How long the borrower need not ask this lender again. */
    readonly emptyForMs: number;
}

export interface RateLimiterSettings {
    /** How long borrowed tokens may be spent; the borrower measures it from before it sends the call. */
    readonly borrowedTokenTtlMs: number;
    /** A request waits for its own bucket's refill if the next token is available within this time. */
    readonly maxTokenWaitMs: number;
    /** An older admission must be replaced by a new one before the request is dispatched. */
    readonly maxAdmissionAgeMs: number;
    /** Number of other entries that one request may ask for tokens. */
    readonly maxLenders: number;
    /** Smallest burst of a share, in tokens; a smaller share would refuse too many requests by itself. */
    readonly minimumShareTokens: number;
}

/** The response that stands for a failed call: no tokens, and the lender may be asked again at once. */
export const emptyBorrowResponse: BorrowResponse = { tokens: 0, emptyForMs: 0 };

export const defaultRateLimiterSettings: RateLimiterSettings = {
    borrowedTokenTtlMs: 300,
    maxTokenWaitMs: 40,
    maxAdmissionAgeMs: 1_000,
    maxLenders: 3,
    minimumShareTokens: 4,
};

export interface RateLimiterDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: Random;
    readonly lease: HolderLease;
    /** Current limits of an account; `undefined` if the account does not exist. */
    readonly limitsOf: (clientAccount: string) => BucketLimits | undefined;
    /** Base URL of this process. */
    readonly url: string;
    /** Base URLs of the other entry processes; candidates for lenders while an account's holders are not known. */
    readonly peers: () => readonly string[];
    /** Names of all client accounts. */
    readonly clientAccounts: () => readonly string[];
    /** Asks another entry for tokens; resolves to `emptyBorrowResponse` on any failure. */
    readonly borrow: (
        lender: string,
        clientAccount: string,
        tokens: number,
        timeoutMs: number,
    ) => Promise<BorrowResponse>;
    readonly count: (name: string, value?: number) => void;
    readonly gauge: (name: string, value: number) => void;
}

export interface RateLimiterContext {
    readonly dependencies: RateLimiterDependencies;
    readonly settings: RateLimiterSettings;
    readonly ledger: ShareLedger;
    /** Current limits of the share's account; zero if the account does not exist. */
    readonly limitsOf: (share: Share) => BucketLimits;
    /** Takes tokens from this process's bucket. Takes none without a valid lease; returns whether they were taken. */
    readonly takeOwn: (share: Share, tokens: number) => boolean;
    /** Tokens in this process's bucket; 0 without a valid lease. */
    readonly ownTokens: (share: Share) => number;
    /** Set once all shares are being returned; from then on no share grows or lends. */
    isReleasing: boolean;
}

const noLimits: BucketLimits = { ratePerSecond: 0, burstRequests: 0 };

export function createRateLimiterContext(
    dependencies: RateLimiterDependencies,
    settings: RateLimiterSettings,
): RateLimiterContext {
    const { clock, lease } = dependencies;
    return {
        dependencies,
        settings,
        ledger: createShareLedger(dependencies.tables, lease, dependencies.count),
        limitsOf: share => dependencies.limitsOf(share.clientAccount) ?? noLimits,
        takeOwn: (share, tokens) => lease.isValid() && share.bucket.take(tokens, clock.monotonicMs()),
        ownTokens: share => lease.isValid() ? share.bucket.available(clock.monotonicMs()) : 0,
        isReleasing: false,
    };
}
