/**
 * Types of requests and their outcomes, and the parts of an entry that running a request depends on.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { Pool, RequestClass } from "../configuration/objects.js";
import type { RequestQuarantine } from "../quarantine/requestQuarantine.js";
import type { CandidateIndex } from "../routing/candidates.js";
import type { RoutingPolicies } from "../routing/choose.js";
import type { EndpointVersions } from "../routing/endpointVersions.js";
import type { LoadView } from "../routing/loadView.js";
import type { PrefixIndex } from "../routing/prefixIndex.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import type { Counters } from "../telemetry/telemetry.js";
import type { RetryBudget } from "./retryBudget.js";

/** Dependencies of a running request. */
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
    readonly versions: EndpointVersions;
    readonly retryBudget: RetryBudget;
    readonly quarantine: RequestQuarantine;
    readonly timeouts: RequestTimeouts;
    /** Reports a failed call to an agent to the host directory. */
    readonly reportFailure: (agentUrl: string) => void;
    /** Reports a successful call to an agent to the host directory. */
    readonly reportSuccess: (agentUrl: string) => void;
    /** Renews the request's admission if it is stale; resolves to false if the request must be refused. */
    readonly confirmAdmission: () => Promise<boolean>;
}

export interface RequestTimeouts {
    /** Maximum wait in an agent's queue, by request class. */
    readonly maxQueueMs: Readonly<Record<RequestClass, number>>;
    readonly prefillMs: number;
    /** Maximum time for the decode engine to import the KV cache. */
    readonly transferMs: number;
    /** Maximum time between two events of a decode stream; after it the attempt fails. */
    readonly tokenGapMs: number;
}

export const defaultTimeouts: RequestTimeouts = {
    maxQueueMs: { interactive: 10_000, deferrable: 600_000 },
    prefillMs: 60_000,
    transferMs: 2_000,
    tokenGapMs: 5_000,
};

/** The id of a request, the client account that it runs for, and how its work is queued. */
export interface RequestAttributes {
    readonly requestId: string;
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
}

/** A generation by a model; `prompt` and `stop` are text. */
export interface GenerationRequest extends RequestAttributes {
    readonly model: string;
    readonly poolName: string;
    readonly pool: Pool;
    readonly prompt: string;
    readonly maxOutputTokens: number;
    readonly stop: readonly string[];
}

/** How a generation ended. `notRun` is true only if no engine can have run any part of it. */
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
