/**
 * Draining of the HTTP server while clients use their connections: no request that the server has taken ends without its
 * whole response, and none that it hasn't taken runs.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { trackConnections } from "./connections.js";
import { listen, readBody, sendJson } from "./httpServer.js";
import type { HttpServer } from "./httpServer.js";
import { createRpcClient } from "./rpcClient.js";

const maxBodyBytes = 1_024;
/** More than the socket buffers of both sides hold. */
const longBodyBytes = 16 * 1_024 * 1_024;
const head = "POST /run HTTP/1.1\r\nhost: x\r\n";
const request = `${head}content-length: 0\r\n\r\n`;

let server: HttpServer;
let runs = 0;
let waiting: (() => void)[] = [];

afterEach(async () => {
    waiting.forEach(release => release());
    await server.close();
});

/** Routes: `/run` answers at once, `/long` with a long body, `/wait` once released. */
async function start(): Promise<void> {
    runs = 0;
    waiting = [];
    server = await listen("127.0.0.1", 0, (method, path) => async (incoming, response) => {
        await readBody(incoming, maxBodyBytes);
        if (path === "/long") {
            response.end(Buffer.alloc(longBodyBytes, "x"));
            return;
        }
        if (path === "/wait") {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        runs += 1;
        sendJson(response, 200, { run: runs });
    });
}

interface Connection {
    readonly socket: Socket;
    readonly text: () => string;
    readonly closed: Promise<void>;
    /** Resolves when what has arrived matches. */
    readonly received: (pattern: RegExp) => Promise<void>;
}

function open(allowHalfOpen = false): Promise<Connection> {
    let text = "";
    const socket = connect({ port: Number(new URL(server.url).port), host: "127.0.0.1", allowHalfOpen });
    socket.on("data", (chunk: Buffer) => (text += chunk.toString("latin1")));
    socket.on("error", () => undefined);
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    const received = async (pattern: RegExp): Promise<void> => {
        while (!pattern.test(text) && !socket.destroyed) {
            await turn();
        }
    };
    return new Promise(resolve =>
        socket.once("connect", () => resolve({ socket, text: () => text, closed, received }))
    );
}

function turn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

/** A connection on which one request has been answered. */
async function openUsed(allowHalfOpen = false): Promise<Connection> {
    const connection = await open(allowHalfOpen);
    connection.socket.write(request);
    await connection.received(/"run":\d+\}/);
    return connection;
}

interface ArrivalCase {
    readonly name: string;
    /** Sent before the drain begins; `isRead`: the server has read it by then. */
    readonly before: string;
    readonly isRead: boolean;
    readonly after: string;
}

const arrivalCases: readonly ArrivalCase[] = [
    { name: "has arrived and is not read yet", before: request, isRead: false, after: "" },
    {
        name: "has arrived in part, inside its head",
        before: request.slice(0, 20),
        isRead: true,
        after: request.slice(20),
    },
    {
        name: "has arrived in part, inside its body",
        before: `${head}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n`,
        isRead: true,
        after: "0\r\n\r\n",
    },
];

