/**
 * What a generation's calls at engines cost of the fleet's retry budget.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    answerOf,
    createForwardingRig,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    smallSize,
    stateOf,
} from "../../fakes/forwardingRig.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineError } from "../engines/enginePort.js";
import { createFleetRetryBudget } from "../limits/fleetRetryBudget.js";
import { createArrivals } from "./arrivals.js";
import { forward } from "./forward.js";

type Answer = "taken" | EngineError["kind"];

const models = ["p-1", "p-2"].map(id => engineRecord(id, "prefill"))
    .concat(["m-1", "m-2", "m-3"].map(id => engineRecord(id, "decode")));

interface Pattern {
    readonly prefills: readonly Answer[];
    readonly runs: readonly Answer[];
}

const patterns: readonly Pattern[] = [
    { prefills: ["taken"], runs: ["taken"] },
    { prefills: ["notExecuted", "taken"], runs: ["taken"] },
    { prefills: ["notExecuted", "notExecuted"], runs: ["taken"] },
    { prefills: ["notExecuted", "notExecuted", "taken"], runs: ["notExecuted", "taken"] },
    { prefills: ["interrupted", "taken"], runs: ["taken"] },
    { prefills: ["taken", "taken"], runs: ["notExecuted", "taken"] },
    { prefills: ["taken", "notExecuted", "taken", "taken"], runs: ["notExecuted", "notExecuted", "taken"] },
    { prefills: ["taken", "taken", "taken"], runs: ["notExecuted"] },
    { prefills: ["notExecuted"], runs: ["notExecuted"] },
    { prefills: ["unreachable"], runs: ["unreachable"] },
];

/** Plays one request after another with the same pattern of answers; returns what engines saw of each. */
async function arrivalsBeyondTheFirst({ prefills, runs }: Pattern, slack: number): Promise<number> {
    let beyond = 0;
    let arrivals = 0;
    let isPrefillFree = true;
    const turns = { prefill: 0, run: 0 };
    const answer = (answers: readonly Answer[], turn: number): Answer =>
        answers[Math.min(turn, answers.length - 1)] ?? "taken";
    const rig = createForwardingRig(
        stateOf([routeOf("stream")]),
        {
            prefill: async engine => {
                const kind = answer(prefills, turns.prefill++);
                // The first prefill that an engine accepts is no extra arrival; one that reaches no engine is none.
                const isFree = kind === "unreachable" || (kind === "taken" && isPrefillFree);
                isPrefillFree &&= kind !== "taken";
                arrivals += isFree ? 0 : 1;
                return kind === "taken"
                    ? Result.ok({ address: engine.address, handle: "h", tokens: 10 })
                    : errorOf(kind);
            },
            send: async () => {
                const kind = answer(runs, turns.run++);
                arrivals += kind === "unreachable" ? 0 : 1;
                return kind === "taken" ? answerOf(200) : errorOf(kind);
            },
        },
        {},
        { ratio: 0, slack, windowMs: 1_000_000 },
    );
    rig.load(models);
    for (let request = 0; request < 12; request++) {
        arrivals = 0;
        isPrefillFree = true;
        turns.prefill = 0;
        turns.run = 0;
        const receivedAtMs = rig.clock.monotonicMs();
        await forward(rig.context, requestTo("/stream/x", { size: smallSize, receivedAtMs }));
        beyond += Math.max(0, arrivals - 1);
        // Engines that were passed over are tried again.
        await rig.clock.advance(10_000);
    }
    return beyond;
}

describe("a generation's arrivals at engines", () => {
    it.each(patterns)(
        "prefills $prefills, runs $runs: never more beyond the first than the budget has",
        async pattern => {
            for (const slack of [0, 1, 2, 5, 9]) {
                expect(await arrivalsBeyondTheFirst(pattern, slack)).toBeLessThanOrEqual(slack);
            }
        },
    );

    it("takes nothing from the budget for what is free, and nothing twice", () => {
        const budget = createFleetRetryBudget(createVirtualClock(), { ratio: 0, slack: 10, windowMs: 10_000 });
        let taken = 0;
        const counted = { ...budget, take: (service: string) => (taken += 1, budget.take(service)) };
        const arrivals = createArrivals(counted, "models");
        expect(arrivals.mayCall()).toBe(true);
        arrivals.notePrefill(true);
        expect(arrivals.mayCall()).toBe(true);
        arrivals.noteCall();
        expect(taken).toBe(0);
        expect(arrivals.mayCall()).toBe(true);
        expect(arrivals.mayCall()).toBe(true);
        expect(taken).toBe(1);
        arrivals.notePrefill(true);
        expect(arrivals.mayCall()).toBe(true);
        expect(taken).toBe(2);
    });
});
