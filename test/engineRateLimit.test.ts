/**
 * Engines that name a rate for all entries together (`Server-Limit`), against real entries on the fake platform.
 */

import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { callSite, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, SiteResponse } from "../fakes/platformSite.js";

/** Limits of the platform: what an engine may get in a window, from some time after it first named its rate. */
const windowMs = 4_000;
const stableWindowMs = 3_000;
const windowFactor = 1.5;
const windowSlack = 5;

let site: PlatformSite;

afterEach(() => site.close());

/** The most requests that arrived within one window. */
function maxInWindow(arrivedAtMs: readonly number[]): number {
    const counts = arrivedAtMs.map((startMs, index) =>
        arrivedAtMs.slice(index).filter(atMs => atMs - startMs <= windowMs).length
    );
    return Math.max(0, ...counts);
}

function allowedInWindow(ratePerSecond: number): number {
    return Math.floor(windowFactor * ratePerSecond * windowMs / 1_000) + windowSlack;
}

/** Sends calls at a steady rate to every entry for some time; resolves to the responses. */
async function sendLoad(
    entries: readonly EntryProcess[],
    durationMs: number,
    intervalMs: number,
): Promise<readonly SiteResponse[]> {
    const responses: Promise<SiteResponse>[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
        responses.push(...entries.map((entry, index) => callSite(entry, index % 2 === 0 ? "/look/x" : "/pay/x")));
        await delay(intervalMs);
    }
    return Promise.all(responses);
}

describe("an engine that names a rate", () => {
    // Entries sent such an engine its full part of the load: each ignored what the engine names.
    it("gets no more from all entries together; other engines of its service take the rest", async () => {
        const ratePerSecond = 2;
        site = await startPlatformSite({ entries: 2, plainEngines: 3 });
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        const limited = site.engines.find(engine => engine.id === "d-1");
        limited?.nameLimit(String(ratePerSecond));
        const namedAtMs = Date.now();
        const responses = await sendLoad(site.entries, stableWindowMs + windowMs, 40);
        const counted = limited?.arrivedAtMs.filter(atMs => atMs >= namedAtMs + stableWindowMs / 2) ?? [];
        expect(maxInWindow(counted)).toBeLessThanOrEqual(allowedInWindow(ratePerSecond));
        expect(counted.length).toBeGreaterThan(0);
        expect(responses.map(({ status }) => status).filter(status => status !== 200)).toEqual([]);
    });

    // As above, when no engine of the service is left to take the rest.
    it("lets requests that no engine may take be refused at once, as not run and to be sent again later", async () => {
        const ratePerSecond = 2;
        site = await startPlatformSite({ entries: 2, plainEngines: 2 });
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        const limited = site.engines.filter(engine => engine.stage === undefined);
        limited.forEach(engine => engine.nameLimit(String(ratePerSecond)));
        const namedAtMs = Date.now();
        const responses = await sendLoad(site.entries, stableWindowMs + windowMs, 40);
        for (const { arrivedAtMs } of limited) {
            const counted = arrivedAtMs.filter(atMs => atMs >= namedAtMs + stableWindowMs / 2);
            expect(maxInWindow(counted)).toBeLessThanOrEqual(allowedInWindow(ratePerSecond));
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
