/**
 * HTTP/1.1 connections for undici that guard against faulty peers: a head or trailers without end neither block this
 * process nor use up its memory, and a response whose status is none of HTTP is an error. A reset is always an error with
 * the guarded connector.
 *
 * A peer may send a response that belongs to no request, at the point where the next one is expected; each later response
 * on that connection would then be taken for that to the next request. The sender of a request can check for this
 * (`checkResponse`) before the connection carries another one; afterwards it would be too late to close it.
 *
 * The parser keeps an object of about 100 bytes for each name and each value of a head, and limits only the bytes of
 * both; 16 KB of the shortest lines would take 3 MB for each call.
 */

import type { Socket } from "node:net";
import { Agent, Client, Pool } from "undici";
import type { buildConnector, Dispatcher } from "undici";
import { countReadBytes } from "./bufferCollection.js";

export interface GuardedClientOptions extends Client.Options {
    readonly connect: buildConnector.connector;
}

export interface GuardedAgentOptions extends Agent.Options {
    readonly connect: buildConnector.connector;
}

/** Looks up the first value of a header by its name in lower case. */
export type HeaderLookup = (name: string) => string | undefined;

export interface ResponseCheck {
    /** Called with each part of the body. */
    readonly onData?: (chunk: Buffer) => void;
    /**
     * Whether the connection may carry further requests. Called when the response is complete, before another request is
     * sent on the connection; must not throw.
     */
    readonly mayReuse: () => boolean;
}

export interface CheckedRequestOptions extends Dispatcher.RequestOptions {
    /** Called with the head of the final response. By default the connection may be reused. */
    readonly checkResponse?: (status: number, header: HeaderLookup) => ResponseCheck;
}

/** Far more than a response has. Status lines and empty lines count, and those of trailers are counted apart. */
export const maxHeaderLines = 256;
export const headerLinesErrorCode = "TOO_MANY_HEADER_LINES";
export const invalidStatusErrorCode = "INVALID_STATUS";

/** Large enough for most heads. */
const headPieceBytes = 1_024;
/** Large enough for most responses. */
const bodyPieceBytes = 4_096;
/** Line ends between two parts of a body; more belong to trailers. */
const maxBodyLines = 3;
/** Statuses of HTTP. */
const minStatus = 100;
const maxStatus = 599;
const minFinalStatus = 200;
const lineEnd = "\n".charCodeAt(0);

/** What the parser was handed on the current connection. */
interface Reading {
    socket: Socket | undefined;
    /** The latest piece, from the latest part of a body on; `undefined` if it held the end of a head or response. */
    piece: Buffer | undefined;
    /** Lines of the pieces before it since the latest such part. */
    lines: number;
    isInBody: boolean;
}

export class GuardedClient extends Client {
    readonly #reading: Reading;

    constructor(url: string | URL, { connect, ...options }: GuardedClientOptions) {
        const reading: Reading = { socket: undefined, piece: undefined, lines: 0, isInBody: false };
        super(url, {
            ...options,
            connect: (connectOptions, callback) =>
                connect(connectOptions, (...outcome) => {
                    // After a failure undici passes no second argument, contrary to the declared type.
                    const socket: Socket | null | undefined = outcome[1];
                    reading.socket = socket ?? undefined;
                    if (socket) {
                        readInPieces(socket, reading);
                    }
                    callback(...outcome);
                }),
        });
        this.#reading = reading;
    }

    protected closeSocket(): void {
        this.#reading.socket?.destroy();
    }

