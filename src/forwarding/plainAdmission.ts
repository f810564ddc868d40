/**
 * Admission of plain calls where the instances of their service report their loads, see `plainQueue`.
 */

import type { ForwardContext } from "./context.js";
import { refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import { trustedEngines } from "./plainEngines.js";
import type { RoutedRequest } from "./routedRequest.js";

const causes = {
    full: "all instances are full, and it would not be on time",
    waited: "no instance had room in time",
    disconnected: "its caller is gone",
} as const;

/** The refusal of a call that finds no room in time; `undefined` for one that may be sent. */
export function admitPlain(
    context: ForwardContext,
    routed: RoutedRequest,
): Promise<ForwardOutcome | undefined> | undefined {
    if (routed.route.kind === "stream") {
        return undefined;
    }
    const { request, service, priority, deadlineMs, route } = routed;
    const admission = context.plainQueue.admit({
        service,
        priority,
        receivedAtMs: request.receivedAtMs,
        deadlineMs,
        objectiveMs: route.objectiveMs,
        instances: () => trustedEngines(context, routed),
        signal: request.callerDisconnected,
    });
    return !(admission instanceof Promise) && admission.kind === "admitted"
        ? undefined
        : toRefusal(context, routed, admission);
}

async function toRefusal(
    { clock, log, metrics }: ForwardContext,
    { request, service }: RoutedRequest,
    admission: ReturnType<ForwardContext["plainQueue"]["admit"]>,
): Promise<ForwardOutcome | undefined> {
    const startedAtMs = clock.monotonicMs();
    const decided = await admission;
    const waitedMs = Math.round(clock.monotonicMs() - startedAtMs);
    metrics.observe("slotWaitMs", service, waitedMs);
    log.decision("a call had to wait for a slot", { requestId: request.requestId, service, waitedMs, ...decided });
    if (decided.kind === "admitted") {
        return undefined;
    }
    metrics.count("callsTurnedAway", service, decided.cause);
    return refuse(503, causes[decided.cause], decided.retryAfterMs);
}
