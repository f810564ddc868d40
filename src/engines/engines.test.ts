/**
 * Which engines get work: after changed, stale or missing registry records, and after failed requests.
 */

import { describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { createEngineDirectory, missingRecordGraceMs } from "./engineDirectory.js";
import type { EngineDirectory } from "./engineDirectory.js";
import { createEngineHealth } from "./engineHealth.js";
import type { AttemptOutcome } from "./engineHealth.js";
import { createEngineNotices, parseRestMs } from "./engineNotices.js";
import type { EngineNotices } from "./engineNotices.js";
import type { EngineRecord } from "./enginePort.js";
import { createEngineRates } from "./engineRates.js";
import type { EngineRates } from "./engineRates.js";
import { createEvacuations } from "./evacuations.js";
import type { Evacuations } from "./evacuations.js";

const first = engineRecord("i-1", undefined, { recordSequence: 5 });

function createTestDirectory(): {
    readonly clock: VirtualClock;
    readonly directory: EngineDirectory;
    readonly notices: EngineNotices;
    readonly evacuations: Evacuations;
} {
    const clock = createVirtualClock();
    const notices = createEngineNotices(clock, silentDecisionLog);
    const evacuations = createEvacuations(clock, silentDecisionLog);
    const directory = createEngineDirectory(clock, silentDecisionLog, notices, evacuations);
    return { clock, directory, notices, evacuations };
}

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
        const directory = createTestDirectory().directory;
        lists.forEach(list => directory.load(list, "current"));
        expect(directory.usable("desk").length > 0).toBe(usable);
    });

    it("keeps a record that disappeared during an outage until its grace period ends", async () => {
        const { clock, directory } = createTestDirectory();
        directory.load([first, engineRecord("i-2")], "current");
        directory.load([], "afterOutage");
        await clock.advance(missingRecordGraceMs - 1);
        expect(directory.usable("desk")).toHaveLength(2);
        directory.load([first], "current");
        await clock.advance(1);
        expect(directory.usable("desk").map(engine => engine.id)).toEqual(["i-1"]);
    });
});

interface RestorationCase {
    readonly name: string;
    readonly before: readonly (readonly EngineRecord[])[];
    /** The first list of the restored registry, and the lists after it. */
    readonly restored: readonly EngineRecord[];
    readonly after?: readonly (readonly EngineRecord[])[];
    readonly waitMs?: number;
    readonly usable: boolean;
}

const restorationCases: readonly RestorationCase[] = [
    { name: "a new engine whose record is lost is still used", before: [[first]], restored: [], usable: true },
    {
        name: "a new engine whose record is lost and not written again is removed",
        before: [[first]],
        restored: [],
        waitMs: missingRecordGraceMs,
        usable: false,
    },
    { name: "an engine that had gone is not used", before: [[first], []], restored: [first], usable: false },
    {
        name: "an engine that had gone is used once it has written its record again",
        before: [[first], []],
        restored: [first],
        after: [[{ ...first, recordSequence: 6 }]],
        usable: true,
    },
    {
        name: "an engine that had gone is used once its record would have been removed again",
        before: [[first], []],
        restored: [first],
        waitMs: 6_000,
        usable: true,
    },
    {
        name: "an engine that had started to drain stays draining",
        before: [[first], [{ ...first, state: "draining", recordSequence: 6 }]],
        restored: [first],
        waitMs: 60_000,
        usable: false,
    },
    {
        name: "a new start of an engine that had gone is used",
        before: [[first], []],
        restored: [{ ...first, bornMs: 2 }],
        usable: true,
    },
];

describe("engine directory after a restoration of the registry from an older copy", () => {
    it.each(restorationCases)("$name", async ({ before, restored, after = [], waitMs = 0, usable }) => {
        const { clock, directory } = createTestDirectory();
        before.forEach(list => directory.load(list, "current"));
        directory.load(restored, "afterRestoration");
        after.forEach(list => directory.load(list, "current"));
        await clock.advance(waitMs);
        expect(directory.usable("desk").length > 0).toBe(usable);
    });
});

interface RestCase {
    readonly retryAfter: string | undefined;
    readonly restMs: number | undefined;
}

const restCases: readonly RestCase[] = [
    { retryAfter: "2", restMs: 2_000 },
    { retryAfter: "0.25", restMs: 250 },
    { retryAfter: " 1 ", restMs: 1_000 },
    { retryAfter: "0", restMs: undefined },
    { retryAfter: "-1", restMs: undefined },
    { retryAfter: "", restMs: undefined },
    { retryAfter: "soon", restMs: undefined },
    { retryAfter: "Wed, 21 Oct 2026 07:28:00 GMT", restMs: undefined },
    { retryAfter: undefined, restMs: undefined },
    { retryAfter: "1e300", restMs: 300_000 },
    { retryAfter: "Infinity", restMs: 300_000 },
];

