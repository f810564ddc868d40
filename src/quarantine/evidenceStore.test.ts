/**
 * Evidence against parts of prompts outlives all entries, and goes once it is refuted.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { TableService } from "../platform/ports.js";
import { createEngineRuns } from "./engineRuns.js";
import type { RunEnd } from "./engineRuns.js";
import { createEvidenceStore } from "./evidenceStore.js";
import { createRequestQuarantine } from "./requestQuarantine.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

interface Entry {
    readonly quarantine: RequestQuarantine;
    readonly run: (engine: string, part: string, how: RunEnd) => Promise<boolean>;
    readonly kill: () => void;
}

function startEntry(clock: VirtualClock, tables: TableService): Entry {
    const killed = new AbortController();
    const quarantine = createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined });
    const runs = createEngineRuns({
        clock,
        quarantine,
        report: async () => Result.err({ kind: "unreachable", cause: "refused", isConnectionRefused: true }),
        isReplaced: () => false,
    });
    void createEvidenceStore(tables, clock, silentDecisionLog, quarantine).run(killed.signal);
    return {
        quarantine,
        run: (engine, part, how) => runs.start(engineRecord(engine, "decode"), [part]).end(how),
        kill: () => killed.abort(),
    };
}

const saveMs = 1_000;

async function createQuarantined(clock: VirtualClock, tables: TableService): Promise<Entry> {
    const entry = startEntry(clock, tables);
    await entry.run("e1", "d", "broken");
    await entry.run("e2", "d", "broken");
    await entry.run("e2", "other", "broken");
    await clock.advance(saveMs);
    return entry;
}

describe("evidence in the store", () => {
    // After all entries were killed, each learned of the part again by ending engines.
    it("is in force at an entry that starts after all others were killed", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        (await createQuarantined(clock, tables)).kill();
        const restarted = startEntry(clock, tables);
        await clock.settle();
        expect(restarted.quarantine.find(["d"])).toMatchObject({ blamedParts: ["d"], crashes: 2 });
        expect(restarted.quarantine.find(["other"])).toBeUndefined();
    });

    it("is loaded once the store responds", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        (await createQuarantined(clock, tables)).kill();
        let isDown = true;
        const scan: TableService["scan"] = async (...query) =>
            isDown ? Result.err({ kind: "unavailable", cause: "down" }) : tables.scan(...query);
        const restarted = startEntry(clock, { ...tables, scan });
        await clock.advance(5_000);
        isDown = false;
        await clock.advance(2_000);
        expect(restarted.quarantine.find(["d"])).toBeDefined();
    });

    it.each(["refuted", "expired"])("is removed once it is %s", async why => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const entry = await createQuarantined(clock, tables);
        expect((await tables.scan("quarantine", "", 10)).unwrapOr([]).map(row => row.key)).toEqual(["d"]);
        if (why === "refuted") {
            await entry.run("e3", "d", "completed");
            await clock.advance(saveMs);
        }
        else {
            await clock.advance(1_900_000);
        }
        expect((await tables.scan("quarantine", "", 10)).unwrapOr([])).toEqual([]);
    });

    it("is not written again and again", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        let commits = 0;
        const commit: TableService["commit"] = async transaction => {
            commits += 1;
            return tables.commit(transaction);
        };
        await createQuarantined(clock, { ...tables, commit });
        await clock.advance(60_000);
        expect(commits).toBe(1);
    });

    it("is written again once the store was restored from an older copy", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        const restore = platform.snapshot();
        await createQuarantined(clock, platform.tables);
        restore();
        await clock.advance(saveMs);
        expect((await platform.tables.scan("quarantine", "", 10)).unwrapOr([]).map(row => row.key)).toEqual(["d"]);
    });

    it("ignores invalid rows", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        await tables.commit({ conditions: [], writes: [{ table: "quarantine", key: "bad", value: { engines: 5 } }] });
        (await createQuarantined(clock, tables)).kill();
        const restarted = startEntry(clock, tables);
        await clock.settle();
        expect(restarted.quarantine.find(["d"])).toBeDefined();
    });
});
