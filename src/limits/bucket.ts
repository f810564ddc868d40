/**
 * One holder's token bucket for its share of an account's rate and burst.
 *
 * The share is a fraction of the account's limits. Tokens lent to another holder keep their place under the cap
 * until the loan's life is over: otherwise the refilled place and the loan could both be spent at the same instant.
 */

/** The limits that an account has over all holders together. */
export interface BucketLimits {
    readonly ratePerSecond: number;
    readonly burstRequests: number;
}

export interface TokenBucket {
    /** Tokens that can be taken now. */
    readonly available: (nowMs: number) => number;
    /** Takes all of `tokens` or none; tells whether they were taken. */
    readonly take: (tokens: number, nowMs: number) => boolean;
    /**
     * Takes `tokens` for another holder and withholds their place under the cap until `untilMs`. Gives all of them or
     * none: parts that do not add up to a whole token at the borrower would be lost.
     */
    readonly lend: (tokens: number, nowMs: number, untilMs: number) => boolean;
    /** Changes the fraction; growing adds `tokens` only, shrinking drops what is above the new cap. */
    readonly setFraction: (fraction: number, nowMs: number, tokens?: number) => void;
    readonly setLimits: (limits: BucketLimits, nowMs: number) => void;
    readonly fraction: () => number;
    /** Tokens on loans whose life is not over. */
    readonly lentTokens: (nowMs: number) => number;
    /** Time until `tokens` will have been refilled; infinite if the share never holds that much. */
    readonly waitMs: (tokens: number, nowMs: number) => number;
}

interface Loan {
    readonly tokens: number;
    readonly untilMs: number;
}

const msPerSecond = 1_000;
// Sums of fractions of tokens may fall short of a whole by rounding.
export const tokenTolerance = 1e-9;

export function createBucket(initialLimits: BucketLimits, nowMs: number): TokenBucket {
    let limits = initialLimits;
    let fraction = 0;
    let tokens = 0;
    let refilledAtMs = nowMs;
    let loans: readonly Loan[] = [];

    function lentTokens(): number {
        return loans.reduce((sum, loan) => sum + loan.tokens, 0);
    }

    function cap(): number {
        return Math.max(0, fraction * limits.burstRequests - lentTokens());
    }

    function refill(now: number): void {
        const elapsedMs = Math.max(0, now - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, now);
        // The cap of the past interval applies to its refill, so loans end only afterwards.
        tokens = Math.min(cap(), tokens + fraction * limits.ratePerSecond * elapsedMs / msPerSecond);
        loans = loans.filter(loan => loan.untilMs > now);
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
            loans = [...loans, { tokens: wanted, untilMs }];
            return true;
        },
        setFraction: (next, now, added = 0) => {
            refill(now);
            fraction = next;
            tokens = Math.min(cap(), tokens + added);
        },
        setLimits: (next, now) => {
            refill(now);
            limits = next;
            tokens = Math.min(cap(), tokens);
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
