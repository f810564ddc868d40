/**
 * Errors that no code handles, and a log that cannot be written, at entries and agents of a site as real processes: neither
 * ends a process with the requests that it has read.
 */

import { afterEach, expect, it } from "vitest";
import { eventually, startSite } from "../fakes/site.js";
import type { Process, Site } from "../fakes/site.js";

const throwAtSignal = "process.on('SIGUSR2', () => setImmediate(() => { throw new Error('thrown for a test'); }))";
let site: Site | undefined;

afterEach(async () => {
    await site?.stop();
    site = undefined;
});

async function startProcesses(): Promise<readonly Process[]> {
    const earlier = process.env["NODE_OPTIONS"];
    process.env["NODE_OPTIONS"] = `--import data:text/javascript,${encodeURIComponent(throwAtSignal)}`;
    try {
        site = await startSite();
    }
    finally {
        if (earlier === undefined) {
            delete process.env["NODE_OPTIONS"];
        }
        else {
            process.env["NODE_OPTIONS"] = earlier;
        }
    }
    return [...site.entries, ...site.endpoints.map(({ agent }) => agent).slice(0, 1)];
}

async function isServing({ url, child }: Process): Promise<boolean> {
    const { status } = await fetch(`${url}/healthz`);
    return child.exitCode === null && status < 500;
}

// The process ended, and its callers got no answer.
it("an error that a callback throws is logged, and the process goes on", async () => {
    for (const each of await startProcesses()) {
        each.child.kill("SIGUSR2");
        await eventually("the error is logged", async () => each.log().includes("thrown for a test"));
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(await isServing(each)).toBe(true);
        expect(each.log()).toContain("a task failed unexpectedly");
    }
});

// The process ended with the first line that it could not write.
it("a process goes on whose log has no reader any more", async () => {
    for (const each of await startProcesses()) {
        each.child.stderr?.destroy();
        each.child.stdout?.destroy();
        for (let line = 0; line < 5; line++) {
            each.child.kill("SIGHUP");
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        expect(await isServing(each)).toBe(true);
    }
});
