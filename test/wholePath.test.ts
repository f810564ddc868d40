/**
 * End-to-end tests with entries, agents and engines as separate processes: normal operation, then one fault at a time.
 */

import { afterEach, expect, test } from "vitest";
import { expectedText } from "../fakes/engine.js";
import type { FakeEngineRecord } from "../fakes/engine.js";
import { callerKey, complete, eventually, getJson, otherKey, post, startSite } from "../fakes/site.js";
import type { EndpointProcess, Process, Site, SiteOptions } from "../fakes/site.js";

interface EngineState extends FakeEngineRecord {
    readonly active: number;
    readonly heldKvBytes: number;
}

const prompt = "Where does the ridge trail begin?";
const tokens = 40;
let site: Site;

afterEach(() => site.stop());

async function recordOf(endpoint: EndpointProcess): Promise<EngineState> {
    return getJson<EngineState>(`${endpoint.endpoint.url}/record`);
}

function firstEntry(): Site["entries"][number] {
    return site.entries[0] as Site["entries"][number];
}

function endpoint(role: EndpointProcess["role"], index: number): EndpointProcess {
    return site.byRole(role)[index] as EndpointProcess;
}

async function setFaults(target: EndpointProcess, faults: unknown): Promise<void> {
    await post(`${target.endpoint.url}/faults`, faults);
}

/** Waits until agents hold no slots, and engines hold no requests and no KV memory. */
async function expectAllReleased(): Promise<void> {
    await eventually("agents and engines hold no resources", async () => {
        const held = await Promise.all(
            site.endpoints.filter(each => each.role !== "plain").map(async each => {
                const engine = await recordOf(each).catch(() => ({ active: 0, heldKvBytes: 0 }));
                const agent = await getJson<{ readonly activeSlots: number; }>(`${each.agent.url}/healthz`)
                    .catch(() => ({ activeSlots: 0 }));
                return engine.active + engine.heldKvBytes + agent.activeSlots;
            }),
        );
        return held.every(each => each === 0);
    });
}

test("a streamed completion goes through an entry, two agents and two engines; no endpoint gets the key", async () => {
    site = await startSite();
    const response = await complete(firstEntry(), { prompt, max_tokens: tokens });
    expect(response).toEqual({
        status: 200,
        text: expectedText(prompt, tokens),
        done: true,
        error: undefined,
        usage: { prompt_tokens: 9, completion_tokens: tokens, total_tokens: 9 + tokens },
    });
    const seen = (await Promise.all(site.endpoints.map(recordOf))).flatMap(record => record.seen);
    expect(seen.length).toBeGreaterThan(1);
    expect(seen.filter(text => text.includes(callerKey))).toEqual([]);
    await expectAllReleased();
});

interface FaultCase {
    readonly name: string;
    readonly options: SiteOptions;
    /** Injects a fault before the request is sent. */
    readonly before?: () => Promise<void>;
    /** Injects a fault once the first generated text has arrived. */
    readonly during?: () => Promise<void>;
    readonly check?: () => Promise<void>;
}

const faultCases: readonly FaultCase[] = [
    {
        name: "one prefill engine refuses and another takes over",
        options: { prefill: 2 },
        before: () => setFaults(endpoint("prefill", 0), { refusePrefill: true }),
    },
    {
        name: "a prefill engine is dead",
        options: { prefill: 2 },
        before: () => endpoint("prefill", 0).endpoint.kill(),
    },
    {
        name: "a prefill agent is dead",
        options: { prefill: 2 },
        before: () => endpoint("prefill", 0).agent.kill(),
    },
    {
        name: "a decode engine dies mid-stream",
        options: { decode: 2 },
        during: async () => {
            const records = await Promise.all(site.byRole("decode").map(recordOf));
            await endpoint("decode", records.findIndex(record => record.active > 0)).endpoint.kill();
        },
    },
    {
        name: "a decode agent dies mid-stream",
        options: { decode: 2 },
        during: async () => {
            const records = await Promise.all(site.byRole("decode").map(recordOf));
            await endpoint("decode", records.findIndex(record => record.active > 0)).agent.kill();
        },
    },
    {
        name: "decode engines close the connection after some tokens of each stream",
        options: { decode: 2 },
        before: async () => {
            await setFaults(endpoint("decode", 0), { hangUpAfterTokens: 15 });
            await setFaults(endpoint("decode", 1), { hangUpAfterTokens: 15 });
        },
    },
    {
        name: "a transfer stalls and another decode engine imports the same KV cache",
        // The first import is aborted after 2 s, so the prefilled KV cache must live longer.
        options: { decode: 2, timings: { kvLifeMs: 30_000 } },
        before: async () => {
            await setFaults(endpoint("decode", 0), { stallImport: true });
        },
        check: async () => {
            expect((await recordOf(endpoint("prefill", 0))).prefills).toBe(1);
        },
    },
    {
        name: "tokens arrive duplicated, late and out of order",
        options: {},
        before: () => setFaults(endpoint("decode", 0), { crossTokens: true }),
    },
];

