/**
 * Which engines get work: after changed, stale or missing registry records, and after failed requests.
 */

import { describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createEngineDirectory, missingRecordGraceMs } from "./engineDirectory.js";
import { createEngineHealth } from "./engineHealth.js";
import type { AttemptOutcome } from "./engineHealth.js";
import type { EngineRecord } from "./enginePort.js";

const first = engineRecord("i-1", undefined, { recordSequence: 5 });

interface RecordCase {
    readonly name: string;
    readonly lists: readonly (readonly EngineRecord[])[];
    readonly usable: boolean;
}

const recordCases: readonly RecordCase[] = [
    { name: "a ready engine", lists: [[first]], usable: true },
    {
        name: "a draining engine",
        lists: [[first], [{ ...first, state: "draining", recordSequence: 6 }]],
        usable: false,
    },
    {
        name: "an old ready record after a draining one",
        lists: [[{ ...first, state: "draining", recordSequence: 6 }], [first]],
        usable: false,
    },
    {
        name: "a newer ready record of a draining engine",
        lists: [[{ ...first, state: "draining", recordSequence: 6 }], [{ ...first, recordSequence: 7 }]],
        usable: false,
    },
    {
        name: "a new start under the id of a draining engine",
        lists: [[{ ...first, state: "draining" }], [{ ...first, bornMs: 2, recordSequence: 1 }]],
        usable: true,
    },
    {
        name: "a record of an earlier start",
        lists: [[{ ...first, bornMs: 2, state: "draining" }], [{ ...first, bornMs: 1, recordSequence: 9 }]],
        usable: false,
    },
    { name: "a removed record", lists: [[first], []], usable: false },
];

describe("engine directory", () => {
    it.each(recordCases)("$name is usable: $usable", ({ lists, usable }) => {
        const directory = createEngineDirectory(createVirtualClock(), silentDecisionLog);
        lists.forEach(list => directory.load(list, false));
        expect(directory.usable("desk").length > 0).toBe(usable);
    });

    it("keeps a record that disappeared during an outage until its grace period ends", async () => {
        const clock = createVirtualClock();
        const directory = createEngineDirectory(clock, silentDecisionLog);
        directory.load([first, engineRecord("i-2")], false);
        directory.load([], true);
        await clock.advance(missingRecordGraceMs - 1);
        expect(directory.usable("desk")).toHaveLength(2);
        directory.load([first], false);
        await clock.advance(1);
        expect(directory.usable("desk").map(engine => engine.id)).toEqual(["i-1"]);
    });
});

interface HealthCase {
    readonly name: string;
    /** Outcomes of the engines `a`, `b` and `c`, in order. */
    readonly outcomes: Readonly<Record<string, readonly AttemptOutcome[]>>;
    readonly expected: readonly string[];
}

const many = (outcome: AttemptOutcome, count: number): readonly AttemptOutcome[] => Array(count).fill(outcome);
const mixed = (failures: number, of: number): readonly AttemptOutcome[] =>
    Array.from({ length: of }, (empty, index) => index % of < failures ? "failed" : "succeeded");

const healthCases: readonly HealthCase[] = [
    { name: "no outcomes yet", outcomes: {}, expected: ["a", "b", "c"] },
    { name: "one does not respond", outcomes: { a: many("unresponsive", 1) }, expected: ["b", "c"] },
    {
        name: "one fails nearly all of its requests, although its record is ready",
        outcomes: { a: many("failed", 12), b: many("succeeded", 12), c: many("succeeded", 12) },
        expected: ["b", "c"],
    },
    {
        name: "all fail some of their requests",
        outcomes: { a: mixed(2, 12), b: mixed(2, 12), c: mixed(2, 12) },
        expected: ["a", "b", "c"],
    },
    {
        name: "most do not respond: the fault is more likely in this host's network",
        outcomes: { a: many("unresponsive", 3), b: many("unresponsive", 3) },
        expected: ["a", "b", "c"],
    },
];

describe("engine health", () => {
    it.each(healthCases)("$name", ({ outcomes, expected }) => {
        const health = createEngineHealth(createVirtualClock());
        Object.entries(outcomes).forEach(([id, list]) => list.forEach(outcome => health.recordOutcome(id, outcome)));
        const engines = ["a", "b", "c"].map(id => engineRecord(id));
        expect(health.withoutEjected(engines).map(engine => engine.id)).toEqual(expected);
    });

    it("retries an unresponsive engine after its ejection, and resets the ejection time after a success", async () => {
        const clock = createVirtualClock();
        const health = createEngineHealth(clock);
        health.recordOutcome("a", "unresponsive");
        expect(health.isEjected("a")).toBe(true);
        await clock.advance(500);
        expect(health.isEjected("a")).toBe(false);
        health.recordOutcome("a", "unresponsive");
        await clock.advance(500);
        expect(health.isEjected("a")).toBe(true);
        await clock.advance(500);
        health.recordOutcome("a", "succeeded");
        health.recordOutcome("a", "unresponsive");
        await clock.advance(500);
        expect(health.isEjected("a")).toBe(false);
    });
});
