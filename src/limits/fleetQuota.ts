/**
 * Rate and burst of client accounts over all entries, from what the entries tell each other.
 *
 * Each entry keeps, per account, one bucket for the whole fleet and takes from it what it admits itself and what the
 * others say they have admitted. The part of the rate that a silent entry may be using is left to it, so that entries
 * which can't hear each other never exceed the limit together by more than the delay of the exchange allows. Weighed
 * against shares with loans (`escrow`): no call on the way of a request and nothing in the store, at the price of an
 * overshoot of one exchange interval, which the platform's slack covers.
 */

import type { Clock } from "../common/clock.js";

export interface FleetQuotaLimits {
    /** 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}

export type QuotaDecision =
    | { readonly kind: "admitted"; readonly refund: () => void; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; };

/** Units admitted since an entry's start, by account. */
export type Usage = Readonly<Record<string, number>>;

export interface FleetQuota {
    readonly admit: (clientAccount: string, limits: FleetQuotaLimits, units: number) => QuotaDecision;
    readonly usage: () => Usage;
    /** Takes up what an entry (one start of it) says it has admitted. */
    readonly noteUsage: (entryStart: string, usage: Usage) => void;
    /** Sets the part of the fleet, from 0 to 1, whose use is known: this entry and those heard lately. */
    readonly setKnownShare: (share: number) => void;
}

interface FleetBucket {
    level: number;
    updatedAtMs: number;
}

export interface FleetQuotaSettings {
    /** Units that the fleet may admit beyond the bucket, so that callers within their rate aren't refused. */
    readonly leniency: number;
}

const msPerSecond = 1_000;
/** Starts of entries whose counters are remembered; older ones are forgotten first. */
const maxRememberedStarts = 2_000;

export function createFleetQuota(clock: Clock, settings: FleetQuotaSettings): FleetQuota {
    const buckets = new Map<string, FleetBucket>();
    const own = new Map<string, number>();
    const heard = new Map<string, Usage>();
    const limitsByAccount = new Map<string, FleetQuotaLimits>();
    let knownShare = 1;

    function refilled(clientAccount: string, limits: FleetQuotaLimits): FleetBucket {
        const nowMs = clock.monotonicMs();
        const bucket = buckets.get(clientAccount) ?? { level: limits.burst * knownShare, updatedAtMs: nowMs };
        const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
        const added = limits.ratePerSecond * knownShare * elapsedMs / msPerSecond;
        bucket.level = Math.min(limits.burst * knownShare, bucket.level + added);
        bucket.updatedAtMs = nowMs;
        buckets.set(clientAccount, bucket);
        return bucket;
    }

    function count(clientAccount: string, units: number): void {
        own.set(clientAccount, (own.get(clientAccount) ?? 0) + units);
    }

    return {
        admit: (clientAccount, limits, units) => {
            if (limits.ratePerSecond <= 0) {
                return { kind: "admitted", refund: () => undefined };
            }
            limitsByAccount.set(clientAccount, limits);
            const bucket = refilled(clientAccount, limits);
            const missing = units - bucket.level - settings.leniency * knownShare;
            if (missing > 0) {
                const rate = limits.ratePerSecond * knownShare;
                return { kind: "refused", retryAfterMs: Math.ceil(missing / rate * msPerSecond) };
            }
            bucket.level -= units;
            count(clientAccount, units);
            let refunded = false;
            return {
                kind: "admitted",
                refund: () => {
                    if (!refunded) {
                        refunded = true;
                        bucket.level += units;
                        count(clientAccount, -units);
                    }
                },
            };
        },
        usage: () => Object.fromEntries(own),
        noteUsage: (entryStart, usage) => {
            // What an entry admitted before it was first heard is history; its next counts are compared with it.
            const before = heard.get(entryStart) ?? usage;
            for (const [clientAccount, units] of Object.entries(usage)) {
                const limits = limitsByAccount.get(clientAccount);
                const change = units - (before[clientAccount] ?? 0);
                if (limits !== undefined && change !== 0) {
                    refilled(clientAccount, limits).level -= change;
                }
            }
            heard.delete(entryStart);
            heard.set(entryStart, usage);
            const oldest = heard.size > maxRememberedStarts ? heard.keys().next().value : undefined;
            if (oldest !== undefined) {
                heard.delete(oldest);
            }
        },
        setKnownShare: share => {
            knownShare = share;
        },
    };
}
