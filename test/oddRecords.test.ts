/**
 * Odd entries in the registry of engines, from another writer: each reader goes on following the registry, and no odd entry
 * names an engine. The readers are the whole read, the change feed, the copy of another entry, and entries as processes.
 */

import { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { silentDecisionLog } from "../fakes/forwardingHarness.js";
import { callSite, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { PlatformSite } from "../fakes/platformSite.js";
import { startFakeStore } from "../fakes/platformStore.js";
import type { FakeStore } from "../fakes/platformStore.js";
import { decodeEngineRecord } from "../platform/desiredStateDecoder.js";
import { createStoreClient } from "../platform/storeClient.js";
import { systemClock } from "../src/common/clock.js";
import { checkValue } from "../src/common/json.js";
import { encodeTableCopy, tableCopySchema } from "../src/peerSync/messages.js";
import { createTableReplica } from "../src/peerSync/tableReplica.js";
import type { TableCopy, TableFeed, TableReplica } from "../src/peerSync/tableReplica.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";

const record = {
    service: "models",
    address: "127.0.0.1:9",
    zone: "a",
    version: "v1",
    slots: 4,
    state: "ready",
    stage: "decode",
    sequence: 1,
    born: 1,
};
/** A row holds 64 KiB. */
const nesting = 30_000;
const nestedList = "[".repeat(nesting) + "]".repeat(nesting);
const nestedObject = `${"{\"a\":".repeat(nesting / 5)}1${"}".repeat(nesting / 5)}`;
const withField = (name: string, json: string): string =>
    JSON.stringify({ ...record, [name]: "?" }).replace(`"${name}":"?"`, `"${name}":${json}`);
const without = (name: keyof typeof record): string => JSON.stringify({ ...record, [name]: undefined });

interface OddCase {
    readonly name: string;
    readonly text: string;
}

const oddCases: readonly OddCase[] = [
    { name: "a list nested very deeply", text: nestedList },
    { name: "an object nested very deeply", text: nestedObject },
    { name: "a field nested very deeply", text: withField("service", nestedList) },
    { name: "a number that is infinite", text: withField("slots", "1e999") },
    { name: "a sequence that is too large", text: withField("sequence", "1e300") },
    { name: "a birth time that is too large", text: withField("born", "1e300") },
    { name: "a birth time with a fraction", text: withField("born", "1.5") },
    { name: "a negative number of slots", text: withField("slots", "-1") },
    { name: "a negative sequence", text: withField("sequence", "-1") },
    { name: "a negative cold time", text: withField("cold_remaining_ms", "-1e308") },
    { name: "a port out of range", text: withField("address", "\"127.0.0.1:65536\"") },
    { name: "a port with many digits", text: withField("address", `"127.0.0.1:${"9".repeat(400)}"`) },
    { name: "port 0", text: withField("address", "\"127.0.0.1:0\"") },
    { name: "an IP address out of range", text: withField("address", "\"999.0.0.1:80\"") },
    { name: "an address without a port", text: withField("address", "\"127.0.0.1\"") },
    { name: "an address that is a list", text: withField("address", "[1]") },
    { name: "no address", text: without("address") },
    { name: "no service", text: without("service") },
    { name: "no software version", text: without("version") },
    { name: "a software version that is a number", text: withField("version", "1") },
    { name: "an unknown state", text: withField("state", "\"asleep\"") },
    { name: "an unknown stage", text: withField("stage", "\"both\"") },
    { name: "null", text: "null" },
    { name: "a list", text: "[]" },
    { name: "a number", text: "1e999" },
    { name: "no text", text: "" },
    { name: "text that is not JSON", text: "{\"service\":" },
    { name: "bytes that are no text", text: "\u0000\uFFFE\uD800" },
    { name: "a large text", text: JSON.stringify("x".repeat(60_000)) },
    { name: "fields of the prototype", text: "{\"__proto__\":{\"service\":\"models\"},\"constructor\":1}" },
];
const table = "servers";
const odd = "odd";
const settings = { table, waitMs: () => 200, pauseMs: () => 1, retryMs: 20 };

let store: FakeStore;
const stopping: AbortController[] = [];
const closes: (() => Promise<void>)[] = [];

afterEach(async () => {
    stopping.splice(0).forEach(each => each.abort());
    await Promise.all(closes.splice(0).map(close => close()));
});

function enginesIn({ rows }: TableCopy): readonly string[] {
    return rows.filter(({ key, value }) => decodeEngineRecord(key, value).isOk).map(({ key }) => key);
}

/** Follows the registry of the store; the copy is as it would be sent to another entry. */
async function followStore(): Promise<TableReplica> {
    store = await startFakeStore();
    const client = createStoreClient(store.address, createPrometheusMetrics());
    closes.push(() => client.close(), () => store.close());
    return follow(client.feed(table));
}

function follow(feed: TableFeed): TableReplica {
    const stop = new AbortController();
    stopping.push(stop);
    const replica = createTableReplica(feed, systemClock, silentDecisionLog, settings, enginesIn);
    void replica.follow(stop.signal);
    return replica;
}

const unreachableFeed: TableFeed = {
    readAll: async () => Result.err({ kind: "unavailable", cause: "down" }),
    changesAfter: async () => Result.err({ kind: "unavailable", cause: "down" }),
};

async function expectEngines(replica: TableReplica, engines: readonly string[]): Promise<void> {
    await until(`the engines ${engines}`, () => JSON.stringify(enginesIn(replica.copy())) === JSON.stringify(engines));
}

describe("a registry with an odd entry is followed", () => {
    it.each(oddCases)("$name", async ({ text }) => {
        const replica = await followStore();
        store.put(table, "a", JSON.stringify(record));
        await expectEngines(replica, ["a"]);
        // From the change feed, then with whole reads after an outage and after a restoration.
        store.put(table, odd, text);
        store.put(table, "b", JSON.stringify(record));
        await expectEngines(replica, ["a", "b"]);
        store.setFault("reset");
        await until("the outage is seen", () => !replica.isStoreReachable());
        store.setFault("none");
        // The whole read finds the table unchanged, and compares it with the copy.
        await until("the store answers again", () => replica.isStoreReachable());
        store.put(table, "c", JSON.stringify(record));
        await expectEngines(replica, ["a", "b", "c"]);
        store.restore(store.revision());
        store.put(table, "d", JSON.stringify(record));
        await expectEngines(replica, ["a", "b", "c", "d"]);
        // From another entry.
        const message = JSON.parse(JSON.stringify(encodeTableCopy(replica.copy()))) as unknown;
        const peer = follow(unreachableFeed);
        const copy = checkValue(tableCopySchema, message);
        expect(copy.isOk && peer.adoptIfNewer(copy.value)).toBe(true);
        expect(enginesIn(peer.copy())).toEqual(["a", "b", "c", "d"]);
        expect(() => JSON.stringify(encodeTableCopy(peer.copy()))).not.toThrow();
    });

    it.each(oddCases.slice(0, 3))("in the copy of an entry that did not check it: $name", ({ text }) => {
        const message = `{"revision":1,"rows":[{"key":"a","value":${JSON.stringify(record)}},`
            + `{"key":"odd","value":${text}}]}`;
        const copy = checkValue(tableCopySchema, JSON.parse(message));
        const peer = follow(unreachableFeed);
        expect(copy.isOk && peer.adoptIfNewer(copy.value)).toBe(true);
        expect(enginesIn(peer.copy())).toEqual(["a"]);
        expect(() => JSON.stringify(encodeTableCopy(peer.copy()))).not.toThrow();
    });

    it("by two entries as processes, with all odd entries at once, also from each other in an outage", async () => {
        const site: PlatformSite = await startPlatformSite({ entries: 2 });
        closes.push(() => site.close());
        const [first, second] = site.entries;
        const [changed] = site.engines.filter(({ id }) => id === "d-1");
        if (first === undefined || second === undefined || changed === undefined) {
            throw new Error("the site lacks an entry or an engine");
        }
        const waitUntilReady = (): Promise<void> =>
            until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        await waitUntilReady();
        oddCases.forEach(({ text }, index) => site.store.put(table, `odd-${index}`, text));
        site.unregister(changed);
        await until(
            "the entries see the later change",
            () => site.entries.every(({ log }) => log().includes("its record was removed")),
        );
        site.store.setFault("unavailable");
        second.signal("SIGKILL");
        await second.restart();
        await waitUntilReady();
        site.store.setFault("none");
        site.register(changed, "ready");
        for (const entry of site.entries) {
            for (const path of ["/chat/x", "/look/x", "/pay/x"]) {
                expect((await callSite(entry, path)).status).toBe(200);
            }
            expect(entry.wholeLog()).not.toContain("a task failed unexpectedly");
            expect(entry.wholeLog()).not.toContain("a copy of a table could not be read");
        }
    });
});
