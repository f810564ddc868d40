/**
 * Bounds retries to a part of the requests, per client account and pool, so that retries can't multiply an overload.
 */

export interface RetryBudget {
    /** Notes a new request, which earns a part of a retry. */
    readonly noteRequest: (clientAccount: string, pool: string) => void;
    /** Takes one retry if the budget has it. */
    readonly takeRetry: (clientAccount: string, pool: string) => boolean;
}

const retriesPerRequest = 0.2;
const initialRetries = 10;
const maxRetries = 50;

export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();

    function keyOf(clientAccount: string, pool: string): string {
        return `${clientAccount}/${pool}`;
    }

    return {
        noteRequest: (clientAccount, pool) => {
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
