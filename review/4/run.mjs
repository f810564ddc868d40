/**
 * Case 4: an engine of a plain service sends bodies without end. The entry must end each of these answers at its route's
 * timeout.
 */

import { writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { startEntries } from "../stand-ins/entries.mjs";
import { startPlainEngine } from "../stand-ins/plainEngine.mjs";
import { startStore } from "../stand-ins/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const entryCount = 2;
const requestsPerSecond = 72;
const durationMs = 30_000;
const faultyEngine = "i-desk-1";
/** Every n-th answer of the faulty engine has no end. */
const endlessEvery = 10;
const routeTimeoutMs = 800;
const graceAfterTimeoutMs = 500;
const timeLimitMs = 1_500;
const service = "bookings-desk";
const host = "desk.example";
const key = "key-of-the-desk";

const lines = [];
const record = (what, fields) => lines.push(`${Math.round(performance.now())} ${what} ${JSON.stringify(fields)}`);
let faultyAnswers = 0;

function isEndless({ requestId, engine }) {
    if (!hasTrouble || engine !== faultyEngine) {
        return false;
    }
    faultyAnswers += 1;
    const endless = faultyAnswers % endlessEvery === 0;
    if (endless) {
        record("answered without end by its engine", { requestId, engine });
    }
    return endless;
}

/** Sends a request and leaves at its time limit. */
function sendRequest(port, agent, requestId) {
    return new Promise(resolve => {
        const sentAtMs = performance.now();
        let ended = false;
        let bytes = 0;
        const finish = (kind, status) => {
            if (!ended) {
                ended = true;
                clearTimeout(limit);
                resolve({ requestId, kind, status, atMs: Math.round(performance.now() - sentAtMs), bytes });
            }
        };
        const limit = setTimeout(() => {
            finish("left");
            sent.destroy();
        }, timeLimitMs);
        const sent = httpRequest({
            host: "127.0.0.1",
            port,
            agent,
            method: "POST",
            path: "/desk/permit",
            headers: {
                host,
                "api-key": key,
                "x-gooseberrywell-request-id": requestId,
                "x-gooseberrywell-request-deadline": String(timeLimitMs),
            },
        }, response => {
            response.on("data", chunk => {
                bytes += chunk.length;
            });
            response.on("end", () => finish("answered", response.statusCode));
            response.on("error", () => finish("broken", response.statusCode));
        });
        sent.on("error", () => finish("broken"));
        sent.end("p".repeat(600));
    });
}

const store = await startStore();
const engines = [];
let entries;
let exitCode = 2;
try {
    store.put("op", "config", {
        version: 3,
        routes: [{
            name: "permit-payment",
            host,
            prefix: "/desk/",
            kind: "non_idempotent",
            service,
            timeout_ms: routeTimeoutMs,
            target_latency_ms: 100,
            attempts: 1,
            priority: 2,
        }],
        services: [{ name: service, health_check: "/health", max_connections: 110 }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "desk", api_keys: [key] }],
    });
    const onRun = ({ requestId, engine }) => record("run", { requestId, engine });
    for (const id of [faultyEngine, "i-desk-2", "i-desk-3"]) {
        const options = { id, service, slots: 6, workMs: 15, bodyBytes: 800, onRun, isEndless };
        engines.push(await startPlainEngine(store, options));
    }
    entries = await startEntries(entryCount, store.address);
    await entries.waitUntilReady();
    await delay(3_000);

    const agent = new Agent({ keepAlive: true });
    const pending = [];
    const startedAtMs = performance.now();
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const requestId = (0x5000_0000 + count).toString(16);
        const { port, name } = entries.entries[count % entryCount];
        record("sent", { requestId, entry: name });
        pending.push(sendRequest(port, agent, requestId));
        await delay(1_000 / requestsPerSecond);
    }
    const ends = await Promise.all(pending);
    agent.destroy();
    ends.forEach(({ requestId, kind, status, atMs, bytes }) =>
        record("ended", { requestId, kind, status, atMs, bytes })
    );

    const unfinished = ends.filter(({ atMs }) => atMs >= routeTimeoutMs);
    const late = unfinished.filter(({ kind, atMs }) => kind === "left" || atMs > routeTimeoutMs + graceAfterTimeoutMs);
    const whole = ends.filter(({ kind, status }) => kind === "answered" && status === 200);
    record("result", {
        requests: ends.length,
        whole: whole.length,
        unfinishedAtTimeout: unfinished.length,
        noFinalAnswerHalfASecondLater: late.length,
    });
    exitCode = late.length >= 8 && late.length * 2 > unfinished.length ? 1 : 0;
    const isTested = hasTrouble ? unfinished.length >= 8 : unfinished.length === 0;
    if (whole.length * 2 < ends.length || !isTested) {
        exitCode = 2;
    }
}
catch (error) {
    record("error", { cause: String(error.stack) });
}
finally {
    await entries?.close();
    engines.forEach(({ close }) => close());
    store.close();
    writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(exitCode);
}
