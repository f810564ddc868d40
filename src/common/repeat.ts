/**
 * Repeats a task of a process until the process stops. A failure doesn't end the task: it is reported, and the task goes on.
 */

import type { Clock } from "./clock.js";

/** Runs a task until `stopped` aborts, with `intervalMs` between two runs; `onFailure` gets what a run throws. */
export async function repeat(
    clock: Pick<Clock, "sleep">,
    stopped: AbortSignal,
    intervalMs: number,
    run: () => Promise<void>,
    onFailure: (error: unknown) => void,
): Promise<void> {
    while (!stopped.aborted) {
        await run().catch(onFailure);
        await clock.sleep(intervalMs, stopped);
    }
}