test.each(faultCases)("one complete response although $name", async ({ options, before, during, check }) => {
    site = await startSite(options);
    await before?.();
    let text = "";
    let faultSet: Promise<void> | undefined;
    const response = await complete(firstEntry(), { prompt, max_tokens: tokens }, callerKey, chunk => {
        text += chunk;
        faultSet ??= text.includes("text") ? during?.() : undefined;
    });
    await faultSet;
    expect(response.error).toBeUndefined();
    expect(response.text).toBe(expectedText(prompt, tokens));
    expect(response.usage?.completion_tokens).toBe(tokens);
    expect(response.done).toBe(true);
    await check?.();
    await expectAllReleased();
});

const disconnectCases = [
    { name: "the caller disconnects", disconnect: async (controller: AbortController) => controller.abort() },
    { name: "the entry is killed", disconnect: async () => firstEntry().kill() },
] as const;

test.each(disconnectCases)("slots and KV memory are freed when $name", async ({ disconnect }) => {
    site = await startSite({ timings: { tokenIntervalMs: 50 } });
    const controller = new AbortController();
    let disconnected: Promise<void> | undefined;
    const completion = complete(firstEntry(), { prompt, max_tokens: 900 }, callerKey, () => {
        disconnected ??= disconnect(controller);
    }, controller.signal);
    await expect(completion).rejects.toThrow();
    await disconnected;
    await expectAllReleased();
    expect((await recordOf(endpoint("decode", 0))).finishedDecodes).toBe(0);
});

test("a restarted agent cancels requests that its engine still runs", async () => {
    site = await startSite({ timings: { tokenIntervalMs: 50 } });
    const decode = endpoint("decode", 0);
    // An orphaned request: it is sent to the engine directly, so that no agent tracks it, and it never ends.
    await setFaults(decode, { stallImport: true });
    void fetch(`${decode.endpoint.url}/decode`, {
        method: "POST",
        body: JSON.stringify({
            requestId: "lost",
            attempt: 1,
            kvId: "x",
            kvSource: "x",
            emittedTokens: 0,
            maxOutputTokens: 9,
        }),
    }).catch(() => undefined);
    await eventually("the engine is busy", async () => (await recordOf(decode)).active === 1);
    await decode.agent.kill();
    decode.agent = await site.startAgent(decode.name, decode.endpoint.url);
    await expectAllReleased();
});

test("an agent that does not know its endpoint yet refuses work instead of queueing it", async () => {
    site = await startSite();
    const unconfiguredAgent = await site.startAgent("not-configured", endpoint("decode", 0).endpoint.url);
    const decodeRequest = {
        requestId: "r",
        attempt: 1,
        clientAccount: "walkers",
        weight: 1,
        requestClass: "interactive",
        maxQueueMs: 60_000,
        promptTokens: 1,
        maxOutputTokens: 1,
        kvBytes: 1,
        startWithinMs: 1_000,
    };
    const response = await fetch(`${unconfiguredAgent.url}/decode`, {
        method: "POST",
        body: JSON.stringify(decodeRequest),
    });
    expect(await response.text()).toContain("\"reason\":\"draining\"");
});

interface RefusalCase {
    readonly name: string;
    readonly path?: string;
    readonly key?: string | undefined;
    readonly body: string;
    readonly status: number;
    readonly code: string;
}

const oversizedBody = "x".repeat(5 * 1024 * 1024);
const refusalCases: readonly RefusalCase[] = [
    { name: "bad JSON", key: callerKey, body: "{\"model\":", status: 400, code: "invalid_request" },
    { name: "a missing field", key: callerKey, body: "{\"model\":\"guide\"}", status: 400, code: "invalid_request" },
    { name: "an oversized body", key: callerKey, body: oversizedBody, status: 413, code: "body_too_large" },
    {
        name: "an unknown model",
        key: callerKey,
        body: "{\"model\":\"none\",\"prompt\":\"x\"}",
        status: 404,
        code: "model_not_found",
    },
    { name: "an unknown key", key: "nobody", body: "{}", status: 401, code: "invalid_key" },
    { name: "no key", body: "{}", status: 401, code: "missing_key" },
    {
        name: "the key inside the prompt",
        key: callerKey,
        body: JSON.stringify({ model: "guide", prompt: `my key is ${callerKey}` }),
        status: 400,
        code: "key_in_request",
    },
    { name: "an unknown path", path: "/nowhere", key: callerKey, body: "{}", status: 404, code: "route_not_found" },
    { name: "no key on a route that requires one", path: "/pay", body: "{}", status: 401, code: "missing_key" },
];

