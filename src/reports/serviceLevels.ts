/**
 * Service level indicators computed from ended requests: good requests, burn rate of the error budget, and latency, in
 * total, by time window, by client account and by route.
 *
 * A request is good if its response succeeded and its first byte came within the objective of its route. Requests that
 * fail through the caller's fault (no route, no valid key, a bad request) are not eligible and are excluded; requests
 * over their account's rate are counted separately. The report page labels eligible requests as "owed".
 */

import type { EndedRequest } from "./requestLog.js";

export interface ServiceLevelTarget {
    /** Fraction of the eligible requests that should be good, below 1. */
    readonly goodFraction: number;
    readonly windowMs: number;
}

/** Indicators of a set of requests. */
export interface Indicators {
    readonly eligible: number;
    readonly good: number;
    readonly late: number;
    /** Refused without having been run. */
    readonly refused: number;
    readonly failed: number;
    /** Over the rate limit of their account; not eligible. */
    readonly overRate: number;
    /** Fraction of bad requests divided by the fraction that the target allows; 1 consumes exactly the error budget. */
    readonly burnRate: number;
    /** Time to the first byte of successful responses; `undefined` if there were none. */
    readonly p50Ms: number | undefined;
    readonly p99Ms: number | undefined;
}

export interface WindowIndicators extends Indicators {
    readonly startMs: number;
}

export interface GroupIndicators extends Indicators {
    readonly name: string;
}

export interface ServiceLevels {
    readonly overall: Indicators;
    readonly windows: readonly WindowIndicators[];
    /** Highest burn rate first. */
    readonly byAccount: readonly GroupIndicators[];
    readonly byRoute: readonly GroupIndicators[];
}

type RequestClass = "good" | "late" | "refused" | "failed" | "overRate" | "excluded";

const excludedOutcomes: ReadonlySet<string> = new Set(["400", "401", "404", "413", "431"]);
const refusedOutcomes: ReadonlySet<string> = new Set(["408", "421", "503"]);
const overRateOutcome = "429";
const successfulOutcome = /^2\d\d$/u;
const ungroupedName = "(none)";
const medianQuantile = 0.5;
const tailQuantile = 0.99;

function classify({ outcome, firstByteMs, objectiveMs, tookMs }: EndedRequest): RequestClass {
    if (excludedOutcomes.has(outcome)) {
        return "excluded";
    }
    if (outcome === overRateOutcome) {
        return "overRate";
    }
    if (refusedOutcomes.has(outcome)) {
        return "refused";
    }
    if (!successfulOutcome.test(outcome)) {
        return "failed";
    }
    return (firstByteMs ?? tookMs) <= (objectiveMs ?? Number.POSITIVE_INFINITY) ? "good" : "late";
}

/** The smallest value that at least `fraction` of the sorted values do not exceed; `undefined` if there are none. */
function quantile(sorted: readonly number[], fraction: number): number | undefined {
    return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(fraction * sorted.length) - 1))];
}

function computeIndicators(requests: readonly EndedRequest[], { goodFraction }: ServiceLevelTarget): Indicators {
    const counts = { good: 0, late: 0, refused: 0, failed: 0, overRate: 0, excluded: 0 };
    const firstBytesMs: number[] = [];
    for (const request of requests) {
        const requestClass = classify(request);
        counts[requestClass] += 1;
        if (requestClass === "good" || requestClass === "late") {
            firstBytesMs.push(request.firstByteMs ?? request.tookMs);
        }
    }
    firstBytesMs.sort((a, b) => a - b);
    const { good, late, refused, failed, overRate } = counts;
    const eligible = good + late + refused + failed;
    return {
        eligible,
        good,
        late,
        refused,
        failed,
        overRate,
        burnRate: eligible === 0 ? 0 : (1 - good / eligible) / (1 - goodFraction),
        p50Ms: quantile(firstBytesMs, medianQuantile),
        p99Ms: quantile(firstBytesMs, tailQuantile),
    };
}

function groupIndicators(
    requests: readonly EndedRequest[],
    target: ServiceLevelTarget,
    nameOf: (request: EndedRequest) => string | undefined,
): readonly GroupIndicators[] {
    const groups = new Map<string, EndedRequest[]>();
    for (const request of requests) {
        const name = nameOf(request) ?? ungroupedName;
        const group = groups.get(name) ?? [];
        group.push(request);
        groups.set(name, group);
    }
    return [...groups]
        .map(([name, group]) => ({ name, ...computeIndicators(group, target) }))
        .filter(({ eligible, overRate }) => eligible + overRate > 0)
        .sort((a, b) => b.burnRate - a.burnRate);
}

/**
 * Computes the indicators of all requests, in total and by window, account and route. The first window starts when the
 * earliest request ended; windows without requests are omitted.
 */
export function computeServiceLevels(requests: readonly EndedRequest[], target: ServiceLevelTarget): ServiceLevels {
    const times = requests.map(({ endedAtMs }) => endedAtMs);
    const firstMs = times.reduce((least, time) => Math.min(least, time), Number.POSITIVE_INFINITY);
    const groups = new Map<number, EndedRequest[]>();
    for (const request of requests) {
        const startMs = firstMs + Math.floor((request.endedAtMs - firstMs) / target.windowMs) * target.windowMs;
        const group = groups.get(startMs) ?? [];
        group.push(request);
        groups.set(startMs, group);
    }
    const windows = [...groups]
        .sort(([a], [b]) => a - b)
        .map(([startMs, group]) => ({ startMs, ...computeIndicators(group, target) }));
    return {
        overall: computeIndicators(requests, target),
        windows,
        byAccount: groupIndicators(requests, target, ({ clientAccount }) => clientAccount),
        byRoute: groupIndicators(requests, target, ({ route }) => route),
    };
}
