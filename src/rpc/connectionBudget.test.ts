/**
 * The budget for what connections hold: whatever the order of charges, releases and yields, it stays under its limit and
 * ends at zero.
 */

import { array, assert, integer, property, record } from "fast-check";
import { describe, expect, it } from "vitest";
import { createBudgetOf, createConnectionBudget } from "./connectionBudget.js";

const limitBytes = 1_000;

describe("the connection budget", () => {
    it("lets the holder that takes the most yield", () => {
        const yielded: string[] = [];
        const budget = createBudgetOf(limitBytes);
        const open = (name: string, mayYield = true) =>
            budget.open({ mayYield: () => mayYield, onYield: () => yielded.push(name) });
        const [kept, large, small] = [open("kept", false), open("large"), open("small")];
        expect([kept.charge(600), large.charge(300), small.charge(150)]).toEqual([true, true, true]);
        expect([yielded, budget.heldBytes(), large.charge(1)]).toEqual([["large"], 750, false]);
        expect([kept.charge(2_000), yielded]).toEqual([true, ["large", "small"]]);
    });

    it.each([[undefined, 67_108_864], [209_715_200, 17_476_266], [73_400_320, 9_437_184]])(
        "of a process with %s bytes of memory is %s",
        (memoryBytes, expected) => {
            expect(createConnectionBudget(memoryBytes).limitBytes).toBe(expected);
        },
    );

    it("stays under its limit and ends at zero", () => {
        const step = record({ holder: integer({ min: 0, max: 9 }), bytes: integer({ min: -1, max: 700 }) });
        assert(property(array(step, { maxLength: 200 }), steps => {
            const budget = createBudgetOf(limitBytes);
            const holdings = Array.from(
                { length: 10 },
                () => budget.open({ mayYield: () => true, onYield: () => undefined }),
            );
            for (const { holder, bytes } of steps) {
                if (bytes < 0) {
                    holdings[holder]?.release();
                }
                else {
                    holdings[holder]?.charge(bytes);
                }
                expect(budget.heldBytes()).toBeLessThanOrEqual(limitBytes);
            }
            holdings.forEach(holding => holding.release());
            expect(budget.heldBytes()).toBe(0);
        }));
    });
});
