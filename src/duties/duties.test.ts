/**
 * The duty of ordering engines: one holder at a time, whatever is lost, paused or restarted; and the split it keeps.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../../fakes/forwardingRig.js";
import { createGate, createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineRecord } from "../engines/enginePort.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { TableService } from "../platform/ports.js";
import { createOrderDuty } from "./orderDuty.js";
import { nextStageChange, wantedPrefillEngines } from "./stageBalance.js";

describe("the duty of ordering engines", () => {
    it("has one holder, whose tokens only grow", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const duties = ["a", "b"].map(host => createOrderDuty(tables, clock, silentDecisionLog, host));
        const tokens: number[] = [];
        for (let round = 0; round < 20; round++) {
            const permits = await Promise.all(duties.map(duty => duty.claim()));
            expect(permits.filter(permit => permit !== undefined).length).toBeLessThanOrEqual(1);
            permits.forEach(permit => permit !== undefined && tokens.push(permit.fencingToken));
            await clock.advance(1_000);
        }
        expect(tokens.length).toBeGreaterThan(10);
        expect(tokens).toEqual([...tokens].sort((x, y) => x - y));
        expect(new Set(tokens).size).toBe(tokens.length);
    });

    it("goes to another host only after an order of the last one can't be under way any more", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const other = createOrderDuty(tables, clock, silentDecisionLog, "b");
        await createOrderDuty(tables, clock, silentDecisionLog, "a").claim();
        expect(await other.claim()).toBeUndefined();
        await clock.advance(13_900);
        expect(await other.claim()).toBeUndefined();
        await clock.advance(200);
        expect((await other.claim())?.fencingToken).toBe(2);
    });

    it("is continued at once by the same host after its restart", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        await createOrderDuty(tables, clock, silentDecisionLog, "a").claim();
        const restarted = createOrderDuty(tables, clock, silentDecisionLog, "a");
        expect((await restarted.claim())?.fencingToken).toBe(2);
    });

    it("gives a permit that is stale after a pause between the write and the order", async () => {
        const clock = createVirtualClock();
        const gate = createGate(clock);
        const { tables } = createMemoryPlatform();
        const permit = await createOrderDuty(tables, gate.clock, silentDecisionLog, "a").claim();
        expect(permit?.isFresh()).toBe(true);
        await clock.advance(5_000);
        expect(permit?.isFresh()).toBe(false);
    });

    it.each(["unavailable", "unknown"] as const)("gives no permit when the write's outcome is %s", async kind => {
        const memory = createMemoryPlatform();
        const tables: TableService = {
            ...memory.tables,
            commit: async transaction => {
                await memory.tables.commit(transaction);
                return Result.err({ kind, cause: "test" });
            },
        };
        const duty = createOrderDuty(tables, createVirtualClock(), silentDecisionLog, "a");
        expect(await duty.claim()).toBeUndefined();
    });
});

interface BalanceCase {
    readonly name: string;
    readonly prefill: readonly string[];
    readonly decode: readonly string[];
    readonly change: string | undefined;
}

const balanceCases: readonly BalanceCase[] = [
    { name: "as wanted", prefill: ["p1", "p2"], decode: ["d1", "d2", "d3", "d4", "d5", "d6"], change: undefined },
    {
        name: "too many read prompts",
        prefill: ["p1", "p2", "p3"],
        decode: ["d1", "d2", "d3", "d4", "d5"],
        change: "p1 decode",
    },
    { name: "none reads prompts", prefill: [], decode: ["d1", "d2", "d3", "d4"], change: "d1 prefill" },
    { name: "all read prompts", prefill: ["p1", "p2", "p3", "p4"], decode: [], change: "p1 decode" },
    { name: "a single engine stays as it is", prefill: [], decode: ["d1"], change: undefined },
];

describe("the split of engines", () => {
    it.each(balanceCases)("$name: $change", ({ prefill, decode, change }) => {
        const engines: readonly EngineRecord[] = [
            ...prefill.map(id => engineRecord(id, "prefill")),
            ...decode.map(id => engineRecord(id, "decode")),
        ];
        const next = nextStageChange(engines, 0.25, () => 0);
        expect(next && `${next.engine.id} ${next.stage}`).toBe(change);
    });

    it("changes the least busy engine", () => {
        const engines = ["p1", "p2", "p3", "d1"].map(id => engineRecord(id, id.startsWith("p") ? "prefill" : "decode"));
        expect(nextStageChange(engines, 0.25, id => id === "p2" ? 0 : 5)?.engine.id).toBe("p2");
    });

    it("always leaves both kinds where there are two engines", () => {
        for (let engines = 2; engines < 100; engines++) {
            const wanted = wantedPrefillEngines(engines, 0.25);
            expect(wanted).toBeGreaterThan(0);
            expect(wanted).toBeLessThan(engines);
        }
    });
});
