/**
 * Tests of the state that all processes share, with real processes under faults: keys, configuration and membership.
 * The tables at the end of docs/KEYS.md, docs/CONFIGURATION.md and docs/MEMBERSHIP.md list the tests by guarantee and
 * fault.
 */

import { once } from "node:events";
import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import { expectedText } from "../fakes/engine.js";
import { callerKey, complete, eventually, getJson, otherKey, post, rpcStatus, startSite } from "../fakes/site.js";
import type { EndpointProcess, Process, Site } from "../fakes/site.js";
import { operatorMethods } from "../src/operators/messages.js";
import type { WithdrawKeyResponse } from "../src/operators/messages.js";

const prompt = "Which boiler log is the coldest?";
let site: Site;

afterEach(() => site.stop());

function entry(index: number): Process {
    return site.entries[index] as Process;
}

async function setPlatformFaults(faults: unknown): Promise<void> {
    await post(`${site.platform.url}/faults`, faults);
}

async function withdrawKey(at: Process, name: string): Promise<WithdrawKeyResponse> {
    const request = { jsonrpc: "2.0", id: 1, method: operatorMethods.withdrawKey, params: { name } };
    const response = await post(`${at.url}/rpc`, request) as { readonly result: WithdrawKeyResponse; };
    return response.result;
}

/** Sends one request and returns the error code of the refusal, or "served". */
async function tryKey(at: Process, key: string): Promise<string> {
    const response = await complete(at, { prompt, max_tokens: 1 }, key);
    return response.error?.code ?? "served";
}

/** Waits until a request with the key gives this error code, or "served", at every one of the entries. */
async function waitForKeyStatus(code: string, key: string, entries: readonly Process[] = site.entries): Promise<void> {
    await eventually(`${code} at every entry`, async () => {
        const codes = await Promise.all(entries.map(each => tryKey(each, key)));
        return codes.every(each => each === code);
    });
}

