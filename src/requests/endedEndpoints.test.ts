/**
 * Requests on sites with agents while most endpoints of their pool have ended, or their agents are stopped in series: these
 * agents refuse the work, and other endpoints still serve.
 */

import { describe, expect, test } from "vitest";
import { createRequestContext, idleLoad, imported, prefilled, requestAttributes } from "../../fakes/requestHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { EndpointLoad } from "../endpoint/messages.js";
import { callService } from "./callService.js";
import type { RequestContext } from "./context.js";
import { generate } from "./generate.js";
import type { RetryBudget } from "./retryBudget.js";

const endpoints = 12;
const requests = 3;
const maxWaitMs = 60_000;
const stepMs = 1_000;
const noRetries: RetryBudget = { recordRequest: () => undefined, takeRetry: () => false };
const unavailableLoad: EndpointLoad = { ...idleLoad, unavailable: true };
const answer = { kind: "answered", status: 200, headers: {}, bodyBase64: "", load: idleLoad } as const;
const noSignal = new AbortController().signal;

async function call(context: RequestContext, idempotent: boolean): Promise<string> {
    const outcome = await callService(context, {
        ...requestAttributes,
        poolName: "desk",
        method: "GET",
        path: "/log",
        headers: {},
        bodyBase64: "",
        idempotent,
        timeoutMs: 1_000,
    }, noSignal);
    return outcome.kind;
}

async function generateText(context: RequestContext): Promise<string> {
    const outcome = await generate(
        context,
        {
            ...requestAttributes,
            model: "guide",
            poolName: "guide-pool",
            pool: { model: "guide", kvBytesPerToken: 1, maxOutputTokens: 100 },
            prompt: "sound",
            maxOutputTokens: 5,
            stop: [],
        },
        () => undefined,
        noSignal,
    );
    return outcome.kind === "failed" && outcome.notRun ? "notRun" : outcome.kind;
}

interface EndedCase {
    readonly name: string;
    readonly role: "plain" | "prefill" | "decode";
    readonly send: (context: RequestContext) => Promise<string>;
    readonly served: string;
}

const cases: readonly EndedCase[] = [
    { name: "an idempotent call", role: "plain", send: context => call(context, true), served: "answered" },
    { name: "another call", role: "plain", send: context => call(context, false), served: "answered" },
    { name: "a generation", role: "prefill", send: generateText, served: "completed" },
    { name: "a generation", role: "decode", send: generateText, served: "completed" },
];

describe("requests while endpoints of their pool take no work", () => {
    // Each refusal by the agent of an ended endpoint, or by an agent that was being stopped, took an attempt and a retry.
    test.each(
        cases.flatMap(each =>
            (["endpointDown", "draining"] as const).flatMap(reason =>
                [endpoints - 1, endpoints].map(ended => ({ ...each, reason, ended }))
            )
        ),
    )(
        "$name, $ended of 12 $role endpoints refuse: $reason",
        async ({ role, send, served, ended, reason }) => {
            const refusal = { kind: "refused", reason, load: unavailableLoad } as const;
            const clock = createVirtualClock();
            const hasEnded = (endpoint: string): boolean =>
                endpoint.startsWith(role) && Number(endpoint.split("-")[1]) < ended;
            const context = createRequestContext({
                clock,
                endpointsPerRole: endpoints,
                agents: {
                    callService: endpoint => hasEnded(endpoint) ? refusal : answer,
                    prefill: endpoint => hasEnded(endpoint) ? refusal : prefilled,
                    decode: endpoint =>
                        hasEnded(endpoint)
                            ? [{ ...refusal, type: "refused" }]
                            : [
                                { type: "reserved", load: idleLoad },
                                imported,
                                { type: "end", finishReason: "stop", completionTokens: 0 },
                            ],
                },
                retryBudget: noRetries,
            });
            const outcomes: string[] = [];
            for (let request = 0; request < requests; request++) {
                void send(context).then(outcome => outcomes.push(outcome));
                for (let waitedMs = 0; waitedMs < maxWaitMs && outcomes.length === request; waitedMs += stepMs) {
                    await clock.advance(stepMs);
                }
            }
            expect(outcomes).toEqual(Array.from({ length: requests }, () => ended < endpoints ? served : "notRun"));
        },
    );
});
