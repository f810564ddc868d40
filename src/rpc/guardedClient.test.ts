/**
 * Guarded connections against a server whose heads and trailers have many lines, in one write or a few lines at a time.
 */

import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import { FreshPool } from "./freshPool.js";
import { createGuardedAgent, headerLinesErrorCode, invalidStatusErrorCode, maxHeaderLines } from "./guardedClient.js";
import { createGuardedConnector } from "./guardedConnector.js";

const connectTimeoutMs = 10_000;
const start = "HTTP/1.1 200 OK\r\n";
const chunked = `${start}transfer-encoding: chunked\r\n\r\n`;
const connect = createGuardedConnector(connectTimeoutMs);

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
    sockets.forEach(socket => socket.destroy());
    server?.close();
});

/** Answers each request with the pieces; returns the server's base URL. */
async function listen(pieces: readonly string[]): Promise<string> {
    const listening = createServer(socket => {
        sockets.add(socket.on("error", () => undefined));
        socket.on("data", async () => {
            for (const piece of pieces) {
                await new Promise<void>(resolve => socket.write(piece, () => resolve()));
                await nextTurn();
            }
        });
    });
    server = listening;
    await new Promise<void>(resolve => listening.listen(0, "127.0.0.1", () => resolve()));
    return `http://127.0.0.1:${(listening.address() as AddressInfo).port}`;
}

async function get(dispatcher: Dispatcher, origin: string): Promise<string> {
    try {
        const { body } = await dispatcher.request({ origin, path: "/", method: "GET" });
        return await body.text();
    }
    catch (error) {
        return (error as { readonly code?: string; }).code ?? "";
    }
}

const dispatchers: readonly (readonly [string, (origin: string) => Dispatcher])[] = [
    ["an agent", () => createGuardedAgent({ connect })],
    ["a pool", origin => new FreshPool(origin, { connect })],
];
const manyLines = maxHeaderLines + 2_000;
const shortLines = (count: number): readonly string[] => Array.from({ length: count }, () => "x:\r\n");
const cases = [
    { what: "a head of few lines", before: [start], lines: 200, after: "content-length: 2\r\n\r\nok", result: "ok" },
    {
        what: "a head of slightly more lines",
        before: [start],
        lines: maxHeaderLines + 44,
        after: "content-length: 2\r\n\r\nok",
    },
    { what: "a head of many lines", before: [start], lines: manyLines, after: "content-length: 2\r\n\r\nok" },
    { what: "few trailers", before: [chunked, "2\r\nok\r\n0\r\n"], lines: 200, after: "\r\n", result: "ok" },
    { what: "trailers that do not end", before: [chunked, "2\r\nok\r\n0\r\n"], lines: 1_000, after: "" },
    // Here they arrive in the same piece as the end of the body.
    {
        what: "trailers that do not end after a larger body",
        before: [chunked, `400\r\n${"z".repeat(0x400)}\r\n0\r\n`],
        lines: 1_000,
        after: "",
    },
    { what: "many trailers", before: [chunked, "2\r\nok\r\n0\r\n"], lines: manyLines, after: "\r\n" },
    {
        what: "a body of many lines",
        before: [`${start}content-length: ${manyLines * 4}\r\n\r\n`],
        lines: manyLines,
        after: "",
        result: shortLines(manyLines).join(""),
    },
    {
        what: "a body of many chunks",
        before: [chunked, ...Array.from({ length: manyLines }, () => "1\r\nz\r\n")],
        lines: 0,
        after: "0\r\n\r\n",
        result: "z".repeat(manyLines),
    },
];

const statusCases: readonly (readonly [status: string, result: string])[] = [
    ["000", invalidStatusErrorCode],
    ["099", invalidStatusErrorCode],
    ["200", "ok"],
    ["599", "ok"],
    ["600", invalidStatusErrorCode],
    ["999", invalidStatusErrorCode],
    // The parser reads no status of four digits.
    ["1000", ""],
];

describe.each(dispatchers)("%s", (name, createDispatcher) => {
    // The lines of a few hundred heads or trailers at a time used up the memory of an entry.
    describe.each(cases)("$what", ({ before, lines, after, result = headerLinesErrorCode }) => {
        const pieces = [...before, ...shortLines(lines), after];
        it.each([
            ["in one write", [pieces.join("")]],
            ["line by line", pieces],
        ])("%s", async (how, writes) => {
            const origin = await listen(writes);
            const dispatcher = createDispatcher(origin);
            expect(await get(dispatcher, origin)).toBe(result);
            // The limit holds for each response, not for a connection.
            expect(await get(dispatcher, origin)).toBe(result);
            await dispatcher.destroy();
        });
    });

    // Guards against a status that is none of HTTP being taken for an answer of an engine, the store or another entry.
    it.each(statusCases)("status %s: %s", async (status, result) => {
        const origin = await listen([`HTTP/1.1 ${status} Odd\r\ncontent-length: 2\r\n\r\nok`]);
        const dispatcher = createDispatcher(origin);
        expect(await get(dispatcher, origin)).toBe(result);
        await dispatcher.destroy();
    });
});
