/**
 * Time as a set of functions, so that tests can pass their own.
 *
 * Leases are checked against both clocks: the monotonic one does not jump, and the wall clock goes on while a
 * machine is suspended.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

/** The two clocks and the timer that a module needs. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never goes back. */
    readonly monotonicMs: () => number;
    /** Milliseconds since the Unix epoch. */
    readonly wallMs: () => number;
    /** Resolves after `durationMs`, or at once when `signal` aborts. Never rejects. */
    readonly sleep: (durationMs: number, signal?: AbortSignal) => Promise<void>;
    /** A signal that aborts with a `TimeoutError` after `durationMs`, which may be a fraction or already over. */
    readonly timeout: (durationMs: number) => AbortSignal;
}

/** The clocks of this machine. */
export const systemClock: Clock = {
    monotonicMs: () => performance.now(),
    wallMs: () => Date.now(),
    sleep: async (durationMs, signal) => {
        try {
            await delay(durationMs, undefined, { signal });
        }
        catch {
            // An aborted sleep ends early; the caller looks at its own signal.
        }
    },
    timeout: durationMs => AbortSignal.timeout(Math.max(1, Math.ceil(durationMs))),
};
