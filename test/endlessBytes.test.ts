/**
 * Engines that answer with bytes that never end, in a head or a body, while many callers wait: each call ends, and the
 * entry keeps within the memory of the smallest machine on which it is deployed.
 */

import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { endlessBytes, startEndlessServer } from "../fakes/endlessServer.js";
import type { EndlessServer } from "../fakes/endlessServer.js";
import { isReady, siteKey, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite } from "../fakes/platformSite.js";
import { createStoreClient } from "../platform/storeClient.js";
import { createEngineClient } from "../src/endpoint/engineClient.js";
import { createRpcClient } from "../src/rpc/rpcClient.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";

const callers = 64;
/** Callers while engines send what the parser keeps with the most memory for each byte. */
const callersOfLines = 256;
const paths = ["/pay/x", "/look/x", "/chat/x", "/long/x"];
const callTimeoutMs = 1_000;
/** Long after the timeout of a call; no caller waits until then unless its call is left unanswered. */
const patienceMs = 10_000;
const maxResponseBytes = 65_536;
/** Enough of an entry's log to show why it ended. */
const maxShownBytes = 4_096;
/** `limits.memory_mb` of the smallest machines. */
const maxMemoryBytes = 200 * 1_024 * 1_024;

let lastRequestNumber = 0;

/** Makes a call and discards its response; resolves with how it ended. */
async function call(entry: EntryProcess, path: string): Promise<string> {
    lastRequestNumber += 1;
    const patience = new AbortController();
    const timer = setTimeout(() => patience.abort(), patienceMs);
    try {
        const { statusCode, body } = await request(`${entry.callersUrl}${path}`, {
            method: "POST",
            headers: {
                host: "site.example",
                "api-key": siteKey,
                "x-gooseberrywell-request-id": `r-${lastRequestNumber}`,
                "x-gooseberrywell-request-deadline": String(callTimeoutMs),
                ...path === "/chat/x" || path === "/long/x" ? { "x-gooseberrywell-token-usage": "1000,100" } : {},
            },
            signal: patience.signal,
        });
        body.resume();
        await new Promise((resolve, reject) => body.once("end", resolve).once("error", reject));
        return String(statusCode);
    }
    catch {
        return patience.signal.aborted ? "unanswered" : "broken";
    }
    finally {
        clearTimeout(timer);
    }
}

describe.each(endlessBytes)("engines that send $name without end", bytes => {
    let site: PlatformSite;
    let endless: EndlessServer;

    beforeAll(async () => {
        endless = await startEndlessServer(bytes);
        site = await startPlatformSite({
            entries: 1,
            // Else no request for a stream would be sent.
            maxReservationMs: 0,
            proxyEngineAddress: async () => endless.address,
        });
        await until("the entry is ready", () => site.entries[0] !== undefined && isReady(site.entries[0]));
    });

    afterAll(async () => {
        await site.close();
        endless.close();
    });

    // The entry kept the bytes of a faulty engine until its memory was used up, and left callers unanswered.
    it("leave no call unanswered and take no memory", async () => {
        const [entry] = site.entries;
        if (entry === undefined) {
            throw new Error("the site has no entry");
        }
        let exit: unknown;
        void entry.exited.then(ended => (exit = ended));
        const length = bytes.name.endsWith("without values") ? callersOfLines : callers;
        const outcomes = await Promise.all(
            Array.from({ length }, (unused, index) => call(entry, paths[index % paths.length] ?? "")),
        );
        expect(exit, entry.log().slice(-maxShownBytes)).toBeUndefined();
        expect(outcomes.filter(outcome => !["broken", "502", "503", "504"].includes(outcome))).toEqual([]);
        expect(entry.peakMemoryBytes()).toBeLessThan(maxMemoryBytes);
    });
});

const clients: readonly (readonly [string, (address: string) => Promise<boolean>])[] = [
    ["the store", async address => {
        const store = createStoreClient(address, createPrometheusMetrics());
        const rows = await store.feed("t").readAll();
        await store.close();
        return rows.isErr;
    }],
    ["another entry", async address => {
        const rpc = createRpcClient(maxResponseBytes);
        const called = await rpc.call(`http://${address}`, "m", {}, { timeoutMs: callTimeoutMs });
        await rpc.close();
        return called.isErr;
    }],
    ["an engine, from its agent", async address => {
        const engine = createEngineClient(`http://${address}`);
        const running = await engine.running();
        await engine.close();
        return running.isErr;
    }],
];

describe.each(clients)("a call to %s", (name, fails) => {
    it.each(endlessBytes)("fails if it sends $name without end", async bytes => {
        const endless = await startEndlessServer(bytes);
        expect(await fails(endless.address)).toBe(true);
        endless.close();
    });
});
