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
}

/** Decayed numbers of requests, valid at `atMs`. */
interface Counts {
    readonly arrived: number;
    readonly served: number;
    readonly atMs: number;
}

/** Time constant with which the counts decay. */
const countDecayMs = 10_000;
/** A group is owed room below this fraction of the share that is served of all requests. */
const owedFraction = 0.5;
/** Fewer arrivals say nothing of a share. */
const minArrivals = 2;
const allRequests = "all";

/** The groups of a request: its priority, and within that the requests whose work is within a factor of two. */
function groupsOf({ priority, work }: SharedRequest): readonly string[] {
    return [String(priority), `${priority}:${Math.floor(Math.log2(Math.max(1, work)))}`];
}

export function createServedShares(): ServedShares {
    const countsByGroup = new Map<string, Counts>();

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

    return {
        recordArrival: (request, nowMs) => record(request, "arrived", nowMs),
        recordServed: (request, nowMs) => record(request, "served", nowMs),
        isOwed: (request, nowMs) => {
            const all = countsAt(allRequests, nowMs);
            return groupsOf(request).some(group => {
                const { arrived, served } = countsAt(group, nowMs);
                return arrived >= minArrivals && served * all.arrived < owedFraction * all.served * arrived;
            });
        },
    };
}
