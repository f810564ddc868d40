/**
 * Admission of plain calls: which are sent at once, which wait, in which order, and until when.
 */

import { describe, expect, it } from "vitest";
import { engineRecord } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createEngineLoads } from "../engines/engineLoads.js";
import { createReportedLoads, parseLoad } from "../engines/reportedLoads.js";
import { createInstanceLoads } from "./instanceLoads.js";
import type { InstanceLoad } from "./instanceLoads.js";
import { prefillTokensPerMs } from "./placement.js";
import { compareByObjective, createPlainQueue } from "./plainQueue.js";
import type { Admission, PlainQueue, WaitingCall } from "./plainQueue.js";

const usualMs = 100;
const free: InstanceLoad = { inFlight: 3, slots: 4, slowdown: undefined, isObserved: true };
const full: InstanceLoad = { ...free, inFlight: 80 };
const engines = [engineRecord("i-1"), engineRecord("i-2")];

interface TestQueue {
    readonly queue: PlainQueue;
    readonly clock: ReturnType<typeof createVirtualClock>;
    readonly end: () => void;
    loads: readonly (InstanceLoad | undefined)[];
}

function createTestQueue(loads: TestQueue["loads"], isDurationKnown = true): TestQueue {
    const clock = createVirtualClock();
    let end: () => void = () => undefined;
    const test: TestQueue = {
        clock,
        loads,
        end: () => end(),
        queue: createPlainQueue({
            clock,
            random: () => 0,
            instanceLoads: {
                loadOf: engine => test.loads[engines.indexOf(engine)],
                usualMs: () => isDurationKnown ? usualMs : undefined,
            },
            onEnd: listener => {
                end = listener;
            },
            compare: compareByObjective,
        }),
    };
    return test;
}

function callOf(overrides: Partial<WaitingCall> = {}): WaitingCall {
    return {
        service: "desk",
        priority: 5,
        receivedAtMs: 0,
        deadlineMs: 3_000,
        objectiveMs: 400,
        instances: () => engines,
        signal: new AbortController().signal,
        ...overrides,
    };
}

interface AdmissionCase {
    readonly name: string;
    readonly loads: readonly (InstanceLoad | undefined)[];
    readonly isDurationKnown?: boolean;
    readonly call?: Partial<WaitingCall>;
    readonly admission: "admitted" | "refused" | "waits";
}

const queued = (inFlight: number): InstanceLoad => ({ ...free, inFlight });

const admissionCases: readonly AdmissionCase[] = [
    { name: "a slot is free", loads: [full, free], admission: "admitted" },
    { name: "a slot is free, and it is late", loads: [free, full], call: { objectiveMs: 50 }, admission: "admitted" },
    { name: "it is on time after those that wait at the instance", loads: [queued(10), full], admission: "admitted" },
    { name: "it would be on time only a little later", loads: [queued(12), full], admission: "waits" },
    { name: "it would be late, but not too late for its caller", loads: [queued(30), full], admission: "waits" },
    { name: "it would wait too long", loads: [full, full], admission: "refused" },
    {
        name: "its caller\u2019s time is over before",
        loads: [queued(12), full],
        call: { deadlineMs: 10 },
        admission: "refused",
    },
    { name: "an instance does not report its load", loads: [full, undefined], admission: "admitted" },
    { name: "the duration of calls is unknown", loads: [full, full], isDurationKnown: false, admission: "admitted" },
    {
        name: "reports are old, and no call of this entry will bring another",
        loads: [full, full].map(load => ({ ...load, isObserved: false })),
        admission: "admitted",
    },
    {
        name: "an instance is slow now",
        loads: [{ ...queued(10), slowdown: 1.2 }, full],
        admission: "waits",
    },
    { name: "no instance is left", loads: [full, full], call: { instances: () => [] }, admission: "admitted" },
];

