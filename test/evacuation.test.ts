/**
 * Evacuations at real processes on a fake platform: entries that are cut off from the store hear of them from others, and
 * a restarted entry knows them before it is ready. Engines that come back get few requests at first.
 */

import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { bodyOfDuration } from "../fakes/platformEngine.js";
import { callSite, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, PlatformSiteOptions, SiteResponse } from "../fakes/platformSite.js";
import { startTcpProxy } from "../fakes/tcpProxy.js";
import type { ProxyFault, TcpProxy } from "../fakes/tcpProxy.js";

/** Within this time, each entry that reaches the store or another entry stops sending (platform). */
const evacuateMs = 5_000;
const calls = 10;
const coldRequestsPerSecond = 2;

const cleanups: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
});

/** Two entries in data centre `a`, the second of which reaches the store through the proxy; an engine in each of a, b, c. */
async function startSite(
    options: Partial<PlatformSiteOptions> = {},
): Promise<{ readonly site: PlatformSite; readonly proxies: readonly TcpProxy[]; }> {
    const proxies: TcpProxy[] = [];
    const site = await startPlatformSite({
        entries: 2,
        plainEngines: 3,
        dataCentres: { "d-2": "b", "d-3": "c" },
        ...options,
        proxyStoreAddress: async address => {
            const proxy = await startTcpProxy(address);
            proxies.push(proxy);
            return proxy.address;
        },
    });
    cleanups.push(site.close, ...proxies.map(proxy => proxy.close));
    await until("the entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
    return { site, proxies };
}

const look = (entry: EntryProcess, body?: string): Promise<SiteResponse> =>
    callSite(entry, "/look/1", undefined, undefined, undefined, body);

/** The engines that serve some calls at once to an entry; `refused` stands for those that none serves. */
async function enginesFor(entry: EntryProcess): Promise<readonly string[]> {
    const responses = await Promise.all(Array.from({ length: calls }, () => look(entry)));
    return [...new Set(responses.map(({ engine, status }) => status === 503 ? "refused" : String(engine)))].sort();
}

describe("an evacuation", () => {
    it("holds at all entries until it is taken back, for two data centres, all and an unknown one", async () => {
        const { site } = await startSite();
        const expectEngines = async (expected: readonly string[]): Promise<void> => {
            await delay(1_000);
            for (const entry of site.entries) {
                expect(await enginesFor(entry)).toEqual(expected);
            }
        };
        await expectEngines(["d-1", "d-2", "d-3"]);
        site.store.put("op", "evacuate/a", "{}");
        site.store.put("op", "evacuate/elsewhere", "{}");
        await expectEngines(["d-2", "d-3"]);
        site.store.put("op", "evacuate/a", "{}");
        site.store.put("op", "evacuate/b", "{}");
        await expectEngines(["d-3"]);
        site.store.put("op", "evacuate/c", "{}");
        await expectEngines(["refused"]);
        ["a", "b", "c"].forEach(dataCentre => site.store.remove("op", `evacuate/${dataCentre}`));
        await expectEngines(["d-1", "d-2", "d-3"]);
        expect(site.entries[0]?.log()).toContain("an evacuated data centre is not known");
    });

    it.each<{ readonly faults: readonly ProxyFault[]; }>([{ faults: ["silence"] }, { faults: ["reset", "silence"] }])(
        "holds in time at an entry that is cut off from the store ($faults), and at its next start",
        async ({ faults }) => {
            const { site, proxies } = await startSite();
            const [, cutOff] = site.entries as [EntryProcess, EntryProcess];
            faults.forEach(fault => proxies[1]?.setFault(fault));
            site.store.put("op", "evacuate/a", "{}");
            await delay(evacuateMs);
            expect(await enginesFor(cutOff)).toEqual(["d-2", "d-3"]);
            cutOff.signal("SIGKILL");
            await cutOff.restart();
            await until("the entry is ready again", () => isReady(cutOff));
            expect(await enginesFor(cutOff)).toEqual(["d-2", "d-3"]);
            site.store.remove("op", "evacuate/a");
            await delay(evacuateMs);
            expect(await enginesFor(cutOff)).toEqual(["d-1", "d-2", "d-3"]);
        },
        40_000,
    );

    // Engines may have become cold while they got nothing, and their records may be seconds old.
    it("ends with few requests a second at first, over all entries, to the engines that come back", async () => {
        const { site } = await startSite({ plainEngines: 2, coldRequestsPerSecond });
        site.store.put("op", "evacuate/a", "{}");
        // By then, no engine is suspected because it has just started.
        await delay(4_000);
        const returning = site.engines.find(({ id }) => id === "d-1");
        const before = returning?.arrivedAtMs.length ?? 0;
        site.store.remove("op", "evacuate/a");
        const takenBackAtMs = Date.now();
        const responses: Promise<unknown>[] = [];
        while (Date.now() - takenBackAtMs < 5_000) {
            // So many at once that a cold engine is used as well.
            responses.push(...site.entries.map(entry => look(entry, bodyOfDuration(200))));
            await delay(20);
        }
        await Promise.all(responses);
        const arrivals = returning?.arrivedAtMs.slice(before) ?? [];
        const inSecondAfter = (startMs: number): number =>
            arrivals.filter(atMs => atMs >= startMs && atMs < startMs + 1_000).length;
        const early = arrivals.filter(atMs => atMs < takenBackAtMs + 2_000);
        expect(early.length).toBeGreaterThan(0);
        expect(Math.max(...early.map(inSecondAfter))).toBeLessThanOrEqual(coldRequestsPerSecond * 1.5 + 5);
        expect(inSecondAfter(takenBackAtMs + 4_000)).toBeGreaterThan(coldRequestsPerSecond * 1.5 + 5);
    });
});
