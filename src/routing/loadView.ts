/**
 * An entry's estimate of the load of endpoints: the load in each agent's last response, plus the work that this entry
 * has sent there since, which the agent's report does not include yet.
 */

import type { Clock } from "../common/clock.js";
import type { EndpointLoad } from "../endpoint/messages.js";

export interface EstimatedLoad {
    /** Running and queued requests, per slot. */
    readonly requestsPerSlot: number;
    /** Tokens that were queued at the last report or were sent since. */
    readonly backlogTokens: number;
    readonly kvFreeBytes: number;
    readonly unavailable: boolean;
}

export interface LoadView {
    readonly estimate: (endpoint: string, slots: number) => EstimatedLoad;
    /** Stores the load that an agent reported and resets the count of work sent. */
    readonly recordReport: (endpoint: string, load: EndpointLoad) => void;
    /** Counts work sent to an endpoint until its next report; call `end` when the work has ended. */
    readonly recordSent: (endpoint: string, tokens: number) => { readonly end: () => void; };
}

interface TrackedLoad {
    report: EndpointLoad | undefined;
    reportedAtMs: number;
    sentRequests: number;
    sentTokens: number;
}

/** An endpoint that reported itself as draining or down is used again after this time without a report. */
const unavailableRetryMs = 2_000;

export function createLoadView(clock: Clock): LoadView {
    const trackedByEndpoint = new Map<string, TrackedLoad>();

    function trackedLoadOf(endpoint: string): TrackedLoad {
        const tracked = trackedByEndpoint.get(endpoint)
            ?? { report: undefined, reportedAtMs: 0, sentRequests: 0, sentTokens: 0 };
        trackedByEndpoint.set(endpoint, tracked);
        return tracked;
    }

    return {
        estimate: (endpoint, slots) => {
            const { report, reportedAtMs, sentRequests, sentTokens } = trackedLoadOf(endpoint);
            const recent = clock.monotonicMs() - reportedAtMs < unavailableRetryMs;
            const reported = report === undefined ? 0 : report.activeSlots + report.queuedRequests;
            return {
                requestsPerSlot: (reported + sentRequests) / Math.max(1, report?.slots ?? slots),
                backlogTokens: (report?.queuedTokens ?? 0) + sentTokens,
                kvFreeBytes: report?.kvFreeBytes ?? Number.POSITIVE_INFINITY,
                unavailable: recent && (report?.unavailable ?? false),
            };
        },
        recordReport: (endpoint, load) => {
            const tracked = trackedLoadOf(endpoint);
            tracked.report = load;
            tracked.reportedAtMs = clock.monotonicMs();
            tracked.sentRequests = 0;
            tracked.sentTokens = 0;
        },
        recordSent: (endpoint, tokens) => {
            const tracked = trackedLoadOf(endpoint);
            const reportAtStart = tracked.report;
            tracked.sentRequests += 1;
            tracked.sentTokens += tokens;
            return {
                end: () => {
                    // A report that arrived in the meantime has already reset the count.
                    if (tracked.report === reportAtStart) {
                        tracked.sentRequests = Math.max(0, tracked.sentRequests - 1);
                        tracked.sentTokens = Math.max(0, tracked.sentTokens - tokens);
                    }
                },
            };
        },
    };
}
