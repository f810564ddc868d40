/**
 * End-to-end tests of entries as real processes on the fake platform: serving, shutdown, reload, SIGKILL and failing
 * engines.
 */

import { afterEach, describe, expect, it } from "vitest";
import { deadlyBody } from "../fakes/platformEngine.js";
import { callSite, expectedStream, isReady, siteKey, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, PlatformSiteOptions } from "../fakes/platformSite.js";

const defaultEvents = 5;
let site: PlatformSite;

afterEach(() => site.close());

async function start(options: PlatformSiteOptions): Promise<readonly EntryProcess[]> {
    site = await startPlatformSite(options);
    if (options.empty !== true) {
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
    }
    return site.entries;
}

function entry(index = 0): EntryProcess {
    const found = site.entries[index];
    if (found === undefined) {
        throw new Error(`the site has no entry ${index}`);
    }
    return found;
}

function runsOf(requestId: string): number {
    return site.engines.flatMap(engine => engine.runs).filter(run => run.requestId === requestId).length;
}

async function expectAllReleased(): Promise<void> {
    await until("engines hold no resources", () => site.engines.every(engine => engine.held() === 0));
}

describe("serving", () => {
    it("serves every kind of route through every entry, and no engine receives a caller's key", async () => {
        await start({ entries: 2 });
        for (const each of site.entries) {
            for (const path of ["/chat/x", "/long/x"]) {
                const response = await callSite(each, path);
                expect(response).toMatchObject({
                    status: 200,
                    body: expectedStream(response.requestId, defaultEvents),
                });
            }
            for (const path of ["/pay/x?y=z", "/look/x"]) {
                const response = await callSite(each, path);
                expect(response).toMatchObject({ status: 200, body: `done ${response.requestId}` });
            }
        }
        const runs = site.engines.flatMap(engine => engine.runs);
        expect(runs.every(run => run.headers["x-gooseberrywell-tenant-id"] === "walkers")).toBe(true);
        expect(runs.every(run => run.body === `body of ${run.requestId}`)).toBe(true);
        expect(runs.some(run => run.target === "/pay/x?y=z")).toBe(true);
        expect(site.engines.flatMap(engine => engine.seen).filter(text => text.includes(siteKey))).toEqual([]);
        await expectAllReleased();
        const metrics = await (await fetch(entry().metricsUrl)).text();
        expect(metrics).toMatch(/gooseberrywell_requests\{label="generation",outcome="200"\} 2/);
        expect(metrics).toMatch(/^gooseberrywell_heap_bytes [1-9]\d+$/mu);
        expect(metrics).toMatch(/^gooseberrywell_external_bytes [1-9]\d+$/mu);
    });

    it("is not ready and responds with 503 until it has a desired state", async () => {
        await start({ entries: 1, empty: true });
        await until("the entry listens", () => entry().log().includes("\"listening\""));
        expect(await isReady(entry())).toBe(false);
        expect((await callSite(entry(), "/look/x")).status).toBe(503);
        site.publish([siteKey]);
        site.engines.forEach(engine => site.register(engine, "ready"));
        await until("the entry is ready", () => isReady(entry()));
        await until("the entry serves", async () => (await callSite(entry(), "/look/x")).status === 200);
    });

    it("keeps serving during an outage of the store, and applies changes once the store responds again", async () => {
        await start({ entries: 2 });
        site.store.setFault("unavailable");
        expect((await callSite(entry(0), "/chat/x")).status).toBe(200);
        site.store.setFault("silent");
        expect((await callSite(entry(1), "/pay/x")).status).toBe(200);
        site.publish(["another-key"]);
        site.store.setFault("none");
        await until("every entry refuses the withdrawn key", async () => {
            const responses = await Promise.all(site.entries.map(each => callSite(each, "/look/x")));
            return responses.every(response => response.status === 401);
        });
        expect((await callSite(entry(0), "/look/x", "another-key")).status).toBe(200);
    });

    it("keeps a withdrawn key withdrawn when the store comes back from an older copy, also at a restarted entry", async () => {
        await start({ entries: 2 });
        const beforeWithdrawal = site.store.revision();
        site.publish(["another-key"]);
        const statusOf = async (index: number, key: string): Promise<number> =>
            (await callSite(entry(index), "/look/x", key)).status;
        for (const index of [0, 1]) {
            await until("the withdrawal is in force", async () => await statusOf(index, siteKey) === 401);
        }
        site.store.setFault("reset");
        entry(1).signal("SIGKILL");
        site.store.restore(beforeWithdrawal);
        site.store.setFault("none");
        await entry(1).restart();
        await until(
            "the restarted entry has the other one's desired state",
            async () => await statusOf(1, siteKey).catch(() => 0) === 401,
        );
        expect([await statusOf(0, siteKey), await statusOf(0, "another-key")]).toEqual([401, 200]);
        expect(await statusOf(1, "another-key")).toBe(200);
        await until("the restoration is logged", () => entry(0).log().includes("restored from an older copy"));
    });

    it("sends no requests to a draining engine", async () => {
        await start({ entries: 1 });
        const [, first] = site.engines;
        if (first === undefined) {
            throw new Error("the site has no decode engine");
        }
        site.register(first, "draining");
        await until("the entry has logged that the engine is draining", () => entry().log().includes("\"draining\""));
        const runsBefore = first.runs.length;
        for (let request = 0; request < 5; request++) {
            expect((await callSite(entry(), "/chat/x")).status).toBe(200);
        }
        expect(first.runs.length).toBe(runsBefore);
    });
});

