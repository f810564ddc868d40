/**
 * What an entry believes about the load of endpoints: each agent's last answer, plus the work that this entry has
 * sent there since. Reports lag, so the entry's own recent work must be added.
 */

import type { Clock } from "../common/clock.js";
import type { EndpointLoad } from "../endpoint/messages.js";

export interface EstimatedLoad {
    /** Requests running or waiting, per slot. */
    readonly requestsPerSlot: number;
    /** Tokens of work that wait or were sent since the last report. */
    readonly backlogTokens: number;
    readonly kvFreeBytes: number;
    readonly unavailable: boolean;
}

export interface LoadView {
    readonly estimate: (endpoint: string, slots: number) => EstimatedLoad;
    readonly noteReport: (endpoint: string, load: EndpointLoad) => void;
    /** Counts work sent to an endpoint until its next report; call `end` when it is over. */
    readonly noteSent: (endpoint: string, tokens: number) => { readonly end: () => void; };
}

interface View {
    report: EndpointLoad | undefined;
    reportedAtMs: number;
    sentRequests: number;
    sentTokens: number;
}

/** An endpoint that refused work because it was draining or down is asked again after this time. */
const unavailableMs = 2_000;

export function createLoadView(clock: Clock): LoadView {
    const views = new Map<string, View>();

    function viewOf(endpoint: string): View {
        const view = views.get(endpoint) ?? { report: undefined, reportedAtMs: 0, sentRequests: 0, sentTokens: 0 };
        views.set(endpoint, view);
        return view;
    }

    return {
        estimate: (endpoint, slots) => {
            const { report, reportedAtMs, sentRequests, sentTokens } = viewOf(endpoint);
            const recent = clock.monotonicMs() - reportedAtMs < unavailableMs;
            const reported = report === undefined ? 0 : report.activeSlots + report.queuedRequests;
            return {
                requestsPerSlot: (reported + sentRequests) / Math.max(1, report?.slots ?? slots),
                backlogTokens: (report?.queuedTokens ?? 0) + sentTokens,
                kvFreeBytes: report?.kvFreeBytes ?? Number.POSITIVE_INFINITY,
                unavailable: recent && (report?.unavailable ?? false),
            };
        },
        noteReport: (endpoint, load) => {
            const view = viewOf(endpoint);
            view.report = load;
            view.reportedAtMs = clock.monotonicMs();
            view.sentRequests = 0;
            view.sentTokens = 0;
        },
        noteSent: (endpoint, tokens) => {
            const view = viewOf(endpoint);
            const reportAtStart = view.report;
            view.sentRequests += 1;
            view.sentTokens += tokens;
            return {
                end: () => {
                    // A report that came meanwhile has taken this work out of the count already.
                    if (view.report === reportAtStart) {
                        view.sentRequests = Math.max(0, view.sentRequests - 1);
                        view.sentTokens = Math.max(0, view.sentTokens - tokens);
                    }
                },
            };
        },
    };
}
