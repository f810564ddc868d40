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
import type { UsageReport } from "./messages.js";
import { createPeerSync, peerSyncIntervalMs } from "./peerSync.js";
import type { LocalState, PeerSync } from "./peerSync.js";
import { isLater } from "./storePosition.js";
import type { StorePosition } from "./storePosition.js";
import { createTableReplica } from "./tableReplica.js";
import type { CopyOrigin, FeedError, TableChanges, TableCopy, TableFeed, TableReplica } from "./tableReplica.js";

const at = (revision: number, era = 1): StorePosition => ({ era, revision });
const noLocalState: LocalState = {
    usage: {},
    work: {},
    reconfiguring: {},
    fencingToken: 0,
    desiredStateVersion: 0,
    leaving: [],
    crashEvidence: [],
    engineRates: [],
    ejections: [],
    coldEngines: [],
};

/** A change feed whose content and failures the test sets. */
interface ManualFeed extends TableFeed {
    copy: TableCopy;
    /** Number of calls of the feed and of whole reads so far. */
    calls: number;
    failure: FeedError["kind"] | undefined;
    /** Whether calls for changes get no response, as on a dead connection; later calls use another connection. */
    isSilent: boolean;
}

function createManualFeed(clock: VirtualClock): ManualFeed {
    const feed: ManualFeed = {
        copy: { position: at(1), rows: [{ key: "a", value: 1 }] },
        failure: undefined,
        calls: 0,
        isSilent: false,
        readAll: async () => {
            feed.calls += 1;
            return feed.failure === "unknown" || feed.failure === "unavailable"
                ? Result.err({ kind: feed.failure, cause: "test" })
                : Result.ok(feed.copy);
        },
        changesAfter: async (position, waitMs, signal) => {
            feed.calls += 1;
            const isUnknown = (): boolean => feed.copy.position.revision < position.revision;
            if (!isUnknown() && !isLater(feed.copy.position, position) && feed.failure === undefined) {
                await clock.sleep(waitMs, signal);
            }
            while (feed.isSilent && !signal.aborted) {
                await clock.sleep(waitMs + 1, signal);
            }
            if (signal.aborted) {
                return Result.err<TableChanges, FeedError>({ kind: "unknown", cause: "aborted" });
            }
            if (feed.failure === undefined && isUnknown()) {
                return Result.err<TableChanges, FeedError>({ kind: "historyGone", cause: "unknown revision" });
            }
            if (feed.failure !== undefined) {
                return Result.err<TableChanges, FeedError>({ kind: feed.failure, cause: "test" });
            }
            return Result.ok<TableChanges, FeedError>({
                position: feed.copy.position,
                changed: feed.copy.position.revision > position.revision ? [...feed.copy.rows] : [],
            });
        },
    };
    return feed;
}

interface ReceivedCopy {
    readonly position: StorePosition;
    readonly origin: CopyOrigin;
}

