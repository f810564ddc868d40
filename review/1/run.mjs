/**
 * Case 1: a decode engine writes a second copy of a rejection late, on a connection that is used again for the same
 * request.
 */

import { writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { startEngineSite } from "../stand-ins/engines.mjs";
import { startEntries } from "../stand-ins/entries.mjs";
import { startStore } from "../stand-ins/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const entryCount = 4;
const durationMs = 86_000;
/** The engine writes second copies in windows of this length, one in each period. */
const windowMs = 5_000;
const windowPeriodMs = 9_000;
/** Mean time between two requests to one service; they come at random. */
const requestIntervalMs = 300;
const callerTimeoutMs = 14_000;
/** At most this share of the decode engines' answers in the windows is sent twice. */
const copiedShare = 0.03;
/** Each has one prefill and one decode engine. */
const services = ["guide", "trail", "wildlife", "briefing", "permit", "lodge"].map(name => `${name}-assistant`);
const host = "guide.example";
const key = "key-of-the-guides";

const lines = [];
const record = (what, fields) => lines.push(`${Math.round(performance.now())} ${what} ${JSON.stringify(fields)}`);
const runs = new Map();
const answers = new Map();
let startedAtMs = Infinity;
let answered = 0;
let copied = 0;

let seed = 7;

/** A fixed sequence of numbers between 0 and 1. */
function nextNumber() {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
}

function isInWindow() {
    const nowMs = performance.now() - startedAtMs;
    return nowMs >= 0 && nowMs % windowPeriodMs >= windowPeriodMs - windowMs;
}

function recordRun({ requestId, engine }) {
    answered += isInWindow() ? 1 : 0;
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    record("run", { requestId, engine, count: runs.get(requestId) });
}

/** Chooses the answers that are sent twice: rejections, as long as they stay below the share of all answers. */
function copyAnswer({ request, status, engine }) {
    if (!isInWindow()) {
        return false;
    }
    answered += 1;
    if (!hasTrouble || status !== 503 || copied + 1 > copiedShare * answered) {
        return false;
    }
    copied += 1;
    record("copy", { requestId: request.headers["x-gooseberrywell-request-id"], engine, status, copied, answered });
    return true;
}

function sendRequest(port, agent, service, requestId) {
    return new Promise(resolve => {
        let body = "";
        const finish = outcome => {
            answers.set(requestId, outcome);
            record("answered", { requestId, outcome, bytes: body.length });
            resolve();
        };
        record("sent", { requestId, port });
        const sent = httpRequest({
            host: "127.0.0.1",
            port,
            agent,
            method: "POST",
            path: `/${service}/brief`,
            headers: {
                host,
                "api-key": key,
                "x-gooseberrywell-request-id": requestId,
                "x-gooseberrywell-model-name": "m",
                "x-gooseberrywell-token-usage": "6000,8",
                "x-gooseberrywell-prompt-prefix": `aa:200,${requestId}:5800`,
                "x-gooseberrywell-request-deadline": String(callerTimeoutMs),
            },
        }, response => {
            response.on("data", chunk => {
                body += chunk;
            });
            response.on("end", () => finish(response.statusCode));
            response.on("error", () => finish("broken"));
        });
        sent.on("error", () => answers.has(requestId) || finish("closed"));
        sent.end(JSON.stringify({ brief: requestId }));
    });
}

const store = await startStore();
const site = startEngineSite(store);
let entries;
let exitCode = 2;
try {
    store.put("op", "config", {
        version: 3,
        routes: services.map(service => ({
            name: `brief-of-${service}`,
            host,
            prefix: `/${service}/`,
            kind: "stream",
            service,
            timeout_ms: 14_000,
            target_latency_ms: 900,
            target_gap_ms: 300,
            attempts: 1,
            priority: 1,
            session_affinity: true,
        })),
        services: services.map(name => ({
            name,
            health_check: "/health",
            max_connections: 370,
            engine: { slots: 4, kv_tokens: 58_379, reconfigure_s: 6, stride: 8 },
        })),
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "guides", api_keys: [key] }],
    });
    for (const service of services) {
        await site.startEngine({ id: `i-prefill-${service}`, service, stage: "prefill", slots: 64 });
        await site.startEngine({
            id: `i-decode-${service}`,
            service,
            stage: "decode",
            slots: 4,
            queue: 0,
            events: 8,
            eventMs: 60,
            onRun: recordRun,
            copyAnswer,
        });
    }
    entries = await startEntries(entryCount, store.address);
    await entries.waitUntilReady();
    await delay(3_000);
    const agent = new Agent({ keepAlive: true, maxSockets: 64 });
    const pending = [];
    startedAtMs = performance.now();
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const requestId = (0xa0_0000_0000 + count).toString(16).padStart(16, "7");
        const { port } = entries.entries[Math.floor(nextNumber() * entryCount)];
        const service = services[Math.floor(nextNumber() * services.length)];
        pending.push(sendRequest(port, agent, service, requestId));
        await delay(-Math.log(nextNumber()) * requestIntervalMs / services.length);
    }
    await Promise.race([Promise.all(pending), delay(15_000)]);
    agent.destroy();

    const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
    const denied = [...runs].filter(([id]) => answers.get(id) === 503).map(([id]) => id);
    const statuses = {};
    answers.forEach(status => statuses[status] = (statuses[status] ?? 0) + 1);
    record("result", { requests: answers.size, statuses, answered, copied, twice, refusedThoughRun: denied });
    exitCode = twice.length > 0 || denied.length > 0 ? 1 : 0;
    if ((statuses[200] ?? 0) < answers.size / 4) {
        exitCode = 2;
    }
}
catch (error) {
    record("error", { cause: String(error.stack) });
}
finally {
    await entries?.close();
    site.close();
    store.close();
    writeFileSync(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(exitCode);
}
