/**
 * Connections that end during or after an upload: only one that was closed normally ends a response without a length.
 */

import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { readText } from "../common/readText.js";
import { FreshPool } from "./freshPool.js";
import { createGuardedConnector } from "./guardedConnector.js";

const connectTimeoutMs = 10_000;
const maxTextBytes = 1_000;
/** More than the buffers of both ends of a connection take. */
const unfinishedUploadBytes = 64 * 1_024 * 1_024;
const head = "HTTP/1.1 200 OK\r\n\r\n";
const rounds = 5;

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
    sockets.forEach(socket => socket.destroy());
    server?.close();
});

/** Answers the first bytes of each request, reads no more of it, and closes the connection. */
async function listen(close: (socket: Socket) => void): Promise<string> {
    const listening = createServer(socket => {
        sockets.add(socket.on("error", () => undefined));
        socket.once("data", () => {
            socket.pause();
            socket.write(`${head}part`);
            close(socket);
        });
    });
    server = listening;
    await new Promise<void>(resolve => listening.listen(0, "127.0.0.1", () => resolve()));
    return `http://127.0.0.1:${(listening.address() as AddressInfo).port}`;
}

const reset = (socket: Socket): void => void socket.resetAndDestroy();
const end = (socket: Socket): void => void socket.end();

// Guards against a part of a response that was reset under a long upload and is taken for the whole: what finds the reset
// waited behind the upload.
describe("a response without a length", () => {
    it.each([
        {
            name: "reset under an unfinished upload",
            close: reset,
            uploadBytes: unfinishedUploadBytes,
            received: "broken",
        },
        { name: "ended under an unfinished upload", close: end, uploadBytes: unfinishedUploadBytes, received: "part" },
        { name: "reset after the upload", close: reset, uploadBytes: 1, received: "broken" },
        { name: "ended after the upload", close: end, uploadBytes: 1, received: "part" },
    ])("$name: $received", async ({ close, uploadBytes, received }) => {
        const pool = new FreshPool(await listen(close), { connect: createGuardedConnector(connectTimeoutMs) });
        const body = Buffer.alloc(uploadBytes);
        for (let round = 0; round < rounds; round++) {
            const text = await pool.request({ method: "POST", path: "/", body })
                .then(response => readText(response.body, maxTextBytes))
                .catch(() => "broken");
            expect(text).toBe(received);
        }
        await pool.destroy();
    });
});
