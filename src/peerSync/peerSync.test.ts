/**
 * Table replicas during outages of the store, and membership and copies of tables through peer synchronization.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { peerSyncMethods } from "./messages.js";
import { createPeerSync, peerSyncIntervalMs } from "./peerSync.js";
import type { PeerSync } from "./peerSync.js";
import { createTableReplica } from "./tableReplica.js";
import type { FeedError, TableChanges, TableCopy, TableFeed, TableReplica } from "./tableReplica.js";

/** A change feed whose content and failures the test sets. */
interface ManualFeed extends TableFeed {
    copy: TableCopy;
    failure: FeedError["kind"] | undefined;
}

function createManualFeed(clock: VirtualClock): ManualFeed {
    const feed: ManualFeed = {
        copy: { revision: 1, rows: [{ key: "a", value: 1 }] },
        failure: undefined,
        readAll: async () =>
            feed.failure === "unknown" || feed.failure === "unavailable"
                ? Result.err({ kind: feed.failure, cause: "test" })
                : Result.ok(feed.copy),
        changesAfter: async (revision, waitMs) => {
            if (feed.copy.revision <= revision && feed.failure === undefined) {
                await clock.sleep(waitMs);
            }
            if (feed.failure !== undefined) {
                return Result.err<TableChanges, FeedError>({ kind: feed.failure, cause: "test" });
            }
            return Result.ok<TableChanges, FeedError>({
                revision: feed.copy.revision,
                changed: feed.copy.revision > revision ? [...feed.copy.rows] : [],
            });
        },
    };
    return feed;
}

interface ReceivedCopy {
    readonly revision: number;
    readonly afterOutage: boolean;
}

function startReplica(clock: VirtualClock, feed: TableFeed, received: ReceivedCopy[]): TableReplica {
    const settings = { table: "t", waitMs: 1_500, pauseMs: 50, retryMs: 250 };
    const replica = createTableReplica(
        feed,
        clock,
        silentDecisionLog,
        settings,
        ({ revision }, afterOutage) => void received.push({ revision, afterOutage }),
    );
    void replica.follow(new AbortController().signal);
    return replica;
}

describe("a table replica", () => {
    it("follows changes, and reads the whole table when the store no longer has the history", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const received: ReceivedCopy[] = [];
        const replica = startReplica(clock, feed, received);
        await clock.advance(100);
        feed.copy = { revision: 2, rows: [{ key: "b", value: 2 }] };
        await clock.advance(2_000);
        expect(replica.copy().rows).toHaveLength(2);
        feed.failure = "historyGone";
        feed.copy = { revision: 3, rows: [{ key: "c", value: 3 }] };
        await clock.advance(1_600);
        feed.failure = undefined;
        await clock.advance(1_000);
        expect(replica.copy()).toEqual({ revision: 3, rows: [{ key: "c", value: 3 }] });
        expect(received.map(({ revision }) => revision)).toEqual([1, 2, 3]);
    });

    it("takes a whole table of the same revision, since the feed may have omitted a change", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const replica = startReplica(clock, feed, []);
        await clock.advance(100);
        // The feed advances to the newest revision without listing the change made in it.
        feed.copy = { revision: 2, rows: [] };
        await clock.advance(2_000);
        expect(replica.copy()).toEqual({ revision: 2, rows: [{ key: "a", value: 1 }] });
        feed.failure = "historyGone";
        feed.copy = { revision: 2, rows: [{ key: "a", value: "draining" }] };
        await clock.advance(1_600);
        feed.failure = undefined;
        await clock.advance(500);
        expect(replica.copy().rows).toEqual([{ key: "a", value: "draining" }]);
    });

    it("marks only the first copy after an outage as such", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const received: ReceivedCopy[] = [];
        const replica = startReplica(clock, feed, received);
        await clock.advance(100);
        feed.failure = "unknown";
        await clock.advance(5_000);
        expect(replica.stalenessMs()).toBeGreaterThan(3_000);
        feed.failure = undefined;
        feed.copy = { revision: 9, rows: [] };
        await clock.advance(400);
        expect(received.at(-1)).toEqual({ revision: 9, afterOutage: true });
        // Changes that the feed lists from then on were made after the outage, however soon they arrive.
        feed.copy = { revision: 10, rows: [{ key: "y", value: 1 }] };
        await clock.advance(1_700);
        expect(received.at(-1)).toEqual({ revision: 10, afterOutage: false });
        feed.copy = { revision: 11, rows: [{ key: "z", value: 1 }] };
        await clock.advance(10_000);
        feed.copy = { revision: 12, rows: [{ key: "z", value: 2 }] };
        await clock.advance(2_000);
        expect(received.at(-1)).toEqual({ revision: 12, afterOutage: false });
    });

    it("never returns to an older revision", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const replica = startReplica(clock, feed, []);
        await clock.advance(100);
        expect(replica.adoptIfNewer({ revision: 5, rows: [] })).toBe(true);
        expect(replica.adoptIfNewer({ revision: 4, rows: [{ key: "old", value: 1 }] })).toBe(false);
        await clock.advance(5_000);
        expect(replica.copy().revision).toBe(5);
    });
});

