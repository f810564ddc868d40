/**
 * Generations that end each decode endpoint which begins to work on them, on sites with agents: how many endpoints one
 * generation and its copies end, and whether each end becomes evidence.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { expect, test } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { agentMethods, formatEvent } from "../endpoint/messages.js";
import type { DecodeEvent, EndpointLoad, PrefillResponse } from "../endpoint/messages.js";
import { createRequestQuarantine } from "../quarantine/requestQuarantine.js";
import { defaultPolicies } from "../routing/choose.js";
import type { Candidate } from "../routing/choose.js";
import { createLoadView } from "../routing/loadView.js";
import { createPrefixIndex } from "../routing/prefixIndex.js";
import type { RpcClient, StreamResponse } from "../rpc/rpcClient.js";
import { silentTelemetry } from "../telemetry/telemetry.js";
import { defaultTimeouts } from "./context.js";
import type { GenerationOutcome, GenerationRequest, RequestContext } from "./context.js";
import { generate } from "./generate.js";
import { createRetryBudget } from "./retryBudget.js";

const load: EndpointLoad = {
    slots: 4,
    activeSlots: 0,
    queuedRequests: 0,
    queuedTokens: 0,
    kvFreeBytes: 1_000_000,
    unavailable: false,
};
const prefilled: PrefillResponse = {
    kind: "prefilled",
    kvId: "kv-1",
    kvSource: "prefill-0:1",
    kvBytes: 100,
    promptTokens: 10,
    cachedTokens: 0,
    expiresInMs: 10_000,
    load,
};
const request: GenerationRequest = {
    requestId: "r-1",
    clientAccount: "account",
    weight: 1,
    requestClass: "interactive",
    model: "guide",
    poolName: "guide-pool",
    pool: { model: "guide", kvBytesPerToken: 1, maxOutputTokens: 100 },
    prompt: "deadly",
    maxOutputTokens: 5,
    stop: [],
};
const endpointsPerRole = 10;
const copies = 5;
const copyIntervalMs = 1_000;
/** An engine may end for another reason while a request starts, so one end is not enough to refuse the request. */
const maxEnds = 2;

/** What an agent sends on a decode stream whose endpoint ends, after the reservation. */
const endings: readonly { readonly name: string; readonly events: readonly DecodeEvent[]; }[] = [
    {
        name: "while it imports the KV cache",
        events: [{ type: "failed", stage: "import", cause: "reset", endpointEndedAtMs: 1 }],
    },
    {
        name: "before its first token",
        events: [{ type: "imported" }, { type: "failed", stage: "decode", cause: "reset", endpointEndedAtMs: 1 }],
    },
    {
        name: "after its first token",
        events: [
            { type: "imported" },
            { type: "token", index: 0, text: "a" },
            { type: "failed", stage: "decode", cause: "reset", endpointEndedAtMs: 1 },
        ],
    },
];

function candidatesOf(role: string): readonly Candidate[] {
    return Array.from({ length: endpointsPerRole }, (unused, index) => ({
        endpoint: `${role}-${index}`,
        agentUrl: `http://${role}-${index}`,
        dataCentre: "a",
        slots: 4,
        rampUp: 1,
    }));
}

/** Agents whose decode endpoints end with `events`; `started` collects the agents that were told to start a decode. */
function createAgents(events: readonly DecodeEvent[], started: string[]): RpcClient {
    return {
        call: async (url, method) => {
            if (method === agentMethods.prefill) {
                return Result.ok(prefilled);
            }
            started.push(url);
            return Result.ok({ kind: "started" });
        },
        stream: async () => {
            const sent: readonly DecodeEvent[] = [{ type: "reserved", load }, ...events];
            return Result.ok({ body: Readable.from([sent.map(formatEvent).join("")]) } as unknown as StreamResponse);
        },
        close: async () => undefined,
    };
}

// After an endpoint had ended during a transfer, the same KV cache went to two more, and only the last end was evidence.
test.each(endings)("a generation that ends endpoints $name, and its copies, end few of them", async ({ events }) => {
    const clock = createVirtualClock();
    const started: string[] = [];
    const log = silentDecisionLog;
    const quarantine = createRequestQuarantine({ clock, log, onEvidence: () => undefined });
    const context: RequestContext = {
        dataCentre: "a",
        rpc: createAgents(events, started),
        clock,
        random: () => 0,
        counters: silentTelemetry().counters,
        candidates: {
            poolOfModel: () => undefined,
            models: () => [],
            candidates: (pool, role, excluded) => candidatesOf(role).filter(({ endpoint }) => !excluded.has(endpoint)),
            load: () => undefined,
        },
        policies: defaultPolicies,
        loads: createLoadView(clock),
        prefixes: createPrefixIndex(),
        retryBudget: createRetryBudget(),
        quarantine,
        timeouts: defaultTimeouts,
        reportFailure: () => undefined,
        reportSuccess: () => undefined,
        confirmAdmission: async () => true,
    };
    const outcomes: GenerationOutcome[] = [];
    for (let copy = 0; copy < copies; copy++) {
        const outcome = generate(context, request, () => undefined, new AbortController().signal);
        await clock.advance(copyIntervalMs);
        outcomes.push(await outcome);
    }
    expect(started.length).toBeLessThanOrEqual(maxEnds);
    expect(new Set(quarantine.evidence().map(({ engine }) => `http://${engine}`))).toEqual(new Set(started));
    expect(outcomes.at(-1)).toMatchObject({ kind: "failed", notRun: true });
});
