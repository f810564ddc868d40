/**
 * Plain calls beyond the slots of a service, over several entries whose views of each other lag.
 */

import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    requestTo,
    responseOf,
    routeOf,
} from "../../fakes/forwardingHarness.js";
import type { ForwardingHarness } from "../../fakes/forwardingHarness.js";
import { runInstanceFleet } from "../../fakes/instanceFleet.js";
import type { InstanceFleetResult, InstanceFleetSpec } from "../../fakes/instanceFleet.js";
import { forward } from "./forward.js";

const base: InstanceFleetSpec = {
    entries: 9,
    instances: 3,
    slots: 6,
    queue: 24,
    workMs: 86,
    objectiveMs: 387,
    reports: "nothing",
    slowdown: () => 1,
    callsPerSecond: () => 68,
    durationMs: 3_000,
    seed: 1,
};
/** Calls a second that the slots of `base` can serve. */
const capacityPerSecond = base.instances * base.slots * 1_000 / base.workMs;
const burst = (nowMs: number): number => nowMs >= 1_000 && nowMs < 4_000 ? capacityPerSecond * 1.5 : 68;
/** Each instance changes its speed several times a second, by itself. */
const uneven = (instance: number, nowMs: number): number => Math.floor(nowMs / 300 + instance * 1.7) % 3 === 0 ? 3 : 1;

async function run(spec: InstanceFleetSpec): Promise<InstanceFleetResult> {
    const results = await Promise.all([1, 2, 3].map(seed => runInstanceFleet({ ...spec, seed })));
    const sum = (count: (result: InstanceFleetResult) => number): number =>
        results.reduce((total, result) => total + count(result), 0);
    return {
        calls: sum(({ calls }) => calls),
        onTime: sum(({ onTime }) => onTime),
        late: sum(({ late }) => late),
        refused: sum(({ refused }) => refused),
        unknown: sum(({ unknown }) => unknown),
        rejections: sum(({ rejections }) => rejections),
        statusChecks: sum(({ statusChecks }) => statusChecks),
        sends: results.flatMap(({ sends }) => sends),
    };
}

describe("plain calls beyond the slots of a service", () => {
    // Calls queued at the instances until nearly all were late, and most sends were rejected.
    it.each([1, 9, 25])("%i entries: twice as many are on time, and few sends are rejected", async entries => {
        const spec = { ...base, entries, callsPerSecond: burst, durationMs: 5_000 };
        const untold = await run(spec);
        for (const reports of ["load", "speed"] as const) {
            const told = await run({ ...spec, reports });
            expect(told.onTime).toBeGreaterThan(2 * untold.onTime);
            expect(told.rejections).toBeLessThan(untold.rejections / 10);
        }
    });

    // Also without herding: all entries hear of the same fast instance.
    it.each([9, 25])("%i entries: a third fewer are late where instances say how fast they are", async entries => {
        const spec = { ...base, entries, slowdown: uneven, durationMs: 5_000, callsPerSecond: () => 120 };
        const untold = await run(spec);
        const told = await run({ ...spec, reports: "speed" });
        expect(told.late + told.refused).toBeLessThan((untold.late + untold.refused) * 2 / 3);
    });

    it.each([1, 9, 25])(
        "%i entries: where there are slots, calls go where they went without reports",
        async entries => {
            expect(await run({ ...base, entries, reports: "load" })).toEqual(await run({ ...base, entries }));
            const { calls, onTime } = await run({ ...base, entries, reports: "speed" });
            expect(onTime).toBe(calls);
        },
    );
});

describe("an instance that resets what it gets, to several entries", () => {
    const resetsMs = 5_600;

    // Each entry learned it by its own calls, after each ejection anew.
    it.each([1, 9, 25])("%i entries: no more than two calls that may run once are lost for each", async entries => {
        const { unknown } = await runInstanceFleet({
            ...base,
            entries,
            resets: (instance, nowMs) => instance === 0 && nowMs >= 1_000 && nowMs < 1_000 + resetsMs,
            durationMs: 8_000,
        });
        expect(unknown).toBeLessThanOrEqual(2 * entries);
    });
});

describe("a hedge", () => {
    it.each([
        { name: "goes to an instance with a free slot", load: "3,0,4", sends: ["send i-1", "send i-2"] },
        { name: "does not wait at a full instance", load: "4,2,4", sends: ["send i-1"] },
        { name: "goes to an instance of unknown load", load: "", sends: ["send i-1", "send i-2"] },
    ])("$name", async ({ load, sends }) => {
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([routeOf("idempotent")]), {
            send: async ({ id }) => {
                await harness.clock.sleep(id === "i-1" ? 1_000 : 20);
                return responseOf(200);
            },
        });
        const [first, second] = [engineRecord("i-1"), engineRecord("i-2")];
        harness.load([first, second]);
        harness.reportedLoads.record(first, "0,0,4");
        harness.reportedLoads.record(second, load);
        const response = forward(harness.context, requestTo("/idempotent/x")).then(describeOutcome);
        await harness.clock.advance(1_100);
        expect([await response, harness.calls]).toEqual(["200 ok", sends]);
    });
});
