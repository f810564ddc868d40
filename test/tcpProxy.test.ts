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

    // The soak could not tell an engine that had ended from one that resets connections.
    it("refuses connections while its target does, and accepts them again afterwards", async () => {
        server = createServer(socket => {
            // The proxy resets what the client no longer reads.
            socket.on("error", () => undefined);
            socket.end("ok");
        });
        await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
        const { port: targetPort } = server.address() as AddressInfo;
        proxy = await startTcpProxy(`127.0.0.1:${targetPort}`);
        const [ip = "", port = ""] = proxy.address.split(":");
        const outcome = (): Promise<string> =>
            new Promise(resolve => {
                const client = connect({ host: ip, port: Number(port) });
                let received = "";
                client.on("data", (chunk: Buffer) => (received += chunk.toString()));
                client.on("error", ({ code }: NodeJS.ErrnoException) => resolve(code ?? ""));
                client.once("end", () => resolve(received));
            });
        const eventually = async (expected: string): Promise<void> => {
            while (await outcome() !== expected) {
                await delay(10);
            }
        };
        await eventually("ok");
        await new Promise(resolve => server?.close(resolve));
        await eventually("ECONNREFUSED");
        server.listen(targetPort, "127.0.0.1");
        await eventually("ok");
    });
});
