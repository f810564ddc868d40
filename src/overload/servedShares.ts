/**
 * How often the requests of each priority, and of each size among them, are served, of those that have arrived lately. A
 * group that is served much less often than all requests is owed room, which bounds what others may take from it.
 */

import type { WaitingRequest } from "./yieldOrder.js";

/** What the share of a request is counted by. */
export type SharedRequest = Pick<WaitingRequest, "priority" | "work">;

export interface ServedShares {
    readonly recordArrival: (request: SharedRequest, nowMs: number) => void;
    readonly recordServed: (request: SharedRequest, nowMs: number) => void;
    /** Whether requests of the same priority, or of the same priority and about the same work, are served too seldom. */
    readonly isOwed: (request: SharedRequest, nowMs: number) => boolean;
    /** How far a request's priority is below the most urgent one that has arrived lately; 0 if it is owed room. */
    readonly stepsBehind: (request: SharedRequest, nowMs: number) => number;
}

/** Decayed numbers of requests, valid at `atMs`. */
interface Counts {
    readonly arrived: number;
    readonly served: number;
    readonly atMs: number;
}

/** Time constant with which the counts decay. */
const countDecayMs = 30_000;
/** A group is owed room below this fraction of the share that is served of all requests. */
const owedFraction = 0.5;
/** Fewer arrivals say nothing of a share. */
const minArrivals = 2;
/** For how long after its last arrival a priority counts as arriving. */
const arrivingWindowMs = 10_000;
const allRequests = "all";

/** The groups of a request: its priority, and within that the requests whose work is within a factor of two. */
function groupsOf({ priority, work }: SharedRequest): readonly string[] {
    return [String(priority), `${priority}:${Math.floor(Math.log2(Math.max(1, work)))}`];
}

export function createServedShares(): ServedShares {
    const countsByGroup = new Map<string, Counts>();
    const lastArrivalMs = new Map<number, number>();

    function countsAt(group: string, nowMs: number): Counts {
        const { arrived, served, atMs } = countsByGroup.get(group) ?? { arrived: 0, served: 0, atMs: nowMs };
        const remaining = Math.exp((atMs - nowMs) / countDecayMs);
        return { arrived: arrived * remaining, served: served * remaining, atMs: nowMs };
    }

    function record(request: SharedRequest, field: "arrived" | "served", nowMs: number): void {
        for (const group of [allRequests, ...groupsOf(request)]) {
            const counts = countsAt(group, nowMs);
            countsByGroup.set(group, { ...counts, [field]: counts[field] + 1 });
        }
    }

    function isOwed(request: SharedRequest, nowMs: number): boolean {
        const all = countsAt(allRequests, nowMs);
        return groupsOf(request).some(group => {
            const { arrived, served } = countsAt(group, nowMs);
            return arrived >= minArrivals && served * all.arrived < owedFraction * all.served * arrived;
        });
    }

    return {
        recordArrival: (request, nowMs) => {
            lastArrivalMs.set(request.priority, nowMs);
            record(request, "arrived", nowMs);
        },
        recordServed: (request, nowMs) => record(request, "served", nowMs),
        isOwed,
        stepsBehind: (request, nowMs) => {
            const moreUrgent = [...lastArrivalMs]
                .filter(([priority, atMs]) => priority < request.priority && nowMs - atMs <= arrivingWindowMs)
                .map(([priority]) => priority);
            return moreUrgent.length === 0 || isOwed(request, nowMs) ? 0 : request.priority - Math.min(...moreUrgent);
        },
    };
}
