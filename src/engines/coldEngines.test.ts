/**
 * Cold engines: what records, responses and other entries say of them, and how many requests they get.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    requestTo,
    routeOf,
    silentDecisionLog,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { forward } from "../forwarding/forward.js";
import type { DesiredState } from "../routes/desiredState.js";
import { createColdEngines } from "./coldEngines.js";
import type { ColdEngines } from "./coldEngines.js";

const ratePerSecond = 4;
const other = engineRecord("i-0");
const record = (recordSequence: number, coldRemainingMs: number) =>
    engineRecord("i-1", undefined, { recordSequence, coldRemainingMs });
const warm = record(1, 0);
const cold = record(2, 8_000);
const noticeOf = (remainingMs: number, agoMs: number) => ({ engine: warm.id, bornMs: warm.bornMs, remainingMs, agoMs });

function stateWith(coldRequestsPerSecond: number): DesiredState {
    const state = desiredStateOf([routeOf("idempotent"), routeOf("nonIdempotent"), routeOf("stream")]);
    return { ...state, services: state.services.map(service => ({ ...service, coldRequestsPerSecond })) };
}

interface ColdCase {
    readonly name: string;
    /** Steps, of which a number is a wait in ms. */
    readonly steps: readonly (number | ((engines: ColdEngines) => void))[];
    readonly remainingMs: number;
}

const load = (...records: Parameters<ColdEngines["load"]>[0]) => (engines: ColdEngines) => engines.load(records);
const named = (value: string) => (engines: ColdEngines) => engines.recordNamed(warm, value);

const coldCases: readonly ColdCase[] = [
    { name: "a warm engine of the first copy", steps: [load(warm)], remainingMs: 0 },
    { name: "a record counts down", steps: [load(cold), 3_000], remainingMs: 5_000 },
    { name: "the same record again does not begin anew", steps: [load(cold), 3_000, load(cold)], remainingMs: 5_000 },
    { name: "a later record begins anew", steps: [load(cold), 3_000, load(record(3, 8_000))], remainingMs: 8_000 },
    { name: "a later record ends it", steps: [load(cold), 3_000, load(record(3, 0))], remainingMs: 0 },
    { name: "an engine becomes cold again", steps: [load(warm), 60_000, load(cold)], remainingMs: 8_000 },
    {
        name: "a new start is suspected for a while",
        steps: [load(other), load(other, warm), 1_000],
        remainingMs: 2_000,
    },
    { name: "a suspicion ends", steps: [load(other), load(other, warm), 3_000], remainingMs: 0 },
    { name: "a new start says how long", steps: [load(other), load(other, cold)], remainingMs: 8_000 },
    { name: "a suspected engine says no", steps: [load(other), load(other, warm), named("0")], remainingMs: 0 },
    { name: "a response", steps: [load(warm), named(" 1500.5 ")], remainingMs: 1_500.5 },
    { name: "an invalid response", steps: [load(warm), named("1500"), named("soon"), named("-1")], remainingMs: 1_500 },
    {
        name: "a record of before a response arrives after it",
        steps: [load(warm), named("8000"), 500, load(record(2, 0))],
        remainingMs: 7_500,
    },
    {
        name: "a record that says less, of before a response arrives after it",
        steps: [load(warm), named("8000"), 500, load(record(2, 300))],
        remainingMs: 7_500,
    },
    { name: "a notice", steps: [load(warm), engines => engines.apply([noticeOf(8_000, 500)])], remainingMs: 7_500 },
    {
        name: "an older notice",
        steps: [load(warm), 5_000, named("1000"), engines => engines.apply([noticeOf(8_000, 500)])],
        remainingMs: 1_000,
    },
    {
        name: "a suspicion does not shorten it",
        steps: [load(cold), engines => engines.suspect(cold)],
        remainingMs: 8_000,
    },
];

describe("the time for which an engine stays cold", () => {
    it.each(coldCases)("$name", async ({ steps, remainingMs }) => {
        const clock = createVirtualClock();
        await clock.advance(10_000);
        const engines = createColdEngines(clock, silentDecisionLog);
        engines.setServices(stateWith(ratePerSecond).services);
        for (const step of steps) {
            await (typeof step === "number" ? clock.advance(step) : step(engines));
        }
        expect(engines.remainingMs(warm)).toBe(remainingMs);
        expect(engines.rateOf(warm)).toBe(remainingMs > 0 ? ratePerSecond : undefined);
        engines.setServices(stateWith(0).services);
        expect([engines.rateOf(warm), engines.count()]).toEqual([undefined, 0]);
    });

    it("is shared if a response names it, and is told once", () => {
        const clock = createVirtualClock();
        const engines = createColdEngines(clock, silentDecisionLog);
        let changes = 0;
        engines.onChange(() => (changes += 1));
        engines.load([cold]);
        expect(engines.notices()).toEqual([]);
        engines.recordNamed(other, "900");
        engines.recordNamed(other, "800");
        expect([engines.notices(), changes]).toEqual([[{ engine: "i-0", bornMs: 1, remainingMs: 800, agoMs: 0 }], 1]);
    });
});

