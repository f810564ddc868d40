/**
 * What all processes must agree on, as real processes under failure: keys, configuration, membership. The table at
 * the end of docs/KEYS.md, docs/CONFIGURATION.md and docs/MEMBERSHIP.md names the tests by promise and fault.
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
import type { WithdrawKeyAnswer } from "../src/operators/messages.js";

const prompt = "Which boiler log is the coldest?";
let site: Site;

afterEach(() => site.stop());

function entry(index: number): Process {
    return site.entries[index] as Process;
}

async function platformFaults(faults: unknown): Promise<void> {
    await post(`${site.platform.url}/faults`, faults);
}

async function withdraw(at: Process, name: string): Promise<WithdrawKeyAnswer> {
    const request = { jsonrpc: "2.0", id: 1, method: operatorMethods.withdrawKey, params: { name } };
    const answer = await post(`${at.url}/rpc`, request) as { readonly result: WithdrawKeyAnswer; };
    return answer.result;
}

/** The code of the refusal, or "served". */
async function tryKey(at: Process, key: string): Promise<string> {
    const answer = await complete(at, { prompt, max_tokens: 1 }, key);
    return answer.error?.code ?? "served";
}

async function everywhere(code: string, key: string, entries: readonly Process[] = site.entries): Promise<void> {
    await eventually(`${code} at every entry`, async () => {
        const codes = await Promise.all(entries.map(each => tryKey(each, key)));
        return codes.every(each => each === code);
    });
}

describe("a withdrawn key", () => {
    const storeCases = [
        { name: "the store works", faults: {}, durable: true },
        { name: "the answer to the write is lost", faults: { loseCommitAnswers: true }, durable: true },
        { name: "the store fails right after the write", faults: { downAfterCommit: true }, durable: undefined },
        { name: "the store is down throughout", faults: { down: true }, durable: false },
    ] as const;

    test.each(storeCases)(
        "stops working at every entry when $name, and is durable later",
        async ({ faults, durable }) => {
            site = await startSite({ entries: 3 });
            await everywhere("served", callerKey);
            // An account that nobody has used yet is held by some entry, soon after it was made.
            await eventually("the other account is held", async () => {
                const keys = [{ table: "limits", key: "account/desk" }];
                const read = await post(`${site.platform.url}/table/read`, { keys }) as {
                    readonly rows: readonly { readonly value: { readonly units: object; }; }[];
                };
                return Object.keys(read.rows[0]?.value.units ?? {}).length > 0;
            });
            await platformFaults(faults);
            const answer = await withdraw(entry(0), "walkers-1");
            expect(answer.kind).toBe("inForce");
            if (durable !== undefined) {
                expect(answer).toEqual({ kind: "inForce", durable });
            }
            await everywhere("key_withdrawn", callerKey);
            expect(await tryKey(entry(1), otherKey)).toBe("served");
            await platformFaults({});
            await eventually("durable", async () => {
                const pending = await Promise.all(site.entries.map(each => rpcStatus(each.url)));
                return pending.every(status => status.pendingWithdrawals.length === 0);
            });
            const late = await site.startEntry("entry-late");
            await eventually(
                "a new entry has the configuration",
                async () => (await fetch(`${late.callersUrl}/readyz`)).ok,
            );
            expect(await tryKey(late, callerKey)).toBe("key_withdrawn");
        },
    );

    test("becomes durable although the entry that took the order dies while the store is down", async () => {
        site = await startSite({ entries: 3 });
        await platformFaults({ down: true });
        await withdraw(entry(0), "walkers-1");
        await entry(0).kill();
        const rest = site.entries.slice(1);
        await everywhere("key_withdrawn", callerKey, rest);
        // An entry that starts meanwhile learns of it from the others.
        const late = await site.startEntry("entry-late", { peerUrls: rest.map(each => each.url) });
        await platformFaults({});
        await eventually("durable", async () => {
            const pending = await Promise.all(rest.map(each => rpcStatus(each.url)));
            return pending.every(status => status.pendingWithdrawals.length === 0 && status.revision >= 2);
        });
        await eventually("the late entry serves", async () => (await fetch(`${late.callersUrl}/readyz`)).ok);
        expect(await tryKey(late, callerKey)).toBe("key_withdrawn");
    });

    test("ends running streams, which say so, and frees their slots", async () => {
        site = await startSite({ entries: 2, timings: { tokenIntervalMs: 30 } });
        let started = (): void => undefined;
        const running = new Promise<void>(resolve => {
            started = resolve;
        });
        const answer = complete(entry(1), { prompt, max_tokens: 900 }, callerKey, () => started());
        await running;
        await withdraw(entry(0), "walkers-1");
        const ended = await answer;
        expect(ended.error).toMatchObject({ code: "key_withdrawn", notRun: false });
        expect(ended.done).toBe(false);
        const agent = site.byRole("decode")[0] as EndpointProcess;
        await eventually(
            "slots free",
            async () =>
                (await getJson<{ readonly activeSlots: number; }>(`${agent.agent.url}/healthz`)).activeSlots === 0,
        );
    });

    test("lets a call that must not be repeated run to its end", async () => {
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
        const answer = pay();
        await eventually("the payment runs", async () => await runs() === 1);
        await withdraw(entry(0), "walkers-1");
        expect((await answer).status).toBe(200);
        expect((await pay()).status).toBe(401);
        expect(await runs()).toBe(1);
    });

    test("is refused as not run in a request whose body was still coming in", async () => {
        site = await startSite();
        const body = JSON.stringify({ model: "guide", prompt, max_tokens: 1 });
        const request = httpRequest(`${entry(0).callersUrl}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${callerKey}`, "content-length": body.length },
        });
        const answered = once(request, "response");
        request.write(body.slice(0, 10));
        // By now the entry has looked the key up and waits for the rest.
        await delay(300);
        await withdraw(entry(0), "walkers-1");
        request.end(body.slice(10));
        const [response] = await answered as [IncomingMessage];
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

    test("stops at an entry that was paused while it was withdrawn", async () => {
        site = await startSite({ entries: 3 });
        await everywhere("served", callerKey);
        await entry(2).kill("SIGSTOP");
        await withdraw(entry(0), "walkers-1");
        await entry(2).kill("SIGCONT");
        await everywhere("key_withdrawn", callerKey);
    });

    test("is replaced without a gap when two keys overlap", async () => {
        site = await startSite({ entries: 2 });
        const { createHash } = await import("node:crypto");
        const digestHex = createHash("sha256").update("second-key").digest("hex");
        await site.apply([{ kind: "key", name: "walkers-2", value: { clientAccount: "walkers", digestHex } }]);
        await everywhere("served", "second-key");
        await everywhere("served", callerKey);
        await withdraw(entry(1), "walkers-1");
        await everywhere("key_withdrawn", callerKey);
        await everywhere("served", "second-key");
    });
});

