/**
 * Engines that name a rate for all entries together (`Server-Limit`), against real entries on the fake platform.
 */

import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import type { FakePlatformEngine } from "../fakes/platformEngine.js";
import { callSite, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, SiteResponse } from "../fakes/platformSite.js";
import { allowedInWindow, maxInWindow, rateWindowMs } from "../fakes/soakChecks.js";

/** Longer than the time from when on the platform counts, and one window. */
const loadMs = 3_000 + rateWindowMs;
const loadIntervalMs = 40;

let site: PlatformSite;

afterEach(() => site.close());

/** Sends calls at a steady rate to every entry for some time; resolves to the responses. */
async function sendLoad(entries: readonly EntryProcess[]): Promise<readonly SiteResponse[]> {
    const responses: Promise<SiteResponse>[] = [];
    for (let elapsedMs = 0; elapsedMs < loadMs; elapsedMs += loadIntervalMs) {
        responses.push(...entries.map((entry, index) => callSite(entry, index % 2 === 0 ? "/look/x" : "/pay/x")));
        await delay(loadIntervalMs);
    }
    return Promise.all(responses);
}

describe("an engine that names a rate", () => {
    // Entries sent such an engine its full part of the load: each ignored what the engine names.
    it("gets no more from all entries together; other engines of its service take the rest", async () => {
        const ratePerSecond = 2;
        site = await startPlatformSite({ entries: 2, plainEngines: 3 });
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        const [limited] = site.engines.filter(engine => engine.stage === undefined) as [FakePlatformEngine];
        limited.nameLimit(String(ratePerSecond));
        const responses = await sendLoad(site.entries);
        const got = limited.limits.map(limit => maxInWindow(limited.arrivedAtMs, limit));
        expect(Math.max(...got)).toBeLessThanOrEqual(allowedInWindow(ratePerSecond));
        expect(Math.max(...got)).toBeGreaterThan(0);
        expect(responses.map(({ status }) => status).filter(status => status !== 200)).toEqual([]);
    });

    // As above, when no engine of the service is left to take the rest.
    it("lets requests that no engine may take be refused at once, as not run and to be sent again later", async () => {
        const ratePerSecond = 2;
        site = await startPlatformSite({ entries: 2, plainEngines: 2 });
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        const limited = site.engines.filter(engine => engine.stage === undefined);
        limited.forEach(engine => engine.nameLimit(String(ratePerSecond)));
        const responses = await sendLoad(site.entries);
        for (const { arrivedAtMs, limits } of limited) {
            const got = limits.map(limit => maxInWindow(arrivedAtMs, limit));
            expect(Math.max(...got)).toBeLessThanOrEqual(allowedInWindow(ratePerSecond));
        }
        const refused = responses.filter(({ status }) => status === 503);
        expect(responses.filter(({ status }) => status !== 200 && status !== 503)).toEqual([]);
        expect(refused.length).toBeGreaterThan(0);
        expect(refused.filter(({ retryAfter }) => !(Number(retryAfter) > 0))).toEqual([]);
        expect(new Set(refused.map(({ retryAfter }) => retryAfter)).size).toBeGreaterThan(refused.length / 10);
        const runIds = new Set(limited.flatMap(engine => engine.runs.map(run => run.requestId)));
        expect(refused.filter(({ requestId }) => runIds.has(requestId))).toEqual([]);
    });
});