const stepMs = 20;
const durationMs = 5_000;
const lists = {
    idempotent: ["i-1", "i-2"].map(id => engineRecord(id)),
    nonIdempotent: ["i-1", "i-2"].map(id => engineRecord(id)),
    stream: [engineRecord("p-1", "prefill"), engineRecord("m-1", "decode"), engineRecord("m-2", "decode")],
};

async function callsFor(kind: keyof typeof lists, coldIds: readonly string[], coldRequestsPerSecond: number) {
    const harness = createForwardingHarness(stateWith(coldRequestsPerSecond));
    harness.load(
        lists[kind].map(engine => coldIds.includes(engine.id) ? { ...engine, coldRemainingMs: 60_000 } : engine),
    );
    const statuses = new Set<string>();
    const times: { readonly call: string; readonly atMs: number; }[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        const before = harness.calls.length;
        const size = kind === "stream" ? { size: smallSize } : {};
        const receivedAtMs = harness.clock.monotonicMs();
        const result = forward(harness.context, requestTo(`/${kind}/x`, { receivedAtMs, ...size }));
        void result.then(async outcome => statuses.add(await describeOutcome(outcome)));
        await harness.clock.advance(stepMs);
        times.push(...harness.calls.slice(before).map(call => ({ call, atMs: elapsedMs })));
    }
    const atCold = times.filter(({ call }) => !call.startsWith("release") && coldIds.includes(call.split(" ")[1] ?? ""))
        .map(({ atMs }) => atMs);
    const inSecond = atCold.map(start => atCold.filter(atMs => atMs >= start && atMs < start + 1_000).length);
    return {
        statuses: [...statuses],
        total: atCold.length,
        maxInSecond: Math.max(0, ...inSecond),
        calls: harness.calls,
    };
}

describe.each(["idempotent", "nonIdempotent", "stream"] as const)("requests of kind %s beside cold engines", kind => {
    const coldId = kind === "stream" ? "m-1" : "i-1";

    it("go to a cold engine within its rate, and otherwise to a warm one", async () => {
        const { statuses, maxInSecond } = await callsFor(kind, [coldId], ratePerSecond);
        expect(statuses).toEqual(["200 ok"]);
        expect(maxInSecond).toBeLessThanOrEqual(ratePerSecond * 1.5);
    });

    it("use the rate of cold engines if all are cold, and are refused beyond it", async () => {
        const ids = lists[kind].map(({ id }) => id).filter(id => id !== "p-1");
        const { statuses, total, maxInSecond } = await callsFor(kind, ids, ratePerSecond);
        expect(statuses.sort()).toEqual(["200 ok", "503"]);
        expect(maxInSecond).toBeLessThanOrEqual(ids.length * ratePerSecond * 1.5 + 1);
        expect(total).toBeGreaterThanOrEqual(ids.length * (ratePerSecond * durationMs / 1_000 - ratePerSecond));
    });

    it("are sent as without a cold engine if the service names no rate", async () => {
        const usual = await callsFor(kind, [], 0);
        expect((await callsFor(kind, [coldId], 0)).calls).toEqual(usual.calls);
    });
});

describe("a generation whose decode engine becomes cold during the prefill", () => {
    // It had a reservation there and no permit, so it came on top of what the engine bears.
    it("goes to an engine that is warm", async () => {
        let coldId: string | undefined;
        const harness = createForwardingHarness(stateWith(ratePerSecond), {
            reserve: async ({ id }, tokens) => {
                coldId ??= id;
                return Result.ok({ id: `hold-${id}`, tokens });
            },
            prefill: async ({ address }) => {
                lists.stream.filter(({ id }) => id === coldId)
                    .forEach(engine => harness.coldEngines.recordNamed(engine, "5000"));
                return Result.ok({ address, handle: "h", tokens: 10 });
            },
        });
        harness.load(lists.stream);
        const receivedAtMs = harness.clock.monotonicMs();
        const result = forward(harness.context, requestTo("/stream/x", { receivedAtMs, size: smallSize }));
        await harness.clock.advance(500);
        expect(await describeOutcome(await result)).toBe("200 ok");
        expect(harness.calls.filter(call => call.startsWith("send"))).toEqual([
            coldId === "m-1" ? "send m-2" : "send m-1",
        ]);
    });
});
