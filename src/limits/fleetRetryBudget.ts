/**
 * The budget for sending a request to a second engine, which all entries share, per service and sliding window.
 *
 * Each entry spends at most its own part: the ratio of the requests that it has itself received, and an equal part of
 * the fixed slack. Entries need not talk about it, and no order of deaths and restarts exceeds the whole by more than a
 * restarted entry's new part.
 */

import type { Clock } from "../common/clock.js";

export interface RetryBudgetSettings {
    /** Repeats allowed for each request of the window. */
    readonly ratio: number;
    /** Repeats allowed besides, over all entries. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface FleetRetryBudget {
    readonly noteRequest: (service: string) => void;
    /** Takes one repeat if this entry's part has it. */
    readonly take: (service: string) => boolean;
    /** Counts a repeat that was not asked for in advance, such as a rejected send. */
    readonly noteRepeat: (service: string) => void;
    /** How many entries share the slack. */
    readonly setEntries: (entries: number) => void;
}

interface Window {
    readonly requestsAtMs: number[];
    readonly repeatsAtMs: number[];
}

/** Part of the whole budget that entries use by themselves; the rest covers restarted entries and calls in flight. */
const usablePart = 0.7;

export function createFleetRetryBudget(clock: Clock, settings: RetryBudgetSettings): FleetRetryBudget {
    const windows = new Map<string, Window>();
    let entries = 1;

    function windowOf(service: string): Window {
        const window = windows.get(service) ?? { requestsAtMs: [], repeatsAtMs: [] };
        windows.set(service, window);
        const startMs = clock.monotonicMs() - settings.windowMs;
        for (const times of [window.requestsAtMs, window.repeatsAtMs]) {
            while ((times[0] ?? startMs) < startMs) {
                times.shift();
            }
        }
        return window;
    }

    return {
        noteRequest: service => void windowOf(service).requestsAtMs.push(clock.monotonicMs()),
        take: service => {
            const window = windowOf(service);
            const allowed = usablePart
                * (settings.ratio * window.requestsAtMs.length + settings.slack / Math.max(1, entries));
            if (window.repeatsAtMs.length + 1 > allowed) {
                return false;
            }
            window.repeatsAtMs.push(clock.monotonicMs());
            return true;
        },
        noteRepeat: service => void windowOf(service).repeatsAtMs.push(clock.monotonicMs()),
        setEntries: count => {
            entries = count;
        },
    };
}