describe("a withdrawn key", () => {
    const storeCases = [
        { name: "the store works", faults: {}, durable: true },
        { name: "the response to the write is lost", faults: { loseCommitAnswers: true }, durable: true },
        { name: "the store fails right after the write", faults: { downAfterCommit: true }, durable: undefined },
        { name: "the store is down throughout", faults: { down: true }, durable: false },
    ] as const;

    test.each(storeCases)(
        "stops working at every entry when $name, and the withdrawal becomes durable",
        async ({ faults, durable }) => {
            site = await startSite({ entries: 3 });
            await waitForKeyStatus("served", callerKey);
            // Soon after an account is created, some entry holds shares of it, even if no request has used it yet.
            await eventually("an entry holds shares of the other account", async () => {
                const keys = [{ table: "limits", key: "account/desk" }];
                const read = await post(`${site.platform.url}/table/read`, { keys }) as {
                    readonly rows: readonly { readonly value: { readonly units: object; }; }[];
                };
                return Object.keys(read.rows[0]?.value.units ?? {}).length > 0;
            });
            await setPlatformFaults(faults);
            const result = await withdrawKey(entry(0), "walkers-1");
            expect(result.kind).toBe("inForce");
            if (durable !== undefined) {
                expect(result).toEqual({ kind: "inForce", durable });
            }
            await waitForKeyStatus("key_withdrawn", callerKey);
            expect(await tryKey(entry(1), otherKey)).toBe("served");
            await setPlatformFaults({});
            await eventually("durable", async () => {
                const pending = await Promise.all(site.entries.map(each => rpcStatus(each.url)));
                return pending.every(status => status.pendingWithdrawals.length === 0);
            });
            const lateEntry = await site.startEntry("entry-late");
            await eventually(
                "a new entry has the configuration",
                async () => (await fetch(`${lateEntry.callersUrl}/readyz`)).ok,
            );
            expect(await tryKey(lateEntry, callerKey)).toBe("key_withdrawn");
        },
    );

    test("becomes durable although the entry that accepted the withdrawal dies while the store is down", async () => {
        site = await startSite({ entries: 3 });
        await setPlatformFaults({ down: true });
        await withdrawKey(entry(0), "walkers-1");
        await entry(0).kill();
        const remainingEntries = site.entries.slice(1);
        await waitForKeyStatus("key_withdrawn", callerKey, remainingEntries);
        // An entry that starts during the outage receives the withdrawal from its peers.
        const lateEntry = await site.startEntry("entry-late", { peerUrls: remainingEntries.map(each => each.url) });
        await setPlatformFaults({});
        await eventually("durable", async () => {
            const pending = await Promise.all(remainingEntries.map(each => rpcStatus(each.url)));
            return pending.every(status => status.pendingWithdrawals.length === 0 && status.revision >= 2);
        });
        await eventually("the late entry serves", async () => (await fetch(`${lateEntry.callersUrl}/readyz`)).ok);
        expect(await tryKey(lateEntry, callerKey)).toBe("key_withdrawn");
    });

    test("ends running streams with an error event, and frees their slots", async () => {
        site = await startSite({ entries: 2, timings: { tokenIntervalMs: 30 } });
        let started = (): void => undefined;
        const running = new Promise<void>(resolve => {
            started = resolve;
        });
        const completion = complete(entry(1), { prompt, max_tokens: 900 }, callerKey, () => started());
        await running;
        await withdrawKey(entry(0), "walkers-1");
        const ended = await completion;
        expect(ended.error).toMatchObject({ code: "key_withdrawn", notRun: false });
        expect(ended.done).toBe(false);
        const decode = site.byRole("decode")[0] as EndpointProcess;
        await eventually(
            "slots free",
            async () =>
                (await getJson<{ readonly activeSlots: number; }>(`${decode.agent.url}/healthz`)).activeSlots === 0,
        );
    });

    test("lets a running call that must not be repeated finish", async () => {
        site = await startSite({ plain: 1 });
        const service = (site.byRole("plain")[0] as EndpointProcess).endpoint;
        await post(`${service.url}/faults`, { delayMs: 1_000 });
        const runs = async (): Promise<number> =>
            (await getJson<{ readonly runs: readonly unknown[]; }>(`${service.url}/record`)).runs.length;
        const pay = (): Promise<Response> =>
            fetch(`${entry(0).callersUrl}/pay`, {
                method: "POST",
                headers: { authorization: `Bearer ${callerKey}` },
                body: "{\"amount\":5}",
            });
        const response = pay();
        await eventually("the payment runs", async () => await runs() === 1);
        await withdrawKey(entry(0), "walkers-1");
        expect((await response).status).toBe(200);
        expect((await pay()).status).toBe(401);
        expect(await runs()).toBe(1);
    });

    test("is refused as not run if it is withdrawn while the request body is still arriving", async () => {
        site = await startSite();
        const body = JSON.stringify({ model: "guide", prompt, max_tokens: 1 });
        const request = httpRequest(`${entry(0).callersUrl}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${callerKey}`, "content-length": body.length },
        });
        const responded = once(request, "response");
        request.write(body.slice(0, 10));
        // By now the entry has looked up the key and waits for the rest of the body.
        await delay(300);
        await withdrawKey(entry(0), "walkers-1");
        request.end(body.slice(10));
        const [response] = await responded as [IncomingMessage];
        const chunks: Buffer[] = [];
        for await (const chunk of response as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        const { error } = JSON.parse(Buffer.concat(chunks).toString("utf8")) as { readonly error: unknown; };
        expect(error).toMatchObject({ code: "key_withdrawn", notRun: true });
        const record = await getJson<{ readonly prefills: number; }>(
            `${(site.byRole("prefill")[0] as EndpointProcess).endpoint.url}/record`,
        );
        expect(record.prefills).toBe(0);
    });

    test("stops working at an entry that was paused during the withdrawal", async () => {
        site = await startSite({ entries: 3 });
        await waitForKeyStatus("served", callerKey);
        await entry(2).kill("SIGSTOP");
        await withdrawKey(entry(0), "walkers-1");
        await entry(2).kill("SIGCONT");
        await waitForKeyStatus("key_withdrawn", callerKey);
    });

    test("can be replaced without interruption by a second key that is valid at the same time", async () => {
        site = await startSite({ entries: 2 });
        const { createHash } = await import("node:crypto");
        const digestHex = createHash("sha256").update("second-key").digest("hex");
        await site.apply([{ kind: "key", name: "walkers-2", value: { clientAccount: "walkers", digestHex } }]);
        await waitForKeyStatus("served", "second-key");
        await waitForKeyStatus("served", callerKey);
        await withdrawKey(entry(1), "walkers-1");
        await waitForKeyStatus("key_withdrawn", callerKey);
        await waitForKeyStatus("served", "second-key");
    });
});

describe("an entry that is cut off", () => {
    test("from the store and all other entries refuses requests as not run, and serves once reconnected", async () => {
        site = await startSite({ entries: 2, entrySettings: { cutOffMs: 1_500 } });
        await waitForKeyStatus("served", callerKey);
        await entry(1).kill("SIGSTOP");
        await setPlatformFaults({ down: true });
        await waitForKeyStatus("unavailable", callerKey, [entry(0)]);
        await entry(1).kill("SIGCONT");
        await waitForKeyStatus("served", callerKey);
    });

    test("from the store alone keeps serving, since no other entry can have newer state", async () => {
        site = await startSite({ entries: 2, entrySettings: { cutOffMs: 1_500 } });
        await waitForKeyStatus("served", callerKey);
        await setPlatformFaults({ down: true });
        await delay(3_000);
        await waitForKeyStatus("served", callerKey);
    });
});

