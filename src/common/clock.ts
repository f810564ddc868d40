/**
 * The clock interface, which tests replace with a virtual clock.
 *
 * Leases are checked against both the monotonic and the wall clock: the monotonic clock does not jump, and the wall
 * clock continues while a machine is suspended.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

/** A monotonic clock, a wall clock and timers. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never decreases. */
    readonly monotonicMs: () => number;
    /** Milliseconds since the Unix epoch. */
    readonly wallMs: () => number;
    /** Resolves after `durationMs`, or at once when `signal` aborts. Never rejects. */
    readonly sleep: (durationMs: number, signal?: AbortSignal) => Promise<void>;
    /**
     * Calls `onExpired` once after `durationMs`, which may be fractional, zero or negative, unless the returned function is
     * called before.
     */
    readonly startTimer: (durationMs: number, onExpired: () => void) => () => void;
}

/** Longest duration of a timer of Node.js; a longer one would expire at once. */
const maxTimerMs = 2_147_483_647;

/** The clocks of this machine. */
export const systemClock: Clock = {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    sleep: async (durationMs, signal) => {
        try {
            await delay(durationMs, undefined, { signal });
        }
        catch {
            // An aborted sleep resolves early; the caller checks its own signal.
        }
    },
    startTimer: (durationMs, onExpired) => {
        const timer = setTimeout(onExpired, Math.min(maxTimerMs, Math.max(1, Math.ceil(durationMs))));
        return () => clearTimeout(timer);
    },
};
