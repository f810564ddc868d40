/**
 * Endpoints that have ended, as their agents report them. An agent tells when it found that its endpoint had ended, which
 * identifies the start that ended.
 */

import type { RefusalReason } from "../endpoint/messages.js";
import type { EngineStart } from "../engines/engineNotices.js";

/**
 * How many endpoints that have ended or are leaving a request may be offered to besides its attempts. Their agents refuse
 * the work, so that such an offer reaches no endpoint and takes no retry.
 */
export const maxEndedEndpoints = 16;

/** Whether an agent refused work because its endpoint takes none: it has ended, or it or its agent is leaving. */
export function isEndpointUnavailable(reason: RefusalReason): boolean {
    return reason === "endpointDown" || reason === "draining";
}

/** `undefined` unless the agent reported that the endpoint has ended. */
export function startOf(endpoint: string, endedAtMs: number | undefined): EngineStart | undefined {
    return endedAtMs === undefined ? undefined : { id: endpoint, bornMs: endedAtMs };
}
