/**
 * The buffers into which a client reads a long response are freed while it is read.
 */

import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { FreshPool } from "./freshPool.js";
import { createGuardedAgent } from "./guardedClient.js";
import { createGuardedConnector } from "./guardedConnector.js";

const connectTimeoutMs = 10_000;
const sentBytes = 256 * 1_024 * 1_024;
/** A small machine has tens of megabytes left for all its connections. */
const maxLeftBytes = 16 * 1_024 * 1_024;
const block = Buffer.alloc(65_536, "z");
const connect = createGuardedConnector(connectTimeoutMs);

let server: Server | undefined;

afterEach(() => void server?.close());

/** Answers with a body of `sentBytes` bytes that ends with its connection; returns the server's base URL. */
async function listen(): Promise<string> {
    const listening = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\n\r\n");
            const writeMore = (): void => {
                while (socket.bytesWritten + socket.writableLength < sentBytes) {
                    if (!socket.write(block)) {
                        return;
                    }
                }
                socket.end();
            };
            socket.on("drain", writeMore);
            writeMore();
        });
    });
    server = listening;
    await new Promise<void>(resolve => listening.listen(0, "127.0.0.1", () => resolve()));
    return `http://127.0.0.1:${(listening.address() as AddressInfo).port}`;
}

const dispatchers = [
    { name: "an agent", create: () => createGuardedAgent({ connect }) },
    { name: "a pool", create: (origin: string) => new FreshPool(origin, { connect }) },
];

describe.each(dispatchers)("$name", ({ create }) => {
    // They piled up outside of the heap, on a small machine until it ended the process with all its callers.
    it("leaves few buffers behind while it reads a long response", async () => {
        const origin = await listen();
        const dispatcher = create(origin);
        const { body } = await dispatcher.request({ origin, path: "/", method: "GET" });
        let readBytes = 0;
        let mostBytes = 0;
        for await (const chunk of body as AsyncIterable<Buffer>) {
            readBytes += chunk.length;
            mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers);
        }
        await dispatcher.destroy();
        expect(readBytes).toBeGreaterThan(sentBytes / 2);
        expect(mostBytes).toBeLessThan(maxLeftBytes);
    });
});
