/**
 * Cancels attempts at the engine until the engine confirms, so that memory of requests that are gone is freed.
 */

import type { Clock } from "../common/clock.js";
import type { Counters } from "../telemetry/telemetry.js";
import type { AttemptId, EngineClient } from "./engineClient.js";

const retryMs = 200;
const maxRetryMs = 5_000;

/** Repeats the cancellation until it is confirmed or `stopped` aborts. */
export async function cancelAtEngine(
    engine: EngineClient,
    clock: Clock,
    counters: Counters,
    id: AttemptId,
    stopped: AbortSignal,
): Promise<void> {
    let pauseMs = retryMs;
    while (!stopped.aborted) {
        const cancelled = await engine.cancel(id);
        if (cancelled.isOk) {
            counters.add("endpoint.cancelled");
            return;
        }
        if (cancelled.error.kind === "unreachable") {
            // Nothing listens on the engine's port of this host any more, so its memory is gone too.
            counters.add("endpoint.cancelledByEngineEnd");
            return;
        }
        counters.add("endpoint.cancelRetries");
        await clock.sleep(pauseMs, stopped);
        pauseMs = Math.min(maxRetryMs, pauseMs * 2);
    }
}

/** Cancels everything that the engine still runs for an earlier process of this agent. */
export async function cancelLeftovers(
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
        await clock.sleep(retryMs, stopped);
    }
}
