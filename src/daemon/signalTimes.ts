/**
 * When a signal was sent. A process handles a signal in a turn of its event loop, which may come long after the signal
 * was sent: after a turn that takes long, or on a host with little processor time.
 */

import type { Clock } from "../common/clock.js";
import { afterNextPoll } from "../rpc/connections.js";

/** Also how much too early a signal may be taken to have been sent. */
const checkIntervalMs = 200;

/** Returns a function that tells the earliest monotonic time at which a signal that is handled now may have been sent. */
export function trackSignalTimes(clock: Pick<Clock, "monotonicMs">): () => number {
    let allHandledUntilMs = clock.monotonicMs();
    setInterval(() => {
        const nowMs = clock.monotonicMs();
        afterNextPoll(() => {
            allHandledUntilMs = nowMs;
        });
    }, checkIntervalMs).unref();
    return () => allHandledUntilMs;
}
