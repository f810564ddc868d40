/**
 * All open connections to a peer go silent at once, without a reset, while new ones work. Only the calls of which the time
 * limits run at that moment may be lost, however many connections are idle.
 */

import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Readable } from "node:stream";
import { finished } from "node:stream/promises";
import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "true-myth";
import { afterEach, describe, expect, it } from "vitest";
import { engineRecord, silentDecisionLog } from "../fakes/forwardingHarness.js";
import { startTcpProxy } from "../fakes/tcpProxy.js";
import { createEngineClient } from "../platform/engineClient.js";
import { createStoreClient } from "../platform/storeClient.js";
import { bytesPerTimeout, limitCall } from "../src/common/callLimit.js";
import { systemClock } from "../src/common/clock.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import { createEngineNotices } from "../src/engines/engineNotices.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import { createEvacuations } from "../src/engines/evacuations.js";
import { createRpcClient } from "../src/rpc/rpcClient.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0)) {
        await cleanUp();
    }
});

const idleConnections = 8;
const timeoutMs = 300;
const requestId = "r-1";
const keepAliveMs = 30_000;

const slowPath = "/slow";
const slowMs = 2 * timeoutMs;
const silentPath = "/silent";

/** Begins each response at once, late or never, depending on the path; `endAll` ends those that have begun. */
async function startPeer(): Promise<{ readonly address: string; readonly endAll: () => void; }> {
    let begun: readonly ServerResponse[] = [];
    const server = createServer((request, response) => {
        request.resume();
        if (request.url === silentPath) {
            return;
        }
        setTimeout(() => {
            response.writeHead(200, {
                "x-gooseberrywell-request-id": requestId,
                "x-gooseberrywell-response-seal": "s",
            });
            response.write("data: a\n\n");
            begun = [...begun, response];
        }, request.url === slowPath ? slowMs : 0);
    });
    server.keepAliveTimeout = keepAliveMs;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        endAll: () => begun.forEach(response => response.end()),
    };
}

/** Sends a request; resolves with the body once the response has begun. */
type Send = () => Promise<Result<Readable, { readonly kind: string; }>>;

interface ClientCase {
    readonly name: string;
    readonly createSend: (address: string) => Send;
}

const clientCases: readonly ClientCase[] = [
    {
        name: "streams between processes of a site",
        createSend: address => {
            const rpc = createRpcClient();
            cleanups.push(() => rpc.close());
            return async () => (await rpc.stream(`http://${address}`, "/s", {}, { timeoutMs })).map(({ body }) => body);
        },
    },
    {
        name: "requests to an engine",
        createSend: address => {
            const client = createEngineClient({
                clock: systemClock,
                log: silentDecisionLog,
                notices: createEngineNotices(systemClock, silentDecisionLog),
                rates: createEngineRates(systemClock, silentDecisionLog),
                evacuations: createEvacuations(systemClock, silentDecisionLog),
                coldEngines: createColdEngines(systemClock, silentDecisionLog),
            });
            cleanups.push(() => client.close());
            const engine = engineRecord("e-1", undefined, { address });
            return async () => {
                const limit = limitCall({ timeoutMs });
                const sent = await client.send(engine, {
                    requestId,
                    method: "POST",
                    target: "/a",
                    headers: ["host", "caller.example"],
                    body: Buffer.from("hello"),
                    clientAccount: "account",
                }, { remainingMs: timeoutMs, signal: limit.signal });
                limit.end();
                return sent.map(({ body }) => body);
            };
        },
    },
];

describe("after all connections to a peer have gone silent", () => {
    // Each idle connection cost one call its whole time limit, one after the other.
    it.each(clientCases)("$name: one of many calls in a row is lost", async ({ createSend }) => {
        const peer = await startPeer();
        const proxy = await startTcpProxy(peer.address);
        cleanups.push(() => proxy.close());
        const send = createSend(proxy.address);
        const bodies = await Promise.all(Array.from({ length: idleConnections }, send));
        peer.endAll();
        for (const body of bodies) {
            const stream = body.unwrapOrElse(({ kind }) => {
                throw new Error(`before the silence: ${kind}`);
            });
            await finished(stream.resume());
        }
        expect(proxy.silenceOpen()).toBe(idleConnections);
        let lost = 0;
        for (let call = 0; call < 2 * idleConnections; call++) {
            // The responses don't end, so that each call needs a connection of its own.
            const body = await send();
            lost += body.isErr ? 1 : 0;
            body.map(stream => stream.on("error", () => undefined));
        }
        expect(lost).toBe(1);
    });
});

describe("after one call to a peer got no response in time", () => {
    // The call may be performed by the peer, so that it can't be sent again.
    it("a call that is running on another connection is left alone", async () => {
        const peer = await startPeer();
        const rpc = createRpcClient();
        cleanups.push(() => rpc.close());
        const url = `http://${peer.address}`;
        const [silent, slow] = await Promise.all([
            rpc.stream(url, silentPath, {}, { timeoutMs }),
            rpc.stream(url, slowPath, {}, { timeoutMs: 5 * slowMs }),
        ]);
        expect(silent.isErr && silent.error.kind).toBe("timeout");
        expect(slow.isOk && slow.value.statusCode).toBe(200);
        slow.map(({ body }) => body.on("error", () => undefined));
    });
});

/** Parts and their interval: the response takes longer than another call to the store waits. */
const feedParts = 12;
const feedPartMs = 100;

describe("while a large response of the store arrives over a slow link", () => {
    // A call that got no response ended the long poll of which the response was arriving.
    it("a call without a response does not end the call for changes", async () => {
        let feedCalls = 0;
        const server = createServer((request, response) => {
            if (request.url?.startsWith("/rows-feed") !== true) {
                return;
            }
            feedCalls += 1;
            response.write("{\"row_version\":2,\"rows\":[{\"key\":\"a\",\"row_version\":2,\"value\":\"");
            void (async () => {
                for (let part = 0; part < feedParts; part++) {
                    response.write("A".repeat(bytesPerTimeout));
                    await delay(feedPartMs);
                }
                response.end("\"}]}");
            })();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const store = createStoreClient(
            `127.0.0.1:${(server.address() as AddressInfo).port}`,
            createPrometheusMetrics(),
        );
        cleanups.push(store.close, () => server.closeAllConnections(), () => server.close());
        const [changes, unanswered] = await Promise.all([
            store.feed("t").changesAfter({ era: 0, revision: 1 }, 1_500, new AbortController().signal),
            store.tables.read([{ table: "other", key: "a" }]),
        ]);
        expect([changes.isOk, unanswered.isOk, feedCalls]).toEqual([true, false, 1]);
    });
});