describe("signals", () => {
    it("SIGTERM: stops being ready at once, finishes running streams, then exits", async () => {
        await start({ entries: 1, events: 60, eventMs: 25 });
        const running = Promise.all([1, 2, 3].map(() => callSite(entry(), "/chat/x")));
        await until("the streams run", () => site.engines.flatMap(engine => engine.runs).length === 3);
        entry().signal("SIGTERM");
        await until("the entry is not ready", async () => !await isReady(entry()));
        entry().signal("SIGTERM");
        expect((await callSite(entry(), "/look/x")).status).toBe(200);
        for (const response of await running) {
            expect(response.body).toBe(expectedStream(response.requestId, 60));
        }
        expect(await entry().exited).toBe(0);
        await expectAllReleased();
    });

    it("SIGHUP: reads the settings again and keeps serving", async () => {
        await start({ entries: 1 });
        entry().signal("SIGHUP");
        await until("the settings were read", () => entry().log().includes("settings were read again"));
        expect((await callSite(entry(), "/look/x")).status).toBe(200);
    });

    it("SIGKILL: engines release the resources of the entry's requests, and the restarted entry serves", async () => {
        await start({ entries: 2, events: 400, eventMs: 25 });
        const interrupted = callSite(entry(0), "/chat/x").then(response => response.body, () => undefined);
        await until("the stream runs", () => site.engines.flatMap(engine => engine.runs).length === 1);
        entry(0).signal("SIGKILL");
        expect(await interrupted).toBeUndefined();
        await expectAllReleased();
        await entry(0).restart();
        await until("the restarted entry is ready", () => isReady(entry(0)));
        expect((await callSite(entry(0), "/look/x")).status).toBe(200);
    });
});

