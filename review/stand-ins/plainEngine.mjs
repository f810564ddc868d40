/**
 * Stand-in of an engine of a plain service: each request takes `workMs`. A request for which `isEndless` returns true is
 * answered with bytes that never end, until the caller closes the channel.
 */

import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const prefix = "x-gooseberrywell-";
const blockBytes = 65_536;
/** 16 MB a second on each connection. */
const blockIntervalMs = 4;

export async function startPlainEngine(store, { id, service, slots, workMs, bodyBytes, onRun, isEndless }) {
    let running = 0;

    async function sendWithoutEnd(response) {
        const block = Buffer.alloc(blockBytes, "z");
        while (!response.destroyed) {
            if (!response.writableNeedDrain) {
                response.write(block);
            }
            await delay(blockIntervalMs);
        }
    }

    async function serve(request, response) {
        for await (const chunk of request) {
            void chunk;
        }
        const requestId = request.headers[`${prefix}request-id`];
        const expected = request.headers[`${prefix}expected-instance`];
        const reject = status => {
            response.writeHead(status, {
                [`${prefix}request-id`]: requestId,
                [`${prefix}not-executed`]: "1",
                "content-length": 0,
            });
            response.end();
        };
        if (expected !== undefined && expected !== id) {
            reject(421);
            return;
        }
        if (running >= slots) {
            reject(503);
            return;
        }
        running += 1;
        response.once("close", () => {
            running -= 1;
        });
        onRun({ requestId, engine: id });
        await delay(workMs);
        const endless = isEndless({ requestId, engine: id });
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, {
            [`${prefix}request-id`]: requestId,
            [`${prefix}response-seal`]: `seal-${id}-${requestId}`,
            ...endless ? {} : { "content-length": bodyBytes },
        });
        if (endless) {
            await sendWithoutEnd(response);
        }
        else {
            response.end(Buffer.alloc(bodyBytes, "b"));
        }
    }

    const server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    store.put("servers", id, {
        service,
        address: `127.0.0.1:${server.address().port}`,
        zone: "a",
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
        born: Date.now(),
    });
    return { close: () => server.closeAllConnections() };
}
