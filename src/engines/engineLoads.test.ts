/**
 * The work that an entry counts at an engine while the reports of the other entries grow old.
 */

import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createEngineLoads } from "./engineLoads.js";
import type { EngineWork } from "./engineLoads.js";

interface LoadCase {
    readonly name: string;
    /** Prompt tokens that two other entries report, the second one 100 ms after the first. */
    readonly reported: readonly [number, number];
    readonly ownTokens: number;
    /** Time since the second report. */
    readonly waitMs: number;
    readonly prefillTokens: number;
}

const prefillTokensPerMs = 50;
const workOf = (prefillTokens: number): EngineWork => ({ requests: 1, kvTokens: 100, prefillTokens });

const loadCases: readonly LoadCase[] = [
    { name: "fresh reports count in full", reported: [0, 5_000], ownTokens: 0, waitMs: 0, prefillTokens: 5_000 },
    { name: "a prompt that has been read since", reported: [0, 5_000], ownTokens: 0, waitMs: 100, prefillTokens: 0 },
    { name: "never less than none", reported: [0, 5_000], ownTokens: 0, waitMs: 10_000, prefillTokens: 0 },
    { name: "its own work does not age", reported: [0, 5_000], ownTokens: 2_000, waitMs: 400, prefillTokens: 2_000 },
    // The engine reads one prompt after the other, so two reports do not age twice as fast.
    { name: "two reports", reported: [10_000, 10_000], ownTokens: 0, waitMs: 100, prefillTokens: 12_500 },
];

describe("prompt tokens at an engine by the reports of other entries", () => {
    it.each(loadCases)("$name", async ({ reported: [first, second], ownTokens, waitMs, prefillTokens }) => {
        const clock = createVirtualClock();
        const loads = createEngineLoads(clock, prefillTokensPerMs);
        loads.start("p-1", workOf(ownTokens));
        loads.setPeer("first", { "p-1": workOf(first) });
        await clock.advance(100);
        loads.setPeer("second", { "p-1": workOf(second) });
        await clock.advance(waitMs);
        expect(loads.total("p-1")).toEqual({ requests: 3, kvTokens: 300, prefillTokens });
    });
});