describe("engines that fail", () => {
    // With status 421, callers were told that calls had not run which an engine had executed, or they ran twice.
    it("an earlier rejection once more: no call runs twice, and none that ran is said not to have run", async () => {
        await start({ entries: 2 });
        site.engines.forEach(engine => engine.setFault("oldRejection"));
        for (let call = 0; call < 12; call++) {
            const response = await callSite(entry(call % 2), "/pay/x");
            const runs = runsOf(response.requestId);
            expect(runs).toBeLessThanOrEqual(1);
            expect([503, 502]).toContain(response.status);
            expect(response.status === 503 && runs > 0).toBe(false);
        }
    });

    it("lost responses: a call that must not run twice runs once, and its caller gets 502", async () => {
        await start({ entries: 1 });
        site.engines.forEach(engine => engine.setFault("lost"));
        const response = await callSite(entry(), "/pay/x");
        expect(response.status).toBe(502);
        expect(runsOf(response.requestId)).toBe(1);
    });

    it("full engines: the caller gets 503 with Retry-After, and nothing was run", async () => {
        await start({ entries: 1 });
        site.engines.forEach(engine => engine.setFault("shed"));
        for (const path of ["/pay/x", "/look/x", "/chat/x"]) {
            const response = await callSite(entry(), path);
            expect(response.status).toBe(503);
            expect(Number(response.retryAfter)).toBeGreaterThan(0);
            expect(runsOf(response.requestId)).toBe(0);
        }
        await expectAllReleased();
    });

    it("a broken stream is continued if its route is resumable; otherwise the response breaks off", async () => {
        await start({ entries: 1 });
        // Every decode engine cuts the stream that it starts, so each request is certain to be continued at another.
        const decodeEngines = site.engines.filter(engine => engine.stage === "decode");
        decodeEngines.forEach(engine => engine.setFault("cutFirst"));
        for (let request = 0; request < 4; request++) {
            const response = await callSite(entry(), "/long/x");
            expect(response.body).toBe(expectedStream(response.requestId, defaultEvents));
            expect(runsOf(response.requestId)).toBe(2);
        }
        for (const fault of ["cut", "endInEvent"] as const) {
            decodeEngines.forEach(engine => engine.setFault(fault));
            expect((await callSite(entry(), "/chat/x")).body).toBeUndefined();
        }
    });

    it("a caller that disconnects frees its decode allocation, KV cache and stream", async () => {
        await start({ entries: 1, events: 400, eventMs: 25 });
        const caller = new AbortController();
        const disconnected = callSite(entry(), "/chat/x", siteKey, caller.signal).catch(() => undefined);
        await until("the stream runs", () => site.engines.flatMap(engine => engine.runs).length === 1);
        caller.abort();
        await disconnected;
        await expectAllReleased();
    });
});

describe("a part of a prompt that ends engines", () => {
    // Every entry would learn of the part by ending engines of its own.
    it("is refused by every entry once two engines have ended; other requests with its other parts are served", async () => {
        await start({ entries: 2 });
        site.engines.forEach(engine => engine.setFault("endOnPart"));
        const call = async (index: number, parts: string): Promise<number> => {
            const response = await callSite(entry(index), "/chat/x", siteKey, undefined, parts);
            return response.body === undefined ? 0 : response.status;
        };
        const deadlyRuns = (): number =>
            site.engines.flatMap(engine => engine.runs)
                .filter(run => run.headers["x-gooseberrywell-prompt-prefix"]?.includes("dead") === true).length;
        let number = 0;
        const callDeadly = (index: number): Promise<number> => call(index, `shared:10,dead:20,own-${number++}:5`);
        await until("the first entry refuses the part", async () => {
            await until("a sound request is served", async () => await call(0, `shared:10,own-${number++}:5`) === 200);
            return await callDeadly(0) === 503;
        });
        const runs = deadlyRuns();
        expect(runs).toBeLessThanOrEqual(5);
        await until("the second entry refuses the part", async () => await callDeadly(1) === 503);
        expect(deadlyRuns() - runs).toBeLessThanOrEqual(3);
        await until("the second entry serves", async () => await call(1, `shared:10,own-${number++}:5`) === 200);
    });
});

describe("a request that ends engines and comes again", () => {
    // Each copy of the request ended one more engine, at any entry, and each repeat another.
    it.each(["/look/x", "/pay/x"])(
        "%s: is refused by every entry after few ends; sound requests with its path and account are served",
        async path => {
            await start({ entries: 2, plainEngines: 4 });
            site.engines.forEach(engine => engine.endOnDeadlyBody());
            const callDeadly = (index: number): Promise<number> =>
                callSite(entry(index), path, siteKey, undefined, undefined, deadlyBody).then(({ status }) => status);
            const deadlyRuns = (): number =>
                site.engines.flatMap(engine => engine.runs).filter(run => run.body === deadlyBody).length;
            for (let copy = 0; copy < 12; copy++) {
                await callDeadly(copy % 2);
                await until(
                    "a sound call is served",
                    async () => (await callSite(entry(copy % 2), path)).status === 200,
                );
            }
            expect(deadlyRuns()).toBeLessThanOrEqual(5);
            expect([await callDeadly(0), await callDeadly(1)]).toEqual([503, 503]);
            const sound = await Promise.all([0, 1, 0, 1].map(index => callSite(entry(index), path)));
            expect(sound.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
        },
    );
});
