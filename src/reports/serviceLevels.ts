/**
 * Service levels from ended requests: which were good, how fast the allowance for bad ones burns, who is served worst.
 *
 * A request is good if its answer succeeded and began within its route's objective. Requests that the service does not
 * owe (no route, no valid key, a bad request) are left out; those over their account's rate are counted apart.
 */

import type { EndedRequest } from "./requestLog.js";

export interface LevelTarget {
    /** Part of the requests that is to be good, below 1. */
    readonly goodPart: number;
    readonly windowMs: number;
}

/** Figures of some requests. */
export interface Levels {
    readonly owed: number;
    readonly good: number;
    readonly late: number;
    /** Refused as not run. */
    readonly refused: number;
    readonly failed: number;
    /** Over their account's rate; not among those owed. */
    readonly overRate: number;
    /** How many times as fast as the target allows bad requests come; 1 just uses the allowance up. */
    readonly burn: number;
    /** Time to the first byte of successful answers; `undefined` if there were none. */
    readonly p50Ms: number | undefined;
    readonly p99Ms: number | undefined;
}

export interface WindowLevels extends Levels {
    readonly startMs: number;
}

export interface NamedLevels extends Levels {
    readonly name: string;
}

export interface ServiceLevels {
    readonly whole: Levels;
    readonly windows: readonly WindowLevels[];
    /** Worst served first. */
    readonly byAccount: readonly NamedLevels[];
    readonly byRoute: readonly NamedLevels[];
}

type Verdict = "good" | "late" | "refused" | "failed" | "overRate" | "notOwed";

const notOwedOutcomes: ReadonlySet<string> = new Set(["400", "401", "404", "413", "431"]);
const refusedOutcomes: ReadonlySet<string> = new Set(["408", "421", "503"]);
const overRateOutcome = "429";
const successfulOutcome = /^2\d\d$/u;
const unnamed = "(none)";
const medianPart = 0.5;
const highPart = 0.99;

function verdictOf({ outcome, firstByteMs, objectiveMs, tookMs }: EndedRequest): Verdict {
    if (notOwedOutcomes.has(outcome)) {
        return "notOwed";
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

/** The value that `part` of the sorted values do not exceed. */
function quantile(sorted: readonly number[], part: number): number | undefined {
    return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(part * sorted.length) - 1))];
}

function levelsOf(requests: readonly EndedRequest[], { goodPart }: LevelTarget): Levels {
    const counts = { good: 0, late: 0, refused: 0, failed: 0, overRate: 0, notOwed: 0 };
    const firstBytesMs: number[] = [];
    for (const request of requests) {
        const verdict = verdictOf(request);
        counts[verdict] += 1;
        if (verdict === "good" || verdict === "late") {
            firstBytesMs.push(request.firstByteMs ?? request.tookMs);
        }
    }
    firstBytesMs.sort((a, b) => a - b);
    const { good, late, refused, failed, overRate } = counts;
    const owed = good + late + refused + failed;
    return {
        owed,
        good,
        late,
        refused,
        failed,
        overRate,
        burn: owed === 0 ? 0 : (1 - good / owed) / (1 - goodPart),
        p50Ms: quantile(firstBytesMs, medianPart),
        p99Ms: quantile(firstBytesMs, highPart),
    };
}

function byName(
    requests: readonly EndedRequest[],
    target: LevelTarget,
    nameOf: (request: EndedRequest) => string | undefined,
): readonly NamedLevels[] {
    const groups = new Map<string, EndedRequest[]>();
    for (const request of requests) {
        const name = nameOf(request) ?? unnamed;
        const group = groups.get(name) ?? [];
        group.push(request);
        groups.set(name, group);
    }
    return [...groups]
        .map(([name, group]) => ({ name, ...levelsOf(group, target) }))
        .filter(({ owed, overRate }) => owed + overRate > 0)
        .sort((a, b) => b.burn - a.burn);
}

export function computeServiceLevels(requests: readonly EndedRequest[], target: LevelTarget): ServiceLevels {
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
        .map(([startMs, group]) => ({ startMs, ...levelsOf(group, target) }));
    return {
        whole: levelsOf(requests, target),
        windows,
        byAccount: byName(requests, target, ({ clientAccount }) => clientAccount),
        byRoute: byName(requests, target, ({ route }) => route),
    };
}
