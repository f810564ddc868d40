/**
 * Rate limiter for client accounts over all entries, based on the usage that entries report to each other.
 *
 * Each entry keeps one token bucket per account for the whole fleet. It debits the cost of the requests that it admits
 * and the cost that other entries report. It uses only the fraction of the rate and burst that belongs to entries with
 * recent reports, and leaves the rest to the others, so entries that receive no reports from each other exceed the limit
 * together by no more than the delay of peer synchronization explains. Compared with shares and borrowing
 * (`rateLimiter`), a request needs no remote call and nothing is stored; the price is an overshoot by what the entries
 * admit before they know of each other's admissions, which the platform's slack on quotas covers.
 *
 * That overshoot is what refuses callers later who are within the rate, so an account's usage is reported at once while
 * its bucket is less than half full, not only in the next round of peer synchronization.
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
    /** Debits an early report of one account; ignored before the first whole report of that start. */
    readonly applyEarlyReport: (entryStart: string, clientAccount: string, admittedCost: number) => void;
    /** Sets the fraction of the entries, from 0 to 1, whose usage is known: this one and those with recent reports. */
    readonly setReportingFraction: (fraction: number) => void;
}

interface FleetBucket {
    level: number;
    updatedAtMs: number;
    /** Cost admitted here since the last early report. */
    unreportedCost: number;
}

export interface FleetQuotaSettings {
    /** Cost that the fleet may admit beyond the bucket, so that callers within their rate are not refused. */
    readonly burstTolerance: number;
    /** Current limits of an account; reports may arrive before this entry has admitted anything for it. */
    readonly limitsOf: (clientAccount: string) => FleetQuotaLimits | undefined;
    /** Reports the usage of an account to the other entries at once. */
    readonly reportEarly: (clientAccount: string, admittedCost: number) => void;
}

/** An account's usage is reported at once while its bucket is filled to less than this fraction. */
const earlyReportFill = 0.5;
/** Least cost of an early report as a fraction of the burst, which bounds the number of reports. */
const earlyReportFraction = 1 / 16;
/** Requests that cost at most this fraction of the burst may use all of the tolerance, larger ones only a part of it. */
const smallCostFraction = 1 / 16;
const largeRequestTolerance = 0.8;

const msPerSecond = 1_000;
/** Entry starts whose last report is kept; the least recently reported one is evicted first. */
const maxRememberedStarts = 2_000;

export function createFleetQuota(clock: Clock, settings: FleetQuotaSettings): FleetQuota {
    const buckets = new Map<string, FleetBucket>();
    const ownUsage = new Map<string, number>();
    const lastReports = new Map<string, Usage>();
    let reportingFraction = 1;

    function refilledBucket(clientAccount: string, limits: FleetQuotaLimits): FleetBucket {
        const nowMs = clock.monotonicMs();
        const bucket = buckets.get(clientAccount)
            ?? { level: limits.burst * reportingFraction, updatedAtMs: nowMs, unreportedCost: 0 };
        const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
        const added = limits.ratePerSecond * reportingFraction * elapsedMs / msPerSecond;
        bucket.level = Math.min(limits.burst * reportingFraction, bucket.level + added);
        bucket.updatedAtMs = nowMs;
        buckets.set(clientAccount, bucket);
        return bucket;
    }

    /** Debits what another entry has admitted, or credits what it has refunded. */
    function debit(clientAccount: string, cost: number): void {
        const limits = settings.limitsOf(clientAccount);
        if (limits !== undefined && cost !== 0) {
            refilledBucket(clientAccount, limits).level -= cost;
        }
    }

    function count(clientAccount: string, cost: number): void {
        ownUsage.set(clientAccount, (ownUsage.get(clientAccount) ?? 0) + cost);
    }

    /**
     * Cost that may be admitted beyond the level. A large request leaves some of it to the small ones of its account,
     * which would otherwise be refused with it until its cost is refilled.
     */
    function toleranceFor(cost: number, { burst }: FleetQuotaLimits): number {
        const fraction = cost <= burst * smallCostFraction ? 1 : largeRequestTolerance;
        return settings.burstTolerance * reportingFraction * fraction;
    }

    function reportIfContended(clientAccount: string, bucket: FleetBucket, { burst }: FleetQuotaLimits): void {
        const isContended = bucket.level < burst * reportingFraction * earlyReportFill;
        if (isContended && bucket.unreportedCost >= burst * earlyReportFraction) {
            bucket.unreportedCost = 0;
            settings.reportEarly(clientAccount, ownUsage.get(clientAccount) ?? 0);
        }
    }

    return {
        admit: (clientAccount, limits, cost) => {
            if (limits.ratePerSecond <= 0) {
                return { kind: "admitted", refund: () => undefined };
            }
            const bucket = refilledBucket(clientAccount, limits);
            const missing = cost - bucket.level - toleranceFor(cost, limits);
            if (missing > 0) {
                const rate = limits.ratePerSecond * reportingFraction;
                const state = { bucketLevel: Math.round(bucket.level), reportingFraction };
                return { kind: "refused", retryAfterMs: Math.ceil(missing / rate * msPerSecond), state };
            }
            bucket.level -= cost;
            bucket.unreportedCost += cost;
            count(clientAccount, cost);
            reportIfContended(clientAccount, bucket, limits);
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
                debit(clientAccount, admittedCost - (previous[clientAccount] ?? 0));
            }
            lastReports.delete(entryStart);
            lastReports.set(entryStart, usage);
            const oldest = lastReports.size > maxRememberedStarts ? lastReports.keys().next().value : undefined;
            if (oldest !== undefined) {
                lastReports.delete(oldest);
            }
        },
        applyEarlyReport: (entryStart, clientAccount, admittedCost) => {
            const previous = lastReports.get(entryStart);
            // Messages may overtake each other, and usage decreases only by refunds, which the next whole report brings.
            if (previous === undefined || admittedCost <= (previous[clientAccount] ?? 0)) {
                return;
            }
            debit(clientAccount, admittedCost - (previous[clientAccount] ?? 0));
            lastReports.set(entryStart, { ...previous, [clientAccount]: admittedCost });
        },
        setReportingFraction: fraction => {
            reportingFraction = fraction;
        },
    };
}
