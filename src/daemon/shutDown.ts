/**
 * The end of an entry after SIGTERM: not ready at once, requests served on, connections closed politely, done before the
 * process would be killed.
 */

import type { Clock } from "../common/clock.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { ForwardingEntry } from "./forwardingEntry.js";

/** The part of the callers' listener that an end needs. */
export interface ClosingListener {
    /** Answers from now on ask callers to use their connections no more. */
    readonly announceClose: () => void;
    /** Takes no new connections; idle ones are closed. */
    readonly closeIdle: () => void;
    readonly requestsRunning: () => number;
}

export interface ShutDownDependencies {
    readonly clock: Clock;
    readonly log: DecisionLog;
    /** Time from the signal until the process is killed. */
    readonly graceMs: number;
    readonly entry: Pick<ForwardingEntry, "announceEnd" | "leave" | "close">;
    readonly ingress: ClosingListener;
}

/** The balancer asks every second and needs two misses; then callers come to other entries. */
const balancerNoticeMs = 2_500;
/** Requests are waited for until this long before the process would be killed. */
const endMarginMs = 500;
/** Saying goodbye to other entries and the store may take this long: one of them may be dead or cut off. */
const leaveMs = 250;
/** Idle connections of callers are closed from here on; before, their next request is still served. */
const idleCloseMarginMs = 1_300;
const pollMs = 50;

export async function shutDown({ clock, log, graceMs, entry, ingress }: ShutDownDependencies): Promise<void> {
    const startedAtMs = clock.monotonicMs();
    const elapsedMs = (): number => clock.monotonicMs() - startedAtMs;
    log.info("stopping: no longer ready, serving on", { requestsRunning: ingress.requestsRunning() });
    ingress.announceClose();
    const lastMs = graceMs - endMarginMs;
    entry.announceEnd(startedAtMs + lastMs);
    while (elapsedMs() < lastMs && (elapsedMs() < balancerNoticeMs || ingress.requestsRunning() > 0)) {
        await clock.sleep(pollMs);
        if (elapsedMs() > lastMs - idleCloseMarginMs) {
            ingress.closeIdle();
        }
    }
    ingress.closeIdle();
    await Promise.race([entry.leave(), clock.sleep(leaveMs)]);
    log.info("stopped", { requestsRunning: ingress.requestsRunning(), tookMs: Math.round(elapsedMs()) });
    await Promise.race([Promise.all([entry.close(), log.flush()]), clock.sleep(pollMs)]);
}
