/**
 * The fault-injecting proxy must behave like a TCP connection and never reorder bytes. A chunk or an end of stream that
 * arrives just after a delay fault was lifted could overtake data that is still delayed.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { startTcpProxy } from "../fakes/tcpProxy.js";
import type { TcpProxy } from "../fakes/tcpProxy.js";

let server: Server | undefined;
let proxy: TcpProxy | undefined;

afterEach(async () => {
    await proxy?.close();
    server?.close();
});

describe("the fault-injecting proxy", () => {
    it("keeps data and end of stream in order when a delay fault is lifted", async () => {
        server = createServer(socket => {
            void (async () => {
                proxy?.setFault("delay");
                socket.write("one ");
                await delay(20);
                proxy?.setFault("none");
                socket.write("two ");
                await delay(20);
                socket.end("three");
            })();
        });
        await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
        proxy = await startTcpProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        const [ip = "", port = ""] = proxy.address.split(":");
        const client = connect({ host: ip, port: Number(port) });
        let received = "";
        client.on("data", (chunk: Buffer) => (received += chunk.toString()));
        await new Promise(resolve => client.once("close", resolve));
        expect(received).toBe("one two three");
    });
});