test("refusals name their cause, are marked as not run, and reach no endpoint", async () => {
    site = await startSite({ plain: 1 });
    const before = await getJson<{ readonly runs: readonly unknown[]; }>(`${endpoint("plain", 0).endpoint.url}/record`);
    for (const { name, path = "/v1/completions", key, body, status, code } of refusalCases) {
        const headers: Record<string, string> = key === undefined ? {} : { authorization: `Bearer ${key}` };
        const response = await fetch(`${firstEntry().callersUrl}${path}`, { method: "POST", headers, body });
        const { error } = await response.json() as {
            readonly error: { readonly code: string; readonly notRun: boolean; };
        };
        expect({ name, status: response.status, code: error.code, notRun: error.notRun })
            .toEqual({ name, status, code, notRun: true });
    }
    const after = await getJson<{ readonly runs: readonly unknown[]; }>(`${endpoint("plain", 0).endpoint.url}/record`);
    expect(after.runs.length).toBe(before.runs.length);
    expect((await recordOf(endpoint("prefill", 0))).prefills).toBe(0);
});

test("models are listed for known keys only, and plain services are not listed", async () => {
    site = await startSite({ plain: 1 });
    const url = `${firstEntry().callersUrl}/v1/models`;
    const listed = await getJson<{ readonly data: readonly { readonly id: string; }[]; }>(url, callerKey);
    expect(listed.data.map(({ id }) => id)).toEqual(["guide"]);
    expect((await fetch(url, { headers: { authorization: "Bearer nobody" } })).status).toBe(401);
    expect((await fetch(url)).status).toBe(401);
});

test("plain services: routes, open routes, at most one run of a call whose response is lost", async () => {
    site = await startSite({ plain: 2 });
    const { callersUrl } = firstEntry();
    const authorization = { authorization: `Bearer ${otherKey}` };
    const news = await fetch(`${callersUrl}/news?page=2`);
    expect(news.status).toBe(200);
    const log = await fetch(`${callersUrl}/log`, { headers: authorization });
    expect(log.status).toBe(200);
    await Promise.all(site.byRole("plain").map(each => setFaults(each, { loseAnswer: true })));
    const pay = await fetch(`${callersUrl}/pay`, { method: "POST", headers: authorization, body: "{\"amount\":5}" });
    const { error } = await pay.json() as { readonly error: { readonly code: string; readonly notRun: boolean; }; };
    expect([pay.status, error.code, error.notRun]).toEqual([502, "outcome_unknown", false]);
    const runs = (await Promise.all(
        site.byRole("plain").map(each =>
            getJson<{ readonly runs: readonly { readonly path: string; readonly headers: string; }[]; }>(
                `${each.endpoint.url}/record`,
            )
        ),
    )).flatMap(record => record.runs);
    expect(runs.filter(run => run.path === "/pay").length).toBe(1);
    expect(runs.some(run => run.path === "/news?page=2")).toBe(true);
    expect(runs.filter(run => run.headers.includes(otherKey))).toEqual([]);
});

test("a payment with an idempotency key runs once, at whatever entry it is repeated and whatever died", async () => {
    site = await startSite({ plain: 1, entries: 2 });
    const service = endpoint("plain", 0);
    const first = firstEntry();
    const second = site.entries[1] as Process;

    async function pay(at: Process, key: string, amount: number): Promise<readonly [number, string]> {
        const response = await fetch(`${at.callersUrl}/pay`, {
            method: "POST",
            headers: { authorization: `Bearer ${otherKey}`, "idempotency-key": key },
            body: JSON.stringify({ amount }),
        });
        return [response.status, await response.text()];
    }

    async function runsOf(amount: number): Promise<number> {
        const record = await getJson<{ readonly runs: readonly { readonly body: string; }[]; }>(
            `${service.endpoint.url}/record`,
        );
        return record.runs.filter(run => run.body === JSON.stringify({ amount })).length;
    }

    const firstResponse = await pay(first, "k1", 5);
    expect(firstResponse[0]).toBe(200);
    expect(await pay(second, "k1", 5)).toEqual(firstResponse);
    const [status, text] = await pay(second, "k1", 6);
    expect([status, text.includes("idempotency_key_reused")]).toEqual([422, true]);
    expect([await runsOf(5), await runsOf(6)]).toEqual([1, 0]);

    await setFaults(service, { delayMs: 1_000 });
    const interrupted = pay(first, "k2", 7).catch(() => "cut");
    await eventually("the payment runs", async () => await runsOf(7) === 1);
    await first.kill();
    expect(await interrupted).toBe("cut");
    const [repeatStatus, repeatText] = await pay(second, "k2", 7);
    expect([repeatStatus, repeatText.includes("\"notRun\":false")]).toEqual([502, true]);
    expect(await runsOf(7)).toBe(1);

    await post(`${site.platform.url}/faults`, { down: true });
    const [refusedStatus, refusedText] = await pay(second, "k3", 8);
    expect([refusedStatus, refusedText.includes("\"notRun\":true")]).toEqual([503, true]);
    expect(await runsOf(8)).toBe(0);
});
