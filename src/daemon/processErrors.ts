/**
 * Errors that no other code handles, such as one that a callback of a socket or a timer throws.
 *
 * They would end the process, and every request that it has read would be lost. The failed operation has a time limit of
 * its own, so the process logs the error and goes on. A process in which such errors keep coming may not be sound: it
 * drains as after SIGTERM.
 */

import { inspect } from "node:util";
import type { Clock } from "../common/clock.js";
import type { DecisionLog, LogFields } from "../telemetry/decisionLog.js";

export interface ProcessErrorOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly log: Pick<DecisionLog, "error">;
    readonly requestsRunning?: () => number;
    /** Stops the process once its requests have ended; called once. */
    readonly drain: () => void;
}

export interface ProcessErrors {
    /** Never throws. */
    readonly record: (error: unknown, origin: string) => void;
}

/** More errors than this in `windowMs` show that the process is not sound. */
export const maxErrors = 10;
export const windowMs = 10_000;
const maxDescriptionLength = 4_000;

/** With the stack, for any thrown value. */
export function describeError(error: unknown): string {
    try {
        return inspect(error).slice(0, maxDescriptionLength);
    }
    catch {
        return "an error that cannot be described";
    }
}

/** The memory of this process, where the operating system tells it. */
export function memoryFields(): LogFields {
    try {
        const { rss, heapUsed, external } = process.memoryUsage();
        return { memoryBytes: rss, heapBytes: heapUsed, externalBytes: external };
    }
    catch {
        return {};
    }
}

export function createProcessErrors({ clock, log, requestsRunning, drain }: ProcessErrorOptions): ProcessErrors {
    let recentAtMs: readonly number[] = [];
    let isDraining = false;
    return {
        record: (error, origin) => {
            const nowMs = clock.monotonicMs();
            recentAtMs = [...recentAtMs.filter(atMs => nowMs - atMs < windowMs).slice(-maxErrors), nowMs];
            const isSound = recentAtMs.length <= maxErrors;
            if (isSound || !isDraining) {
                log.error("a task failed unexpectedly", {
                    cause: describeError(error),
                    origin,
                    requestsRunning: requestsRunning?.(),
                    ...memoryFields(),
                });
            }
            if (!isSound && !isDraining) {
                isDraining = true;
                log.error("tasks keep failing unexpectedly: the entry drains and exits", {
                    errors: recentAtMs.length,
                });
                drain();
            }
        },
    };
}