function startReplica(
    clock: VirtualClock,
    feed: TableFeed,
    received: ReceivedCopy[],
    waitMs = 1_500,
): TableReplica {
    const settings = { table: "t", waitMs: () => waitMs, pauseMs: () => 50, retryMs: 250 };
    const replica = createTableReplica(
        feed,
        clock,
        silentDecisionLog,
        settings,
        ({ position }, origin) => void received.push({ position, origin }),
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
        feed.copy = { position: at(2), rows: [{ key: "b", value: 2 }] };
        await clock.advance(2_000);
        expect(replica.copy().rows).toHaveLength(2);
        feed.failure = "historyGone";
        feed.copy = { position: at(3), rows: [{ key: "c", value: 3 }] };
        await clock.advance(1_600);
        feed.failure = undefined;
        await clock.advance(1_000);
        expect(replica.copy()).toEqual({ position: at(3), rows: [{ key: "c", value: 3 }] });
        expect(received.map(({ position }) => position.revision)).toEqual([1, 2, 3]);
    });

    it("takes a whole table of the same revision, since the feed may have omitted a change", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const replica = startReplica(clock, feed, []);
        await clock.advance(100);
        // The feed advances to the newest revision without listing the change made in it.
        feed.copy = { position: at(2), rows: [] };
        await clock.advance(2_000);
        expect(replica.copy()).toEqual({ position: at(2), rows: [{ key: "a", value: 1 }] });
        feed.failure = "historyGone";
        feed.copy = { position: at(2), rows: [{ key: "a", value: "draining" }] };
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
        feed.copy = { position: at(9), rows: [] };
        await clock.advance(400);
        expect(received.at(-1)).toEqual({ position: at(9), origin: "afterOutage" });
        // Changes that the feed lists from then on were made after the outage, however soon they arrive.
        feed.copy = { position: at(10), rows: [{ key: "y", value: 1 }] };
        await clock.advance(1_700);
        expect(received.at(-1)).toEqual({ position: at(10), origin: "current" });
        feed.copy = { position: at(11), rows: [{ key: "z", value: 1 }] };
        await clock.advance(10_000);
        feed.copy = { position: at(12), rows: [{ key: "z", value: 2 }] };
        await clock.advance(2_000);
        expect(received.at(-1)).toEqual({ position: at(12), origin: "current" });
    });

    it("never returns to an older revision", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const replica = startReplica(clock, feed, []);
        await clock.advance(100);
        expect(replica.adoptIfNewer({ position: at(5), rows: [] })).toBe(true);
        expect(replica.adoptIfNewer({ position: at(4), rows: [{ key: "old", value: 1 }] })).toBe(false);
        await clock.advance(5_000);
        expect(replica.position()).toEqual(at(5));
    });
});

interface RestorationCase {
    readonly name: string;
    /** Revision of the store after its restoration; it was 10 before. */
    readonly restoredTo: number;
    readonly eraAfter: number;
}

const restorationCases: readonly RestorationCase[] = [
    { name: "to a lower revision", restoredTo: 4, eraAfter: 2 },
    { name: "and has assigned the same revision again", restoredTo: 10, eraAfter: 2 },
    { name: "and has assigned higher revisions again", restoredTo: 14, eraAfter: 2 },
    { name: "twice", restoredTo: 4, eraAfter: 3 },
];

describe("a replica of a store that is restored from an older copy", () => {
    it.each(restorationCases)("$name takes the restored table once", async ({ restoredTo, eraAfter }) => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        const received: ReceivedCopy[] = [];
        feed.copy = { position: at(10), rows: [{ key: "lost", value: 1 }] };
        const replica = startReplica(clock, feed, received);
        await clock.advance(100);
        feed.copy = { position: at(restoredTo, eraAfter), rows: [{ key: "kept", value: 1 }] };
        feed.calls = 0;
        await clock.advance(3_000);
        expect(replica.copy()).toEqual({ position: at(restoredTo, eraAfter), rows: [{ key: "kept", value: 1 }] });
        expect(received.slice(1)).toEqual([{ position: at(restoredTo, eraAfter), origin: "afterRestoration" }]);
        expect(feed.calls).toBeLessThan(10);
    });

    it("calls a store that has no history with a delay", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        startReplica(clock, feed, []);
        feed.failure = "historyGone";
        await clock.advance(5_000);
        // A whole read and a failed feed call in each retry delay.
        expect(feed.calls).toBeLessThan(50);
    });

    it("calls a store that fails whole reads with a delay, also if a refresh is requested meanwhile", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        feed.failure = "unavailable";
        const replica = startReplica(clock, feed, []);
        replica.refresh();
        await clock.advance(5_000);
        // One whole read in each retry delay.
        expect(feed.calls).toBeLessThan(25);
    });

    it("prefers a copy of a newer era from another entry, and rejects one of an older era", async () => {
        const clock = createVirtualClock();
        const feed = createManualFeed(clock);
        feed.copy = { position: at(10), rows: [] };
        const replica = startReplica(clock, feed, []);
        await clock.advance(100);
        expect(replica.adoptIfNewer({ position: at(3, 2), rows: [] })).toBe(true);
        expect(replica.adoptIfNewer({ position: at(99, 1), rows: [] })).toBe(false);
        expect(replica.position()).toEqual(at(3, 2));
    });
});

