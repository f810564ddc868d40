/**
 * What forwarding asks of the quarantine: whether a request may be sent, and whether its engine has ended under it.
 */

import type { EngineRun } from "../quarantine/engineRuns.js";
import { isFingerprint } from "../quarantine/requestFingerprint.js";
import type { ForwardContext } from "./context.js";
import { refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import { suspectsOf } from "./routedRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Longest wait for the check of an engine before a request is repeated; the check itself goes on. */
const maxCheckMs = 50;

type Suspect = Pick<RoutedRequest, "request" | "service" | "fingerprint">;

export function isQuarantined(context: ForwardContext, routed: Suspect): boolean {
    return context.quarantine.find(suspectsOf(routed)) !== undefined;
}

/** The refusal of a request in quarantine; `undefined` for any other request. */
export function refuseQuarantined(context: ForwardContext, routed: Suspect): ForwardOutcome | undefined {
    const quarantined = context.quarantine.find(suspectsOf(routed));
    if (quarantined === undefined) {
        return undefined;
    }
    const isWholeRequest = quarantined.blamedParts.some(isFingerprint);
    context.metrics.count("quarantined", routed.service);
    context.log.decision(isWholeRequest ? "the request is in quarantine" : "a part of the prompt is in quarantine", {
        requestId: routed.request.requestId,
        ...quarantined,
    });
    return refuse(
        503,
        isWholeRequest ? "engines ended under this request" : "engines ended under a part of its prompt",
        quarantined.remainingMs,
    );
}

/** Ends a run whose response broke off; resolves to whether its engine is found to have ended, soon enough to matter. */
export function endBrokenRun({ clock }: ForwardContext, run: EngineRun): Promise<boolean> {
    return Promise.race([run.end("broken"), clock.sleep(maxCheckMs).then(() => false)]);
}
