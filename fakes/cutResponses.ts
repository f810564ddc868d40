/**
 * Responses that a process stops writing before their end, at each place in the head and in the body, and a server that
 * writes them.
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { BodyFraming } from "../src/engines/enginePort.js";

export interface Response {
    /** Code and reason, such as `200 OK`. */
    readonly status: string;
    /** Lines without the header of the framing. */
    readonly headers: readonly string[];
    readonly body: string;
}

/** What is written of a response, and what is then done with its connection. */
export interface WrittenResponse {
    readonly name: string;
    /** Written with a pause between them. */
    readonly pieces: readonly string[];
    readonly close: "keep" | "end" | "reset";
    /** Whether a cut shows in the head, in the framing or in how the connection is closed. */
    readonly isMarked: boolean;
}

export interface ScriptedServer {
    /** IP address and port. */
    readonly address: string;
    readonly close: () => void;
}

type NamedText = readonly [string, string];

const pauseMs = 20;
const framings: readonly BodyFraming[] = ["length", "chunks", "connection"];
const closes = ["end", "reset"] as const;
const informational = "HTTP/1.1 103 Early Hints\r\n";
const requestLengthPattern = /\r\ncontent-length: (\d+)/iu;

function framingLine(framing: BodyFraming, body: string): string {
    return {
        length: `content-length: ${Buffer.byteLength(body)}\r\n`,
        chunks: "transfer-encoding: chunked\r\n",
        connection: "connection: close\r\n",
    }[framing];
}

function linesOf(headers: readonly string[]): string {
    return headers.map(line => `${line}\r\n`).join("");
}

function headOf({ status, headers, body }: Response, framing: BodyFraming): string {
    return `HTTP/1.1 ${status}\r\n${framingLine(framing, body)}${linesOf(headers)}\r\n`;
}

function chunkedBody(body: string): string {
    return `${body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`;
}

/** The response as a whole, in each framing. */
export function wholeResponses(response: Response): readonly WrittenResponse[] {
    return framings.map(framing => ({
        name: `whole, ${framing}`,
        pieces: [headOf(response, framing), framing === "chunks" ? chunkedBody(response.body) : response.body],
        close: framing === "connection" ? "end" : "keep",
        isMarked: false,
    }));
}

function statusLineCuts({ status }: Response): readonly NamedText[] {
    const line = `HTTP/1.1 ${status}`;
    return [
        ["nothing", ""],
        ["in the version", "HTTP/1."],
        ["in the status", "HTTP/1.1 2"],
        ["after the status", line.slice(0, "HTTP/1.1 200".length)],
        ["in the reason", line.slice(0, -1)],
        ["before the end of the status line", `${line}\r`],
        ["after the status line", `${line}\r\n`],
        ["in an informational response", `${informational}link: a`],
        ["after an informational response", `${informational}\r\n`],
        ["after an informational response that closes", `${informational}connection: close\r\n\r\n`],
        ["after an informational response of HTTP/1.0", `${informational.replace("1.1", "1.0")}\r\n`],
    ];
}

function headerCuts(response: Response, framing: BodyFraming): readonly NamedText[] {
    const lines = headOf(response, framing).slice(0, -"\r\n".length);
    return [
        ["in a header name", `${lines}x-c`],
        ["after a header name", `${lines}x-cut:`],
        ["in a header value", `${lines}x-cut: val`],
        ["before the end of a header line", `${lines}x-cut: value\r`],
        ["before the blank line", lines],
        ["in the blank line", `${lines}\r`],
        ["before the blank line, LF alone", lines.replaceAll("\r\n", "\n")],
        ["before the blank line, HTTP/1.0", lines.replace("1.1", "1.0")],
        ["before the blank line, after an informational response", `${informational}\r\n${lines}`],
    ];
}

