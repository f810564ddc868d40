/**
 * Cancels attempts at the engine and retries until the engine confirms, so that the KV memory of abandoned requests is
 * freed.
 */

import type { Clock } from "../common/clock.js";
import type { Counters } from "../telemetry/telemetry.js";
import type { AttemptId, EngineClient } from "./engineClient.js";

const retryDelayMs = 200;
const maxRetryDelayMs = 5_000;

/** Tries at least once, and retries with exponential backoff until the cancellation is confirmed or `stopped` aborts. */
export async function cancelAtEngine(
    engine: EngineClient,
    clock: Clock,
    counters: Counters,
    id: AttemptId,
    stopped: AbortSignal,
): Promise<void> {
    let delayMs = retryDelayMs;
    do {
        const cancelled = await engine.cancel(id);
        if (cancelled.isOk) {
            counters.add("endpoint.cancelled");
            return;
        }
        if (cancelled.error.kind === "unreachable") {
            // Connection refused: the engine process on this host has exited, so its memory is already freed.
            counters.add("endpoint.cancelledByEngineEnd");
            return;
        }
        counters.add("endpoint.cancelRetries");
        await clock.sleep(delayMs, stopped);
        delayMs = Math.min(maxRetryDelayMs, delayMs * 2);
    }
    while (!stopped.aborted);
}

/** Cancels all attempts that the engine still runs for a previous process of this agent. */
export async function cancelOrphanedAttempts(
    engine: EngineClient,
    clock: Clock,
    counters: Counters,
    stopped: AbortSignal,
): Promise<void> {
    while (!stopped.aborted) {
        const running = await engine.running();
        if (running.isOk) {
            await Promise.all(running.value.map(id => cancelAtEngine(engine, clock, counters, id, stopped)));
            return;
        }
        await clock.sleep(retryDelayMs, stopped);
    }
}
