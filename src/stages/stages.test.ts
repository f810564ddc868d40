/**
 * Order leadership has one holder at a time despite lost writes, pauses and restarts; and the split of engines between
 * the stages.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createProcessGate, createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineRecord } from "../engines/enginePort.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { TableService } from "../platform/ports.js";
import { createOrderLeadership } from "./orderLeadership.js";
import { nextStageChange, targetPrefillEngines } from "./stageSplit.js";

describe("order leadership", () => {
    it("has one holder at a time, and its fencing tokens only increase", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const leaderships = ["a", "b"].map(host => createOrderLeadership(tables, clock, silentDecisionLog, host));
        const tokens: number[] = [];
        for (let round = 0; round < 20; round++) {
            const permits = await Promise.all(leaderships.map(leadership => leadership.claim()));
            expect(permits.filter(permit => permit !== undefined).length).toBeLessThanOrEqual(1);
            permits.forEach(permit => permit !== undefined && tokens.push(permit.fencingToken));
            await clock.advance(1_000);
        }
        expect(tokens.length).toBeGreaterThan(10);
        expect(tokens).toEqual([...tokens].sort((x, y) => x - y));
        expect(new Set(tokens).size).toBe(tokens.length);
    });

    it("moves to another host only after no order of the previous holder can be in transit", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const other = createOrderLeadership(tables, clock, silentDecisionLog, "b");
        await createOrderLeadership(tables, clock, silentDecisionLog, "a").claim();
        expect(await other.claim()).toBeUndefined();
        await clock.advance(13_900);
        expect(await other.claim()).toBeUndefined();
        await clock.advance(200);
        expect((await other.claim())?.fencingToken).toBe(2);
    });

    it("stays with the same host after a restart, without a delay", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        await createOrderLeadership(tables, clock, silentDecisionLog, "a").claim();
        const restarted = createOrderLeadership(tables, clock, silentDecisionLog, "a");
        expect((await restarted.claim())?.fencingToken).toBe(2);
    });

    it("issues a permit that is stale after a pause between the write and the order", async () => {
        const clock = createVirtualClock();
        const gate = createProcessGate(clock);
        const { tables } = createMemoryPlatform();
        const permit = await createOrderLeadership(tables, gate.clock, silentDecisionLog, "a").claim();
        expect(permit?.isFresh()).toBe(true);
        await clock.advance(5_000);
        expect(permit?.isFresh()).toBe(false);
    });

    it.each(["unavailable", "unknown"] as const)("issues no permit when the outcome of the write is %s", async kind => {
        const memory = createMemoryPlatform();
        const tables: TableService = {
            ...memory.tables,
            commit: async transaction => {
                await memory.tables.commit(transaction);
                return Result.err({ kind, cause: "test" });
            },
        };
        const leadership = createOrderLeadership(tables, createVirtualClock(), silentDecisionLog, "a");
        expect(await leadership.claim()).toBeUndefined();
    });
});

interface BalanceCase {
    readonly name: string;
    readonly prefill: readonly string[];
    readonly decode: readonly string[];
    readonly change: string | undefined;
}

const balanceCases: readonly BalanceCase[] = [
    { name: "on target", prefill: ["p1", "p2"], decode: ["d1", "d2", "d3", "d4", "d5", "d6"], change: undefined },
    {
        name: "too many in prefill",
        prefill: ["p1", "p2", "p3"],
        decode: ["d1", "d2", "d3", "d4", "d5"],
        change: "p1 decode",
    },
    { name: "none in prefill", prefill: [], decode: ["d1", "d2", "d3", "d4"], change: "d1 prefill" },
    { name: "all in prefill", prefill: ["p1", "p2", "p3", "p4"], decode: [], change: "p1 decode" },
    { name: "a single engine is not changed", prefill: [], decode: ["d1"], change: undefined },
];

describe("split of engines between the stages", () => {
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

    it("keeps at least one engine in each stage if there are two or more", () => {
        for (let engines = 2; engines < 100; engines++) {
            const target = targetPrefillEngines(engines, 0.25);
            expect(target).toBeGreaterThan(0);
            expect(target).toBeLessThan(engines);
        }
    });
});
