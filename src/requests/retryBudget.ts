/**
 * Limits retries to a fraction of the requests, per client account and pool, so that retries cannot amplify an
 * overload.
 */

export interface RetryBudget {
    /** Counts a new request, which adds `retriesPerRequest` to the budget. */
    readonly recordRequest: (clientAccount: string, pool: string) => void;
    /** Takes one retry from the budget; returns false if less than one is left. */
    readonly takeRetry: (clientAccount: string, pool: string) => boolean;
}

const retriesPerRequest = 0.2;
/** Budget of an account and pool before their first request. */
const initialRetries = 10;
const maxRetries = 50;

export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();

    function keyOf(clientAccount: string, pool: string): string {
        return `${clientAccount}/${pool}`;
    }

    return {
        recordRequest: (clientAccount, pool) => {
            const key = keyOf(clientAccount, pool);
            balances.set(key, Math.min(maxRetries, (balances.get(key) ?? initialRetries) + retriesPerRequest));
        },
        takeRetry: (clientAccount, pool) => {
            const key = keyOf(clientAccount, pool);
            const balance = balances.get(key) ?? initialRetries;
            if (balance < 1) {
                return false;
            }
            balances.set(key, balance - 1);
            return true;
        },
    };
}
