/**
 * Retry budget per service over a sliding window, divided among all entries. A retry sends a request to another engine.
 *
 * Each entry spends at most its own part: a ratio of the requests that it received itself, plus an equal part of the
 * fixed slack. Entries need no communication for this, and no sequence of crashes and restarts exceeds the whole budget
 * by more than the new part of a restarted entry.
 */

import type { Clock } from "../common/clock.js";

export interface RetryBudgetSettings {
    /** Retries allowed per request of the window. */
    readonly ratio: number;
    /** Retries allowed per window in addition, for all entries together. */
    readonly slack: number;
    readonly windowMs: number;
}

export interface FleetRetryBudget {
    /** Counts a request, which adds to the budget. */
    readonly recordRequest: (service: string) => void;
    /** Takes one retry if this entry's part of the budget allows it; returns whether it was taken. */
    readonly take: (service: string) => boolean;
    /** Counts a retry that was not taken from the budget beforehand, such as after a rejected send. */
    readonly recordRetry: (service: string) => void;
    /** Sets the number of entries that share the slack. */
    readonly setEntryCount: (entries: number) => void;
}

/** Times of the requests and retries of one service within the window. */
interface Window {
    readonly requestsAtMs: number[];
    readonly retriesAtMs: number[];
}

/** Fraction of the whole budget that entries spend; the rest covers restarted entries and calls in flight. */
const usableFraction = 0.7;

export function createFleetRetryBudget(clock: Clock, settings: RetryBudgetSettings): FleetRetryBudget {
    const windows = new Map<string, Window>();
    let entries = 1;

    function windowOf(service: string): Window {
        const window = windows.get(service) ?? { requestsAtMs: [], retriesAtMs: [] };
        windows.set(service, window);
        const startMs = clock.monotonicMs() - settings.windowMs;
        for (const times of [window.requestsAtMs, window.retriesAtMs]) {
            while ((times[0] ?? startMs) < startMs) {
                times.shift();
            }
        }
        return window;
    }

    return {
        recordRequest: service => void windowOf(service).requestsAtMs.push(clock.monotonicMs()),
        take: service => {
            const window = windowOf(service);
            const allowed = usableFraction
                * (settings.ratio * window.requestsAtMs.length + settings.slack / Math.max(1, entries));
            if (window.retriesAtMs.length + 1 > allowed) {
                return false;
            }
            window.retriesAtMs.push(clock.monotonicMs());
            return true;
        },
        recordRetry: service => void windowOf(service).retriesAtMs.push(clock.monotonicMs()),
        setEntryCount: count => {
            entries = count;
        },
    };
}
