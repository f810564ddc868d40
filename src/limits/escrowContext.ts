/**
 * What the parts of the admission by shares have in common: their dependencies, settings and the use of own tokens.
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

export interface EscrowContext {
    readonly dependencies: EscrowDependencies;
    readonly settings: EscrowSettings;
    readonly ledger: ShareLedger;
    readonly limitsOf: (share: Share) => BucketLimits;
    /** Takes tokens of the own share; none are taken without a valid lease. */
    readonly takeOwn: (share: Share, tokens: number) => boolean;
    readonly ownTokens: (share: Share) => number;
    /** Set when all shares are being given back: none grows or lends any more. */
    isReleasing: boolean;
}

const noLimits: BucketLimits = { ratePerSecond: 0, burstRequests: 0 };

export function createEscrowContext(dependencies: EscrowDependencies, settings: EscrowSettings): EscrowContext {
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
