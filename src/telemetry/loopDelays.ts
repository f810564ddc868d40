/**
 * Shows when this process was held up: by work that took long in one turn of its event loop, for lack of processor time, or
 * because its host stood still. Nothing is read, answered or timed meanwhile, signals included.
 *
 * The delays are those of a loop's own sleeps, so that measuring wakes the process up no more often.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "./telemetry.js";

export interface LoopDelays {
    /** Sleeps, and records how much later than `durationMs` it woke up. */
    readonly sleep: (durationMs: number, signal: AbortSignal) => Promise<void>;
    /** The longest delay since the last call. */
    readonly takeLongestMs: () => number;
}

/** A fifth of the time within which callers expect a connection to be accepted. */
const minLoggedMs = 200;

export function createLoopDelays(clock: Clock, log: Pick<Log, "warn">): LoopDelays {
    let longestMs = 0;
    return {
        sleep: async (durationMs, signal) => {
            const startedAtMs = clock.monotonicMs();
            await clock.sleep(durationMs, signal);
            const delayMs = Math.max(0, Math.round(clock.monotonicMs() - startedAtMs - durationMs));
            longestMs = Math.max(longestMs, delayMs);
            if (delayMs >= minLoggedMs) {
                log.warn("the process was held up", { delayMs });
            }
        },
        takeLongestMs: () => {
            const taken = longestMs;
            longestMs = 0;
            return taken;
        },
    };
}