describe("the configuration", () => {
    test("reaches every entry and agent through a tree in which only a few entries read the store", async () => {
        site = await startSite({ entries: 8, decode: 1 });
        const accepted = await site.apply([{
            kind: "template",
            name: "new",
            value: { ratePerSecond: 1, burstRequests: 1 },
        }]);
        expect(accepted).toEqual({ kind: "accepted", revision: 2 });
        await eventually("revision 2 everywhere", async () => {
            const statuses = await Promise.all(site.entries.map(each => rpcStatus(each.url)));
            return statuses.every(status => status.revision === 2);
        });
        const before = await Promise.all(site.entries.map(each => rpcStatus(each.url)));
        await delay(1_500);
        const after = await Promise.all(site.entries.map(each => rpcStatus(each.url)));
        const reads = after.map((status, index) =>
            (status.counters["configuration.storeReads"] ?? 0)
            - (before[index]?.counters["configuration.storeReads"] ?? 0)
        );
        expect(reads.filter(count => count > 0).length).toBeLessThanOrEqual(3);
    });

    test("of two concurrent changes at two entries, one gets a conflict that shows the current version", async () => {
        site = await startSite({ entries: 2 });
        const changeTo = (ratePerSecond: number): Parameters<Site["apply"]>[0] => [
            { kind: "template", name: "standard", value: { ratePerSecond, burstRequests: 9 }, expectedVersion: 1 },
        ];
        const results = await Promise.all([site.apply(changeTo(7), entry(0)), site.apply(changeTo(8), entry(1))]);
        expect(results.map(result => result.kind).sort()).toEqual(["accepted", "conflict"]);
        const conflict = results.find(result => result.kind === "conflict");
        expect(conflict).toMatchObject({ object: "template/standard", currentVersion: 2 });
    });

    test("does not revert at an entry that restarts while the store is down and finds only a stale peer", async () => {
        site = await startSite({ entries: 3 });
        // The second entry is paused and stays at the old revision.
        await entry(1).kill("SIGSTOP");
        await site.apply([{ kind: "template", name: "new", value: { ratePerSecond: 1, burstRequests: 1 } }]);
        await eventually("revision 2", async () => (await rpcStatus(entry(2).url)).revision === 2);
        await setPlatformFaults({ down: true });
        await entry(0).kill();
        await entry(2).kill();
        await entry(1).kill("SIGCONT");
        const peerUrls = site.entries.map(each => each.url);
        const restarted = await site.startEntry("entry-1", { peerUrls });
        await delay(2_000);
        const ready = await fetch(`${restarted.callersUrl}/readyz`);
        expect(ready.ok).toBe(false);
        await setPlatformFaults({});
        await eventually(
            "the restarted entry serves at the newest revision",
            async () =>
                (await fetch(`${restarted.callersUrl}/readyz`)).ok && (await rpcStatus(restarted.url)).revision === 2,
        );
    });

    test("is fetched from peers by an entry that starts while the store is down", async () => {
        site = await startSite({ entries: 2 });
        await setPlatformFaults({ down: true });
        const lateEntry = await site.startEntry("entry-late", { peerUrls: site.entries.map(each => each.url) });
        await eventually("ready", async () => (await fetch(`${lateEntry.callersUrl}/readyz`)).ok);
        expect((await rpcStatus(lateEntry.url)).revision).toBe(1);
    });
});

