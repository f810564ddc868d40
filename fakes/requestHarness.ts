/**
 * Test harness for requests on sites with agents: a request context on a virtual clock, with agents that follow a script.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { agentMethods, formatEvent } from "../src/endpoint/messages.js";
import type {
    DecodeEvent,
    EndpointLoad,
    PrefillResponse,
    ServiceResponse,
    StartDecodeResponse,
} from "../src/endpoint/messages.js";
import type { WorkQueue } from "../src/endpoint/workQueue.js";
import { createRequestQuarantine } from "../src/quarantine/requestQuarantine.js";
import { defaultTimeouts } from "../src/requests/context.js";
import type { RequestAttributes, RequestContext } from "../src/requests/context.js";
import type { RetryBudget } from "../src/requests/retryBudget.js";
import { defaultPolicies } from "../src/routing/choose.js";
import { createEndpointVersions } from "../src/routing/endpointVersions.js";
import { createLoadView } from "../src/routing/loadView.js";
import { createPrefixIndex } from "../src/routing/prefixIndex.js";
import type { RpcClient, StreamResponse } from "../src/rpc/rpcClient.js";
import { silentTelemetry } from "../src/telemetry/telemetry.js";
import { silentDecisionLog } from "./forwardingHarness.js";
import type { VirtualClock } from "./virtualClock.js";

/** What the agents of endpoints respond; `endpoint` is a role and a number, such as `decode-0`. */
export interface AgentScript {
    readonly prefill?: (endpoint: string) => PrefillResponse;
    readonly startDecode?: (endpoint: string) => StartDecodeResponse;
    readonly callService?: (endpoint: string) => ServiceResponse;
    /** All events of a decode stream. */
    readonly decode?: (endpoint: string) => readonly DecodeEvent[];
}

export interface RequestHarnessOptions {
    readonly clock: VirtualClock;
    readonly endpointsPerRole: number;
    readonly agents: AgentScript;
    readonly retryBudget: RetryBudget;
}

export const idleLoad: EndpointLoad = {
    slots: 4,
    activeSlots: 0,
    queuedRequests: 0,
    queuedTokens: 0,
    kvFreeBytes: 1_000_000,
    unavailable: false,
};

/** The queue of an agent whose slots are all free. */
export const freeWorkQueue: WorkQueue = {
    acquire: async () => Result.ok({ release: () => undefined }),
    setUnavailable: () => undefined,
    setCapacity: () => undefined,
    load: () => idleLoad,
    whenIdle: async () => undefined,
};

export const prefilled: PrefillResponse = {
    kind: "prefilled",
    kvId: "kv-1",
    kvSource: "prefill-0:1",
    kvBytes: 100,
    promptTokens: 10,
    cachedTokens: 0,
    expiresInMs: 10_000,
    softwareVersion: "v1",
    load: idleLoad,
};

export const imported: DecodeEvent = { type: "imported", softwareVersion: "v1" };

export const requestAttributes: RequestAttributes = {
    requestId: "r-1",
    clientAccount: "account",
    weight: 1,
    requestClass: "interactive",
};

function createAgents(script: AgentScript): RpcClient {
    const endpointOf = (url: string): string => url.replace("http://", "");
    const responses: Readonly<Record<string, ((endpoint: string) => unknown) | undefined>> = {
        [agentMethods.prefill]: script.prefill ?? (() => prefilled),
        [agentMethods.startDecode]: script.startDecode ?? (() => ({ kind: "started" })),
        [agentMethods.callService]: script.callService,
    };
    return {
        call: async (url, method) => Result.ok(responses[method]?.(endpointOf(url))),
        stream: async url => {
            const events = script.decode?.(endpointOf(url)) ?? [];
            return Result.ok({ body: Readable.from([events.map(formatEvent).join("")]) } as unknown as StreamResponse);
        },
        close: async () => undefined,
    };
}

/** A context with `endpointsPerRole` endpoints of each role, which are tried in order. */
export function createRequestContext(options: RequestHarnessOptions): RequestContext {
    const { clock, endpointsPerRole, agents, retryBudget } = options;
    return {
        dataCentre: "a",
        rpc: createAgents(agents),
        clock,
        random: () => 0,
        counters: silentTelemetry().counters,
        candidates: {
            poolOfModel: () => undefined,
            models: () => [],
            candidates: (pool, role, excluded) =>
                Array.from({ length: endpointsPerRole }, (unused, index) => `${role}-${index}`)
                    .filter(endpoint => !excluded.has(endpoint))
                    .map(endpoint => ({
                        endpoint,
                        agentUrl: `http://${endpoint}`,
                        dataCentre: "a",
                        slots: 4,
                        rampUp: 1,
                    })),
            load: () => undefined,
        },
        policies: defaultPolicies,
        loads: createLoadView(clock),
        prefixes: createPrefixIndex(),
        versions: createEndpointVersions(),
        retryBudget,
        quarantine: createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined }),
        timeouts: defaultTimeouts,
        reportFailure: () => undefined,
        reportSuccess: () => undefined,
        confirmAdmission: async () => true,
    };
}
