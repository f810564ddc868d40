/**
 * Dependencies of the HTTP interface for callers on other parts of an entry.
 */

import type { Clock } from "../common/clock.js";
import type { ConfigurationState } from "../configuration/state.js";
import type { Keyring } from "../keys/keyring.js";
import type { KeyUses } from "../keys/keyUses.js";
import type { RateLimiter } from "../limits/rateLimiter.js";
import type { RequestContext } from "../requests/context.js";
import type { IdempotentCalls } from "../requests/idempotency.js";
import type { CandidateIndex } from "../routing/candidates.js";
import type { Counters } from "../telemetry/telemetry.js";

export interface CallersDependencies {
    readonly configuration: () => ConfigurationState;
    readonly keyring: Keyring;
    readonly keyUses: KeyUses;
    readonly rateLimiter: RateLimiter;
    readonly candidates: CandidateIndex;
    readonly idempotentCalls: IdempotentCalls;
    readonly clock: Clock;
    readonly counters: Counters;
    readonly maxBodyBytes: number;
    /** Why this entry accepts no requests; `undefined` if it accepts them. */
    readonly unavailable: () => string | undefined;
    /** Why the load balancer should send no requests to this entry; `undefined` if it is ready. */
    readonly notReady: () => string | undefined;
    readonly createRequestContext: (confirmAdmission: () => Promise<boolean>) => RequestContext;
}
