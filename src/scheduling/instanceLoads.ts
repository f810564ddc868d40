/**
 * What this entry knows of the load of instances of plain services that report it: the calls in flight there, and how long
 * a call sent now would take.
 *
 * A report is exact at its time, so while it is fresh the calls in flight are those that it names and the change in this
 * entry's own since. Later the counts of all entries are used, which lag by a round of peer synchronization. A reported
 * slowdown fades towards the usual speed, since it changes many times a second.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import { startKey } from "../engines/engineNotices.js";
import type { EngineRecord } from "../engines/enginePort.js";
import type { ReportedLoads } from "../engines/reportedLoads.js";

/** Load of one instance now. */
export interface InstanceLoad {
    readonly inFlight: number;
    readonly slots: number;
    /** Duration of work as a multiple of the usual one; `undefined` if the instance does not say. */
    readonly slowdown: number | undefined;
    /** This entry has a recent report, or calls in flight that will bring one. */
    readonly isObserved: boolean;
}

export interface InstanceLoads {
    /** `undefined` for an instance that does not report its load, and for a model engine. */
    readonly loadOf: (engine: EngineRecord) => InstanceLoad | undefined;
    /** How long a service's calls take that need not wait for a slot; `undefined` before the first. */
    readonly usualMs: (service: string) => number | undefined;
    /** Records the duration of a successful call; `sentTo` is the load that its instance had when it was sent. */
    readonly recordDuration: (service: string, durationMs: number, sentTo: InstanceLoad | undefined) => void;
}

/** A report is used for about as long as the counts of other entries may be old. */
const freshMs = 450;
/** An instance whose last report is older than this counts as one that does not report. */
const maxReportAgeMs = 10_000;
/** Time constant with which a reported slowdown fades. */
const slowdownFadeMs = 500;
const usualWeight = 1 / 8;
/** A call counts as at most this multiple of a usual one, so that one that hung does not stop admission. */
const maxUsualGrowth = 2;
const maxKnownStarts = 2_000;

export function createInstanceLoads(
    clock: Clock,
    reports: Pick<ReportedLoads, "loadOf" | "onReport">,
    loads: Pick<EngineLoads, "total" | "ownAt">,
): InstanceLoads {
    /** This entry's requests in flight at the time of the last report, by start of an instance. */
    const ownAtReport = new Map<string, number>();
    const usualMsByService = new Map<string, number>();
    reports.onReport(engine => {
        const key = startKey(engine);
        ownAtReport.delete(key);
        ownAtReport.set(key, loads.ownAt(engine.id).requests);
        removeOldest(ownAtReport, maxKnownStarts);
    });

    return {
        loadOf: engine => {
            const report = engine.stage === undefined ? reports.loadOf(engine) : undefined;
            const ageMs = clock.monotonicMs() - (report?.atMs ?? Number.NEGATIVE_INFINITY);
            if (report === undefined || ageMs > maxReportAgeMs) {
                return undefined;
            }
            const own = loads.ownAt(engine.id).requests;
            const ownChange = own - (ownAtReport.get(startKey(engine)) ?? 0);
            const isFresh = ageMs <= freshMs;
            return {
                inFlight: isFresh
                    ? Math.max(own, report.running + report.waiting + ownChange)
                    : loads.total(engine.id).requests,
                slots: report.slots,
                slowdown: report.slowdown === undefined
                    ? undefined
                    : 1 + (report.slowdown - 1) * Math.exp(-ageMs / slowdownFadeMs),
                isObserved: isFresh || own > 0,
            };
        },
        usualMs: service => usualMsByService.get(service),
        recordDuration: (service, durationMs, sentTo) => {
            if (sentTo === undefined || sentTo.inFlight >= sentTo.slots) {
                return;
            }
            const usualMs = durationMs / (sentTo.slowdown ?? 1);
            const previousMs = usualMsByService.get(service) ?? usualMs;
            const boundedMs = Math.min(usualMs, previousMs * maxUsualGrowth);
            usualMsByService.set(service, previousMs + usualWeight * (boundedMs - previousMs));
        },
    };
}

/** Expected duration of a call that is sent to an instance now, its wait for a slot included. */
export function expectedMs({ inFlight, slots, slowdown = 1 }: InstanceLoad, usualMs: number): number {
    return usualMs * slowdown * (1 + Math.max(0, inFlight + 1 - slots) / slots);
}
