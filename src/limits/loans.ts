/**
 * Loans of tokens between holders: a share that is short asks others, and answers when it is asked.
 */

import { pickSome } from "../common/random.js";
import { tokenTolerance } from "./bucket.js";
import { noLoan } from "./escrowContext.js";
import type { EscrowContext, Loan } from "./escrowContext.js";
import { byPreference } from "./preference.js";
import type { Share } from "./share.js";

export interface Loans {
    /** Takes one token, as far as needed from other holders. */
    readonly takeWithLoans: (share: Share) => Promise<boolean>;
    /** Serves a peer's `borrow`; `undefined` is an account of which no share is held. */
    readonly lend: (share: Share | undefined, tokens: number) => Loan;
}

/** Longest time for which a lender that had nothing is not asked again. */
const maxEmptyMs = 500;

export function createLoans(context: EscrowContext): Loans {
    const { dependencies, settings, ledger, takeOwn, ownTokens } = context;
    const { clock, random, lease, count } = dependencies;

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

    function lend(share: Share | undefined, tokens: number): Loan {
        if (share === undefined || share.units === 0 || context.isReleasing || !lease.isValid()) {
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

    return { takeWithLoans, lend };
}
