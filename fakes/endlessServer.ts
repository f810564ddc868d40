/**
 * A faulty process that answers each request with bytes that never end, as fast as they are read.
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** What is sent once, and what is repeated after it. */
export interface EndlessBytes {
    readonly name: string;
    readonly begin: string;
    readonly repeat: string;
}

export interface EndlessServer {
    /** IP address and port. */
    readonly address: string;
    /** Bytes that its connections have taken so far. */
    readonly sentBytes: () => number;
    readonly close: () => void;
}

const blockBytes = 65_536;
const requestIdPattern = /x-gooseberrywell-request-id: (\S+)/iu;
const head = "HTTP/1.1 200 OK\r\nx-gooseberrywell-request-id: REQUEST\r\nx-gooseberrywell-response-seal: s\r\n";
const eventHead = `${head}content-type: text/event-stream\r\n`;
const chunked = "transfer-encoding: chunked\r\n\r\n";
const chunk = `${blockBytes.toString(16)}\r\n${"z".repeat(blockBytes)}\r\n`;

/** Faults in the head or in the body of a response; `REQUEST` stands for the id of the request. */
export const endlessBytes: readonly EndlessBytes[] = [
    { name: "no response", begin: "", repeat: "z" },
    { name: "empty lines", begin: "", repeat: "\r\n" },
    { name: "informational responses", begin: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { name: "informational responses with headers", begin: "", repeat: `HTTP/1.1 103 Early Hints\r\nx: ${head}\r\n` },
    { name: "a reason phrase", begin: "HTTP/1.1 200 ", repeat: "z" },
    { name: "a header", begin: `${head}x: `, repeat: "z" },
    { name: "header lines", begin: head, repeat: "x: z\r\n" },
    { name: "header lines without values", begin: head, repeat: "x:\r\n" },
    { name: "a body that ends with its connection", begin: `${head}\r\n`, repeat: "z" },
    { name: "a body in chunks", begin: head + chunked, repeat: chunk },
    { name: "the size of a chunk", begin: head + chunked, repeat: "0" },
    { name: "a chunk extension", begin: `${head + chunked}1;`, repeat: "z" },
    { name: "trailers", begin: `${head + chunked}0\r\n`, repeat: "x: z\r\n" },
    { name: "trailers without values", begin: `${head + chunked}0\r\n`, repeat: "x:\r\n" },
    { name: "an event", begin: `${eventHead}\r\ndata: `, repeat: "z" },
    { name: "line ends", begin: `${eventHead}\r\n`, repeat: "\n" },
    { name: "events", begin: `${eventHead}\r\n`, repeat: "id: 1\ndata: z\n\n" },
];

export async function startEndlessServer({ begin, repeat }: EndlessBytes): Promise<EndlessServer> {
    const block = repeat.repeat(Math.ceil(blockBytes / repeat.length));
    const sockets = new Set<Socket>();
    let closedBytes = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            sockets.delete(socket);
            closedBytes += socket.bytesWritten;
        });
        const writeMore = (): void => {
            while (!socket.destroyed && socket.write(block)) {
                // Written until the socket's buffer is full.
            }
        };
        socket.once("data", (request: Buffer) => {
            const [, requestId = ""] = requestIdPattern.exec(request.toString("latin1")) ?? [];
            socket.write(begin.replace("REQUEST", requestId));
            socket.on("drain", writeMore);
            writeMore();
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        sentBytes: () => [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, closedBytes),
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