describe("an entry that is cut off", () => {
    test("from the store and all entries refuses as not run, and serves again afterwards", async () => {
        site = await startSite({ entries: 2, entrySettings: { cutOffMs: 1_500 } });
        await everywhere("served", callerKey);
        await entry(1).kill("SIGSTOP");
        await platformFaults({ down: true });
        await everywhere("unavailable", callerKey, [entry(0)]);
        await entry(1).kill("SIGCONT");
        await everywhere("served", callerKey);
    });

    test("from the store alone goes on serving, since no other entry can have heard anything else", async () => {
        site = await startSite({ entries: 2, entrySettings: { cutOffMs: 1_500 } });
        await everywhere("served", callerKey);
        await platformFaults({ down: true });
        await delay(3_000);
        await everywhere("served", callerKey);
    });
});

describe("the configuration", () => {
    test("reaches every entry and agent, through a tree in which few read the store", async () => {
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

    test("of two operators at two entries, one gets a conflict that shows the current version", async () => {
        site = await startSite({ entries: 2 });
        const changeTo = (ratePerSecond: number): Parameters<Site["apply"]>[0] => [
            { kind: "template", name: "standard", value: { ratePerSecond, burstRequests: 9 }, expectedVersion: 1 },
        ];
        const answers = await Promise.all([site.apply(changeTo(7), entry(0)), site.apply(changeTo(8), entry(1))]);
        expect(answers.map(answer => answer.kind).sort()).toEqual(["accepted", "conflict"]);
        const conflict = answers.find(answer => answer.kind === "conflict");
        expect(conflict).toMatchObject({ object: "template/standard", currentVersion: 2 });
    });

    test("does not revert at an entry that restarts while the store is down and finds only a stale peer", async () => {
        site = await startSite({ entries: 3 });
        // The second entry stays behind.
        await entry(1).kill("SIGSTOP");
        await site.apply([{ kind: "template", name: "new", value: { ratePerSecond: 1, burstRequests: 1 } }]);
        await eventually("revision 2", async () => (await rpcStatus(entry(2).url)).revision === 2);
        await platformFaults({ down: true });
        await entry(0).kill();
        await entry(2).kill();
        await entry(1).kill("SIGCONT");
        const peerUrls = site.entries.map(each => each.url);
        const restarted = await site.startEntry("entry-1", { peerUrls });
        await delay(2_000);
        const ready = await fetch(`${restarted.callersUrl}/readyz`);
        expect(ready.ok).toBe(false);
        await platformFaults({});
        await eventually(
            "serves at the newest revision",
            async () =>
                (await fetch(`${restarted.callersUrl}/readyz`)).ok && (await rpcStatus(restarted.url)).revision === 2,
        );
    });

    test("is had from peers by an entry that starts while the store is down", async () => {
        site = await startSite({ entries: 2 });
        await platformFaults({ down: true });
        const late = await site.startEntry("entry-late", { peerUrls: site.entries.map(each => each.url) });
        await eventually("ready", async () => (await fetch(`${late.callersUrl}/readyz`)).ok);
        expect((await rpcStatus(late.url)).revision).toBe(1);
    });
});

describe("membership", () => {
    test("a leaving endpoint gets no new work, finishes what it has, and serves again when it is back", async () => {
        site = await startSite({ decode: 2, timings: { tokenIntervalMs: 20 } });
        const [first, second] = site.byRole("decode") as readonly [EndpointProcess, EndpointProcess];
        const long = Array.from({ length: 6 }, () => complete(entry(0), { prompt, max_tokens: 100 }));
        await eventually(
            "the first endpoint works",
            async () => (await getJson<{ readonly active: number; }>(`${first.endpoint.url}/record`)).active > 0,
        );
        const value = { pool: "chat", role: "decode", slots: 20, kvCapacityBytes: 1e9 };
        await site.apply([{ kind: "endpoint", name: first.name, value: { ...value, state: "leaving" } }]);
        await eventually(
            "its agent refuses",
            async () => (await getJson<{ readonly unavailable: boolean; }>(`${first.agent.url}/healthz`)).unavailable,
        );
        const decodes = async (endpoint: EndpointProcess): Promise<number> =>
            (await getJson<{ readonly decodes: number; }>(`${endpoint.endpoint.url}/record`)).decodes;
        const before = await decodes(first);
        const during = await Promise.all(
            Array.from({ length: 10 }, () => complete(entry(0), { prompt, max_tokens: 2 })),
        );
        expect(during.every(answer => answer.done)).toBe(true);
        expect(await decodes(first)).toBe(before);
        expect((await Promise.all(long)).every(answer => answer.text === expectedText(prompt, 100))).toBe(true);
        await site.apply([{ kind: "endpoint", name: first.name, value: { ...value, state: "serving" } }]);
        await eventually("it is used again", async () => {
            await Promise.all(Array.from({ length: 4 }, () => complete(entry(0), { prompt, max_tokens: 2 })));
            return await decodes(first) > before;
        });
        expect(await decodes(second)).toBeGreaterThan(0);
    });

    const shutdowns = [
        { name: "an entry", target: () => entry(0) },
        { name: "a decode agent", target: () => (site.byRole("decode")[0] as EndpointProcess).agent },
        { name: "a prefill agent", target: () => (site.byRole("prefill")[0] as EndpointProcess).agent },
    ] as const;

    test.each(shutdowns)("SIGTERM to $name with long streams running cuts no request", async ({ target }) => {
        site = await startSite({ decode: 2, prefill: 2, timings: { tokenIntervalMs: 20 } });
        const answers = Array.from({ length: 8 }, () => complete(entry(0), { prompt, max_tokens: 80 }));
        await delay(300);
        const process = target();
        await process.kill("SIGTERM");
        const ended = await Promise.all(answers);
        expect(ended.map(answer => answer.text)).toEqual(ended.map(() => expectedText(prompt, 80)));
        expect(await process.exited).toBe(0);
    });

    test("a connection on which no request has come does not hold up a shutdown", async () => {
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

    test("a rolling replacement of all entries and agents under load loses and doubles nothing", async () => {
        site = await startSite({ entries: 2, prefill: 2, decode: 2, ratePerSecond: 1_000, burstRequests: 1_000 });
        let running = true;
        let sent = 0;
        const failures: unknown[] = [];

        async function callLoop(): Promise<void> {
            while (running) {
                // The balancer's part: only entries whose health check passes get new requests.
                const health = await Promise.all(site.entries.map(async each => ({
                    each,
                    ok: await fetch(`${each.callersUrl}/readyz`).then(answer => answer.ok, () => false),
                })));
                const healthy = health.find(({ ok }) => ok)?.each;
                if (healthy === undefined) {
                    await delay(20);
                    continue;
                }
                sent += 1;
                const answer = await complete(healthy, { prompt, max_tokens: 10 }).catch((error: unknown) => error);
                const { text, error } = answer as {
                    readonly text?: string;
                    readonly error?: { readonly notRun: boolean; };
                };
                // A refusal that nothing was run is no loss: the caller repeats it.
                if (text !== expectedText(prompt, 10) && error?.notRun !== true) {
                    failures.push(answer);
                }
            }
        }

        const callers = Array.from({ length: 4 }, () => callLoop());
        for (let index = 0; index < site.entries.length; index++) {
            const fresh = await site.startEntry(`entry-${index + 1}b`);
            await eventually("the new entry is ready", async () => (await fetch(`${fresh.callersUrl}/readyz`)).ok);
            const old = site.entries[index] as Process;
            site.entries[index] = fresh;
            await site.setHosts();
            await old.kill("SIGTERM");
            expect(await old.exited).toBe(0);
        }
        for (const each of site.endpoints) {
            const old = each.agent;
            await old.kill("SIGTERM");
            expect(await old.exited).toBe(0);
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
        const held = await Promise.all(
            site.endpoints.map(each => getJson<{ readonly active: number; }>(`${each.endpoint.url}/record`)),
        );
        expect(held.map(each => each.active)).toEqual(held.map(() => 0));
    });
});