/** Heads that stop before their blank line, with each framing announced so far. */
export function cutHeads(response: Response): readonly WrittenResponse[] {
    const cuts = [
        ...statusLineCuts(response),
        ...framings.flatMap(framing =>
            headerCuts(response, framing).map(([name, text]): NamedText => [`${name}, ${framing}`, text])
        ),
    ];
    const lines = headOf(response, "length").slice(0, -"\r\n".length);
    const heads: readonly Omit<WrittenResponse, "isMarked">[] = [
        ...cuts.flatMap(([name, text]) => closes.map(close => ({ name: `${name}, ${close}`, pieces: [text], close }))),
        { name: "before the blank line, a pause, end", pieces: [lines, ""], close: "end" },
        { name: "in the blank line, a pause, end", pieces: [lines, "\r", ""], close: "end" },
        { name: "before the blank line, then nothing", pieces: [lines], close: "keep" },
    ];
    return heads.map(head => ({ ...head, isMarked: true }));
}

function bodyCuts({ body }: Response, framing: BodyFraming, close: typeof closes[number]): readonly NamedText[] {
    const half = body.slice(0, body.length / 2);
    const size = body.length.toString(16);
    const chunk = `${size}\r\n${body}\r\n`;
    return {
        length: [["no body", ""], ["in the body", half], ["the last byte", body.slice(0, -1)]] as const,
        chunks: [
            ["no chunk", ""],
            ["in the size of a chunk", size.slice(0, 1)],
            ["after the size of a chunk", `${size}\r\n`],
            ["in a chunk", `${size}\r\n${half}`],
            ["before the end of a chunk", `${size}\r\n${body}`],
            ["before the last chunk", chunk],
            ["in the last chunk", `${chunk}0`],
            ["before the end of the last chunk", `${chunk}0\r\n`],
            ["in the end of the last chunk", `${chunk}0\r\n\r`],
            ["in a trailer", `${chunk}0\r\nx-trailer: a`],
        ] as const,
        connection: [
            ["no body", ""],
            ["in the body", half],
            // A reset leaves open whether this was all.
            ...close === "reset" ? [["after the body", body] as const] : [],
        ] as const,
    }[framing];
}

/** Bodies that stop before their end, behind a whole head, which is written before the body or together with it. */
export function cutBodies(response: Response): readonly WrittenResponse[] {
    return framings.flatMap(framing => closes.flatMap(close => cutBodiesOf(response, framing, close)));
}

function cutBodiesOf(
    response: Response,
    framing: BodyFraming,
    close: typeof closes[number],
): readonly WrittenResponse[] {
    return bodyCuts(response, framing, close).flatMap(([name, text]) =>
        ["", "connection: close"].flatMap(header => {
            const headers = [...response.headers, ...header === "" ? [] : [header]];
            const head = headOf({ ...response, headers }, framing);
            return [[head, text], [head + text]].map(pieces => ({
                name: [name, framing, header, close, `${pieces.length}`].filter(part => part !== "").join(", "),
                pieces,
                close,
                isMarked: framing !== "connection" || close === "reset",
            }));
        })
    );
}

/** Writes one of `responses` for each request, on whatever connection it comes; the last one repeats. */
export async function startScriptedServer(responses: readonly WrittenResponse[]): Promise<ScriptedServer> {
    const sockets = new Set<Socket>();
    let requests = 0;
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        let received = "";
        socket.on("data", (bytes: Buffer) => {
            received += bytes.toString("latin1");
            const headEnd = received.indexOf("\r\n\r\n") + "\r\n\r\n".length;
            const length = Number(requestLengthPattern.exec(received)?.[1] ?? 0);
            if (headEnd < "\r\n\r\n".length || received.length < headEnd + length) {
                return;
            }
            received = "";
            const response = responses[Math.min(requests, responses.length - 1)];
            requests += 1;
            if (response !== undefined) {
                void writeResponse(socket, response);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

async function writeResponse(socket: Socket, { pieces, close }: WrittenResponse): Promise<void> {
    const [first = "", ...rest] = pieces;
    await new Promise<void>(resolve => socket.write(first, () => resolve()));
    for (const piece of rest) {
        await delay(pauseMs);
        await new Promise<void>(resolve => socket.write(piece, () => resolve()));
    }
    if (close === "end") {
        socket.end();
    }
    if (close === "reset") {
        socket.resetAndDestroy();
    }
}
