/**
 * Responses that a process stops writing before their end, at each place in the head and in the body, at every client of
 * other processes: none is taken for a whole response, an acknowledgement or a refusal.
 */

import type { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { cutBodies, cutHeads, startScriptedServer, wholeResponses } from "../fakes/cutResponses.js";
import type { Response, WrittenResponse } from "../fakes/cutResponses.js";
import { silentDecisionLog } from "../fakes/forwardingHarness.js";
import { freeWorkQueue } from "../fakes/requestHarness.js";
import { createEngineClient } from "../platform/engineClient.js";
import { createStoreClient } from "../platform/storeClient.js";
import { limitCall } from "../src/common/callLimit.js";
import { systemClock } from "../src/common/clock.js";
import { readText } from "../src/common/readText.js";
import { createEngineClient as createAgentEngineClient } from "../src/endpoint/engineClient.js";
import type { EngineClient as AgentEngineClient } from "../src/endpoint/engineClient.js";
import { createServiceCalls } from "../src/endpoint/serviceCalls.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import { createEngineNotices } from "../src/engines/engineNotices.js";
import type { EnginePort, EngineRecord, EngineRequest } from "../src/engines/enginePort.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import { createEvacuations } from "../src/engines/evacuations.js";
import { createHttpPlatform } from "../src/platform/httpPlatform.js";
import type { TableService } from "../src/platform/ports.js";
import { createRpcClient } from "../src/rpc/rpcClient.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";
import { silentTelemetry } from "../src/telemetry/telemetry.js";

interface Client {
    /** Makes the call once; resolves to how it ended. */
    readonly call: () => Promise<string>;
    readonly close: () => Promise<unknown>;
}

interface CallCase {
    readonly name: string;
    readonly response: Response;
    /** How the call ends with the whole response, and with a cut one. */
    readonly whole: string;
    readonly cut: readonly string[];
    /** Whether the response also shows by itself whether it is whole; else the end of a connection may end it. */
    readonly isSelfDelimited: boolean;
    readonly open: (address: string) => Client;
}

const timeoutMs = 1_000;
const maxTextBytes = 65_536;
const responsesAtOnce = 24;

function jsonResponse(status: string, body: unknown, headers: readonly string[] = []): Response {
    return { status, headers: ["content-type: application/json", ...headers], body: JSON.stringify(body) };
}

const outcomeOf = (result: Result<unknown, { readonly kind: string; }>): string =>
    result.isOk ? "ok" : result.error.kind;

const engineRequest: EngineRequest = {
    requestId: "r-1",
    method: "POST",
    target: "/a",
    headers: [],
    body: Buffer.from("hello"),
    clientAccount: undefined,
};

function engineCase(
    name: string,
    response: Response,
    outcomes: Pick<CallCase, "whole" | "cut" | "isSelfDelimited">,
    call: (client: EnginePort, engine: EngineRecord) => Promise<string>,
): CallCase {
    return {
        name,
        response,
        ...outcomes,
        open: address => {
            const client = createEngineClient({
                clock: systemClock,
                log: silentDecisionLog,
                notices: createEngineNotices(systemClock, silentDecisionLog),
                rates: createEngineRates(systemClock, silentDecisionLog),
                evacuations: createEvacuations(systemClock, silentDecisionLog),
                coldEngines: createColdEngines(systemClock, silentDecisionLog),
            });
            return { call: () => call(client, engineAt(address)), close: client.close };
        },
    };
}

function engineAt(address: string): EngineRecord {
    return {
        id: "i-1",
        bornMs: 1,
        service: "service",
        address,
        softwareVersion: "v1",
        dataCentre: "a",
        slots: 1,
        state: "ready",
        stage: undefined,
        recordSequence: 0,
        coldRemainingMs: 0,
    };
}

const lost = { whole: "ok", cut: ["interrupted", "timeout"], isSelfDelimited: true } as const;
const order = { stage: "decode", holder: "a", fencingToken: 1, expectedSequence: 0 } as const;
const orderOutcomes = { "202 Accepted": "accepted", "200 OK": "alreadyHolds", "409 Conflict": "rejected" } as const;

const engineCases: readonly CallCase[] = [
    engineCase(
        "a prefill",
        jsonResponse("200 OK", { kv_handle: "h-1", tokens: 7, version: 1 }, ["x-gooseberrywell-request-id: r-1"]),
        lost,
        async (client, engine) => {
            const { signal } = limitCall({ timeoutMs });
            return outcomeOf(await client.prefill(engine, { ...engineRequest }, { remainingMs: timeoutMs, signal }));
        },
    ),
    engineCase(
        "a reservation",
        jsonResponse("200 OK", { hold: "h-1" }),
        lost,
        async (client, engine) => outcomeOf(await client.reserve(engine, 10, 10, timeoutMs)),
    ),
    engineCase(
        "a report",
        jsonResponse("200 OK", { born: 1, busy: false, sequence: 3 }),
        lost,
        async (client, engine) => outcomeOf(await client.report(engine, timeoutMs)),
    ),
    ...Object.entries(orderOutcomes).map(([status, whole]) =>
        engineCase(
            `an order, ${whole}`,
            jsonResponse(status, { sequence: 1 }),
            { whole, cut: ["unknown"], isSelfDelimited: false },
            (client, engine) => client.orderStage(engine, order, timeoutMs),
        )
    ),
];

const key = { table: "t", key: "a" };

async function commit(tables: TableService): Promise<string> {
    const outcome = await tables.commit({ conditions: [{ ...key, version: 0 }], writes: [{ ...key, value: 1 }] });
    return outcome.isOk ? outcome.value.kind : outcome.error.kind;
}

const readOutcomes = { whole: "ok", cut: ["unknown", "unavailable"] } as const;
const commitOutcomes = (whole: string): Pick<CallCase, "whole" | "cut"> => ({ whole, cut: ["unknown"] });

function storeCase(
    name: string,
    response: Response,
    outcomes: Pick<CallCase, "whole" | "cut">,
    call: (store: ReturnType<typeof createStoreClient>) => Promise<string>,
): CallCase {
    return {
        name: `${name} of the store`,
        response,
        ...outcomes,
        isSelfDelimited: true,
        open: address => {
            const store = createStoreClient(address, createPrometheusMetrics());
            return { call: () => call(store), close: store.close };
        },
    };
}

const page = { rows: [{ key: "a", value: "MQ==", row_version: 1 }], more_pages: false, row_version: 1, now_ms: 1 };
const storeCases: readonly CallCase[] = [
    storeCase(
        "a transaction",
        jsonResponse("200 OK", { row_version: 1, now_ms: 1 }),
        commitOutcomes("committed"),
        store => commit(store.tables),
    ),
    storeCase(
        "a conflict",
        jsonResponse("412 Precondition Failed", page),
        commitOutcomes("conflict"),
        store => commit(store.tables),
    ),
    storeCase(
        "a read",
        jsonResponse("200 OK", page),
        readOutcomes,
        async store => outcomeOf(await store.tables.read([key])),
    ),
    storeCase(
        "a scan",
        jsonResponse("200 OK", page),
        readOutcomes,
        async store => outcomeOf(await store.tables.scan("t", "", 10)),
    ),
    storeCase(
        "a copy",
        jsonResponse("200 OK", page),
        readOutcomes,
        async store => outcomeOf(await store.feed("t").readAll()),
    ),
    storeCase("changes", jsonResponse("200 OK", page), readOutcomes, async store => {
        const { signal } = new AbortController();
        return outcomeOf(await store.feed("t").changesAfter({ era: 0, revision: 0 }, 0, signal));
    }),
];

function platformCase(name: string, body: unknown, whole: string): CallCase {
    return {
        name: `${name} of the site's platform`,
        response: jsonResponse("200 OK", body),
        whole,
        cut: ["unknown"],
        isSelfDelimited: true,
        open: address => {
            const { tables } = createHttpPlatform({ url: `http://${address}`, timeoutMs });
            return { call: () => commit(tables), close: async () => undefined };
        },
    };
}

const entryCase: CallCase = {
    name: "a call to another entry",
    response: jsonResponse("200 OK", { jsonrpc: "2.0", id: 1, result: { taken: true } }),
    ...lost,
    open: address => {
        const rpc = createRpcClient();
        return {
            call: async () => outcomeOf(await rpc.call(`http://${address}`, "m", {}, { timeoutMs })),
            close: rpc.close,
        };
    },
};

function agentCase(
    name: string,
    response: Response,
    outcomes: Pick<CallCase, "whole" | "isSelfDelimited">,
    call: (client: AgentEngineClient, signal: AbortSignal) => Promise<string>,
): CallCase {
    return {
        name: `${name} of an agent`,
        response,
        cut: ["failed"],
        ...outcomes,
        open: address => {
            const client = createAgentEngineClient(`http://${address}`);
            return { call: () => call(client, limitCall({ timeoutMs }).signal), close: client.close };
        },
    };
}

const attempt = { requestId: "r-1", attempt: 1 };
const agentPrefill = { ...attempt, model: "m", prompt: "p", priority: 0 };
const agentDecode = {
    ...attempt,
    model: "m",
    kvId: "k",
    kvSource: "s",
    emittedTokens: 0,
    maxOutputTokens: 1,
    priority: 0,
};
const kvCache = {
    kvId: "k",
    kvSource: "s",
    kvBytes: 1,
    promptTokens: 1,
    cachedTokens: 0,
    expiresInMs: 1,
    softwareVersion: "v1",
};
const eventType = "content-type: text/event-stream";
const event = "data: a\n\n";

const agentCases: readonly CallCase[] = [
    agentCase(
        "a prefill",
        jsonResponse("200 OK", kvCache),
        { whole: "ok", isSelfDelimited: true },
        async (client, signal) => outcomeOf(await client.prefill(agentPrefill, signal)),
    ),
    agentCase(
        "a prefill that fails",
        jsonResponse("500 Internal", { error: "out of memory" }),
        { whole: "refused", isSelfDelimited: false },
        async (client, signal) => outcomeOf(await client.prefill(agentPrefill, signal)),
    ),
    agentCase(
        "a cancellation",
        jsonResponse("200 OK", {}),
        { whole: "ok", isSelfDelimited: true },
        async client => outcomeOf(await client.cancel(attempt)),
    ),
    agentCase(
        "a list",
        jsonResponse("200 OK", { requests: [] }),
        { whole: "ok", isSelfDelimited: true },
        async client => outcomeOf(await client.running()),
    ),
    agentCase(
        "a decode stream",
        { status: "200 OK", headers: [eventType], body: event },
        { whole: "ok", isSelfDelimited: false },
        async (client, signal) => {
            const response = await client.decode(agentDecode, signal);
            const read = response.isOk ? readText(response.value.body, maxTextBytes) : Promise.resolve("");
            return response.isErr ? response.error.kind : read.then(() => "ok", () => "failed");
        },
    ),
];

const serviceCall = {
    ...attempt,
    clientAccount: "account",
    weight: 1,
    requestClass: "interactive",
    maxQueueMs: timeoutMs,
    method: "POST",
    path: "/x",
    headers: {},
    bodyBase64: "",
    idempotent: true,
    timeoutMs,
} as const;

function serviceCase(name: string, contentType: string, body: string, isSelfDelimited: boolean): CallCase {
    return {
        name: `${name} of a plain service behind an agent`,
        response: { status: "200 OK", headers: [contentType], body },
        whole: "answered",
        cut: ["unknown"],
        isSelfDelimited,
        open: address => {
            const { counters } = silentTelemetry();
            const services = createServiceCalls(
                `http://${address}`,
                freeWorkQueue,
                systemClock,
                counters,
                async () => undefined,
            );
            return {
                call: async () => (await services.call(serviceCall, new AbortController().signal)).kind,
                close: services.close,
            };
        },
    };
}

const calls: readonly CallCase[] = [
    ...engineCases,
    ...storeCases,
    platformCase("a transaction", { kind: "committed" }, "committed"),
    platformCase("a conflict", { kind: "conflict", key }, "conflict"),
    entryCase,
    ...agentCases,
    serviceCase("a response", "content-type: text/plain", "done", false),
    serviceCase("a stream of events", eventType, event, true),
];

/** How each call ended whose outcome is not expected, by the name of the last response. */
async function playAll(
    { open }: CallCase,
    scripts: readonly (readonly WrittenResponse[])[],
    isExpected: (outcomes: readonly string[]) => boolean,
): Promise<readonly string[]> {
    const unexpected: string[] = [];
    for (let first = 0; first < scripts.length; first += responsesAtOnce) {
        await Promise.all(
            scripts.slice(first, first + responsesAtOnce).map(async script => {
                const server = await startScriptedServer(script);
                const client = open(server.address);
                const outcomes: string[] = [];
                while (outcomes.length < script.length) {
                    outcomes.push(await client.call());
                }
                await client.close();
                server.close();
                if (!isExpected(outcomes)) {
                    unexpected.push(`${script.at(-1)?.name}: ${outcomes.join(", ")}`);
                }
            }),
        );
    }
    return unexpected;
}

describe.each(calls)("the response to $name", call => {
    const { response, whole, cut, isSelfDelimited } = call;
    const whole1 = wholeResponses(response);
    const [kept] = whole1;

    it("is accepted if it is whole", async () => {
        const unexpected = await playAll(call, whole1.map(written => [written]), ([outcome]) => outcome === whole);
        expect(unexpected).toEqual([]);
    });

    // Half a response has been taken for a whole one, and a lost one for a refusal, before.
    it.each([["in its head", cutHeads(response)], ["in its body", cutBodies(response)]] as const)(
        "is not accepted if it is cut %s, on a new and on a kept connection",
        async (name, responses) => {
            const cuts = responses.filter(({ isMarked }) => isMarked || isSelfDelimited);
            const scripts = cuts.flatMap(each => kept === undefined ? [] : [[each], [kept, each]]);
            const unexpected = await playAll(
                call,
                scripts,
                outcomes =>
                    cut.includes(outcomes.at(-1) ?? "") && outcomes.slice(0, -1).every(outcome => outcome === whole),
            );
            expect(unexpected).toEqual([]);
        },
    );
});
