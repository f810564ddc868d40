/**
 * The desired state in force never goes back, also when the store was restored from an older copy, and an entry that
 * cannot read the newest one takes it from another entry.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { JsonValue } from "../common/json.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { createDesiredStateSync } from "./desiredStateSync.js";
import type { DesiredStateSync } from "./desiredStateSync.js";
import { peerSyncMethods } from "./messages.js";
import type { TableCopy } from "./tableReplica.js";

const peerUrl = "http://peer";

interface TestEntry {
    readonly sync: DesiredStateSync;
    readonly applied: number[];
    readonly calls: { count: number; };
}

/** An entry that calls `peer`, or nobody. */
function createTestEntry(
    clock: VirtualClock,
    peer?: DesiredStateSync,
    isArriving: () => boolean = () => false,
): TestEntry {
    const applied: number[] = [];
    const calls = { count: 0 };
    const rpc: RpcClient = {
        call: async () => {
            calls.count += 1;
            const method = peer?.methods[peerSyncMethods.desiredState];
            return method === undefined
                ? Result.err({ kind: "timeout", delivered: "maybe", cause: "cut" })
                : Result.ok(structuredClone(await method.invoke({}, { signal: new AbortController().signal })));
        },
        stream: () => Promise.reject(new Error("not used")),
        close: async () => undefined,
    };
    const sync = createDesiredStateSync({
        clock,
        rpc,
        log: silentDecisionLog,
        key: "config",
        decode: (value: JsonValue) =>
            typeof value === "number"
                ? Result.ok({ version: value, routes: [], services: [], clientAccounts: undefined } as never)
                : Result.err("not a number"),
        isArriving: () => isArriving(),
        onChange: ({ version }) => void applied.push(version),
    });
    return { sync, applied, calls };
}

function storeCopy(version: JsonValue, era = 1): TableCopy {
    return { position: { era, revision: 1 }, rows: [{ key: "config", value: version }] };
}

interface SequenceCase {
    readonly name: string;
    readonly copies: readonly TableCopy[];
    readonly applied: readonly number[];
}

const sequenceCases: readonly SequenceCase[] = [
    { name: "increasing versions", copies: [storeCopy(3), storeCopy(7)], applied: [3, 7] },
    { name: "a lower version after a restoration", copies: [storeCopy(7), storeCopy(3, 2)], applied: [7] },
    {
        name: "a version that is written again after a restoration, then a newer one",
        copies: [storeCopy(7), storeCopy(3, 2), storeCopy(7, 2), storeCopy(9, 2)],
        applied: [7, 9],
    },
    { name: "an invalid row", copies: [storeCopy(3), storeCopy("nonsense")], applied: [3] },
    { name: "no row", copies: [storeCopy(3), { ...storeCopy(3, 2), rows: [] }], applied: [3] },
];

describe("the desired state in force", () => {
    it.each(sequenceCases)("$name", ({ copies, applied }) => {
        const entry = createTestEntry(createVirtualClock());
        copies.forEach(entry.sync.applyCopy);
        expect(entry.applied).toEqual(applied);
    });

    it("comes from another entry if the restored store has only an older version", async () => {
        const clock = createVirtualClock();
        const old = createTestEntry(clock);
        old.sync.applyCopy(storeCopy(7));
        const started = createTestEntry(clock, old.sync);
        started.sync.applyCopy(storeCopy(3, 2));
        const state = { url: peerUrl, desiredStateVersion: old.sync.version() };
        await started.sync.applyPeerState(state);
        await clock.advance(700);
        await started.sync.applyPeerState(state);
        expect(started.applied).toEqual([3, 7]);
    });

    it("is not requested from another entry while the store delivers it soon", async () => {
        const clock = createVirtualClock();
        const peer = createTestEntry(clock);
        peer.sync.applyCopy(storeCopy(7));
        const entry = createTestEntry(clock, peer.sync);
        entry.sync.applyCopy(storeCopy(3));
        await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: 7 });
        await clock.advance(100);
        entry.sync.applyCopy(storeCopy(7));
        await clock.advance(5_000);
        await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: 7 });
        expect([entry.applied, entry.calls.count]).toEqual([[3, 7], 0]);
    });

    // A second copy took half of a slow link, so that none of both arrived within its time limit.
    it("is not requested from another entry while it is arriving", async () => {
        const clock = createVirtualClock();
        let isArriving = true;
        const entry = createTestEntry(clock, undefined, () => isArriving);
        const callsAfter = async (rounds: number): Promise<number> => {
            for (let round = 0; round < rounds; round++) {
                await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: 7 });
                await clock.advance(400);
            }
            return entry.calls.count;
        };
        expect(await callsAfter(10)).toBe(0);
        isArriving = false;
        expect(await callsAfter(1)).toBe(0);
        expect(await callsAfter(1)).toBe(1);
    });

    it("is known to be outdated while others have a newer one, for 5 s after the last of them said so", async () => {
        const clock = createVirtualClock();
        const entry = createTestEntry(clock);
        entry.sync.applyCopy(storeCopy(3));
        const outdated: boolean[] = [];
        for (const version of [3, 7, 5]) {
            await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: version });
            outdated.push(entry.sync.isOutdated());
        }
        entry.sync.applyCopy(storeCopy(5));
        outdated.push(entry.sync.isOutdated());
        entry.sync.applyCopy(storeCopy(7));
        outdated.push(entry.sync.isOutdated());
        await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: 9 });
        await clock.advance(4_999);
        outdated.push(entry.sync.isOutdated());
        await clock.advance(1);
        outdated.push(entry.sync.isOutdated());
        expect(outdated).toEqual([false, true, true, true, false, true, false]);
    });

    it("is requested again after a failed call", async () => {
        const clock = createVirtualClock();
        const entry = createTestEntry(clock);
        for (let round = 0; round < 4; round++) {
            await entry.sync.applyPeerState({ url: peerUrl, desiredStateVersion: 7 });
            await clock.advance(400);
        }
        expect([entry.applied, entry.calls.count]).toEqual([[], 2]);
    });
});
