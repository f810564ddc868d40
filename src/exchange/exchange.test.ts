/**
 * Copies of tables through outages of the store, and entries that find and lose each other.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingRig.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { createExchange, exchangeIntervalMs } from "./exchange.js";
import type { Exchange } from "./exchange.js";
import { exchangeMethods } from "./messages.js";
import { createTableReplica } from "./tableReplica.js";
import type { FeedError, TableChanges, TableCopy, TableFeed, TableReplica } from "./tableReplica.js";

/** A feed that a test moves by hand. */
interface HandFeed extends TableFeed {
    copy: TableCopy;
    failure: FeedError["kind"] | undefined;
}

function createHandFeed(clock: VirtualClock): HandFeed {
    const feed: HandFeed = {
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

interface Seen {
    readonly revision: number;
    readonly afterOutage: boolean;
}

function follow(clock: VirtualClock, feed: TableFeed, seen: Seen[]): TableReplica {
    const settings = { table: "t", waitMs: 1_500, pauseMs: 50, retryMs: 250 };
    const replica = createTableReplica(
        feed,
        clock,
        silentDecisionLog,
        settings,
        ({ revision }, afterOutage) => void seen.push({ revision, afterOutage }),
    );
    void replica.follow(new AbortController().signal);
    return replica;
}

describe("a copy of a table", () => {
    it("follows changes, and reads the whole table when the history is gone", async () => {
        const clock = createVirtualClock();
        const feed = createHandFeed(clock);
        const seen: Seen[] = [];
        const replica = follow(clock, feed, seen);
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
        expect(seen.map(({ revision }) => revision)).toEqual([1, 2, 3]);
    });

    it("takes up a whole table of its own revision: the feed may have kept a change back", async () => {
        const clock = createVirtualClock();
        const feed = createHandFeed(clock);
        const replica = follow(clock, feed, []);
        await clock.advance(100);
        // The feed goes on to the newest revision without the change that was made there.
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

    it("tells that a copy comes shortly after an outage, and only then", async () => {
        const clock = createVirtualClock();
        const feed = createHandFeed(clock);
        const seen: Seen[] = [];
        const replica = follow(clock, feed, seen);
        await clock.advance(100);
        feed.failure = "unknown";
        await clock.advance(5_000);
        expect(replica.silenceMs()).toBeGreaterThan(3_000);
        feed.failure = undefined;
        feed.copy = { revision: 9, rows: [] };
        await clock.advance(400);
        expect(seen.at(-1)).toEqual({ revision: 9, afterOutage: true });
        // What the feed tells from then on has happened since, however soon it comes.
        feed.copy = { revision: 10, rows: [{ key: "y", value: 1 }] };
        await clock.advance(1_700);
        expect(seen.at(-1)).toEqual({ revision: 10, afterOutage: false });
        feed.copy = { revision: 11, rows: [{ key: "z", value: 1 }] };
        await clock.advance(10_000);
        feed.copy = { revision: 12, rows: [{ key: "z", value: 2 }] };
        await clock.advance(2_000);
        expect(seen.at(-1)).toEqual({ revision: 12, afterOutage: false });
    });

    it("never goes back to an older revision", async () => {
        const clock = createVirtualClock();
        const feed = createHandFeed(clock);
        const replica = follow(clock, feed, []);
        await clock.advance(100);
        expect(replica.offer({ revision: 5, rows: [] })).toBe(true);
        expect(replica.offer({ revision: 4, rows: [{ key: "old", value: 1 }] })).toBe(false);
        await clock.advance(5_000);
        expect(replica.copy().revision).toBe(5);
    });
});

interface Fleet {
    readonly clock: VirtualClock;
    readonly exchanges: readonly Exchange[];
    readonly replicas: readonly TableReplica[];
    readonly cut: Set<number>;
    /** Calls so far that asked for another entry's state. */
    readonly calls: { states: number; };
}

/** Entries whose calls reach each other in memory, except for those that are cut off. */
function createFleet(entries: number, feeds: readonly TableFeed[], clock: VirtualClock): Fleet {
    const cut = new Set<number>();
    const calls = { states: 0 };
    const exchanges: Exchange[] = [];
    const urlOf = (index: number): string => `http://entry-${index}`;
    const rpcOf = (from: number): RpcClient => ({
        call: async (url, method, params) => {
            calls.states += method === exchangeMethods.state ? 1 : 0;
            const to = exchanges.findIndex((exchange, index) => exchange !== undefined && urlOf(index) === url);
            const target = exchanges[to]?.methods[method];
            if (target === undefined || cut.has(to) || cut.has(from)) {
                return Result.err({ kind: "timeout", delivered: "maybe", cause: "cut" });
            }
            const answer = await target.invoke(structuredClone(params), { signal: new AbortController().signal });
            return Result.ok(structuredClone(answer));
        },
        stream: () => Promise.reject(new Error("not used")),
        close: async () => undefined,
    });
    const replicas = Array.from({ length: entries }, (unused, index) => {
        const feed = feeds[index] ?? feeds[0];
        if (feed === undefined) {
            throw new Error("a fleet needs a feed");
        }
        return follow(clock, feed, []);
    });
    replicas.forEach((replica, index) => {
        const exchange = createExchange({ url: urlOf(index), start: `start-${index}`, seeds: [urlOf(0)] }, {
            clock,
            rpc: rpcOf(index),
            log: silentDecisionLog,
            replicas: { t: replica },
            localState: () => ({ usage: {}, work: {}, reconfiguring: {} }),
            onState: () => undefined,
            onGone: () => undefined,
        });
        exchanges.push(exchange);
        void exchange.run(new AbortController().signal);
    });
    return { clock, exchanges, replicas, cut, calls };
}

describe("the exchange between entries", () => {
    it.each([2, 4, 9])("finds all of %d entries through one seed", async entries => {
        const clock = createVirtualClock();
        const fleet = createFleet(entries, [createHandFeed(clock)], clock);
        await clock.advance(6 * exchangeIntervalMs);
        expect(fleet.exchanges.map(exchange => exchange.members())).toEqual(Array(entries).fill(entries));
        expect(fleet.exchanges.map(exchange => exchange.heardShare())).toEqual(Array(entries).fill(1));
    });

    it("keeps an entry that is cut off a member, but not heard", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(4, [createHandFeed(clock)], clock);
        await clock.advance(2_000);
        fleet.cut.add(3);
        await clock.advance(5_000);
        expect(fleet.exchanges[0]?.members()).toBe(4);
        expect(fleet.exchanges[0]?.heardShare()).toBe(0.75);
        expect(fleet.exchanges[3]?.heardShare()).toBe(0.25);
    });

    it.each([2, 4])("calls once an interval between each two of %d entries, since a call tells both", async entries => {
        const clock = createVirtualClock();
        const fleet = createFleet(entries, [createHandFeed(clock)], clock);
        await clock.advance(5 * exchangeIntervalMs);
        fleet.calls.states = 0;
        await clock.advance(10 * exchangeIntervalMs);
        expect(fleet.calls.states).toBe(10 * entries * (entries - 1) / 2);
        expect(fleet.exchanges.map(exchange => exchange.heardShare())).toEqual(Array(entries).fill(1));
    });

    it("forgets an entry that says that it leaves", async () => {
        const clock = createVirtualClock();
        const fleet = createFleet(3, [createHandFeed(clock)], clock);
        await clock.advance(2_000);
        await fleet.exchanges[2]?.leave();
        expect(fleet.exchanges[0]?.members()).toBe(2);
    });

    it("passes newer copies to an entry that the store does not answer", async () => {
        const clock = createVirtualClock();
        const good = createHandFeed(clock);
        const bad = createHandFeed(clock);
        const fleet = createFleet(2, [good, bad], clock);
        await clock.advance(1_000);
        bad.failure = "unavailable";
        good.copy = { revision: 8, rows: [{ key: "a", value: "new" }] };
        await clock.advance(5_000);
        expect(fleet.replicas[1]?.copy()).toEqual({ revision: 8, rows: [{ key: "a", value: "new" }] });
    });
});