interface ReceivedUsageReport extends UsageReport {
    /** Index of the entry that received it. */
    readonly to: number;
}

interface Fleet {
    readonly clock: VirtualClock;
    readonly peerSyncs: readonly PeerSync[];
    readonly replicas: readonly TableReplica[];
    readonly partitioned: Set<number>;
    readonly usageReports: readonly ReceivedUsageReport[];
    /** Number of `exchange.state` and `exchange.copy` calls so far. */
    readonly calls: { states: number; copies: number; };
    /** Largest number of calls for a copy by one entry at once. */
    readonly mostCopiesAtOnce: () => number;
}

/** Entries that call each other in memory, except for those in `partitioned`; a copy of a table takes `copyMs`. */
function createFleet(
    entries: number,
    feeds: readonly TableFeed[],
    clock: VirtualClock,
    waitMs = 1_500,
    copyMs = 0,
): Fleet {
    const partitioned = new Set<number>();
    const usageReports: ReceivedUsageReport[] = [];
    const calls = { states: 0, copies: 0 };
    const peerSyncs: PeerSync[] = [];
    const copiesAtOnce = new Map<number, number>();
    let mostCopiesAtOnce = 0;
    const urlOf = (index: number): string => `http://entry-${index}`;

    async function passCopy(to: number): Promise<void> {
        const atOnce = (copiesAtOnce.get(to) ?? 0) + 1;
        mostCopiesAtOnce = Math.max(mostCopiesAtOnce, atOnce);
        copiesAtOnce.set(to, atOnce);
        await clock.sleep(copyMs);
        copiesAtOnce.set(to, (copiesAtOnce.get(to) ?? 0) - 1);
    }

    const rpcOf = (from: number): RpcClient => ({
        call: async (url, method, params) => {
            calls.states += method === peerSyncMethods.state ? 1 : 0;
            calls.copies += method === peerSyncMethods.copy ? 1 : 0;
            const to = peerSyncs.findIndex((peerSync, index) => peerSync !== undefined && urlOf(index) === url);
            const target = peerSyncs[to]?.methods[method];
            if (target === undefined || partitioned.has(to) || partitioned.has(from)) {
                return Result.err({ kind: "timeout", delivered: "maybe", cause: "cut" });
            }
            const response = await target.invoke(structuredClone(params), { signal: new AbortController().signal });
            if (method === peerSyncMethods.copy && copyMs > 0) {
                await passCopy(from);
            }
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
        return startReplica(clock, feed, [], waitMs);
    });
    replicas.forEach((replica, index) => {
        const peerSync = createPeerSync({ url: urlOf(index), start: `start-${index}`, seeds: [urlOf(0)] }, {
            clock,
            rpc: rpcOf(index),
            log: silentDecisionLog,
            replicas: { t: replica },
            localState: () => noLocalState,
            onState: () => undefined,
            onUsageReport: report => void usageReports.push({ to: index, ...report }),
            onPeerRemoved: () => undefined,
        });
        peerSyncs.push(peerSync);
        void peerSync.run(new AbortController().signal);
    });
    return {
        clock,
        peerSyncs,
        replicas,
        partitioned,
        usageReports,
        calls,
        mostCopiesAtOnce: () => mostCopiesAtOnce,
    };
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

    it("reports an account's usage to the live entries at once", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(4, [createManualFeed(clock)], clock);
        await clock.advance(2_000);
        fleet.partitioned.add(3);
        await clock.advance(2_000);
        fleet.peerSyncs[0]?.reportUsage("account", 700);
        await clock.settle();
        const report = { start: "start-0", clientAccount: "account", admittedCost: 700 };
        expect(fleet.usageReports).toEqual([{ to: 1, ...report }, { to: 2, ...report }]);
    });

    it.each([[4, 3], [60, 20]])(
        "of %d entries, one sends its state to %d live ones ahead of its round",
        async (entries, sent) => {
            const clock = createVirtualClock();
            const fleet = createFleet(entries, [createManualFeed(clock)], clock);
            await clock.advance(30 * peerSyncIntervalMs);
            fleet.calls.states = 0;
            fleet.peerSyncs[0]?.syncNow();
            await clock.settle();
            expect(fleet.calls.states).toBe(sent);
        },
    );

    it.each([27, 60])("considers all of %d reachable entries live", async entries => {
        const clock = createVirtualClock();
        const fleet = createFleet(entries, [createManualFeed(clock)], clock);
        await clock.advance(12_000);
        for (let round = 0; round < 10; round++) {
            await clock.advance(peerSyncIntervalMs);
            expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(Array(entries).fill(1));
        }
    });

    it("removes an entry that announces its shutdown", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(3, [createManualFeed(clock)], clock);
        await clock.advance(2_000);
        await fleet.peerSyncs[2]?.leave();
        expect(fleet.peerSyncs[0]?.members()).toBe(2);
    });

    it("shows an entry that its connection to the store is dead, long before its call for changes ends", async () => {
        const clock = createVirtualClock();
        const [good, dead] = [createManualFeed(clock), createManualFeed(clock)];
        const fleet = createFleet(2, [good, dead], clock, 10_000);
        await clock.advance(1_000);
        dead.isSilent = true;
        // The good feed delivers the change when its pending call ends.
        good.copy = { position: at(8), rows: [{ key: "a", value: "new" }] };
        dead.copy = good.copy;
        fleet.replicas[0]?.refresh();
        await clock.advance(100);
        expect(fleet.replicas[0]?.position()).toEqual(at(8));
        await clock.advance(400);
        dead.isSilent = false;
        await clock.advance(1_400);
        expect(fleet.replicas[1]?.position()).toEqual(at(8));
        expect(fleet.calls.copies).toBe(0);
    });

    it("shows a dead connection also if earlier changes arrived from the store", async () => {
        const clock = createVirtualClock();
        const feeds = [createManualFeed(clock), createManualFeed(clock)] as const;
        const fleet = createFleet(2, feeds, clock, 10_000);
        const publish = (revision: number): void => {
            feeds.forEach(feed => {
                feed.copy = { position: at(revision), rows: [] };
            });
            fleet.replicas[0]?.refresh();
        };
        await clock.advance(1_000);
        publish(8);
        // A round shows the second entry that it is behind, then the store brings it up to date.
        await clock.advance(peerSyncIntervalMs);
        fleet.replicas[1]?.refresh();
        await clock.advance(6_000);
        feeds[1].isSilent = true;
        publish(9);
        await clock.advance(500);
        feeds[1].isSilent = false;
        await clock.advance(1_500);
        expect(fleet.replicas[1]?.position()).toEqual(at(9));
        expect(fleet.calls.copies).toBe(0);
    });

    it("copies a table from a peer if the store does not respond on a new connection either", async () => {
        const clock = createVirtualClock();
        const [good, dead] = [createManualFeed(clock), createManualFeed(clock)];
        const fleet = createFleet(2, [good, dead], clock, 10_000);
        await clock.advance(1_000);
        dead.isSilent = true;
        good.copy = { position: at(8), rows: [{ key: "a", value: "new" }] };
        fleet.replicas[0]?.refresh();
        await clock.advance(3_000);
        expect(fleet.replicas[1]?.position()).toEqual(at(8));
        expect(fleet.calls.copies).toBe(1);
    });

    it("asks the store once, and no peer, if a peer's later revision concerns other tables", async () => {
        const clock = createVirtualClock();
        const [first, second] = [createManualFeed(clock), createManualFeed(clock)];
        first.copy = { position: at(50), rows: first.copy.rows };
        const fleet = createFleet(2, [first, second], clock, 10_000);
        await clock.advance(500);
        second.calls = 0;
        await clock.advance(9_000);
        expect(second.calls).toBe(2);
        expect(fleet.calls.copies).toBe(0);
    });

    it("passes a restored copy with a lower revision to an entry that gets no response from the store", async () => {
        const clock = createVirtualClock();
        const good = createManualFeed(clock);
        const bad = createManualFeed(clock);
        [good, bad].forEach(feed => {
            feed.copy = { position: at(10), rows: [] };
        });
        const fleet = createFleet(2, [good, bad], clock);
        await clock.advance(1_000);
        bad.failure = "unavailable";
        good.copy = { position: at(4, 2), rows: [{ key: "a", value: "restored" }] };
        await clock.advance(5_000);
        expect(fleet.replicas[1]?.copy()).toEqual({ position: at(4, 2), rows: [{ key: "a", value: "restored" }] });
    });

    it("passes newer copies to an entry that gets no response from the store", async () => {
        const clock = createVirtualClock();
        const good = createManualFeed(clock);
        const bad = createManualFeed(clock);
        const fleet = createFleet(2, [good, bad], clock);
        await clock.advance(1_000);
        bad.failure = "unavailable";
        good.copy = { position: at(8), rows: [{ key: "a", value: "new" }] };
        await clock.advance(5_000);
        expect(fleet.replicas[1]?.copy()).toEqual({ position: at(8), rows: [{ key: "a", value: "new" }] });
    });

    // Each message of a peer that was ahead began another copy; in a fleet of 25 they filled the link without end.
    it.each(["behind", "without a copy"])("an entry %s asks one peer at a time for a copy of a table", async name => {
        const clock = createVirtualClock();
        const good = createManualFeed(clock);
        const bad = createManualFeed(clock);
        if (name === "without a copy") {
            bad.failure = "unavailable";
        }
        const fleet = createFleet(9, [bad, ...Array.from({ length: 8 }, () => good)], clock, 1_500, 900);
        await clock.advance(1_000);
        bad.failure = "unavailable";
        good.copy = { position: at(8), rows: [{ key: "a", value: "new" }] };
        for (let round = 0; round < 12; round++) {
            void fleet.peerSyncs[0]?.fetchMissingCopies();
            await clock.advance(500);
        }
        expect(fleet.replicas[0]?.position()).toEqual(at(8));
        expect(fleet.mostCopiesAtOnce()).toBe(1);
    });
});

