/**
 * What the withdrawal of a key does to the connections that were used with it.
 */

import { connect } from "node:net";
import { expect, it } from "vitest";
import { listen } from "../rpc/httpServer.js";
import { createKeyUses } from "./keyUses.js";

const digestHex = "00";
/** More than the socket buffers of both sides hold. */
const longBodyBytes = 16 * 1_024 * 1_024;

// The connection was destroyed with the rest of the response, since the request had ended.
it("a withdrawal does not cut the response of a request that has ended", async () => {
    const keyUses = createKeyUses();
    let onEnded = (): void => undefined;
    const hasEnded = new Promise<void>(resolve => (onEnded = resolve));
    const server = await listen("127.0.0.1", 0, () => async (request, response) => {
        const use = keyUses.begin(digestHex, request.socket, () => undefined);
        response.end(Buffer.alloc(longBodyBytes, "x"));
        use.end();
        onEnded();
    });
    const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
    let receivedBytes = 0;
    socket.write("GET /x HTTP/1.1\r\nhost: x\r\n\r\n");
    await hasEnded;
    keyUses.endAll(digestHex);
    socket.on("error", () => undefined);
    socket.on("data", (chunk: Buffer) => (receivedBytes += chunk.length));
    await new Promise<void>(resolve => socket.once("close", () => resolve()));
    expect(receivedBytes).toBeGreaterThan(longBodyBytes);
    await server.close();
});

// A connection without a running request of the withdrawn key was closed, although one of another key ran on it.
it("a withdrawal does not cut the response to a request with another key", async () => {
    const keyUses = createKeyUses();
    let respond = (): void => undefined;
    const server = await listen("127.0.0.1", 0, () => async (request, response) => {
        const digest = request.url === "/first" ? digestHex : "01";
        const use = keyUses.begin(digest, request.socket, () => undefined);
        if (digest !== digestHex) {
            await new Promise<void>(resolve => (respond = resolve));
        }
        use.end();
        response.end(request.url);
    });
    const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    socket.write("GET /first HTTP/1.1\r\nhost: x\r\n\r\n");
    await expect.poll(() => text).toContain("/first");
    socket.write("GET /second HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    const noResponse = respond;
    await expect.poll(() => respond).not.toBe(noResponse);
    keyUses.endAll(digestHex);
    respond();
    await new Promise<void>(resolve => socket.once("close", () => resolve()));
    expect(text).toContain("/second");
    await server.close();
});
