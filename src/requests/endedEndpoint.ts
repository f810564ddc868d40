/**
 * Endpoints that have ended, as their agents report them. An agent tells when it found that its endpoint had ended, which
 * identifies the start that ended.
 */

import type { EngineStart } from "../engines/engineNotices.js";

/** `undefined` unless the agent reported that the endpoint has ended. */
export function startOf(endpoint: string, endedAtMs: number | undefined): EngineStart | undefined {
    return endedAtMs === undefined ? undefined : { id: endpoint, bornMs: endedAtMs };
}
