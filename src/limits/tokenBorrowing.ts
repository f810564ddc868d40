/**
 * Borrowing of tokens between holders: a holder that is short of tokens asks others, and lends when it is asked.
 *
 * Borrowed tokens are spent at once or lost; they are not paid back.
 */

import { pickSome } from "../common/random.js";
import { tokenTolerance } from "./bucket.js";
import { rankByRendezvousHash } from "./defaultHolders.js";
import { emptyBorrowResponse } from "./rateLimiterContext.js";
import type { BorrowResponse, RateLimiterContext } from "./rateLimiterContext.js";
import type { Share } from "./share.js";

export interface TokenBorrowing {
    /** Takes one token, borrowing what this process's bucket lacks; returns whether it was taken. */
    readonly takeWithBorrowing: (share: Share) => Promise<boolean>;
    /** Handles another entry's `borrow` call; `share` is `undefined` if this process has none of the account. */
    readonly lend: (share: Share | undefined, tokens: number) => BorrowResponse;
}

/** Longest time during which a lender that lent nothing is not asked again. */
const maxEmptyMs = 500;

export function createTokenBorrowing(context: RateLimiterContext): TokenBorrowing {
    const { dependencies, settings, ledger, takeOwn, ownTokens } = context;
    const { clock, random, lease, count } = dependencies;

    function lendersOf(share: Share): readonly string[] {
        const holders = ledger.holdersOf(share.clientAccount);
        const nowMs = clock.monotonicMs();
        const mayHaveTokens = (url: string): boolean => (share.emptyUntilMs.get(url) ?? 0) <= nowMs;
        if (holders.length > 0) {
            return pickSome(random, holders.filter(mayHaveTokens), settings.maxLenders);
        }
        // An account's default holders keep a share of it, so they are asked while its row cannot be read.
        return rankByRendezvousHash(share.clientAccount, dependencies.peers()).filter(mayHaveTokens).slice(
            0,
            settings.maxLenders,
        );
    }

    async function borrowFrom(lender: string, share: Share, tokens: number): Promise<BorrowResponse> {
        count("limits.borrowCalls");
        const response = await dependencies.borrow(lender, share.clientAccount, tokens, settings.borrowedTokenTtlMs);
        share.emptyUntilMs.set(lender, clock.monotonicMs() + Math.min(maxEmptyMs, response.emptyForMs));
        return response;
    }

    async function borrowMissingTokens(share: Share): Promise<number> {
        if (clock.monotonicMs() < share.nextBorrowMs) {
            return 0;
        }
        let emptyForMs = maxEmptyMs;
        for (const lender of lendersOf(share)) {
            const missing = 1 - ownTokens(share);
            if (missing <= tokenTolerance) {
                return 0;
            }
            const response = await borrowFrom(lender, share, missing);
            if (response.tokens > 0) {
                return response.tokens;
            }
            emptyForMs = Math.min(emptyForMs, response.emptyForMs);
        }
        // If no lender has tokens, asking again for every request would only cost messages.
        share.nextBorrowMs = clock.monotonicMs() + emptyForMs;
        return 0;
    }

    async function takeWithBorrowing(share: Share): Promise<boolean> {
        const askedAtMs = clock.monotonicMs();
        const askedAtWallMs = clock.wallMs();
        let borrowed = await borrowMissingTokens(share);
        const elapsedMs = Math.max(clock.monotonicMs() - askedAtMs, clock.wallMs() - askedAtWallMs);
        if (elapsedMs >= settings.borrowedTokenTtlMs) {
            count("limits.loansExpired");
            borrowed = 0;
        }
        return takeOwn(share, Math.max(0, 1 - borrowed)) || borrowed >= 1 - tokenTolerance;
    }

    function lend(share: Share | undefined, tokens: number): BorrowResponse {
        if (share === undefined || share.units === 0 || context.isReleasing || !lease.isValid()) {
            return { ...emptyBorrowResponse, emptyForMs: maxEmptyMs };
        }
        const nowMs = clock.monotonicMs();
        if (share.bucket.lend(tokens, nowMs, nowMs + settings.borrowedTokenTtlMs)) {
            share.lentTokens += tokens;
            return { ...emptyBorrowResponse, tokens };
        }
        const emptyForMs = Math.min(maxEmptyMs, share.bucket.waitMs(tokens, nowMs));
        return { tokens: 0, emptyForMs };
    }

    return { takeWithBorrowing, lend };
}