describe("membership", () => {
    test("a leaving endpoint gets no new requests, finishes running ones, and serves again when set back", async () => {
        site = await startSite({ decode: 2, timings: { tokenIntervalMs: 20 } });
        const [first, second] = site.byRole("decode") as readonly [EndpointProcess, EndpointProcess];
        const longRequests = Array.from({ length: 6 }, () => complete(entry(0), { prompt, max_tokens: 100 }));
        await eventually(
            "the first endpoint runs requests",
            async () => (await getJson<{ readonly active: number; }>(`${first.endpoint.url}/record`)).active > 0,
        );
        const value = { pool: "chat", role: "decode", slots: 20, kvCapacityBytes: 1e9 };
        await site.apply([{ kind: "endpoint", name: first.name, value: { ...value, state: "leaving" } }]);
        await eventually(
            "its agent refuses new requests",
            async () => (await getJson<{ readonly unavailable: boolean; }>(`${first.agent.url}/healthz`)).unavailable,
        );
        const decodes = async (endpoint: EndpointProcess): Promise<number> =>
            (await getJson<{ readonly decodes: number; }>(`${endpoint.endpoint.url}/record`)).decodes;
        const decodesBefore = await decodes(first);
        const shortRequests = await Promise.all(
            Array.from({ length: 10 }, () => complete(entry(0), { prompt, max_tokens: 2 })),
        );
        expect(shortRequests.every(response => response.done)).toBe(true);
        expect(await decodes(first)).toBe(decodesBefore);
        expect((await Promise.all(longRequests)).every(response => response.text === expectedText(prompt, 100))).toBe(
            true,
        );
        await site.apply([{ kind: "endpoint", name: first.name, value: { ...value, state: "serving" } }]);
        await eventually("it is used again", async () => {
            await Promise.all(Array.from({ length: 4 }, () => complete(entry(0), { prompt, max_tokens: 2 })));
            return await decodes(first) > decodesBefore;
        });
        expect(await decodes(second)).toBeGreaterThan(0);
    });

    const shutdowns = [
        { name: "an entry", target: () => entry(0) },
        { name: "a decode agent", target: () => (site.byRole("decode")[0] as EndpointProcess).agent },
        { name: "a prefill agent", target: () => (site.byRole("prefill")[0] as EndpointProcess).agent },
    ] as const;

    test.each(shutdowns)("SIGTERM to $name with long streams running interrupts no request", async ({ target }) => {
        site = await startSite({ decode: 2, prefill: 2, timings: { tokenIntervalMs: 20 } });
        const completions = Array.from({ length: 8 }, () => complete(entry(0), { prompt, max_tokens: 80 }));
        await delay(300);
        const process = target();
        await process.kill("SIGTERM");
        const ended = await Promise.all(completions);
        expect(ended.map(response => response.text)).toEqual(ended.map(() => expectedText(prompt, 80)));
        expect(await process.exited).toBe(0);
    });

    test("a connection without a request does not delay a shutdown", async () => {
        site = await startSite();
        const agent = (site.byRole("decode")[0] as EndpointProcess).agent;
        const sockets = await Promise.all([agent.url, entry(0).callersUrl].map(async url => {
            const socket = connect(Number(new URL(url).port), "127.0.0.1");
            socket.on("error", () => undefined);
            await once(socket, "connect");
            return socket;
        }));
        await Promise.all([agent, entry(0)].map(async process => {
            await process.kill("SIGTERM");
            expect(await process.exited).toBe(0);
        }));
        sockets.forEach(socket => socket.destroy());
    });

    test("a rolling replacement of all entries and agents under load loses and duplicates no response", async () => {
        site = await startSite({ entries: 2, prefill: 2, decode: 2, ratePerSecond: 1_000, burstRequests: 1_000 });
        let running = true;
        let sent = 0;
        const failures: unknown[] = [];

        async function callLoop(): Promise<void> {
            while (running) {
                // Acts as the load balancer: only entries whose health check passes get new requests.
                const health = await Promise.all(site.entries.map(async each => ({
                    each,
                    ok: await fetch(`${each.callersUrl}/readyz`).then(response => response.ok, () => false),
                })));
                const healthy = health.find(({ ok }) => ok)?.each;
                if (healthy === undefined) {
                    await delay(20);
                    continue;
                }
                sent += 1;
                const response = await complete(healthy, { prompt, max_tokens: 10 }).catch((error: unknown) => error);
                const { text, error } = response as {
                    readonly text?: string;
                    readonly error?: { readonly notRun: boolean; };
                };
                // A refusal marked as not run is not a lost request: the caller can send it again.
                if (text !== expectedText(prompt, 10) && error?.notRun !== true) {
                    failures.push(response);
                }
            }
        }

        const callers = Array.from({ length: 4 }, () => callLoop());
        for (let index = 0; index < site.entries.length; index++) {
            const replacement = await site.startEntry(`entry-${index + 1}b`);
            await eventually(
                "the new entry is ready",
                async () => (await fetch(`${replacement.callersUrl}/readyz`)).ok,
            );
            const replaced = site.entries[index] as Process;
            site.entries[index] = replacement;
            await site.setHosts();
            await replaced.kill("SIGTERM");
            expect(await replaced.exited).toBe(0);
        }
        for (const each of site.endpoints) {
            const replaced = each.agent;
            await replaced.kill("SIGTERM");
            expect(await replaced.exited).toBe(0);
            each.agent = await site.startAgent(each.name, each.endpoint.url);
            await site.setHosts();
            await eventually(
                "the new agent is in use",
                async () => (await getJson<{ readonly slots: number; }>(`${each.agent.url}/healthz`)).slots > 0,
            );
        }
        running = false;
        await Promise.all(callers);
        expect(failures).toEqual([]);
        expect(sent).toBeGreaterThan(20);
        const records = await Promise.all(
            site.endpoints.map(each => getJson<{ readonly active: number; }>(`${each.endpoint.url}/record`)),
        );
        expect(records.map(each => each.active)).toEqual(records.map(() => 0));
    });
});
