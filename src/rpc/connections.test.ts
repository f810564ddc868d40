/**
 * A listener that closes resets no connection that waits to be accepted, also on a slow host.
 */

import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { prepareListenerClose } from "./connections.js";

const request = "GET / HTTP/1.1\r\nHost: caller.example\r\nConnection: close\r\n\r\n";
const waitingConnections = 20;
const connectIntervalMs = 50;
/** A turn of the event loop takes from the first to the second time after the close begins. */
const heldUpFromMs = 900;
const heldUpUntilMs = 2_100;

let server: Server | undefined;

afterEach(() => server?.close());

/** Resolves with the first line of the response, or with an empty one if the connection is reset. */
function call(port: number): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let text = "";
        socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
        socket.on("error", () => undefined);
        socket.once("close", () => resolve(text.split("\r\n")[0] ?? ""));
        socket.write(request);
    });
}

// All but the first few were reset: the time for which the listener accepts connections was over in the meantime.
it("accepts the connections that came while the event loop was held up", async () => {
    const listener = createServer((unused, response) => void response.end("whole"));
    server = listener;
    const closeListener = prepareListenerClose(listener);
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", () => resolve()));
    const { port } = listener.address() as AddressInfo;
    const startedAtMs = performance.now();
    const closed = closeListener();
    while (performance.now() - startedAtMs < heldUpFromMs) {
        await Promise.all([call(port), delay(connectIntervalMs)]);
    }
    const calls = Array.from({ length: waitingConnections }, () => call(port));
    // The connections are opened by then.
    await new Promise<void>(resolve => process.nextTick(() => resolve()));
    while (performance.now() - startedAtMs < heldUpUntilMs) {
        // The event loop is held up.
    }
    expect((await Promise.all(calls)).filter(line => line !== "HTTP/1.1 200 OK")).toEqual([]);
    await closed;
});