describe("a drain", () => {
    // Connections without a running request were destroyed, whatever had arrived on them.
    it.each(arrivalCases)("answers a request that $name", async ({ before, isRead, after }) => {
        await start();
        const connection = await openUsed();
        connection.socket.write(before);
        if (isRead) {
            // Connections are read in turn, so that part has been read once a later request has been answered.
            (await openUsed()).socket.destroy();
        }
        const drained = server.drain();
        await turn();
        connection.socket.write(after);
        await connection.closed;
        await drained;
        expect(connection.text()).toMatch(/"run":1\}[^]*HTTP\/1.1 200 OK\r\n[^]*"run":\d\}$/);
    });

    // The runtime removed the time limit of the connection: the drain took 15 s.
    it("ends soon although a client stays whose request crosses the close", async () => {
        await start();
        const { port } = new URL(server.url);
        const socket = connect({ port: Number(port), host: "127.0.0.1", allowHalfOpen: true });
        let text = "";
        socket.on("data", (data: Buffer) => (text += data.toString())).on("error", () => undefined);
        socket.write(request);
        while (!text.includes(" 200 OK")) {
            await turn();
        }
        const startedAtMs = performance.now();
        const drained = server.drain();
        while (!text.includes(" 408 ")) {
            await turn();
        }
        socket.write(request);
        await drained;
        expect(performance.now() - startedAtMs).toBeLessThan(4_000);
        socket.destroy();
    }, 20_000);

    // The listener was closed while connections waited to be accepted, so that the system reset them.
    it("answers requests on connections that are not accepted yet", async () => {
        await start();
        const connecting = Array.from({ length: 20 }, () => open());
        const drained = server.drain();
        const connections = await Promise.all(connecting);
        connections.forEach(({ socket }) => socket.write(request));
        await Promise.all(connections.map(({ closed }) => closed));
        await drained;
        // A connection on which nothing has arrived may be closed before its request comes.
        const ends = connections.map(connection => /^HTTP\/1.1 (?:200|408) /.test(connection.text()));
        expect(ends).toEqual(ends.map(() => true));
    });

    // `server.close` of Node.js destroys connections whose response is complete but not sent.
    it("sends a response in full whose client reads slowly", async () => {
        await start();
        const connection = await open();
        connection.socket.pause();
        connection.socket.write(request.replace("/run", "/long"));
        (await openUsed()).socket.destroy();
        const drained = server.drain();
        for (let turns = 0; turns < 20; turns++) {
            await turn();
        }
        connection.socket.resume();
        await connection.closed;
        await drained;
        expect(connection.text().length).toBeGreaterThan(longBodyBytes);
    });

    // A caller cannot tell a closed connection from a request that was cut while it ran.
    it("tells a request that crosses the close of its connection that it has not run", async () => {
        await start();
        const connection = await openUsed(true);
        const ended = new Promise<void>(resolve => connection.socket.once("end", resolve));
        const drained = server.drain();
        await ended;
        connection.socket.end(request);
        await connection.closed;
        await drained;
        expect(connection.text()).toMatch(/"run":1\}HTTP\/1.1 408 [^]*\r\n\r\n$/);
        expect(runs).toBe(1);
    });

    // An operator's change or a call with an idempotency key was cut although only its caller had gone.
    it("waits for the work of a request whose client has disconnected", async () => {
        await start();
        const connection = await open();
        connection.socket.write(request.replace("/run", "/wait"));
        while (waiting.length === 0) {
            await turn();
        }
        let isDrained = false;
        const drained = server.drain().then(() => (isDrained = true));
        connection.socket.destroy();
        await connection.closed;
        for (let turns = 0; turns < 20; turns++) {
            await turn();
        }
        expect(isDrained).toBe(false);
        waiting.forEach(release => release());
        await drained;
        expect(runs).toBe(1);
    });

    // The same connection was closed after the first response, and the second request, which ran, got none.
    it("answers both requests that have arrived one after the other on one connection", async () => {
        await start();
        const connection = await open();
        server.announceClose();
        connection.socket.write(request.replace("/run", "/wait").repeat(2));
        while (waiting.length < 2) {
            await turn();
        }
        const drained = server.drain();
        await turn();
        waiting.forEach(release => release());
        await connection.closed;
        await drained;
        expect(connection.text().match(/HTTP\/1.1 200 OK/g)).toHaveLength(2);
    });

    // Only the last request on a connection was looked at: a running one before it lost its response.
    it("does not close a connection with a running request for an incomplete one behind it", async () => {
        await start();
        const connections = trackConnections(server.server);
        const connection = await open();
        connection.socket.write(`${request.replace("/run", "/wait")}${head}content-length: 5\r\n\r\nab`);
        while (waiting.length < 1) {
            await turn();
        }
        await turn();
        connections.closeIncomplete();
        waiting.forEach(release => release());
        await connection.received(/"run":1\}/);
        connection.socket.write("cde");
        await connection.received(/"run":2\}/);
        expect(connection.text()).toContain("\"run\":2}");
        connection.socket.destroy();
    });

    it("does not wait for a client that neither sends nor closes", async () => {
        await start();
        const connection = await openUsed(true);
        await server.drain();
        expect(runs).toBe(1);
        connection.socket.destroy();
    });
});

describe("a call over a kept connection", () => {
    // The entry reported the outcome of such a call as unknown although it had not run.
    it("that crosses the close is certain not to have run", async () => {
        const answers = [
            "HTTP/1.1 200 OK\r\ncontent-length: 36\r\n\r\n{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}",
            "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        ];
        const peer = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => void socket.write(answers.shift() ?? ""));
        });
        await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", () => resolve()));
        const client = createRpcClient();
        const url = `http://127.0.0.1:${(peer.address() as AddressInfo).port}`;
        const answered = await client.call(url, "run", {}, { timeoutMs: 5_000 });
        const crossing = await client.call(url, "run", {}, { timeoutMs: 5_000 });
        expect([answered.isOk, crossing.isErr && crossing.error.delivered]).toEqual([true, "no"]);
        await client.close();
        peer.close();
    });
});
