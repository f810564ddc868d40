/**
 * Graceful shutdown of an entry after SIGTERM: readiness fails at once, requests are still served, connections are
 * closed after their last response, and everything is done before the process would be killed.
 *
 * The drain ends once no connection can bring a request any more, not as soon as no request is running: one may be
 * arriving. Everything that requests need is kept until then.
 *
 * The grace period counts from when the signal was sent, which on a slow host may be some time before it is handled.
 */

import type { Clock } from "../common/clock.js";
import { balancerDetectionMs } from "../forwarding/shutdownChecks.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { ForwardingEntry } from "./forwardingEntry.js";

/** The part of the callers' listener that shutdown needs. */
export interface DrainableListener {
    /** Further responses ask callers to close their connections. */
    readonly announceClose: () => void;
    /** Accepts no new connections once none waits to be accepted, and closes idle ones. */
    readonly closeIdle: () => void;
    readonly requestsRunning: () => number;
    /** Whether new connections are still accepted: each may bring a request. */
    readonly isAccepting: () => boolean;
    /** Connections that are not closed yet, or not everything is written to: each may still bring a request. */
    readonly connectionsOpen: () => number;
    /**
     * Closes the listener, answers the requests that have no response yet, as not run if they were not sent to an engine,
     * and breaks off the responses that have begun.
     */
    readonly endRunning: () => void;
}

export interface ShutDownDependencies {
    readonly clock: Clock;
    readonly log: DecisionLog;
    /** Monotonic time at which the signal was sent at the earliest. */
    readonly signalledAtMs: number;
    /** Time from the signal until the process is killed. */
    readonly graceMs: number;
    readonly entry: Pick<ForwardingEntry, "beginShutdown" | "leave" | "close">;
    readonly ingress: DrainableListener;
}

/** Draining stops this long before the process would be killed. */
const exitMarginMs = 500;
/** The platform expects that requests which came in time are ended only in this last part of the grace period. */
const lastFraction = 1 / 6;
/** Time limit for notifying the other entries and the store, since one of them may be dead or cut off. */
const leaveTimeoutMs = 250;
/**
 * While requests are running, idle connections are closed only in this last part of the drain; before that, their next
 * request is still served.
 */
const idleCloseMarginMs = 1_300;
const pollMs = 50;

/** Drains, leaves and closes an entry; resolves before `graceMs` have passed. */
export async function shutDown(
    { clock, log, signalledAtMs, graceMs, entry, ingress }: ShutDownDependencies,
): Promise<void> {
    const handledAtMs = clock.monotonicMs();
    const elapsedMs = (): number => clock.monotonicMs() - handledAtMs;
    log.info("stopping: no longer ready, serving on", {
        requestsRunning: ingress.requestsRunning(),
        handledAfterMs: Math.round(handledAtMs - signalledAtMs),
    });
    ingress.announceClose();
    const deadlineMs = signalledAtMs + graceMs - exitMarginMs;
    entry.beginShutdown({ startedAtMs: signalledAtMs, deadlineMs });
    // The signal may have been sent later than that, so running requests are not ended before the last part has begun.
    const drainTimeoutMs = Math.max(deadlineMs - handledAtMs, graceMs * (1 - lastFraction));
    let isClosing = false;
    const hasClosed = (): boolean => isClosing && !ingress.isAccepting() && ingress.connectionsOpen() === 0;
    while (elapsedMs() < drainTimeoutMs && !hasClosed()) {
        await clock.sleep(pollMs);
        isClosing ||= elapsedMs() > drainTimeoutMs - idleCloseMarginMs
            || (elapsedMs() >= balancerDetectionMs && ingress.requestsRunning() === 0);
        if (isClosing) {
            ingress.closeIdle();
        }
    }
    await Promise.race([attempt(entry.leave), clock.sleep(leaveTimeoutMs)]);
    ingress.endRunning();
    log.info("stopped", { requestsRunning: ingress.requestsRunning(), tookMs: Math.round(elapsedMs()) });
    await Promise.race([Promise.all([attempt(entry.close), log.flush()]), clock.sleep(pollMs)]);

    async function attempt(step: () => Promise<void>): Promise<void> {
        try {
            await step();
        }
        catch (error) {
            log.warn("a step of the shutdown failed", { cause: String(error) });
        }
    }
}
