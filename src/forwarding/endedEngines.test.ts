/**
 * Requests while most engines of their service have ended: nothing listens at their addresses, and others still serve.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    requestTo,
    responseOf,
    routeOf,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { EngineError, EngineRecord, EngineResponse } from "../engines/enginePort.js";
import type { RouteKind } from "../routes/desiredState.js";
import { forward } from "./forward.js";

interface EndedCase {
    readonly kind: RouteKind;
    readonly engines: number;
    /** Engines that have ended, the first ones in the order in which they are tried. */
    readonly ended: number;
    readonly outcome: string;
}

const cases: readonly EndedCase[] = (["idempotent", "nonIdempotent", "stream"] as const).flatMap(kind => [
    { kind, engines: 4, ended: 3, outcome: "200 ok" },
    { kind, engines: 12, ended: 11, outcome: "200 ok" },
    { kind, engines: 12, ended: 12, outcome: "503" },
]);
const requests = 4;
const maxWaitMs = 3_000;
const stepMs = 50;
const noRetries = { ratio: 0, slack: 0, windowMs: 10_000 };
/** An entry spends 70% of the slack. */
const budgetOfOneRetry = { ...noRetries, slack: 2 };

function enginesOf(kind: RouteKind, count: number): readonly EngineRecord[] {
    return Array.from(
        { length: count },
        (unused, index) => engineRecord(`i-${index}`, kind === "stream" ? "decode" : undefined),
    );
}

describe("requests while engines of their service have ended", () => {
    it("a call that failed takes one retry, however many engines refuse it before the next response", async () => {
        const responses: Readonly<Record<string, Result<EngineResponse, EngineError>>> = {
            "i-0": responseOf(500),
            "i-5": responseOf(200),
        };
        const harness = createForwardingHarness(
            desiredStateOf([routeOf("idempotent")]),
            {
                send: async ({ id }) =>
                    responses[id]
                        ?? Result.err({ kind: "unreachable", cause: "refused", isConnectionRefused: true }),
            },
            {},
            budgetOfOneRetry,
        );
        harness.load(enginesOf("idempotent", 6));
        expect(await describeOutcome(await forward(harness.context, requestTo("/idempotent/x")))).toBe("200 ok");
        expect(harness.context.retryBudget.take("desk")).toBe(false);
    });

    // Attempts at engines that refused the connection counted like others, and once half of the engines did not respond,
    // all of them were tried, so sound requests were refused beside one that ended engines.
    it.each(cases)("$kind, $ended of $engines have ended: $outcome", async ({ kind, engines, ended, outcome }) => {
        const endedIds = new Set(Array.from({ length: ended }, (unused, index) => `i-${index}`));
        const refuseIfEnded = <Success>({ id }: EngineRecord, result: Result<Success, EngineError>) =>
            endedIds.has(id)
                ? Result.err<Success, EngineError>({ kind: "unreachable", cause: "refused", isConnectionRefused: true })
                : result;
        const harness = createForwardingHarness(
            desiredStateOf([routeOf(kind)]),
            {
                send: async engine => refuseIfEnded(engine, responseOf(200)),
                reserve: async engine => refuseIfEnded(engine, Result.ok({ id: "hold", tokens: 10 })),
            },
            {},
            noRetries,
        );
        harness.load(enginesOf(kind, engines));
        const outcomes: string[] = [];
        for (let request = 0; request < requests; request++) {
            const result = forward(
                harness.context,
                requestTo(`/${kind}/x`, {
                    receivedAtMs: harness.clock.monotonicMs(),
                    ...kind === "stream" ? { size: smallSize } : {},
                }),
            ).then(describeOutcome);
            void result.then(each => outcomes.push(each));
            for (let waitedMs = 0; waitedMs < maxWaitMs && outcomes.length === request; waitedMs += stepMs) {
                await harness.clock.advance(stepMs);
            }
        }
        expect(outcomes).toEqual(Array.from({ length: requests }, () => outcome));
    });
});
