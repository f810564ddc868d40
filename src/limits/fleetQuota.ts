/**
 * Rate limiter for client accounts over all entries, based on the usage that entries report to each other.
 *
 * Each entry keeps one token bucket per account for the whole fleet. It debits the cost of the requests that it admits
 * and the cost that other entries report. It uses only the fraction of the rate and burst that belongs to entries with
 * recent reports, and leaves the rest to the others, so entries that receive no reports from each other exceed the limit
 * together by no more than the delay of peer synchronization explains. Compared with shares and borrowing
 * (`rateLimiter`), a request needs no remote call and nothing is stored; the price is an overshoot of one interval of
 * peer synchronization, which the platform's slack on quotas covers.
 */

import type { Clock } from "../common/clock.js";

export interface FleetQuotaLimits {
    /** Cost per second; 0 means no limit. */
    readonly ratePerSecond: number;
    /** Cost that may be admitted at once. */
    readonly burst: number;
}

export type QuotaDecision =
    /** `refund` returns the cost of a request that was not run; only its first call counts. */
    | { readonly kind: "admitted"; readonly refund: () => void; }
    | {
        readonly kind: "refused";
        readonly retryAfterMs: number;
        /** What the decision was based on, for the log. */
        readonly state: QuotaState;
    };

export interface QuotaState {
    /** Cost that the account's bucket covered; negative after admissions of other entries. */
    readonly bucketLevel: number;
    /** Fraction of the rate and burst that this entry used, see `setReportingFraction`. */
    readonly reportingFraction: number;
}

/** Cost admitted since an entry's start, less refunds, by account. */
export type Usage = Readonly<Record<string, number>>;

export interface FleetQuota {
    /** Admits a request if the account's bucket covers its cost, which is 1 or a number of model tokens. */
    readonly admit: (clientAccount: string, limits: FleetQuotaLimits, cost: number) => QuotaDecision;
    /** Usage of this entry, to be reported to the others. */
    readonly usage: () => Usage;
    /**
     * Debits what another entry has admitted since its previous report. `entryStart` identifies one start of that
     * entry's process; the first report of a start only sets the baseline.
     */
    readonly applyReportedUsage: (entryStart: string, usage: Usage) => void;
    /** Sets the fraction of the entries, from 0 to 1, whose usage is known: this one and those with recent reports. */
    readonly setReportingFraction: (fraction: number) => void;
}

interface FleetBucket {
    level: number;
    updatedAtMs: number;
}

export interface FleetQuotaSettings {
    /** Cost that the fleet may admit beyond the bucket, so that callers within their rate are not refused. */
    readonly burstTolerance: number;
}

const msPerSecond = 1_000;
/** Entry starts whose last report is kept; the least recently reported one is evicted first. */
const maxRememberedStarts = 2_000;

export function createFleetQuota(clock: Clock, settings: FleetQuotaSettings): FleetQuota {
    const buckets = new Map<string, FleetBucket>();
    const ownUsage = new Map<string, number>();
    const lastReports = new Map<string, Usage>();
    const limitsByAccount = new Map<string, FleetQuotaLimits>();
    let reportingFraction = 1;

    function refilledBucket(clientAccount: string, limits: FleetQuotaLimits): FleetBucket {
        const nowMs = clock.monotonicMs();
        const bucket = buckets.get(clientAccount) ?? { level: limits.burst * reportingFraction, updatedAtMs: nowMs };
        const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
        const added = limits.ratePerSecond * reportingFraction * elapsedMs / msPerSecond;
        bucket.level = Math.min(limits.burst * reportingFraction, bucket.level + added);
        bucket.updatedAtMs = nowMs;
        buckets.set(clientAccount, bucket);
        return bucket;
    }

    function count(clientAccount: string, cost: number): void {
        ownUsage.set(clientAccount, (ownUsage.get(clientAccount) ?? 0) + cost);
    }

    return {
        admit: (clientAccount, limits, cost) => {
            if (limits.ratePerSecond <= 0) {
                return { kind: "admitted", refund: () => undefined };
            }
            limitsByAccount.set(clientAccount, limits);
            const bucket = refilledBucket(clientAccount, limits);
            const missing = cost - bucket.level - settings.burstTolerance * reportingFraction;
            if (missing > 0) {
                const rate = limits.ratePerSecond * reportingFraction;
                const state = { bucketLevel: Math.round(bucket.level), reportingFraction };
                return { kind: "refused", retryAfterMs: Math.ceil(missing / rate * msPerSecond), state };
            }
            bucket.level -= cost;
            count(clientAccount, cost);
            let refunded = false;
            return {
                kind: "admitted",
                refund: () => {
                    if (!refunded) {
                        refunded = true;
                        bucket.level += cost;
                        count(clientAccount, -cost);
                    }
                },
            };
        },
        usage: () => Object.fromEntries(ownUsage),
        applyReportedUsage: (entryStart, usage) => {
            // The first report is only the baseline: what an entry admitted earlier is not charged to the account.
            const previous = lastReports.get(entryStart) ?? usage;
            for (const [clientAccount, admittedCost] of Object.entries(usage)) {
                const limits = limitsByAccount.get(clientAccount);
                const change = admittedCost - (previous[clientAccount] ?? 0);
                if (limits !== undefined && change !== 0) {
                    refilledBucket(clientAccount, limits).level -= change;
                }
            }
            lastReports.delete(entryStart);
            lastReports.set(entryStart, usage);
            const oldest = lastReports.size > maxRememberedStarts ? lastReports.keys().next().value : undefined;
            if (oldest !== undefined) {
                lastReports.delete(oldest);
            }
        },
        setReportingFraction: fraction => {
            reportingFraction = fraction;
        },
    };
}
