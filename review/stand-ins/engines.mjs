/**
 * Stand-in of a prefill and a decode engine. They share one process, so that a decode engine can take the KV cache of
 * the prefill engine.
 *
 * A decode engine runs `slots` requests at once, queues a few more and rejects the rest as not executed. Each run streams
 * `events` events, and is dropped if its connection closes.
 */

import { createServer } from "node:http";

const prefix = "x-gooseberrywell-";
const prefillTokensPerMs = 50;
const cacheLifetimeMs = 500;

export function startEngineSite(store) {
    const caches = new Map();
    const engines = [];
    let nextCache = Math.floor(Math.random() * 2 ** 32);

    async function startEngine({ id, service, stage, slots, queue, events, eventMs, onRun, copyAnswer, hang }) {
        const bornMs = Date.now();
        const queued = [];
        let running = 0;

        /** Second copies of answers that have not been written yet, by connection. */
        const lateCopies = new WeakMap();

        function answer(request, response, status, headers, body = "") {
            const requestId = request.headers[`${prefix}request-id`];
            const all = {
                ...requestId === undefined ? {} : { [`${prefix}request-id`]: requestId },
                [`${prefix}server-load`]: `${running},${queued.length},${slots}`,
                ...headers,
                "content-length": Buffer.byteLength(body),
            };
            if (copyAnswer?.({ request, status, engine: id }) === true) {
                const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join("");
                lateCopies.set(request.socket, `HTTP/1.1 ${status} Copy\r\n${lines}\r\n${body}`);
            }
            response.writeHead(status, all);
            response.end(body);
        }

        function reject(request, response, status) {
            answer(request, response, status, { [`${prefix}not-executed`]: "1" });
        }

        function runNext() {
            while (running < slots && queued.length > 0) {
                queued.shift()();
            }
        }

        function run(request, response) {
            const requestId = request.headers[`${prefix}request-id`];
            running += 1;
            if (hang?.({ requestId, engine: id }) === true) {
                response.once("close", () => {
                    running -= 1;
                    runNext();
                });
                return;
            }
            let next = Number(request.headers["last-event-id"] ?? 0) + 1;
            const timer = setInterval(() => {
                if (!response.headersSent) {
                    onRun?.({ requestId, engine: id });
                    response.writeHead(200, {
                        "content-type": "text/event-stream",
                        [`${prefix}request-id`]: requestId,
                        [`${prefix}response-seal`]: `seal-${id}-${requestId}`,
                    });
                }
                response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`);
                next += 1;
                if (next > events) {
                    clearInterval(timer);
                    response.end();
                }
            }, eventMs);
            response.once("close", () => {
                clearInterval(timer);
                running -= 1;
                runNext();
            });
        }

        function decode(request, response) {
            const [, handle] = String(request.headers[`${prefix}kv-source`] ?? "").split("/");
            if (handle !== undefined && !caches.delete(handle)) {
                reject(request, response, 503);
                return;
            }
            if (running < slots) {
                run(request, response);
                return;
            }
            if (queued.length >= queue) {
                reject(request, response, 503);
                return;
            }
            const start = () => run(request, response);
            queued.push(start);
            response.once("close", () => {
                const index = queued.indexOf(start);
                if (index >= 0) {
                    queued.splice(index, 1);
                }
            });
        }

        function prefill(request, response) {
            const tokens = Number(String(request.headers[`${prefix}token-usage`]).split(",")[0]);
            setTimeout(() => {
                nextCache += 1;
                const handle = nextCache.toString(16);
                caches.set(handle, id);
                setTimeout(() => caches.delete(handle), cacheLifetimeMs).unref();
                const body = JSON.stringify({ kv_handle: handle, tokens, version: 1 });
                answer(request, response, 200, { "content-type": "application/json" }, body);
            }, tokens / prefillTokensPerMs);
        }

        function report(request, response) {
            const body = JSON.stringify({
                stage,
                models: [{ name: "m", version: 1, adapters: [] }],
                busy: false,
                sequence: 0,
                queued: queued.length,
                running,
                kv_used: 0,
                kv_total: 58_379,
                kv_handles: caches.size,
                born: bornMs,
            });
            answer(request, response, 200, { "content-type": "application/json" }, body);
        }

        function handle(request, response) {
            const copy = lateCopies.get(request.socket);
            if (copy !== undefined) {
                // The second copy of an earlier answer arrives where the answer to this request is expected.
                lateCopies.delete(request.socket);
                request.socket.write(copy);
            }
            const path = request.url.split("?")[0];
            const expected = request.headers[`${prefix}expected-instance`];
            if (path === "/report") {
                report(request, response);
            }
            else if (path.startsWith("/kv-handle/")) {
                answer(request, response, caches.delete(path.slice("/kv-handle/".length)) ? 200 : 404, {});
            }
            else if (expected !== undefined && expected !== id) {
                reject(request, response, 421);
            }
            else if (request.headers[`${prefix}request-id`] === undefined) {
                reject(request, response, 400);
            }
            else if (request.headers[`${prefix}serving-stage`] === "prefill") {
                (stage === "prefill" ? prefill : (...args) => reject(...args, 421))(request, response);
            }
            else {
                (stage === "decode" ? decode : (...args) => reject(...args, 421))(request, response);
            }
        }

        const server = createServer({ keepAliveTimeout: 15_000 }, async (request, response) => {
            for await (const chunk of request) {
                void chunk;
            }
            handle(request, response);
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));

        // The row changes only if more than its sequence changes, so it is written once.
        store.put("servers", id, {
            service,
            address: `127.0.0.1:${server.address().port}`,
            zone: "a",
            version: "v1",
            slots,
            state: "ready",
            stage,
            cold_remaining_ms: 0,
            sequence: 1,
            born: bornMs,
        });
        engines.push({ id, close: () => server.closeAllConnections() });
    }

    return { startEngine, close: () => engines.forEach(({ close }) => close()) };
}
