/**
 * Token bucket of one holder for its share of an account's rate and burst.
 *
 * Tokens count requests; a request takes one. The share is a fraction of the account's limits. Lent tokens are not
 * paid back. They count against the lender's capacity until they expire at the borrower: otherwise the lender could
 * refill the same capacity, and both could spend it at the same instant.
 */

/** Limits of an account, for all holders together. */
export interface BucketLimits {
    readonly ratePerSecond: number;
    readonly burstRequests: number;
}

export interface TokenBucket {
    /** Tokens that can be taken now. */
    readonly available: (nowMs: number) => number;
    /** Takes all of `tokens` or none; returns whether they were taken. */
    readonly take: (tokens: number, nowMs: number) => boolean;
    /**
     * Takes `tokens` for another holder and reduces the capacity by them until `untilMs`. Takes all of them or none:
     * a partial amount that does not complete a token at the borrower would be lost. Returns whether they were taken.
     */
    readonly lend: (tokens: number, nowMs: number, untilMs: number) => boolean;
    /**
     * Sets the fraction of the account's limits, from 0 to 1, and adds `addedTokens` (default 0). A larger fraction
     * brings no further tokens; tokens above the new capacity are dropped.
     */
    readonly setFraction: (fraction: number, nowMs: number, addedTokens?: number) => void;
    readonly setLimits: (limits: BucketLimits, nowMs: number) => void;
    readonly fraction: () => number;
    /** Lent tokens that have not expired. */
    readonly lentTokens: (nowMs: number) => number;
    /**
     * Time until `tokens` are refilled; infinite if the share's part of the burst is smaller or its rate is zero. The
     * actual time may be longer while lent tokens reduce the capacity.
     */
    readonly waitMs: (tokens: number, nowMs: number) => number;
}

/** Tokens lent in one call; they count against the capacity until `untilMs`. */
interface Lending {
    readonly tokens: number;
    readonly untilMs: number;
}

const msPerSecond = 1_000;
/** Fractions of tokens may add up to slightly less than a whole token because of rounding. */
export const tokenTolerance = 1e-9;

export function createBucket(initialLimits: BucketLimits, nowMs: number): TokenBucket {
    let limits = initialLimits;
    let fraction = 0;
    let tokens = 0;
    let refilledAtMs = nowMs;
    let lendings: readonly Lending[] = [];

    function lentTokens(): number {
        return lendings.reduce((sum, lending) => sum + lending.tokens, 0);
    }

    function capacity(): number {
        return Math.max(0, fraction * limits.burstRequests - lentTokens());
    }

    function refill(now: number): void {
        const elapsedMs = Math.max(0, now - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, now);
        // Lendings expire after the refill: for the elapsed interval the capacity was still reduced by them.
        tokens = Math.min(capacity(), tokens + fraction * limits.ratePerSecond * elapsedMs / msPerSecond);
        lendings = lendings.filter(lending => lending.untilMs > now);
    }

    return {
        available: now => {
            refill(now);
            return tokens;
        },
        take: (wanted, now) => {
            refill(now);
            if (tokens + tokenTolerance < wanted) {
                return false;
            }
            tokens = Math.max(0, tokens - wanted);
            return true;
        },
        lend: (wanted, now, untilMs) => {
            refill(now);
            if (tokens + tokenTolerance < wanted) {
                return false;
            }
            tokens = Math.max(0, tokens - wanted);
            lendings = [...lendings, { tokens: wanted, untilMs }];
            return true;
        },
        setFraction: (next, now, added = 0) => {
            refill(now);
            fraction = next;
            tokens = Math.min(capacity(), tokens + added);
        },
        setLimits: (next, now) => {
            refill(now);
            limits = next;
            tokens = Math.min(capacity(), tokens);
        },
        fraction: () => fraction,
        lentTokens: now => {
            refill(now);
            return lentTokens();
        },
        waitMs: (wanted, now) => {
            refill(now);
            const missing = wanted - tokens;
            if (missing <= tokenTolerance) {
                return 0;
            }
            if (fraction * limits.burstRequests < wanted || fraction * limits.ratePerSecond === 0) {
                return Number.POSITIVE_INFINITY;
            }
            return missing / (fraction * limits.ratePerSecond) * msPerSecond;
        },
    };
}
