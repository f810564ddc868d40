/**
 * The whole path on a stand-in of the platform, through real processes: serving, shutdown, reload, kills and engines that
 * fail.
 */

import { afterEach, describe, expect, it } from "vitest";
import { callSite, isReady, siteKey, startPlatformSite, until, wholeStream } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, PlatformSiteShape } from "../fakes/platformSite.js";

const defaultEvents = 5;
let site: PlatformSite;

afterEach(() => site.close());

async function start(shape: PlatformSiteShape): Promise<readonly EntryProcess[]> {
    site = await startPlatformSite(shape);
    if (shape.empty !== true) {
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

async function expectNothingHeld(): Promise<void> {
    await until("engines hold nothing", () => site.engines.every(engine => engine.held() === 0));
}

describe("serving", () => {
    it("serves all kinds through every entry, and no engine sees a key", async () => {
        await start({ entries: 2 });
        for (const each of site.entries) {
            for (const path of ["/chat/x", "/long/x"]) {
                const answer = await callSite(each, path);
                expect(answer).toMatchObject({ status: 200, body: wholeStream(answer.requestId, defaultEvents) });
            }
            for (const path of ["/pay/x?y=z", "/look/x"]) {
                const answer = await callSite(each, path);
                expect(answer).toMatchObject({ status: 200, body: `done ${answer.requestId}` });
            }
        }
        const runs = site.engines.flatMap(engine => engine.runs);
        expect(runs.every(run => run.headers["x-gooseberrywell-tenant-id"] === "walkers")).toBe(true);
        expect(runs.every(run => run.body === `body of ${run.requestId}`)).toBe(true);
        expect(runs.some(run => run.target === "/pay/x?y=z")).toBe(true);
        expect(site.engines.flatMap(engine => engine.seen).filter(text => text.includes(siteKey))).toEqual([]);
        await expectNothingHeld();
        const metrics = await (await fetch(entry().metricsUrl)).text();
        expect(metrics).toMatch(/gooseberrywell_requests\{label="generation",outcome="200"\} 2/);
    });

    it("is not ready and answers 503 until a desired state is known", async () => {
        await start({ entries: 1, empty: true });
        await until("the entry listens", () => entry().log().includes("\"listening\""));
        expect(await isReady(entry())).toBe(false);
        expect((await callSite(entry(), "/look/x")).status).toBe(503);
        site.publish([siteKey]);
        site.engines.forEach(engine => site.register(engine, "ready"));
        await until("the entry is ready", () => isReady(entry()));
        await until("the entry serves", async () => (await callSite(entry(), "/look/x")).status === 200);
    });

    it("goes on through an outage of the store, and learns afterwards", async () => {
        await start({ entries: 2 });
        site.store.setFault("unavailable");
        expect((await callSite(entry(0), "/chat/x")).status).toBe(200);
        site.store.setFault("silent");
        expect((await callSite(entry(1), "/pay/x")).status).toBe(200);
        site.publish(["another-key"]);
        site.store.setFault("none");
        await until("the withdrawn key is refused everywhere", async () => {
            const answers = await Promise.all(site.entries.map(each => callSite(each, "/look/x")));
            return answers.every(answer => answer.status === 401);
        });
        expect((await callSite(entry(0), "/look/x", "another-key")).status).toBe(200);
    });

    it("sends nothing to an engine that drains", async () => {
        await start({ entries: 1 });
        const [, first] = site.engines;
        if (first === undefined) {
            throw new Error("the site has no decode engine");
        }
        site.register(first, "draining");
        await until("the entry knows", () => entry().log().includes("\"draining\""));
        const before = first.runs.length;
        for (let request = 0; request < 5; request++) {
            expect((await callSite(entry(), "/chat/x")).status).toBe(200);
        }
        expect(first.runs.length).toBe(before);
    });
});

describe("signals", () => {
    it("SIGTERM: not ready at once, running streams are finished, then it ends by itself", async () => {
        await start({ entries: 1, events: 60, eventMs: 25 });
        const running = Promise.all([1, 2, 3].map(() => callSite(entry(), "/chat/x")));
        await until("the streams run", () => site.engines.flatMap(engine => engine.runs).length === 3);
        entry().signal("SIGTERM");
        await until("it is not ready", async () => !await isReady(entry()));
        entry().signal("SIGTERM");
        expect((await callSite(entry(), "/look/x")).status).toBe(200);
        for (const answer of await running) {
            expect(answer.body).toBe(wholeStream(answer.requestId, 60));
        }
        expect(await entry().ended).toBe(0);
        await expectNothingHeld();
    });

    it("SIGHUP: it serves on", async () => {
        await start({ entries: 1 });
        entry().signal("SIGHUP");
        await until("the settings were read", () => entry().log().includes("settings were read again"));
        expect((await callSite(entry(), "/look/x")).status).toBe(200);
    });

    it("SIGKILL: what it held is freed, and its successor serves", async () => {
        await start({ entries: 2, events: 400, eventMs: 25 });
        const cut = callSite(entry(0), "/chat/x").then(answer => answer.body, () => undefined);
        await until("the stream runs", () => site.engines.flatMap(engine => engine.runs).length === 1);
        entry(0).signal("SIGKILL");
        expect(await cut).toBeUndefined();
        await expectNothingHeld();
        await entry(0).restart();
        await until("the successor is ready", () => isReady(entry(0)));
        expect((await callSite(entry(0), "/look/x")).status).toBe(200);
    });
});

describe("engines that fail", () => {
    it("lost answers: a call that must not run twice runs once, and its caller is told so", async () => {
        await start({ entries: 1 });
        site.engines.forEach(engine => engine.setFault("lost"));
        const answer = await callSite(entry(), "/pay/x");
        expect(answer.status).toBe(502);
        expect(runsOf(answer.requestId)).toBe(1);
    });

    it("full engines: 503 with Retry-After is true", async () => {
        await start({ entries: 1 });
        site.engines.forEach(engine => engine.setFault("shed"));
        for (const path of ["/pay/x", "/look/x", "/chat/x"]) {
            const answer = await callSite(entry(), path);
            expect(answer.status).toBe(503);
            expect(Number(answer.retryAfter)).toBeGreaterThan(0);
            expect(runsOf(answer.requestId)).toBe(0);
        }
        await expectNothingHeld();
    });

    it("a broken stream is continued where its route allows it, else it doesn't look complete", async () => {
        await start({ entries: 1 });
        site.engines[1]?.setFault("cut");
        let continued = 0;
        for (let request = 0; request < 4; request++) {
            const answer = await callSite(entry(), "/long/x");
            expect(answer.body).toBe(wholeStream(answer.requestId, defaultEvents));
            continued += runsOf(answer.requestId) > 1 ? 1 : 0;
        }
        expect(continued).toBeGreaterThan(0);
        site.engines[2]?.setFault("cut");
        expect((await callSite(entry(), "/chat/x")).body).toBeUndefined();
    });

    it("a caller that leaves frees its place, prompt and stream", async () => {
        await start({ entries: 1, events: 400, eventMs: 25 });
        const caller = new AbortController();
        const left = callSite(entry(), "/chat/x", siteKey, caller.signal).catch(() => undefined);
        await until("the stream runs", () => site.engines.flatMap(engine => engine.runs).length === 1);
        caller.abort();
        await left;
        await expectNothingHeld();
    });
});
