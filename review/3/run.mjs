/**
 * Case 3: a model engine leaves a part of its requests unanswered. The entry must end each of them at its route's
 * timeout.
 */

import { writeFileSync } from "node:fs";
import { Agent } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { sendStreamRequest } from "../stand-ins/caller.mjs";
import { startEngineSite } from "../stand-ins/engines.mjs";
import { startEntries } from "../stand-ins/entries.mjs";
import { startStore } from "../stand-ins/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const entryCount = 2;
const requestsPerSecond = 72;
const durationMs = 34_000;
/** From and to, in ms since the first request. */
const hangs = [[3_000, 9_500], [14_000, 20_500]];
const hungShare = 0.45;
const hungEngine = "i-decode-1";
const routeTimeoutMs = 8_000;
const graceAfterTimeoutMs = 500;
const objectiveMs = 2_500;
const maxGapMs = 300;
const timeLimitMs = 14_000;
const patienceMs = Math.max(2_000, 4 * objectiveMs, 8 * maxGapMs);
const service = "guide-assistant";
const host = "guide.example";
const key = "key-of-the-guides";

const lines = [];
const record = (what, fields) => lines.push(`${Math.round(performance.now())} ${what} ${JSON.stringify(fields)}`);
let startedAtMs = Infinity;
let seed = 7;

/** A fixed sequence of numbers from 0 to 1. */
function nextNumber() {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
}

function hang({ requestId, engine }) {
    const nowMs = performance.now() - startedAtMs;
    const isHung = hasTrouble && engine === hungEngine && hangs.some(([from, to]) => nowMs >= from && nowMs < to)
        && nextNumber() < hungShare;
    if (isHung) {
        record("left unanswered by its engine", { requestId, engine });
    }
    return isHung;
}

const store = await startStore();
const site = startEngineSite(store);
let entries;
let exitCode = 2;
try {
    store.put("op", "config", {
        version: 3,
        routes: [{
            name: "safety-brief",
            host,
            prefix: "/guide/",
            kind: "stream",
            service,
            timeout_ms: routeTimeoutMs,
            target_latency_ms: objectiveMs,
            target_gap_ms: maxGapMs,
            attempts: 1,
            priority: 1,
            session_affinity: true,
        }],
        services: [{
            name: service,
            health_check: "/health",
            max_connections: 370,
            engine: { slots: 64, kv_tokens: 58_379, reconfigure_s: 6, stride: 8 },
        }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "guides", api_keys: [key] }],
    });
    const onRun = ({ requestId, engine }) => record("run", { requestId, engine });
    for (const id of ["i-prefill-1", "i-prefill-2"]) {
        await site.startEngine({ id, service, stage: "prefill", slots: 64 });
    }
    for (const id of [hungEngine, "i-decode-2", "i-decode-3", "i-decode-4", "i-decode-5"]) {
        await site.startEngine({
            id,
            service,
            stage: "decode",
            slots: 64,
            queue: 8,
            events: 8,
            eventMs: 60,
            onRun,
            hang,
        });
    }
    entries = await startEntries(entryCount, store.address);
    await entries.waitUntilReady();
    await delay(3_000);

    const agent = new Agent({ keepAlive: true });
    const pending = [];
    startedAtMs = performance.now();
    for (let count = 0; performance.now() - startedAtMs < durationMs; count++) {
        const requestId = (0x4000_0000 + count).toString(16);
        const { port, name } = entries.entries[count % entryCount];
        record("sent", { requestId, entry: name });
        pending.push(sendStreamRequest({
            port,
            agent,
            host,
            path: "/guide/brief",
            key,
            requestId,
            tokenUsage: "5000,8",
            timeLimitMs,
            gapMs: patienceMs,
            body: "b".repeat(5_000),
        }));
        await delay(1_000 / requestsPerSecond);
    }
    const ends = await Promise.all(pending);
    agent.destroy();
    ends.forEach(({ requestId, kind, status, atMs }) => record("ended", { requestId, kind, status, atMs }));

    const unanswered = ends.filter(({ atMs }) => atMs >= routeTimeoutMs);
    const late = unanswered.filter(({ kind, atMs }) => kind === "left" || atMs > routeTimeoutMs + graceAfterTimeoutMs);
    const whole = ends.filter(({ kind, status }) => kind === "answered" && status === 200);
    const result = {
        requests: ends.length,
        whole: whole.length,
        unansweredAtTimeout: unanswered.length,
        noAnswerHalfASecondLater: late.length,
    };
    record("result", result);
    exitCode = late.length >= 8 && late.length * 2 > unanswered.length ? 1 : 0;
    const isTested = hasTrouble ? unanswered.length >= 8 : unanswered.length === 0;
    if (whole.length * 2 < ends.length || !isTested) {
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
