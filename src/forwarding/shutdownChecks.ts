/**
 * Which requests may still be started while the entry shuts down: those that end before it does. All others are refused
 * as not run, so that their callers go to another entry.
 *
 * While the load balancer still sends callers here, an estimate of the time that a request takes is enough, since
 * refusing all of them would cost each caller a retry. After that, requests come only from callers that keep a connection
 * open; each of these must end by its own time limit before the entry does.
 */

import type { Clock } from "../common/clock.js";
import { shuttingDown } from "../overload/notRunRefusal.js";
import type { DecodeScheduler } from "../scheduling/decodeScheduler.js";
import { refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

/** A shutdown that has begun; both times are monotonic. */
export interface Shutdown {
    /** When its signal was sent. */
    readonly startedAtMs: number;
    /** Running requests may be broken off from then on. */
    readonly deadlineMs: number;
}

export interface ShutdownChecksContext {
    readonly clock: Clock;
    readonly decodeScheduler: Pick<DecodeScheduler, "expectedResponseMs">;
    /** `undefined` unless this process is shutting down. */
    readonly shutdown: () => Shutdown | undefined;
}

/** What decides how long a request may last. */
export type TimedRequest =
    & Pick<RoutedRequest, "route" | "service" | "deadlineMs">
    & { readonly request: Pick<RoutedRequest["request"], "size">; };

/** The load balancer checks readiness every second and needs two failures before it sends callers to other entries. */
export const balancerDetectionMs = 2_500;
/** Expected duration of a stream of unknown size or of a service that has not ended any: the platform's average. */
const averageStreamMs = 3_600;
/** 5% of responses take longer than this multiple of their expected time. */
const slowResponseFactor = 1.8;
/**
 * Minimum time to the shutdown deadline for a request to start whose own time limit is later: callers' estimates are
 * often far off.
 */
const minTimeToDeadlineMs = 4_500;
/** Time in which the response to a request whose time is over is written. */
const responseMarginMs = 100;

/** Whether a request that starts now might still be running when the entry ends. */
export function mayOutlastEntry(
    { clock, decodeScheduler, shutdown }: ShutdownChecksContext,
    { request, route, service, deadlineMs }: TimedRequest,
): boolean {
    const begun = shutdown();
    if (begun === undefined) {
        return false;
    }
    const nowMs = clock.monotonicMs();
    const timeToDeadlineMs = begun.deadlineMs - nowMs;
    if (route.kind === "stream") {
        const learnedMs = request.size === undefined
            ? undefined
            : decodeScheduler.expectedResponseMs(service, request.size);
        const slowMs = (learnedMs ?? averageStreamMs) * slowResponseFactor;
        if (timeToDeadlineMs < Math.max(minTimeToDeadlineMs, slowMs)) {
            return true;
        }
    }
    const endsInTime = deadlineMs + responseMarginMs <= begun.deadlineMs;
    const isBalanced = nowMs - begun.startedAtMs < balancerDetectionMs;
    return !endsInTime && !(isBalanced && timeToDeadlineMs >= minTimeToDeadlineMs);
}

/** The refusal of a request that might outlast the entry; `undefined` for any other request. */
export function refuseIfTooLate(context: ShutdownChecksContext, request: TimedRequest): ForwardOutcome | undefined {
    return mayOutlastEntry(context, request) ? refuse(503, shuttingDown.cause, shuttingDown.retryAfterMs) : undefined;
}