    override dispatch(
        options: Dispatcher.DispatchOptions & Pick<CheckedRequestOptions, "checkResponse">,
        handler: Dispatcher.DispatchHandler,
    ): boolean {
        const onConnect = handler.onConnect?.bind(handler);
        const onHeaders = handler.onHeaders?.bind(handler);
        const onData = handler.onData?.bind(handler);
        const onComplete = handler.onComplete?.bind(handler);
        let abortRequest: (error: Error) => void = () => undefined;
        let check: ResponseCheck | undefined;
        handler.onConnect = abort => {
            abortRequest = abort;
            this.#startPart(false);
            onConnect?.(abort);
        };
        handler.onHeaders = (status, rawHeaders, ...rest) => {
            this.#startPart(status >= minFinalStatus);
            if (status < minStatus || status > maxStatus) {
                abortRequest(createInvalidStatusError(status));
                return false;
            }
            // The lines of a head that arrived in one piece have not been counted.
            if (rawHeaders.length > 2 * maxHeaderLines) {
                abortRequest(createHeaderLinesError());
                return false;
            }
            if (status >= minFinalStatus) {
                check = options.checkResponse?.(status, headerLookup(rawHeaders));
            }
            return onHeaders?.(status, rawHeaders, ...rest) ?? true;
        };
        handler.onData = chunk => {
            this.#startPart(true, chunk);
            check?.onData?.(chunk);
            return onData?.(chunk) ?? true;
        };
        handler.onComplete = trailers => {
            this.#startPart(false);
            if (check?.mayReuse() === false) {
                this.closeSocket();
            }
            onComplete?.(trailers);
        };
        return super.dispatch(options, handler);
    }

    /** Starts to count anew, after `chunk` in the piece that the parser is reading if that is known. */
    #startPart(isInBody: boolean, chunk?: Buffer): void {
        const { piece } = this.#reading;
        const isInPiece = chunk !== undefined && piece?.buffer === chunk.buffer;
        const rest = isInPiece ? piece?.subarray(chunk.byteOffset - piece.byteOffset + chunk.length) : undefined;
        Object.assign(this.#reading, { piece: rest, lines: 0, isInBody });
    }
}

/** Looks up headers given as alternating names and values. */
export function headerLookup(rawHeaders: readonly (string | Buffer)[]): HeaderLookup {
    return name => {
        const index = rawHeaders.findIndex((candidate, position) =>
            position % 2 === 0 && String(candidate).toLowerCase() === name
        );
        return index < 0 ? undefined : String(rawHeaders[index + 1]);
    };
}

/** Creates an agent whose connections are guarded. */
export function createGuardedAgent({ connect, ...options }: GuardedAgentOptions): Agent {
    return new Agent({
        ...options,
        factory: (origin, poolOptions: Pool.Options) =>
            new Pool(origin, {
                ...poolOptions,
                factory: (url, clientOptions) => new GuardedClient(url, { ...clientOptions, connect }),
            }),
    });
}

/**
 * Hands out what has arrived in pieces, and nothing once the socket is destroyed. The parser goes on to the end of a piece
 * after it has rejected a head, at a cost for each further header line, so a faulty sender would block this process.
 */
function readInPieces(socket: Socket, reading: Reading): void {
    Object.assign(reading, { piece: undefined, lines: 0, isInBody: false });
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => {
        if (socket.destroyed) {
            return null;
        }
        if (reading.piece !== undefined) {
            const lines = countLines(reading.piece);
            reading.lines += lines;
            reading.piece = undefined;
            reading.isInBody &&= lines < maxBodyLines;
        }
        if (reading.lines > maxHeaderLines) {
            socket.destroy(createHeaderLinesError());
            return null;
        }
        const pieceBytes = reading.isInBody ? bodyPieceBytes : headPieceBytes;
        const piece = socket.readableLength > pieceBytes ? read(pieceBytes) : read(size);
        reading.piece = piece ?? undefined;
        countReadBytes(piece?.length ?? 0);
        return piece;
    };
}

function createHeaderLinesError(): Error {
    const error = new Error(`the response has more than ${maxHeaderLines} header lines`);
    return Object.assign(error, { code: headerLinesErrorCode });
}

function createInvalidStatusError(status: number): Error {
    const error = new Error(`the response has the invalid status ${status}`);
    return Object.assign(error, { code: invalidStatusErrorCode });
}

function countLines(piece: Buffer): number {
    let lines = 0;
    for (let index = piece.indexOf(lineEnd); index >= 0; index = piece.indexOf(lineEnd, index + 1)) {
        lines += 1;
    }
    return lines;
}
