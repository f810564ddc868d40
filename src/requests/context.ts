/**
 * What the running of requests needs from the rest of an entry.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { Pool, RequestClass } from "../configuration/objects.js";
import type { CandidateIndex } from "../routing/candidates.js";
import type { RoutingPolicies } from "../routing/choose.js";
import type { LoadView } from "../routing/loadView.js";
import type { PrefixIndex } from "../routing/prefixIndex.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import type { Counters } from "../telemetry/telemetry.js";
import type { RetryBudget } from "./retryBudget.js";

export interface RequestContext {
    readonly dataCentre: string;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    readonly candidates: CandidateIndex;
    readonly policies: RoutingPolicies;
    readonly loads: LoadView;
    readonly prefixes: PrefixIndex;
    readonly retryBudget: RetryBudget;
    readonly timeouts: RequestTimeouts;
    readonly reportFailure: (agentUrl: string) => void;
    readonly reportSuccess: (agentUrl: string) => void;
    /** Takes an admission anew if it has become stale; false refuses the request. */
    readonly confirmAdmission: () => Promise<boolean>;
}

export interface RequestTimeouts {
    /** How long a request may wait in an agent's queue, by class. */
    readonly maxQueueMs: Readonly<Record<RequestClass, number>>;
    readonly prefillMs: number;
    readonly transferMs: number;
    /** A decode stream without a token for this long is given up. */
    readonly tokenGapMs: number;
}

export const defaultTimeouts: RequestTimeouts = {
    maxQueueMs: { interactive: 10_000, deferrable: 600_000 },
    prefillMs: 60_000,
    transferMs: 2_000,
    tokenGapMs: 5_000,
};

/** Who asks, and how the work is queued. */
export interface RequestOwner {
    readonly requestId: string;
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
}

export interface GenerationRequest extends RequestOwner {
    readonly model: string;
    readonly poolName: string;
    readonly pool: Pool;
    readonly prompt: string;
    readonly maxOutputTokens: number;
    readonly stop: readonly string[];
}

/** How a generation ended. `notRun` is true only where no engine can have run any part of it. */
export type GenerationOutcome =
    | {
        readonly kind: "completed";
        readonly finishReason: "stop" | "length";
        readonly promptTokens: number;
        readonly completionTokens: number;
    }
    | { readonly kind: "cancelled"; }
    | {
        readonly kind: "failed";
        readonly cause: string;
        readonly notRun: boolean;
        readonly retryAfterMs: number;
    };
