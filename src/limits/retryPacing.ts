/**
 * Retry delays for callers that are refused because engines accept only so many requests a second: spread over time at
 * the rate at which requests will be accepted, so that the callers don't come back together.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";

export interface RetryPacing {
    /**
     * The delay in ms for the next refused caller of a service: at least `waitMs`, and on average 1 / `ratePerSecond`
     * after the caller that was refused before it.
     */
    readonly nextDelayMs: (service: string, waitMs: number, ratePerSecond: number) => number;
}

/** Longer delays exceed what callers wait altogether. */
const maxDelayMs = 5_000;
const msPerSecond = 1_000;

export function createRetryPacing(clock: Clock, random: Random): RetryPacing {
    const lastSlotMs = new Map<string, number>();

    return {
        nextDelayMs: (service, waitMs, ratePerSecond) => {
            const nowMs = clock.monotonicMs();
            const intervalMs = msPerSecond / ratePerSecond;
            const earliestMs = nowMs + Math.min(waitMs, maxDelayMs);
            const slotMs = Math.max(earliestMs, (lastSlotMs.get(service) ?? Number.NEGATIVE_INFINITY) + intervalMs);
            if (slotMs - nowMs >= maxDelayMs) {
                return maxDelayMs * (1 + random()) / 2;
            }
            lastSlotMs.set(service, slotMs);
            // Other entries count slots of their own from the same time, so each caller is also moved within its slot.
            return Math.min(maxDelayMs, slotMs - nowMs + random() * intervalMs);
        },
    };
}