describe("announcements of engines", () => {
    it.each(restCases)("a Retry-After of $retryAfter means a rest of $restMs ms", ({ retryAfter, restMs }) => {
        expect(parseRestMs(retryAfter)).toBe(restMs);
    });

    it("a leaving engine is not used until it restarts, whatever its records say", () => {
        const { directory, notices } = createTestDirectory();
        directory.load([first], "current");
        notices.recordLeaving(first);
        directory.load([{ ...first, recordSequence: 9 }], "current");
        expect([directory.usable("desk").length, directory.isUsable({ id: "i-1", bornMs: 1 })]).toEqual([0, false]);
        directory.load([{ ...first, bornMs: 2 }], "current");
        expect([directory.usable("desk").length, directory.isUsable({ id: "i-1", bornMs: 2 })]).toEqual([1, true]);
        expect(directory.isUsable({ id: "i-1", bornMs: 1 })).toBe(false);
    });

    it("a resting engine is used again when its rest ends; a shorter rest does not end a longer one", async () => {
        const { clock, directory, notices } = createTestDirectory();
        directory.load([first], "current");
        notices.recordRest(first, 2_000);
        notices.recordRest(first, 500);
        expect(directory.allRestingMs("desk", undefined)).toBe(2_000);
        await clock.advance(1_999);
        expect(directory.usable("desk")).toHaveLength(0);
        await clock.advance(1);
        expect(directory.usable("desk")).toHaveLength(1);
        expect(directory.allRestingMs("desk", undefined)).toBeUndefined();
    });

    it("the shortest rest counts if all engines of a stage rest, and none if one of them is usable", () => {
        const { directory, notices } = createTestDirectory();
        const engines = ["d-1", "d-2"].map(id => engineRecord(id, "decode"));
        directory.load([...engines, engineRecord("p-1", "prefill")], "current");
        engines.forEach((engine, index) => notices.recordRest(engine, 1_000 * (index + 1)));
        expect(directory.allRestingMs("models", "decode")).toBe(1_000);
        expect(directory.allRestingMs("models", "prefill")).toBeUndefined();
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
    {
        name: "most have ended: their hosts refuse connections, so this host's network is not the cause",
        outcomes: { a: many("ended", 1), b: many("ended", 1) },
        expected: ["c"],
    },
    {
        name: "one has ended, and most of the others do not respond",
        outcomes: { a: many("ended", 1), b: many("unresponsive", 1), c: many("unresponsive", 1) },
        expected: ["b", "c"],
    },
    {
        name: "all have ended: any may be back first",
        outcomes: { a: many("ended", 1), b: many("ended", 1), c: many("ended", 1) },
        expected: ["a", "b", "c"],
    },
    {
        name: "one has ended and is back",
        outcomes: { a: ["ended", "succeeded", "unresponsive"], b: many("unresponsive", 1) },
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

    // Once the first of several engines that had ended was back, the others were left out until their ejections ended.
    it("forgets the outcomes of an earlier start of an engine", () => {
        const health = createEngineHealth(createVirtualClock());
        const first = ["a", "b"].map(id => engineRecord(id));
        const second = first.map(engine => ({ ...engine, bornMs: engine.bornMs + 1 }));
        const usable = (): readonly string[] => health.withoutEjected(second).map(({ id }) => id);
        health.keepOnly(first);
        ["a", "b"].forEach(id => health.recordOutcome(id, "ended"));
        health.recordOutcome("a", "succeeded");
        health.keepOnly(first);
        expect(usable()).toEqual(["a"]);
        health.keepOnly(second);
        expect(usable()).toEqual(["a", "b"]);
        health.recordOutcome("b", "ended");
        health.keepOnly(second.filter(({ id }) => id === "a"));
        expect(usable()).toEqual(["a", "b"]);
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

interface RateStep {
    readonly run: (rates: EngineRates) => void;
    /** Time to wait afterwards. */
    readonly waitMs?: number;
}

const rateNotice = (ratePerSecond: number | undefined, agoMs: number): RateStep => ({
    run: rates => rates.apply([{ engine: first.id, bornMs: first.bornMs, ratePerSecond, agoMs }]),
});
const ownRate = (value: string): RateStep => ({ run: rates => rates.recordNamed(first, value), waitMs: 100 });

const rateCases: readonly { readonly name: string; readonly steps: readonly RateStep[]; readonly rate?: number; }[] = [
    { name: "another entry's", steps: [rateNotice(3, 10)], rate: 3 },
    { name: "another entry's later one", steps: [ownRate("2"), rateNotice(3, 50)], rate: 3 },
    { name: "another entry's earlier one", steps: [ownRate("2"), rateNotice(3, 500)], rate: 2 },
    { name: "ended at another entry", steps: [ownRate("2"), rateNotice(undefined, 50)] },
    { name: "ended at another entry before", steps: [ownRate("2"), rateNotice(undefined, 500)], rate: 2 },
    {
        name: "none in the response to a request that was sent before",
        steps: [ownRate("2"), { run: rates => rates.recordUnnamed(first, 900) }],
        rate: 2,
    },
    {
        name: "none in the response to a request that was sent later",
        steps: [ownRate("2"), { run: rates => rates.recordUnnamed(first, 1_050) }],
    },
];

describe("the rate that an engine names", () => {
    // Responses and messages may overtake each other.
    it.each(rateCases)("$name: $rate", async ({ steps, rate }) => {
        const clock = createVirtualClock();
        const rates = createEngineRates(clock, silentDecisionLog);
        await clock.advance(1_000);
        for (const { run, waitMs = 0 } of steps) {
            run(rates);
            await clock.advance(waitMs);
        }
        expect(rates.rateOf(first)).toBe(rate);
        const later = createEngineRates(clock, silentDecisionLog);
        later.apply(rates.notices());
        expect(later.rateOf(first)).toBe(rate);
    });
});
