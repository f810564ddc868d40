/**
 * Stop strings, the outcome table and the retry budget.
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
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