interface Fleet {
    readonly clock: VirtualClock;
    readonly peerSyncs: readonly PeerSync[];
    readonly replicas: readonly TableReplica[];
    readonly partitioned: Set<number>;
    /** Number of `exchange.state` calls so far. */
    readonly calls: { states: number; };
}

/** Entries that call each other in memory, except for those in `partitioned`. */
function createFleet(entries: number, feeds: readonly TableFeed[], clock: VirtualClock): Fleet {
    const partitioned = new Set<number>();
    const calls = { states: 0 };
    const peerSyncs: PeerSync[] = [];
    const urlOf = (index: number): string => `http://entry-${index}`;
    const rpcOf = (from: number): RpcClient => ({
        call: async (url, method, params) => {
            calls.states += method === peerSyncMethods.state ? 1 : 0;
            const to = peerSyncs.findIndex((peerSync, index) => peerSync !== undefined && urlOf(index) === url);
            const target = peerSyncs[to]?.methods[method];
            if (target === undefined || partitioned.has(to) || partitioned.has(from)) {
                return Result.err({ kind: "timeout", delivered: "maybe", cause: "cut" });
            }
            const response = await target.invoke(structuredClone(params), { signal: new AbortController().signal });
            return Result.ok(structuredClone(response));
        },
        stream: () => Promise.reject(new Error("not used")),
        close: async () => undefined,
    });
    const replicas = Array.from({ length: entries }, (unused, index) => {
        const feed = feeds[index] ?? feeds[0];
        if (feed === undefined) {
            throw new Error("a fleet needs a feed");
        }
        return startReplica(clock, feed, []);
    });
    replicas.forEach((replica, index) => {
        const peerSync = createPeerSync({ url: urlOf(index), start: `start-${index}`, seeds: [urlOf(0)] }, {
            clock,
            rpc: rpcOf(index),
            log: silentDecisionLog,
            replicas: { t: replica },
            localState: () => ({ usage: {}, work: {}, reconfiguring: {} }),
            onState: () => undefined,
            onPeerRemoved: () => undefined,
        });
        peerSyncs.push(peerSync);
        void peerSync.run(new AbortController().signal);
    });
    return { clock, peerSyncs, replicas, partitioned, calls };
}

describe("peer synchronization, the periodic push-pull of state between entries", () => {
    it.each([2, 4, 9])("finds all of %d entries through one seed", async entries => {
        const clock = createVirtualClock();
        const fleet = createFleet(entries, [createManualFeed(clock)], clock);
        await clock.advance(6 * peerSyncIntervalMs);
        expect(fleet.peerSyncs.map(peerSync => peerSync.members())).toEqual(Array(entries).fill(entries));
        expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(Array(entries).fill(1));
    });

    it("keeps an entry that is cut off as a member, but not as live", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(4, [createManualFeed(clock)], clock);
        await clock.advance(2_000);
        fleet.partitioned.add(3);
        await clock.advance(5_000);
        expect(fleet.peerSyncs[0]?.members()).toBe(4);
        expect(fleet.peerSyncs[0]?.liveFraction()).toBe(0.75);
        expect(fleet.peerSyncs[3]?.liveFraction()).toBe(0.25);
    });

    it.each([2, 4])(
        "makes one call per round between each pair of %d entries, since both sides of a call receive a state",
        async entries => {
            const clock = createVirtualClock();
            const fleet = createFleet(entries, [createManualFeed(clock)], clock);
            await clock.advance(5 * peerSyncIntervalMs);
            fleet.calls.states = 0;
            await clock.advance(10 * peerSyncIntervalMs);
            expect(fleet.calls.states).toBe(10 * entries * (entries - 1) / 2);
            expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(Array(entries).fill(1));
        },
    );

    it("removes an entry that announces its shutdown", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(3, [createManualFeed(clock)], clock);
        await clock.advance(2_000);
        await fleet.peerSyncs[2]?.leave();
        expect(fleet.peerSyncs[0]?.members()).toBe(2);
    });

    it("passes newer copies to an entry that gets no response from the store", async () => {
        const clock = createVirtualClock();
        const good = createManualFeed(clock);
        const bad = createManualFeed(clock);
        const fleet = createFleet(2, [good, bad], clock);
        await clock.advance(1_000);
        bad.failure = "unavailable";
        good.copy = { revision: 8, rows: [{ key: "a", value: "new" }] };
        await clock.advance(5_000);
        expect(fleet.replicas[1]?.copy()).toEqual({ revision: 8, rows: [{ key: "a", value: "new" }] });
    });
});
