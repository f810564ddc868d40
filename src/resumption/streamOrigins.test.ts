/**
 * What entries know of the beginning of a stream: wherever it is asked for, and what that costs the store.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { MemoryPlatform } from "../platform/memoryPlatform.js";
import type { PlatformError, TableService } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { originRetentionMs } from "./originStore.js";
import { createStreamOrigins } from "./streamOrigins.js";
import type { FoundOrigin, KnownOrigin, StreamOrigins } from "./streamOrigins.js";

interface Fleet {
    readonly clock: VirtualClock;
    readonly platform: MemoryPlatform;
    readonly entry: (index: number) => StreamOrigins;
    readonly kill: (...indexes: readonly number[]) => void;
    readonly restart: (...indexes: readonly number[]) => void;
    readonly setStoreDown: (isDown: boolean) => void;
    /** Whether calls between entries get no answer. */
    readonly setSilent: (areSilent: boolean) => void;
    readonly storeCalls: { read: number; scan: number; commit: number; };
    /** Calls between entries. */
    readonly calls: () => number;
}

const urlOf = (index: number): string => `http://entry-${index}`;

function createFleet(entries: number): Fleet {
    const clock = createVirtualClock();
    const platform = createMemoryPlatform();
    const running = new Map<string, { readonly origins: StreamOrigins; readonly killed: AbortController; }>();
    const storeCalls = { read: 0, scan: 0, commit: 0 };
    let isStoreDown = false;
    let isSilent = false;
    let calls = 0;

    const orDown = async <Value>(
        kind: keyof typeof storeCalls,
        run: () => Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> => {
        storeCalls[kind] += 1;
        return isStoreDown ? Result.err({ kind: "unavailable", cause: "down" }) : run();
    };
    const tables: TableService = {
        ...platform.tables,
        read: keys => orDown("read", () => platform.tables.read(keys)),
        scan: (...query) => orDown("scan", () => platform.tables.scan(...query)),
        commit: transaction => orDown("commit", () => platform.tables.commit(transaction)),
    };
    const rpc: RpcClient = {
        call: async (url, method, params) => {
            calls += 1;
            if (isSilent) {
                return Result.err({ kind: "timeout", delivered: "maybe", cause: "no answer" });
            }
            const invoked = running.get(url)?.origins.methods[method]?.invoke(JSON.parse(JSON.stringify(params)), {
                signal: new AbortController().signal,
            });
            return invoked === undefined
                ? Result.err({ kind: "unreachable", delivered: "no", cause: "connection refused" })
                : Result.ok(JSON.parse(JSON.stringify(await invoked)) as unknown);
        },
        stream: async () => Result.err({ kind: "unreachable", delivered: "no", cause: "not simulated" }),
        close: async () => undefined,
    };

    function start(index: number): void {
        const url = urlOf(index);
        const killed = new AbortController();
        const stableEntries = (): readonly string[] => [...running.keys()];
        const log = silentDecisionLog;
        const origins = createStreamOrigins({ clock, rpc, tables, log, url, stableEntries });
        running.set(url, { origins, killed });
        void origins.run(killed.signal);
    }

    Array.from({ length: entries }, (unused, index) => start(index));
    return {
        clock,
        platform,
        entry: index => {
            const found = running.get(urlOf(index));
            if (found === undefined) {
                throw new Error(`entry ${index} does not run`);
            }
            return found.origins;
        },
        kill: (...indexes) =>
            indexes.forEach(index => {
                running.get(urlOf(index))?.killed.abort();
                running.delete(urlOf(index));
            }),
        restart: (...indexes) => indexes.forEach(start),
        setStoreDown: isDown => {
            isStoreDown = isDown;
        },
        setSilent: entriesAreSilent => {
            isSilent = entriesAreSilent;
        },
        storeCalls,
        calls: () => calls,
    };
}

const origin: KnownOrigin = { service: "models", softwareVersion: "v2" };
const known: FoundOrigin = { kind: "found", origin };
/** Longer than it takes to write an origin. */
const settledMs = 500;
const four = [0, 1, 2, 3];

interface KnownCase {
    readonly name: string;
    /** What happens after a stream began at entry 0 of four; it is taken up at entry 3. */
    readonly events: (fleet: Fleet) => Promise<void> | void;
    readonly outcome: "found" | "unknown" | "unknown for now";
}

const cases: readonly KnownCase[] = [
    { name: "at another entry", events: ({ clock }) => clock.advance(settledMs), outcome: "found" },
    {
        name: "at another entry, milliseconds after the stream began",
        events: ({ clock }) => clock.advance(40),
        outcome: "found",
    },
    {
        name: "after its entry was killed, in an outage of the store from before",
        events: async fleet => {
            fleet.setStoreDown(true);
            await fleet.clock.advance(settledMs);
            fleet.kill(0);
        },
        outcome: "found",
    },
    {
        name: "after all entries were killed",
        events: async fleet => {
            await fleet.clock.advance(settledMs);
            fleet.kill(...four);
            fleet.restart(...four);
        },
        outcome: "found",
    },
    {
        name: "after all entries were killed twice, long after",
        events: async fleet => {
            await fleet.clock.advance(settledMs);
            fleet.kill(...four);
            fleet.restart(...four);
            await fleet.clock.advance(originRetentionMs / 2);
            fleet.kill(...four);
            fleet.restart(...four);
        },
        outcome: "found",
    },
    {
        name: "after an outage in which the stream began, and all entries were killed",
        events: async fleet => {
            fleet.setStoreDown(true);
            await fleet.clock.advance(5_000);
            fleet.setStoreDown(false);
            await fleet.clock.advance(2_000);
            fleet.kill(...four);
            fleet.restart(...four);
        },
        outcome: "found",
    },
    {
        name: "after the store was restored to a state before the stream, and then all entries were killed",
        events: async fleet => {
            const restore = fleet.platform.snapshot();
            await fleet.clock.advance(settledMs);
            restore();
            await fleet.clock.advance(settledMs);
            fleet.kill(...four);
            fleet.restart(...four);
        },
        outcome: "found",
    },
    {
        name: "after the store was restored to a state before the stream while all entries were down",
        events: async fleet => {
            const restore = fleet.platform.snapshot();
            await fleet.clock.advance(settledMs);
            fleet.kill(...four);
            restore();
            fleet.restart(...four);
        },
        outcome: "unknown",
    },
    {
        name: "after all entries were killed before anything was written",
        events: fleet => {
            fleet.kill(...four);
            fleet.restart(...four);
        },
        outcome: "unknown",
    },
    {
        name: "after all entries were killed, while the store is down",
        events: async fleet => {
            await fleet.clock.advance(settledMs);
            fleet.kill(...four);
            fleet.restart(...four);
            fleet.setStoreDown(true);
        },
        outcome: "unknown for now",
    },
];

function describeFound(found: FoundOrigin): string {
    if (found.kind === "found") {
        return "found";
    }
    return found.isFinal ? "unknown" : "unknown for now";
}

describe("the origin of a stream", () => {
    it.each(cases)("$name: $outcome", async ({ events, outcome }) => {
        const fleet = createFleet(4);
        fleet.entry(0).record("r-1", origin);
        await events(fleet);
        expect(describeFound(await fleet.entry(3).find("r-1"))).toBe(outcome);
    });

    // A take-up was refused for good while the engine of its stream was still being asked for its start.
    it.each([
        { isKnown: true, outcome: "found" },
        { isKnown: false, outcome: "unknown" },
    ])("may become known while its engine is not confirmed, then: $outcome", async ({ isKnown, outcome }) => {
        const fleet = createFleet(4);
        let confirm: (isConfirmed: boolean) => void = () => undefined;
        const confirmed = new Promise<boolean>(resolve => {
            confirm = resolve;
        });
        void fleet.entry(0).recordOnceKnown("r-1", origin, confirmed);
        const finds = async (): Promise<readonly string[]> =>
            (await Promise.all([0, 3].map(index => fleet.entry(index).find("r-1")))).map(describeFound);
        expect(await finds()).toEqual(["unknown for now", "unknown for now"]);
        confirm(isKnown);
        await fleet.clock.advance(settledMs);
        expect(await finds()).toEqual([outcome, outcome]);
    });

    it("is unknown if streams of the same request id began with different versions", async () => {
        const fleet = createFleet(4);
        fleet.entry(0).record("r-1", origin);
        await fleet.clock.advance(settledMs);
        fleet.entry(1).record("r-1", { ...origin, softwareVersion: "v1" });
        await fleet.clock.advance(settledMs);
        expect((await fleet.entry(1).find("r-1")).kind).toBe("unknown");
        fleet.kill(...four);
        fleet.restart(...four);
        expect((await fleet.entry(1).find("r-1")).kind).toBe("unknown");
    });

    // The first run that was not confirmed made the stream unknown for good, although another was still being asked.
    it("may become known as long as one of several runs of its request is being confirmed", async () => {
        const { entry } = createFleet(3);
        const origin: KnownOrigin = { service: "chat", softwareVersion: "1" };
        let confirm: (isKnown: boolean) => void = () => undefined;
        const second = new Promise<boolean>(resolve => {
            confirm = resolve;
        });
        const first = entry(0).recordOnceKnown("request", origin, Promise.resolve(false));
        const recorded = entry(0).recordOnceKnown("request", origin, second);
        await first;
        expect(await entry(1).find("request")).toMatchObject({ kind: "unknown", isFinal: false });
        confirm(true);
        await recorded;
        expect(await entry(0).find("request")).toEqual({ kind: "found", origin });
    });

    // An entry that did not answer within its time counted as one that does not know the stream.
    it("may become known while an entry that may know it does not answer", async () => {
        const { entry, setSilent } = createFleet(3);
        void entry(0).recordOnceKnown(
            "request",
            { service: "chat", softwareVersion: "1" },
            new Promise(() => undefined),
        );
        setSilent(true);
        expect(await entry(1).find("request")).toMatchObject({ kind: "unknown", isFinal: false });
    });

    it("is known of streams that began while an entry was shutting down", async () => {
        const fleet = createFleet(1);
        fleet.entry(0).record("r-1", origin);
        await fleet.entry(0).flush();
        fleet.kill(0);
        fleet.restart(0);
        expect(await fleet.entry(0).find("r-1")).toEqual(known);
    });

    // Streams that began before their entry had heard of others, or while these did not answer, were known to it alone.
    it.each([
        {
            name: "was not known yet",
            before: (fleet: Fleet) => fleet.kill(1),
            after: (fleet: Fleet) => fleet.restart(1),
        },
        {
            name: "did not answer",
            before: (fleet: Fleet) => fleet.setSilent(true),
            after: (fleet: Fleet) => fleet.setSilent(false),
        },
    ])(
        "is known at an entry that $name when the stream began, in an outage of the store",
        async ({ before, after }) => {
            const fleet = createFleet(2);
            fleet.setStoreDown(true);
            before(fleet);
            fleet.entry(0).record("r-1", origin);
            await fleet.clock.advance(settledMs);
            after(fleet);
            await fleet.clock.advance(2 * settledMs);
            fleet.kill(0);
            expect(await fleet.entry(1).find("r-1")).toEqual(known);
        },
    );

    it("is removed from the store after its retention, whichever entry wrote it", async () => {
        const fleet = createFleet(4);
        four.forEach(index => fleet.entry(index).record(`r-${index}`, origin));
        await fleet.clock.advance(settledMs);
        expect(fleet.platform.rowCount()).toBe(4);
        fleet.kill(0, 1);
        await fleet.clock.advance(originRetentionMs + 120_000);
        const rows = await fleet.platform.tables.scan("streams", "", 10);
        expect(rows.unwrapOr([])).toEqual([]);
    });
});

interface CostCase {
    readonly entries: number;
    /** Streams that begin at each entry each second. */
    readonly streamsPerSecond: number;
}

const costCases: readonly CostCase[] = [
    { entries: 4, streamsPerSecond: 2 },
    { entries: 4, streamsPerSecond: 40 },
    { entries: 300, streamsPerSecond: 1 },
];
const measuredS = 5;
/** The platform's stores take 400 writing calls a second from all entries; this leaves most of them to the others. */
const maxWritesPerSecond = 60;

describe("the calls for origins", () => {
    it.each(costCases)("$entries entries with $streamsPerSecond streams a second each", async testCase => {
        const { entries, streamsPerSecond } = testCase;
        const fleet = createFleet(entries);
        let streams = 0;
        for (let tick = 0; tick < measuredS * streamsPerSecond; tick++) {
            for (let index = 0; index < entries; index++) {
                streams += 1;
                fleet.entry(index).record(`r-${streams}`, origin);
            }
            await fleet.clock.advance(1_000 / streamsPerSecond);
        }
        await fleet.clock.advance(settledMs);
        expect(fleet.storeCalls.commit).toBeLessThanOrEqual(maxWritesPerSecond * (measuredS + 1));
        expect(fleet.storeCalls.commit).toBeLessThanOrEqual(streams);
        expect(fleet.calls()).toBeLessThanOrEqual(2 * streams);
        expect(fleet.storeCalls.read).toBe(0);
        const callsBefore = fleet.calls();
        expect(await fleet.entry(entries - 1).find("r-1")).toEqual(known);
        expect(fleet.storeCalls.read).toBeLessThanOrEqual(1);
        expect(fleet.calls() - callsBefore).toBeLessThanOrEqual(8);
    });
});
