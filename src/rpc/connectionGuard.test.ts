/**
 * Connections whose memory is bounded: ordinary requests are served whole and in order, what exceeds a limit is refused,
 * and nothing stays charged.
 */

import { connect } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createBudgetOf } from "./connectionBudget.js";
import type { ConnectionBudget } from "./connectionBudget.js";
import { bodyErrorStatuses, listen, readBody, sendJson } from "./httpServer.js";
import type { HttpServer } from "./httpServer.js";

const maxBodyBytes = 300_000;
let server: HttpServer;
let budget: ConnectionBudget;

afterEach(() => server.close());

/** Answers each request with the number of its path and the size of its body. */
async function start(limitBytes: number, maxConnections?: number): Promise<void> {
    budget = createBudgetOf(limitBytes);
    server = await listen("127.0.0.1", 0, (method, path) => async (request, response) => {
        const body = await readBody(request, maxBodyBytes);
        if (body.isErr) {
            sendJson(response, bodyErrorStatuses[body.error.kind], body.error.kind);
            return;
        }
        sendJson(response, 200, `${path} ${body.value.length} ${body.value.every(byte => byte === 0x78)}`);
    }, { budget, maxConnections });
}

/** Sends bytes on a connection of their own and reads until `until` matches or the connection ends. */
function exchange(bytes: string, until = /never/): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(Number(new URL(server.url).port), "127.0.0.1", () => socket.write(bytes));
        let text = "";
        socket.on("data", (data: Buffer) => {
            text += data.toString();
            if (until.test(text)) {
                socket.destroy();
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(text));
    });
}

async function allReleased(): Promise<void> {
    while (budget.heldBytes() !== 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

const head = (path: string, framing: string): string => `POST ${path} HTTP/1.1\r\nhost: x\r\n${framing}\r\n\r\n`;
const chunked = "transfer-encoding: chunked";
const chunks = (sizeBytes: number, count: number): string =>
    `${sizeBytes.toString(16)}\r\n${"x".repeat(sizeBytes)}\r\n`.repeat(count);

const servedCases: readonly (readonly [string, string, string])[] = [
    ["in chunks of one byte", `${head("/a", chunked)}${chunks(1, maxBodyBytes)}0\r\n\r\n`, `/a ${maxBodyBytes} true`],
    ["in chunks of 5,000 bytes", `${head("/a", chunked)}${chunks(5_000, 60)}0\r\n\r\n`, `/a ${maxBodyBytes} true`],
    [
        "with a length",
        `${head("/a", `content-length: ${maxBodyBytes}`)}${"x".repeat(maxBodyBytes)}`,
        `/a ${maxBodyBytes} true`,
    ],
    ["of no bytes", head("/a", "content-length: 0"), "/a 0 true"],
];

describe("a connection whose memory is bounded", () => {
    it.each(servedCases)("gets a body at the limit served %s", async (name, bytes, expected) => {
        await start(1_000_000);
        expect(await exchange(bytes, /true/)).toContain(expected);
        await allReleased();
    });

    it("gets all requests sent ahead answered in order", async () => {
        await start(1_000_000);
        const paths = Array.from({ length: 500 }, (unused, index) => `/${index}`);
        const bytes = paths.map((path, index) =>
            index % 3 === 0
                ? `${head(path, chunked)}${chunks(7, 3)}0\r\n\r\n`
                : `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`
        );
        const text = await exchange(bytes.join(""), /"\/499 /);
        expect([...text.matchAll(/"(\/\d+) /gu)].map(match => match[1])).toEqual(paths);
        await allReleased();
    });

    it.each([
        ["announced", `${head("/a", `content-length: ${maxBodyBytes + 1}`)}`, "413"],
        ["in chunks", `${head("/a", chunked)}${chunks(5_000, 61)}`, "413"],
    ])("is refused and closed with a body over the limit, %s", async (name, bytes, status) => {
        await start(1_000_000);
        expect(await exchange(bytes)).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
        await allReleased();
    });

    // The connection closed over unread bytes, which resets it: a client that was still sending had not read its response.
    it("gets its response although it still sends a body that is refused", async () => {
        await start(1_000_000);
        const announced = 16 * maxBodyBytes;
        const text = await new Promise<string>(resolve => {
            const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
            socket.on("error", () => undefined);
            socket.write(head("/a", `content-length: ${announced}`));
            let sent = 0;
            const sending = setInterval(() => {
                sent += 1;
                socket.write("x".repeat(maxBodyBytes / 10));
                if (sent === 10) {
                    socket.on("data", (data: Buffer) => (received += data.toString()));
                }
            }, 10);
            let received = "";
            socket.on("close", () => {
                clearInterval(sending);
                resolve(received);
            });
        });
        expect(text).toMatch(/^HTTP\/1.1 413 /u);
        await allReleased();
    });

    it("is refused as not run if its unfinished body is the largest over the budget", async () => {
        await start(500_000);
        const large = exchange(`${head("/large", chunked)}${chunks(5_000, 50)}`);
        while (budget.heldBytes() < 250_000) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const small = exchange(`${head("/small", chunked)}${chunks(5_000, 25)}0\r\n\r\n`, /true/);
        const medium = exchange(`${head("/medium", chunked)}${chunks(5_000, 25)}0\r\n\r\n`, /true/);
        expect([await large, await small, await medium]).toEqual([
            expect.stringMatching(/^HTTP\/1.1 503 /),
            expect.stringContaining("/small 125000 true"),
            expect.stringContaining("/medium 125000 true"),
        ]);
        await allReleased();
    });

    // The connection closed without a word, over a request that had arrived.
    it("is told that nothing more has run if it is closed as idle for another one", async () => {
        await start(1_000_000, 1);
        const { port } = new URL(server.url);
        let text = "";
        const idle = connect(Number(port), "127.0.0.1", () => idle.write(head("/a", "content-length: 0")));
        idle.on("data", (data: Buffer) => (text += data.toString())).on("error", () => undefined);
        const closed = new Promise(resolve => idle.once("close", resolve));
        while (!text.includes("/a 0")) {
            await new Promise(resolve => setImmediate(resolve));
        }
        // It has arrived, and is not read, when the connection is closed.
        server.server.prependOnceListener("connection", () => idle.write(head("/c", "content-length: 0")));
        const crossing = exchange(head("/b", "content-length: 0"), /true/);
        await closed;
        expect(await crossing).toContain("/b 0");
        expect(text).toMatch(/ (503|408) |\/c 0/);
    });

    // The connection stayed paused for good, with bytes that nothing parsed.
    it("does not stay open for good after an error that nothing handles", async () => {
        await start(1_000_000);
        const errors: unknown[] = [];
        const earlier = process.listeners("uncaughtException");
        process.removeAllListeners("uncaughtException");
        process.on("uncaughtException", error => void errors.push(error));
        server.server.on("request", request => {
            if (request.url === "/failing") {
                throw new Error("test");
            }
        });
        const framing = "content-length: 20000";
        const sent = exchange(
            `${head("/failing", framing)}${"x".repeat(20_000)}${head("/b", "content-length: 0")}`,
            /"\/b /,
        );
        const text = await Promise.race([sent, new Promise(resolve => setTimeout(resolve, 2_500, "open"))]);
        process.removeAllListeners("uncaughtException");
        earlier.forEach(listener => process.on("uncaughtException", listener));
        expect(errors).toHaveLength(1);
        expect(text).not.toBe("open");
        await allReleased();
    });
});
