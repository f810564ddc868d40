/**
 * Stop strings, the outcome table and the retry budget.
 */

import fc from "fast-check";
import { Result } from "true-myth";
import { describe, expect, test } from "vitest";
import { createRequestContext, requestAttributes } from "../../fakes/requestHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { callService } from "./callService.js";
import { findOutcome, outcomeTable } from "./outcomeTable.js";
import { createRetryBudget } from "./retryBudget.js";
import { createStopMatcher } from "./stopMatcher.js";
import type { MatchedText } from "./stopMatcher.js";

const seed = 20_261_204;

/** Reference implementation: the text before the first stop string, searched in the whole text. */
function naiveCut(text: string, stops: readonly string[]): string {
    const positions = stops.map(stop => text.indexOf(stop)).filter(position => position >= 0);
    return text.slice(0, positions.length === 0 ? text.length : Math.min(...positions));
}

const smallText = fc.string({ unit: fc.constantFrom("a", "b", "\n"), maxLength: 6 });

describe("stop strings", () => {
    test("cut the same text however it is split into chunks", () => {
        fc.assert(
            fc.property(
                fc.array(smallText, { maxLength: 12 }),
                fc.array(smallText.filter(stop => stop !== ""), { maxLength: 3 }),
                (chunks, stops) => {
                    const matcher = createStopMatcher(stops);
                    let text = "";
                    let stopped = false;
                    for (const chunk of chunks) {
                        const matched: MatchedText = stopped ? { text: "", stopped } : matcher.push(chunk);
                        text += matched.text;
                        stopped = matched.stopped;
                    }
                    text += stopped ? "" : matcher.flush();
                    // A later chunk may complete a stop string that starts before one that has already matched. The
                    // stream has then ended at the stop string that was complete first.
                    const whole = chunks.join("");
                    expect(whole.startsWith(text)).toBe(true);
                    const rest = whole.slice(text.length);
                    expect(stopped ? stops.some(stop => rest.startsWith(stop)) : rest === "").toBe(true);
                    expect(stops.some(stop => text.includes(stop))).toBe(false);
                    expect(stopped).toBe(naiveCut(whole, stops) !== whole);
                },
            ),
            { seed, numRuns: 2_000 },
        );
    });
});

describe("the outcome table", () => {
    test("has each stage and failure once", () => {
        const keys = outcomeTable.map(row => `${row.stage}/${row.failure}`);
        expect(new Set(keys).size).toBe(keys.length);
    });

    test.each(outcomeTable)(
        "$stage/$failure: work that may have run is not refused, and is repeated only if it is idempotent",
        row => {
            expect(findOutcome(row.stage, row.failure)).toBe(row);
            if (row.mayHaveRun) {
                expect(row.idempotent).not.toBe("refuse");
                expect(["unknown", undefined]).toContain(row.nonIdempotent);
            }
            else {
                expect(row.nonIdempotent).not.toBe("unknown");
            }
        },
    );
});

const agentErrors = [
    [-32_700, "notRun"],
    [-32_600, "notRun"],
    [-32_601, "notRun"],
    [-32_602, "notRun"],
    [0, "unknown"],
    [-32_603, "unknown"],
] as const;

// Each error of an agent counted as a refusal, so a call that had run in part was sent again or reported as not run.
test.each(agentErrors)("a call that must not run twice, after error %s of an agent: %s", async (code, outcome) => {
    let sent = 0;
    const retryBudget = { recordRequest: () => undefined, takeRetry: () => true };
    const context = {
        ...createRequestContext({ clock: createVirtualClock(), endpointsPerRole: 2, agents: {}, retryBudget }),
        rpc: {
            call: async () => {
                sent += 1;
                return Result.err({ kind: "rejected", delivered: "yes", code, cause: "an error" } as const);
            },
            stream: async () => Result.err({ kind: "unreachable", delivered: "no", cause: "not called" } as const),
            close: async () => undefined,
        },
    };
    const request = {
        ...requestAttributes,
        poolName: "desk",
        method: "POST",
        path: "/pay",
        headers: {},
        bodyBase64: "",
    };
    const { signal } = new AbortController();
    const result = await callService(context, { ...request, idempotent: false, timeoutMs: 1_000 }, signal);
    expect([result.kind, sent]).toEqual([outcome, outcome === "unknown" ? 1 : 2]);
});

test("retries are limited to a fraction of the requests", () => {
    const budget = createRetryBudget();
    let retries = 0;
    for (let request = 0; request < 1_000; request++) {
        budget.recordRequest("a", "p");
        while (budget.takeRetry("a", "p")) {
            retries += 1;
        }
    }
    expect(retries).toBeLessThanOrEqual(10 + 200);
    expect(budget.takeRetry("b", "p")).toBe(true);
});