describe("admission of plain calls", () => {
    it.each(admissionCases)("$name: $admission", async ({ loads, isDurationKnown, call, admission }) => {
        const { queue } = createTestQueue(loads, isDurationKnown);
        const result = queue.admit(callOf(call));
        expect(result instanceof Promise ? "waits" : result.kind).toBe(admission);
    });

    it("admits the more urgent first, then the earlier objective, one for each place", async () => {
        const test = createTestQueue([queued(12), full]);
        const admitted: string[] = [];
        const calls: Readonly<Record<string, Partial<WaitingCall>>> = {
            later: { objectiveMs: 450 },
            earlier: {},
            urgent: { priority: 0, objectiveMs: 500 },
        };
        test.loads = [queued(14), full];
        for (const [name, call] of Object.entries(calls)) {
            const admission = test.queue.admit(callOf(call));
            void Promise.resolve(admission).then(({ kind }) => admitted.push(`${name} ${kind}`));
        }
        expect(test.queue.waitingCalls()).toBe(3);
        test.loads = [free, full];
        for (let place = 0; place < 3; place++) {
            test.end();
            await test.clock.settle();
            expect(admitted).toHaveLength(place + 1);
        }
        expect(admitted).toEqual(["urgent admitted", "earlier admitted", "later admitted"]);
    });

    it("admits a late call only when no other waits that can be on time", async () => {
        const test = createTestQueue([queued(12), full]);
        const admitted: string[] = [];
        const admit = (name: string, call: Partial<WaitingCall>): void => {
            void Promise.resolve(test.queue.admit(callOf(call))).then(({ kind }) => admitted.push(`${name} ${kind}`));
        };
        admit("late", {});
        await test.clock.advance(300);
        admit("on time", { receivedAtMs: 300, deadlineMs: 3_300 });
        test.loads = [free, full];
        test.end();
        await test.clock.settle();
        expect(admitted).toEqual(["on time admitted"]);
        test.end();
        await test.clock.settle();
        expect(admitted).toEqual(["on time admitted", "late admitted"]);
    });

    it("lets no late call pass late ones that wait", async () => {
        const test = createTestQueue([queued(12), full]);
        void test.queue.admit(callOf());
        await test.clock.advance(300);
        test.loads = [free, full];
        expect(test.queue.admit(callOf({ receivedAtMs: 10 }))).toBeInstanceOf(Promise);
    });

    it("lets a call pass late ones that wait for a free slot", async () => {
        const test = createTestQueue([queued(12), full]);
        void test.queue.admit(callOf());
        await test.clock.advance(300);
        test.loads = [queued(10), full];
        test.end();
        expect(test.queue.waitingCalls()).toBe(1);
        expect(test.queue.admit(callOf({ receivedAtMs: 300, deadlineMs: 3_300 }))).toEqual({ kind: "admitted" });
    });

    it("lets no later call pass one that waits", async () => {
        const test = createTestQueue([queued(12), full]);
        void test.queue.admit(callOf());
        test.loads = [free, full];
        expect(test.queue.admit(callOf({ objectiveMs: 500 }))).toBeInstanceOf(Promise);
    });

    it.each([
        { name: "its wait is over", abort: false, cause: "waited", atMs: 1_500 },
        { name: "its caller is gone", abort: true, cause: "disconnected", atMs: 0 },
    ])("refuses a call if $name", async ({ abort, cause, atMs }) => {
        const { queue, clock } = createTestQueue([queued(12), full]);
        const caller = new AbortController();
        let settled: { readonly admission: Admission; readonly atMs: number; } | undefined;
        void Promise.resolve(queue.admit(callOf({ signal: caller.signal }))).then(admission => {
            settled = { admission, atMs: clock.monotonicMs() };
        });
        if (abort) {
            caller.abort();
        }
        await clock.advance(1_600);
        expect(settled?.admission).toMatchObject({ kind: "refused", cause });
        expect(settled?.atMs).toBe(atMs);
        expect(queue.waitingCalls()).toBe(0);
    });
});

describe("reported loads", () => {
    it.each([
        { value: "3,0,8", load: { running: 3, waiting: 0, slots: 8, slowdown: undefined } },
        { value: " 3, 1 ,8, 250 ", load: { running: 3, waiting: 1, slots: 8, slowdown: 2.5 } },
        { value: "3,0", load: undefined },
        { value: "3,0,0", load: undefined },
        { value: "3,0,8,0", load: undefined },
        { value: "3,0,8,x", load: undefined },
        { value: "-1,0,8", load: undefined },
        { value: "1,2,3,4,5", load: undefined },
    ])("$value", ({ value, load }) => {
        expect(parseLoad(value)).toEqual(load);
    });

    it("count with this entry's calls since, then fade", async () => {
        const clock = createVirtualClock();
        const [engine] = engines;
        const reports = createReportedLoads(clock);
        const loads = createEngineLoads(clock, prefillTokensPerMs);
        const instanceLoads = createInstanceLoads(clock, reports, loads);
        const load = (): InstanceLoad | undefined => engine === undefined ? undefined : instanceLoads.loadOf(engine);
        expect(load()).toBeUndefined();
        const end = loads.start("i-1", { requests: 1, kvTokens: 0, prefillTokens: 0 });
        loads.setPeer("peer", { "i-1": { requests: 2, kvTokens: 0, prefillTokens: 0 } });
        reports.record(engineRecord("i-1"), "4,1,6,300");
        expect(load()).toEqual({ inFlight: 5, slots: 6, slowdown: 3, isObserved: true });
        loads.start("i-1", { requests: 2, kvTokens: 0, prefillTokens: 0 });
        end();
        expect(load()?.inFlight).toBe(6);
        await clock.advance(1_000);
        expect(load()?.inFlight).toBe(4);
        expect(load()?.slowdown).toBeLessThan(1.5);
        await clock.advance(10_000);
        expect(load()).toBeUndefined();
    });

    it("show how long calls usually take, by those that had a free slot", () => {
        const clock = createVirtualClock();
        const instanceLoads = createInstanceLoads(
            clock,
            createReportedLoads(clock),
            createEngineLoads(clock, prefillTokensPerMs),
        );
        expect(instanceLoads.usualMs("desk")).toBeUndefined();
        instanceLoads.recordDuration("desk", 500, undefined);
        instanceLoads.recordDuration("desk", 500, full);
        instanceLoads.recordDuration("desk", 200, { ...free, slowdown: 2 });
        expect(instanceLoads.usualMs("desk")).toBe(100);
        instanceLoads.recordDuration("desk", 3_000, free);
        expect(instanceLoads.usualMs("desk")).toBeLessThan(120);
    });
});