describe("a response of the store that is arriving", () => {
    /** A feed whose response to the next call for changes takes `responseMs`; `calls` counts the calls for changes. */
    function createSlowFeed(clock: VirtualClock, responseMs: number): TableFeed & { calls: number; } {
        const feed = {
            calls: 0,
            readAll: async () => Result.ok<TableCopy, never>({ position: at(1), rows: [] }),
            changesAfter: async (...[position, waitMs, signal, onBytes]: Parameters<TableFeed["changesAfter"]>) => {
                feed.calls += 1;
                if (isLater(position, at(1))) {
                    await clock.sleep(waitMs, signal);
                    return Result.ok<TableChanges, FeedError>({ position, changed: [] });
                }
                onBytes?.(1);
                await clock.sleep(responseMs, signal);
                return signal.aborted
                    ? Result.err<TableChanges, FeedError>({ kind: "unknown", cause: "aborted" })
                    : Result.ok<TableChanges, FeedError>({ position: at(8), changed: [] });
            },
        };
        return feed;
    }

    // A peer's later position cancelled the call after a second, although its response was arriving.
    it("is neither cancelled nor copied from a peer that has it already", async () => {
        const clock = createVirtualClock();
        const slow = createSlowFeed(clock, 2_900);
        const good = createManualFeed(clock);
        good.copy = { position: at(8), rows: [] };
        const fleet = createFleet(2, [good, slow], clock);
        await clock.advance(2_800);
        expect([slow.calls, fleet.calls.copies]).toEqual([1, 0]);
        await clock.advance(200);
        expect([fleet.replicas[1]?.position(), fleet.calls.copies]).toEqual([at(8), 0]);
    });

    it("does not keep an entry from asking a peer for longer than 3 s", async () => {
        const clock = createVirtualClock();
        const good = createManualFeed(clock);
        good.copy = { position: at(8), rows: [] };
        const fleet = createFleet(2, [good, createSlowFeed(clock, 60_000)], clock);
        await clock.advance(7_000);
        expect(fleet.replicas[1]?.position()).toEqual(at(8));
    });
});
