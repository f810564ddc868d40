/**
 * Limits a call to another process: by time, and by signals that cancel it.
 *
 * The time that a response takes depends on its size and on the link. A call that reads one tells the limit what arrives,
 * which then ends the call if the response stalls, and not because it is large.
 *
 * A limit keeps its timer and its listeners until the call has ended, and removes them then. The platform's combined and
 * timed signals do not: Node.js refers to the sources of `AbortSignal.any` weakly, so a full garbage collection removes a
 * timeout that nothing else refers to, and the call is not ended any more.
 */

import { finished } from "node:stream";
import type { Readable } from "node:stream";
import { systemClock } from "./clock.js";
import type { Clock } from "./clock.js";

export interface CallLimitOptions {
    /** By default the clock of this machine. */
    readonly clock?: Pick<Clock, "startTimer">;
    /** Time until the call is aborted with a `TimeoutError`; `undefined` for no limit. */
    readonly timeoutMs?: number;
    /** Time limit from each `bytesPerTimeout` of the response that have arrived to the next; by default `timeoutMs`. */
    readonly progressTimeoutMs?: number;
    /** Signals that abort the call, with their reason. */
    readonly cancelledBy?: readonly AbortSignal[];
}

export interface CallLimit {
    /** Aborts when the time is over or the call is cancelled, unless the call has ended before. */
    readonly signal: AbortSignal;
    /** Whether the time was over before the call ended and before it was cancelled. */
    readonly isTimedOut: () => boolean;
    /** Counts bytes of the response that have arrived; each `bytesPerTimeout` of them start the time limit anew. */
    readonly recordBytes: (sizeBytes: number) => void;
    /** Bytes of the response that have arrived, as far as they were counted. */
    readonly receivedBytes: () => number;
    /** Removes the timer: from now on the call may only be cancelled. */
    readonly liftTimeout: () => void;
    /** Removes the timer and the listeners; to be called when the call has ended. */
    readonly end: () => void;
    /** Ends the limit once `body`, the last part of the call, has been read or has broken off. */
    readonly endWith: (body: Readable) => void;
}

/** A response that delivers less than this within a time limit is stalled. */
export const bytesPerTimeout = 16_384;

export function limitCall(
    { clock = systemClock, timeoutMs, progressTimeoutMs = timeoutMs, cancelledBy = [] }: CallLimitOptions,
): CallLimit {
    const controller = new AbortController();
    /** `undefined` if no time limit is running. */
    let stopTimer: (() => void) | undefined;
    let isTimedOut = false;
    let receivedBytes = 0;
    /** Of these, the bytes until which the time limit was started anew. */
    let creditedBytes = 0;
    const cancellations = cancelledBy.map(signal => ({ signal, cancel: () => abort(signal.reason) }));

    function liftTimeout(): void {
        stopTimer?.();
        stopTimer = undefined;
    }

    function startTimeout(durationMs: number): void {
        stopTimer = clock.startTimer(durationMs, () => {
            isTimedOut = true;
            abort(new DOMException("the timeout has elapsed", "TimeoutError"));
        });
    }

    function end(): void {
        liftTimeout();
        cancellations.forEach(({ signal, cancel }) => signal.removeEventListener("abort", cancel));
    }

    function abort(reason: unknown): void {
        end();
        controller.abort(reason);
    }

    const cancelled = cancelledBy.find(signal => signal.aborted);
    if (cancelled !== undefined) {
        controller.abort(cancelled.reason);
    }
    else {
        cancellations.forEach(({ signal, cancel }) => signal.addEventListener("abort", cancel));
        if (timeoutMs !== undefined) {
            startTimeout(timeoutMs);
        }
    }
    return {
        signal: controller.signal,
        isTimedOut: () => isTimedOut,
        recordBytes: sizeBytes => {
            receivedBytes += sizeBytes;
            const isProgress = receivedBytes - creditedBytes >= bytesPerTimeout;
            if (isProgress && stopTimer !== undefined && progressTimeoutMs !== undefined) {
                creditedBytes = receivedBytes;
                liftTimeout();
                startTimeout(progressTimeoutMs);
            }
        },
        receivedBytes: () => receivedBytes,
        liftTimeout,
        end,
        endWith: body => void finished(body, end),
    };
}

/** Runs a call under a limit, which ends with it. */
export async function runLimited<Value>(
    options: CallLimitOptions,
    run: (limit: CallLimit) => Promise<Value>,
): Promise<Value> {
    const limit = limitCall(options);
    try {
        return await run(limit);
    }
    finally {
        limit.end();
    }
}

/** Resolves to whether a condition is found to hold before the limit ends the wait for it. */
export function holdsInTime(options: CallLimitOptions, condition: Promise<boolean>): Promise<boolean> {
    return runLimited(options, ({ signal }) => {
        const ended = new Promise<boolean>(resolve => {
            signal.addEventListener("abort", () => resolve(false), { once: true });
        });
        return signal.aborted ? Promise.resolve(false) : Promise.race([condition, ended]);
    });
}
