/**
 * Planned stops of agents and entries while callers keep using their open connections: each call that has run gets its whole
 * response, and each one that is refused as not run has not run.
 */

import { Readable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import { Client } from "undici";
import { afterEach, describe, expect, test } from "vitest";
import { callerKey, complete, eventually, getJson, otherKey, post, startSite } from "../fakes/site.js";
import type { EndpointProcess, Process, Site } from "../fakes/site.js";
import { createRandom } from "../src/common/random.js";

const seed = 12_051;
const callers = 24;
/** How long the fake service works on a call. */
const serviceMs = 30;
/** Pause between the calls of a caller, and between the chunks of a body: up to this. */
const maxPauseMs = 40;
const startPauseMs = 300;
/** In each, an agent is stopped and replaced, and in every other one an entry as well. */
const stopRounds = 5;
const prompt = "Which of the kilns is the warmest?";

let site: Site;

afterEach(() => site.stop());

interface Call {
    readonly id: string;
    /** Status of a whole response; `refused` if no connection could be opened; `closed` if it ended without a response. */
    readonly outcome: string;
    /** Whether a response with status 200 is the one to this call. */
    readonly isOwn: boolean;
}

interface ServiceRecord {
    readonly runs: readonly { readonly path: string; readonly body: string; }[];
}

function entryAt(index: number): Process {
    return site.entries[index] as Process;
}

async function* inChunks(text: string, pauseMs: number): AsyncGenerator<Buffer> {
    const middle = Math.floor(text.length / 2);
    yield Buffer.from(text.slice(0, middle));
    await delay(pauseMs);
    yield Buffer.from(text.slice(middle));
}

/** Calls a route that must not be repeated, over one connection for as long as it can be used. */
async function callRepeatedly(name: string, number: number, isRunning: () => boolean): Promise<readonly Call[]> {
    const random = createRandom(seed + number);
    const calls: Call[] = [];
    let client: Client | undefined;
    for (let index = 0; isRunning(); index++) {
        client ??= new Client(entryAt(Math.floor(random() * site.entries.length)).callersUrl);
        const id = `${name}-${number}-${index}`;
        const pauseMs = random() * maxPauseMs;
        const body = random() < 0.5 ? id : Readable.from(inChunks(id, pauseMs));
        try {
            const response = await client.request({
                method: "POST",
                path: "/pay",
                headers: { authorization: `Bearer ${otherKey}` },
                body,
            });
            const text = await response.body.text();
            calls.push({ id, outcome: String(response.statusCode), isOwn: text.includes(`"echo":"${id}"`) });
        }
        catch (error) {
            const isRefused = (error as { readonly code?: string; }).code === "ECONNREFUSED";
            calls.push({ id, outcome: isRefused ? "refused" : "closed", isOwn: false });
        }
        if (calls.at(-1)?.outcome !== "200") {
            await client.destroy();
            client = undefined;
        }
        await delay(random() * maxPauseMs);
    }
    await client?.destroy();
    return calls;
}

async function stopAndReplaceAgent(target: EndpointProcess): Promise<number | null> {
    const stopped = target.agent;
    await stopped.kill("SIGHUP");
    await stopped.kill("SIGTERM");
    await stopped.kill("SIGTERM");
    target.agent = await site.startAgent(target.name, target.endpoint.url);
    await site.setHosts();
    return stopped.exited;
}

async function stopAndReplaceEntry(index: number, name: string): Promise<number | null> {
    const stopped = entryAt(index);
    const replacement = await site.startEntry(name);
    await eventually("the new entry is ready", async () => (await fetch(`${replacement.callersUrl}/readyz`)).ok);
    site.entries[index] = replacement;
    await site.setHosts();
    await stopped.kill("SIGHUP");
    await stopped.kill("SIGTERM");
    return stopped.exited;
}

async function setEndpointState({ name }: EndpointProcess, state: "leaving" | "serving"): Promise<void> {
    const value = { pool: "desk", role: "plain", slots: 20, kvCapacityBytes: 1e9, state };
    await site.apply([{ kind: "endpoint", name, value }]);
}

describe("planned stops in series", () => {
    // Connections between entries and agents were closed while calls were sent over them: reported as outcome unknown.
    test("each call that ran is answered in full, and each that is refused has not run", async () => {
        site = await startSite({ entries: 2, plain: 3, ratePerSecond: 5_000, burstRequests: 5_000 });
        const services = site.byRole("plain");
        await Promise.all(services.map(each => post(`${each.endpoint.url}/faults`, { delayMs: serviceMs })));
        let isRunning = true;
        const called = Promise.all(
            Array.from({ length: callers }, (unused, number) => callRepeatedly("call", number, () => isRunning)),
        );
        const random = createRandom(seed);
        const stops: Promise<number | null>[] = [];
        for (const [index, service] of [...services, ...services].slice(0, stopRounds).entries()) {
            await delay(random() * startPauseMs);
            const isLeaving = random() < 0.5;
            await setEndpointState(service, isLeaving ? "leaving" : "serving");
            const agentStopped = stopAndReplaceAgent(service);
            const entryStopped = index % 2 === 0 ? stopAndReplaceEntry(index % 4 / 2, `entry-new-${index}`) : undefined;
            // The next stop begins when the replacements run, whether or not the stopped processes have ended.
            stops.push(agentStopped, ...entryStopped === undefined ? [] : [entryStopped]);
            await Promise.all([agentStopped, entryStopped]);
            if (isLeaving) {
                await setEndpointState(service, "serving");
            }
        }
        isRunning = false;
        const calls = (await called).flat();
        const exitCodes = await Promise.all(stops);
        const records = await Promise.all(
            services.map(each => getJson<ServiceRecord>(`${each.endpoint.url}/record`)),
        );
        const runs = records.flatMap(record => record.runs).map(({ body }) => body);
        const hasRun = new Set(runs);
        const wrong = calls.filter(({ id, outcome, isOwn }) =>
            hasRun.has(id) ? outcome !== "200" || !isOwn : !["503", "429", "408", "refused", "closed"].includes(outcome)
        );
        expect(wrong).toEqual([]);
        expect(runs.length).toBe(hasRun.size);
        expect(exitCodes).toEqual(exitCodes.map(() => 0));
        expect(calls.filter(({ outcome }) => outcome === "200").length).toBeGreaterThan(callers * 10);
    });
});

describe("a planned stop", () => {
    const reloads = [
        { name: "an entry", target: () => entryAt(0) },
        { name: "an agent", target: () => (site.byRole("plain")[0] as EndpointProcess).agent },
    ] as const;

    // A reload request ended the process with every request that it was running.
    test.each(reloads)("a reload request does not end $name", async ({ target }) => {
        site = await startSite({ plain: 1 });
        await post(`${site.byRole("plain")[0]?.endpoint.url}/faults`, { delayMs: 500 });
        const response = fetch(`${entryAt(0).callersUrl}/pay`, {
            method: "POST",
            headers: { authorization: `Bearer ${otherKey}` },
            body: "one",
        });
        await delay(200);
        await target().kill("SIGHUP");
        expect((await response).status).toBe(200);
        expect(target().child.exitCode ?? target().child.signalCode).toBe(null);
        expect(target().log()).toContain("valid; changes apply at the next start");
    });

    // The connection was closed during the write, so the operator did not learn whether the change was in force.
    test("an operator's change that an entry has begun is answered", async () => {
        site = await startSite();
        await post(`${site.platform.url}/faults`, { delayMs: 400 });
        const applied = site.apply([
            { kind: "template", name: "other", value: { ratePerSecond: 1, burstRequests: 1 } },
        ]);
        await delay(100);
        await entryAt(0).kill("SIGTERM");
        expect(await applied).toMatchObject({ kind: "accepted" });
        expect(await entryAt(0).exited).toBe(0);
    });

    // The agent tried to cancel abandoned work for as long as its engine was unreachable, so it never ended.
    test("an agent ends although its engine hangs and does not confirm that abandoned work is cancelled", async () => {
        site = await startSite({ timings: { tokenIntervalMs: 50 } });
        const decode = site.byRole("decode")[0] as EndpointProcess;
        const disconnected = new AbortController();
        let begun = (): void => undefined;
        const hasBegun = new Promise<void>(resolve => (begun = resolve));
        const completion = complete(
            entryAt(0),
            { prompt, max_tokens: 900 },
            callerKey,
            () => begun(),
            disconnected.signal,
        ).catch(() => undefined);
        await hasBegun;
        await decode.endpoint.kill("SIGSTOP");
        disconnected.abort();
        await completion;
        await decode.agent.kill("SIGTERM");
        expect(await decode.agent.exited).toBe(0);
    });
});
