/** A log that cannot be written, at entries as real processes: it ends no request that the entry has read. */

import { connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { callSite, expectedStream, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, PlatformSiteOptions } from "../fakes/platformSite.js";

const events = 60;
const eventMs = 25;
const streams = 3;
let site: PlatformSite;

afterEach(() => site.close());

async function start(options: Partial<PlatformSiteOptions>): Promise<EntryProcess> {
    site = await startPlatformSite({ entries: 1, events, eventMs, ...options });
    const [entry] = site.entries;
    if (entry === undefined) {
        throw new Error("the site has no entry");
    }
    await until("the entry is ready", () => isReady(entry));
    return entry;
}

/** Starts streams; resolves with the function that checks that each of them got all of its events. */
async function startStreams(entry: EntryProcess): Promise<() => Promise<void>> {
    const running = Promise.all(Array.from({ length: streams }, () => callSite(entry, "/chat/x")));
    running.catch(() => undefined);
    await until("the streams run", () => site.engines.flatMap(engine => engine.runs).length === streams);
    return async () => {
        for (const { requestId, body } of await running) {
            expect(body).toBe(expectedStream(requestId, events));
        }
    };
}

describe("the log", () => {
    // The first line after that ended the process, with every request that it had read.
    it("its reader has gone: the entry goes on, also on its open connections", async () => {
        const entry = await start({});
        const { hostname, port } = new URL(entry.callersUrl);
        const kept = connect(Number(port), hostname);
        kept.on("error", () => undefined);
        const expectWhole = await startStreams(entry);
        entry.closeLog();
        for (let call = 0; call < 20; call++) {
            entry.signal("SIGHUP");
            expect((await callSite(entry, "/look/x")).status).toBe(200);
        }
        await expectWhole();
        expect(kept.destroyed).toBe(false);
        kept.destroy();
        entry.signal("SIGTERM");
        expect(await entry.exited).toBe(0);
    });
});
