/**
 * A generation must not make more engine calls beyond the first than the fleet's retry budget allows, however the
 * engines respond.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineError } from "../engines/enginePort.js";
import { createFleetRetryBudget } from "../limits/fleetRetryBudget.js";
import { createEngineCallBudget } from "./engineCallBudget.js";
import { forward } from "./forward.js";

type CallResult = "accepted" | EngineError["kind"];

const modelEngines = ["p-1", "p-2"].map(id => engineRecord(id, "prefill"))
    .concat(["m-1", "m-2", "m-3"].map(id => engineRecord(id, "decode")));

interface Pattern {
    readonly prefills: readonly CallResult[];
    readonly runs: readonly CallResult[];
}

const patterns: readonly Pattern[] = [
    { prefills: ["accepted"], runs: ["accepted"] },
    { prefills: ["notExecuted", "accepted"], runs: ["accepted"] },
    { prefills: ["notExecuted", "notExecuted"], runs: ["accepted"] },
    { prefills: ["notExecuted", "notExecuted", "accepted"], runs: ["notExecuted", "accepted"] },
    { prefills: ["interrupted", "accepted"], runs: ["accepted"] },
    { prefills: ["accepted", "accepted"], runs: ["notExecuted", "accepted"] },
    { prefills: ["accepted", "notExecuted", "accepted", "accepted"], runs: ["notExecuted", "notExecuted", "accepted"] },
    { prefills: ["accepted", "accepted", "accepted"], runs: ["notExecuted"] },
    { prefills: ["notExecuted"], runs: ["notExecuted"] },
    { prefills: ["unreachable"], runs: ["unreachable"] },
];

/** Sends requests in turn with the same pattern of results; returns the counted calls beyond each request's first. */
async function callsBeyondTheFirst({ prefills, runs }: Pattern, slack: number): Promise<number> {
    let callsBeyond = 0;
    let calls = 0;
    let isFirstPrefill = true;
    const nextIndex = { prefill: 0, run: 0 };
    const resultAt = (results: readonly CallResult[], index: number): CallResult =>
        results[Math.min(index, results.length - 1)] ?? "accepted";
    const harness = createForwardingHarness(
        desiredStateOf([routeOf("stream")]),
        {
            prefill: async engine => {
                const kind = resultAt(prefills, nextIndex.prefill++);
                // The first accepted prefill is not counted; neither is one that reaches no engine.
                const isUncounted = kind === "unreachable" || (kind === "accepted" && isFirstPrefill);
                isFirstPrefill &&= kind !== "accepted";
                calls += isUncounted ? 0 : 1;
                return kind === "accepted"
                    ? Result.ok({ address: engine.address, handle: "h", tokens: 10 })
                    : errorOf(kind);
            },
            send: async () => {
                const kind = resultAt(runs, nextIndex.run++);
                calls += kind === "unreachable" ? 0 : 1;
                return kind === "accepted" ? responseOf(200) : errorOf(kind);
            },
        },
        {},
        { ratio: 0, slack, windowMs: 1_000_000 },
    );
    harness.load(modelEngines);
    for (let request = 0; request < 12; request++) {
        calls = 0;
        isFirstPrefill = true;
        nextIndex.prefill = 0;
        nextIndex.run = 0;
        const receivedAtMs = harness.clock.monotonicMs();
        await forward(harness.context, requestTo("/stream/x", { size: smallSize, receivedAtMs }));
        callsBeyond += Math.max(0, calls - 1);
        // Lets the ejections of engines end.
        await harness.clock.advance(10_000);
    }
    return callsBeyond;
}

describe("engine calls of a generation", () => {
    it.each(patterns)(
        "prefills $prefills, runs $runs: never more calls beyond the first than the budget allows",
        async pattern => {
            for (const slack of [0, 1, 2, 5, 9]) {
                expect(await callsBeyondTheFirst(pattern, slack)).toBeLessThanOrEqual(slack);
            }
        },
    );

    it("takes no retry from the budget for a free call, and only one for each other call", () => {
        const budget = createFleetRetryBudget(createVirtualClock(), { ratio: 0, slack: 10, windowMs: 10_000 });
        let retriesTaken = 0;
        const counted = { ...budget, take: (service: string) => (retriesTaken += 1, budget.take(service)) };
        const callBudget = createEngineCallBudget(counted, "models");
        expect(callBudget.tryAcquireCall()).toBe(true);
        callBudget.recordPrefill(true);
        expect(callBudget.tryAcquireCall()).toBe(true);
        callBudget.recordCall();
        expect(retriesTaken).toBe(0);
        expect(callBudget.tryAcquireCall()).toBe(true);
        expect(callBudget.tryAcquireCall()).toBe(true);
        expect(retriesTaken).toBe(1);
        callBudget.recordPrefill(true);
        expect(callBudget.tryAcquireCall()).toBe(true);
        expect(retriesTaken).toBe(2);
    });
});
