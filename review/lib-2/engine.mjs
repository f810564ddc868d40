/**
 * Stand-in of an engine, as PROTOCOL.md describes it: plain calls, prefills, streams, reservations, reports and orders. It
 * records what reached it. A case replaces single behaviours with `options`.
 */

import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const prefix = "x-gooseberrywell-";

export async function startEngine(options) {
    const { id, stage, ip = "127.0.0.1", bornMs = Date.now(), version = "s1", eventMs = 20, workMs = 15 } = options;
    const engine = { id, stage, bornMs, version, arrivals: [], runs: [], orders: [], options, stageNow: stage, sequence: 0 };
    let lastId = 0;
    /** Request ids by KV handle. */
    const handles = new Map();
    engine.handles = handles;
    const sockets = new Set();

    /** Prompts are read one after the other. */
    let lastPrefill = Promise.resolve();
    function prefillTurn() {
        lastPrefill = lastPrefill.then(() => delay(options.prefillMs ?? 40));
        return lastPrefill;
    }

    function answer(response, status, body, headers = {}) {
        const text = typeof body === "string" ? body : JSON.stringify(body);
        response.writeHead(status, { "content-length": Buffer.byteLength(text), ...engine.extraHeaders?.(), ...headers });
        response.end(text);
    }

    function rejected(response, status, requestId, headers = {}) {
        answer(response, status, "", { [`${prefix}not-executed`]: "1", [`${prefix}request-id`]: requestId, ...headers });
    }

    async function run(request, response, body) {
        const header = name => request.headers[`${prefix}${name}`];
        const requestId = header("request-id") ?? "";
        if (header("expected-instance") !== undefined && header("expected-instance") !== id) {
            answer(response, 421, "");
            return;
        }
        const seal = { [`${prefix}request-id`]: requestId, [`${prefix}response-seal`]: `3e1b.${id}.${requestId}` };
        const context = { request, response, body, requestId, header, seal, answer, rejected, engine };
        if (await options.onRequest?.(context)) {
            return;
        }
        if (header("serving-stage") === "prefill") {
            const handle = `${id}-${++lastId}`;
            handles.set(handle, requestId);
            await prefillTurn();
            const text = JSON.stringify({ kv_handle: handle, tokens: 1, version: 1 });
            options.onPrefilled?.({ socket: request.socket, requestId, handle, text });
            // As in the example of PROTOCOL.md.
            answer(response, 200, text, { "content-type": "application/json" });
            return;
        }
        const record = { requestId, atMs: Date.now(), target: request.url, headers: request.headers, endedAtMs: undefined };
        engine.runs.push(record);
        if (await options.onRun?.({ ...context, record })) {
            return;
        }
        if (stage === undefined) {
            await delay(workMs);
            record.endedAtMs = Date.now();
            answer(response, 200, options.bodyOf?.(context) ?? `done ${requestId}`, seal);
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream", ...engine.extraHeaders?.(), ...seal });
        const events = options.events ?? 20;
        for (let next = Number(request.headers["last-event-id"] ?? 0) + 1; next <= events; next++) {
            await delay(eventMs);
            if (response.destroyed) {
                record.endedAtMs = Date.now();
                return;
            }
            response.write(`id: ${next}\ndata: ${id} ${engine.version} ${next}\n\n`);
        }
        response.end();
        record.endedAtMs = Date.now();
    }

    async function serve(request, response) {
        if (await options.onHead?.({ request, response, engine })) {
            return;
        }
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        engine.arrivals.push({ atMs: Date.now(), method: request.method, target: request.url, headers: request.headers });
        const [, call] = request.url.split("/");
        if (await options.onCall?.({ request, response, body, call, answer, engine })) {
            return;
        }
        if (call === "hold-take") {
            answer(response, 200, { hold: `h-${id}-${++lastId}` });
        }
        else if (call === "hold-drop" || call === "kv-handle" || call === "kv-pin") {
            answer(response, 200, {});
        }
        else if (call === "report") {
            answer(response, 200, {
                stage: engine.stageNow,
                models: [{ name: "m", version: 1, adapters: [] }],
                busy: false,
                sequence: engine.sequence,
                queued: 0,
                running: 0,
                kv_used: 0,
                kv_total: 60_000,
                kv_handles: handles.size,
                born: bornMs,
            });
        }
        else if (call === "order") {
            engine.orders.push({ ...JSON.parse(body.toString()), atMs: Date.now(), from: request.socket.remoteAddress });
            engine.sequence += 1;
            answer(response, 202, {});
        }
        else if (call === "health") {
            answer(response, 200, "", { [`${prefix}instance-id`]: id });
        }
        else {
            await run(request, response, body);
        }
    }

    const server = createServer((request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        options.onConnection?.(socket);
    });
    await new Promise(resolve => server.listen(options.port ?? 0, ip, resolve));
    engine.address = `${ip}:${server.address().port}`;
    engine.port = server.address().port;
    engine.sockets = sockets;
    engine.close = () => new Promise(resolve => {
        sockets.forEach(socket => socket.resetAndDestroy());
        server.close(resolve);
    });
    engine.recordFor = (service, state = "ready") => ({
        service,
        address: engine.address,
        zone: "a",
        version: engine.version,
        slots: options.slots ?? 6,
        state,
        sequence: 1,
        born: bornMs,
        cold_remaining_ms: 0,
        ...stage === undefined ? {} : { stage: engine.stageNow },
    });
    return engine;
}
