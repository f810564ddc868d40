/**
 * Calls beside an instance of a plain service that fails what it gets: calls that may run once are kept from it while it
 * is in doubt, and calls that may be repeated, or a status check, end the doubt.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
} from "../../fakes/forwardingHarness.js";
import type { EngineScript, ForwardingHarness } from "../../fakes/forwardingHarness.js";
import { forward } from "./forward.js";

const instances = ["i-1", "i-2", "i-3"].map(id => engineRecord(id));

function createHarness(script: EngineScript): ForwardingHarness {
    const harness = createForwardingHarness(desiredStateOf([routeOf("idempotent"), routeOf("nonIdempotent")]), script);
    harness.load(instances);
    return harness;
}

/** Resets what one instance gets until `untilMs`; the others respond after 20 ms. */
function resetUntil(untilMs: number, harness: () => ForwardingHarness, isHealthy: boolean): EngineScript {
    return {
        send: async ({ id }) => {
            if (id === "i-1" && harness().clock.monotonicMs() < untilMs) {
                return errorOf("interrupted");
            }
            await harness().clock.sleep(20);
            return responseOf(200);
        },
        checkStatus: async () => Result.ok(isHealthy || harness().clock.monotonicMs() >= untilMs),
    };
}

interface LoadCase {
    readonly name: string;
    readonly hasLookups: boolean;
    /** Whether the instance's status checks succeed while it resets what it gets. */
    readonly isHealthy: boolean;
    /** Most approvals whose outcome may be unknown: two to eject, one for each status check that was wrong. */
    readonly maxUnknown: number;
}

const cases: readonly LoadCase[] = [
    { name: "lookups try it", hasLookups: true, isHealthy: true, maxUnknown: 2 },
    { name: "status checks fail", hasLookups: false, isHealthy: false, maxUnknown: 2 },
    { name: "status checks succeed, wrongly", hasLookups: false, isHealthy: true, maxUnknown: 5 },
];

describe("an instance that resets what it gets", () => {
    it.each(cases)("$name: few approvals are lost, and it is used again afterwards", async loadCase => {
        const resetsUntilMs = 6_000;
        const harness: ForwardingHarness = createHarness(
            resetUntil(resetsUntilMs, () => harness, loadCase.isHealthy),
        );
        const outcomes: Promise<string>[] = [];
        let callsAtEnd = 0;
        for (let elapsedMs = 0; elapsedMs < 16_000; elapsedMs += 50) {
            const receivedAtMs = harness.clock.monotonicMs();
            const approval = forward(harness.context, requestTo("/nonIdempotent/x", { receivedAtMs }));
            outcomes.push(approval.then(describeOutcome));
            if (loadCase.hasLookups && elapsedMs % 250 === 0) {
                void forward(harness.context, requestTo("/idempotent/x", { receivedAtMs })).then(describeOutcome);
            }
            await harness.clock.advance(50);
            callsAtEnd = elapsedMs === 12_000 ? harness.calls.length : callsAtEnd;
        }
        const unknown = (await Promise.all(outcomes)).filter(outcome => outcome === "502").length;
        expect(unknown).toBeLessThanOrEqual(loadCase.maxUnknown);
        const usedAgain = harness.calls.slice(callsAtEnd).filter(call => call === "send i-1").length;
        expect(usedAgain).toBeGreaterThan(10);
        const checks = harness.calls.filter(call => call.startsWith("check")).length;
        expect(checks).toBeLessThanOrEqual(loadCase.hasLookups ? 0 : 6);
    });

    it("gets one lookup at a time while it is in doubt", async () => {
        const harness: ForwardingHarness = createHarness({
            send: async () => {
                await harness.clock.sleep(100);
                return responseOf(200);
            },
        });
        harness.context.health.recordOutcome("i-1", "unresponsive");
        await harness.clock.advance(600);
        for (let call = 0; call < 6; call++) {
            void forward(harness.context, requestTo("/idempotent/x", { receivedAtMs: 600 })).then(describeOutcome);
        }
        await harness.clock.settle();
        expect(harness.calls.filter(call => call === "send i-1")).toHaveLength(1);
        await harness.clock.advance(200);
        expect(harness.context.health.isDoubtful("i-1")).toBe(false);
    });

    it("is not sent a call that may run once while the others are full", async () => {
        const harness = createHarness({ send: async () => errorOf("notExecuted") });
        harness.context.health.recordOutcome("i-1", "interrupted");
        harness.context.health.recordOutcome("i-1", "interrupted");
        const outcome = await forward(harness.context, requestTo("/nonIdempotent/x")).then(describeOutcome);
        expect([outcome, harness.calls]).toEqual(["503", ["send i-2", "send i-3"]]);
    });

    it("is used like the others if it only rejects what it gets", async () => {
        const harness = createHarness({
            send: async ({ id }) => id === "i-1" ? errorOf("notExecuted") : responseOf(200),
        });
        for (let call = 0; call < 20; call++) {
            await forward(harness.context, requestTo("/nonIdempotent/x")).then(describeOutcome);
        }
        expect(instances.filter(({ id }) => harness.context.health.isDoubtful(id))).toEqual([]);
    });
});
