/**
 * Errors that no code handles, and a log that cannot be written, at entries as real processes: neither ends a request that
 * the entry has read.
 */

import { connect, createServer } from "node:net";
import type { Server } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { callSite, expectedStream, isReady, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite, PlatformSiteOptions } from "../fakes/platformSite.js";

const events = 60;
const eventMs = 25;
const streams = 3;
let site: PlatformSite;

afterEach(() => site.close());

/** Runs a module in each entry that throws `count` errors at SIGUSR2, each in a callback of its own. */
function throwing(count: number, fail: string): readonly string[] {
    const source = `process.on("SIGUSR2", () => {
        for (let index = 0; index < ${count}; index++) { setImmediate(() => { ${fail} }); }
    })`;
    return ["--import", `data:text/javascript,${encodeURIComponent(source)}`];
}

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

describe("errors that no code handles", () => {
    // Each of them ended the process, and all requests that it had read were lost; the log said nothing.
    it.each([
        ["an error that a callback throws", "throw new Error('thrown for a test')"],
        [
            "an event 'error' that has no listener",
            "new (process.getBuiltinModule('node:events').EventEmitter)()"
            + ".emit('error', new Error('thrown for a test'))",
        ],
        ["a rejection", "Promise.reject(new Error('thrown for a test'))"],
    ])("%s: is logged with its stack, and every request goes on", async (name, fail) => {
        const entry = await start({ nodeArguments: throwing(2, fail) });
        const expectWhole = await startStreams(entry);
        entry.signal("SIGUSR2");
        await until("the errors are logged", () => entry.log().split("a task failed unexpectedly").length === 3);
        expect((await callSite(entry, "/look/x")).status).toBe(200);
        await expectWhole();
        const line = entry.log().split("\n").find(text => text.includes("a task failed unexpectedly")) ?? "{}";
        expect(JSON.parse(line)).toMatchObject({
            level: "error",
            requestsRunning: streams,
            cause: expect.stringMatching(/Error: thrown for a test\n {4}at /u) as string,
            memoryBytes: expect.any(Number) as number,
        });
        expect(await isReady(entry)).toBe(true);
    });

    // Otherwise a process whose state is broken would stay ready for good.
    it("many of them: the entry drains, and exits with an error once its requests have ended", async () => {
        const entry = await start({ nodeArguments: throwing(12, "throw new Error('thrown for a test')") });
        const expectWhole = await startStreams(entry);
        entry.signal("SIGUSR2");
        await until("the entry is not ready", async () => !await isReady(entry));
        await expectWhole();
        expect(await entry.exited).toBe(1);
        expect(entry.log()).toContain("tasks keep failing unexpectedly");
    });
});

describe("a start that fails", () => {
    // The handlers of errors must not hide why an entry does not start.
    it("ends the process, and its log names the port in use", async () => {
        const entry = await start({});
        entry.signal("SIGKILL");
        await entry.exited;
        const { port } = new URL(entry.readyUrl);
        const blocking: Server = createServer();
        await new Promise<void>(resolve => blocking.listen(Number(port), "127.0.0.1", () => resolve()));
        await entry.restart();
        expect(await entry.exited).toBe(1);
        await new Promise(resolve => blocking.close(resolve));
        const lines = entry.log().split("\n").filter(line => line.includes("\"the entry cannot start\""));
        expect(lines.join()).toMatch(new RegExp(`EADDRINUSE.*127\\.0\\.0\\.1:${port}`, "u"));
    });
});

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
