/**
 * Bounds what the connections of an HTTP server hold in memory.
 *
 * What a connection has sent is passed to the parser in pieces, and no further one while several of its requests are
 * unanswered: the parser creates all requests of a piece at once. The connections take turns in this. What waits, heads
 * and bodies that have not arrived whole and requests sent ahead are charged to a budget. A connection that yields sends
 * nothing more to the parser, and its requests that have not been read whole are refused; none of them has run.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { countReadBytes } from "./bufferCollection.js";
import type { ConnectionBudget, Holding } from "./connectionBudget.js";
import { processFeedTurns } from "./feedTurns.js";

/** Why a connection ends before its requests have arrived whole. */
export type YieldCause = "overBudget" | "tooSlow" | "tooLarge";

/** A connection whose memory is bounded. */
export interface GuardedConnection {
    /** Cause for which its further requests are refused; `undefined` if they are served. */
    readonly yielded: () => YieldCause | undefined;
    /** Whether bytes that have been read wait for the parser. */
    readonly hasUnparsed: () => boolean;
    /** Takes nothing more from the connection and closes it after its responses. */
    readonly yieldFor: (cause: YieldCause) => void;
    /** Begins a body; `onYield` is called if the connection yields before `complete`. */
    readonly openBody: (request: IncomingMessage, onYield: (cause: YieldCause) => void) => BodyHolding;
}

export interface BodyHolding {
    /** Charges the body with the bytes that it takes in total; false if it has yielded. */
    readonly charge: (bytes: number) => boolean;
    /** Counts bytes that have arrived. */
    readonly receive: (bytes: number) => void;
    /** The body has arrived whole and may not yield any more; its charge is released with the response. */
    readonly complete: () => void;
}

export interface ConnectionGuardOptions {
    readonly budget: ConnectionBudget;
    /** More connections than this close an idle one, or else the new one; `undefined`: no limit. */
    readonly maxConnections?: number | undefined;
    readonly onYield?: (cause: YieldCause | "tooMany") => void;
}

/** Requests of one connection that are taken before the first of them is answered. */
const maxRequestsAhead = 4;
/** Largest piece that is passed to the parser at once, and in a body of which more than `longBodyBytes` have arrived. */
const pieceBytes = 1_024;
const longBodyPieceBytes = 4_096;
const longBodyBytes = 32_768;
/** What the runtime holds for a request besides its body, and for each byte of a head that has not arrived whole. */
const requestCostBytes = 8_192;
const headCostFactor = 4;
/** What the runtime takes for a moment for each chunk of a body besides its bytes. */
const chunkCostBytes = 256;
/** What a paused connection may have read already. */
const readAheadBytes = 65_536;
/** A body may take this long, and a second more for each `minBodyBytesPerSecond` that has arrived. */
const bodyPatienceMs = 30_000;
const minBodyBytesPerSecond = 1_000;
const sweepMs = 5_000;
/** A connection that closes while its client still sends is read on for so long, and so far. */
const lingerMs = 1_000;
const lingerBytes = 8 * 1_024 * 1_024;
const msPerSecond = 1_000;
const overloadedResponse =
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

interface Body {
    readonly holding: Holding;
    readonly onYield: (cause: YieldCause) => void;
    readonly startedAtMs: number;
    receivedBytes: number;
    isComplete: boolean;
}

/** Set by the runtime while it waits for the client to read responses; the parser accepts nothing then. */
interface RuntimePause {
    readonly _paused?: boolean;
}

const guarded = new WeakMap<Socket, GuardedConnection>();

/** `undefined` for a connection of a server without a guard. */
export function guardOf(socket: Socket): GuardedConnection | undefined {
    return guarded.get(socket);
}

/** To be called before the server listens. */
export function guardConnections(
    server: Server,
    { budget, maxConnections = Number.POSITIVE_INFINITY, onYield = () => undefined }: ConnectionGuardOptions,
): void {
    interface State extends GuardedConnection {
        readonly running: Map<ServerResponse, IncomingMessage>;
        readonly bodies: Map<IncomingMessage, Body>;
        readonly feed: () => void;
        readonly closeIfDone: () => void;
        readonly start: (request: IncomingMessage) => void;
    }
    const states = new Map<Socket, State>();

    /** The connection that was opened first of those without a request that has begun. */
    function firstIdle(except: State): State | undefined {
        for (const state of states.values()) {
            if (state !== except && state.running.size === 0 && state.yielded() === undefined) {
                return state;
            }
        }
        return undefined;
    }

    function guard(socket: Socket): void {
        const deliver = socket.listeners("data")[0] as ((piece: Buffer) => void) | undefined;
        if (deliver === undefined) {
            return;
        }
        const running: State["running"] = new Map();
        const bodies: State["bodies"] = new Map();
        let unfed: Buffer | undefined;
        let isFeeding = false;
        let isWaiting = false;
        let headBytes = 0;
        /** Bytes passed to the parser since the last request began. */
        let bytesSinceStart = 0;
        let chargedBytes = 0;
        let last: IncomingMessage | undefined;
        let cause: YieldCause | undefined;
        /** Bytes that a connection that closes may still send; `undefined` before it closes. */
        let discardableBytes: number | undefined;

        function isInBody(): boolean {
            return last !== undefined && !last.complete;
        }

        function mustWait(): boolean {
            return running.size >= maxRequestsAhead && !isInBody()
                || (socket as RuntimePause)._paused === true
                || last !== undefined && isInBody() && last.readableLength >= last.readableHighWaterMark;
        }

        function canFeed(): boolean {
            return unfed !== undefined && !mustWait() && cause === undefined;
        }

        function feed(): void {
            if (isFeeding || cause !== undefined || discardableBytes !== undefined) {
                return;
            }
            if (canFeed()) {
                processFeedTurns.feed(feedShare);
            }
            settle();
        }

        function feedShare(mayGoOn: () => boolean): boolean {
            if (isFeeding) {
                return false;
            }
            isFeeding = true;
            let hasFailed = true;
            try {
                while (canFeed()) {
                    feedPiece();
                    if (!mayGoOn()) {
                        break;
                    }
                }
                hasFailed = false;
            }
            finally {
                isFeeding = false;
                if (hasFailed) {
                    // The process goes on after an error that nothing handles, but this parser may not.
                    yieldFor("overBudget");
                }
            }
            settle();
            return canFeed();
        }

        function feedPiece(): void {
            if (unfed === undefined) {
                return;
            }
            const isInLongBody = isInBody() && bytesSinceStart > longBodyBytes;
            const length = Math.min(unfed.length, isInLongBody ? longBodyPieceBytes : pieceBytes);
            const piece = unfed.subarray(0, length);
            unfed = length === unfed.length ? undefined : unfed.subarray(length);
            const wasInBody = isInBody();
            const wasWritable = socket.writable;
            headBytes += length;
            bytesSinceStart += length;
            deliver?.(piece);
            if (wasWritable && !socket.writable) {
                // The rest of invalid input would be reported as a further error.
                unfed = undefined;
            }
            if (wasInBody || isInBody()) {
                headBytes = 0;
            }
        }

        /** Charges the connection for what waits, and reads no more while something does. */
        function settle(): void {
            chargeConnection();
            if (cause !== undefined || discardableBytes !== undefined) {
                return;
            }
            if (unfed !== undefined || mustWait()) {
                isWaiting = true;
                // The runtime resumes a connection whose request can take more of its body, whatever waits here.
                if (!socket.isPaused()) {
                    socket.pause();
                }
            }
            else if (isWaiting) {
                isWaiting = false;
                if ((socket as RuntimePause)._paused !== true) {
                    socket.resume();
                }
            }
        }

        function dropUnparsed(): void {
            unfed = undefined;
            processFeedTurns.leave(feedShare);
        }

        /** Requests behind the first one, a head that has arrived in part, and what has been read and waits. */
        function chargeConnection(): void {
            const waitingBytes = unfed === undefined ? 0 : unfed.length + readAheadBytes;
            const bytes = Math.max(0, running.size - 1) * requestCostBytes + headBytes * headCostFactor + waitingBytes;
            if (bytes !== chargedBytes && cause === undefined) {
                chargedBytes = bytes;
                holding.charge(bytes);
            }
        }

        function yieldFor(yieldCause: YieldCause): void {
            if (cause !== undefined) {
                return;
            }
            cause = yieldCause;
            onYield(yieldCause);
            dropUnparsed();
            holding.release();
            socket.pause();
            for (const body of bodies.values()) {
                if (!body.isComplete) {
                    body.holding.release();
                    body.onYield(yieldCause);
                }
            }
            if (running.size === 0 && socket.writable) {
                // Also on an idle connection: a request may have arrived that was not read.
                socket.write(overloadedResponse);
            }
            closeIfDone();
        }

        /**
         * Closes once all responses are written. The operating system resets a connection that closes over unread bytes, and the
         * client may lose responses that it has not read yet; so what it still sends is read and discarded.
         */
        function closeSoon(): void {
            const isSending = isInBody() || cause !== undefined || unfed !== undefined || socket.readableLength > 0;
            if (!isSending || socket.destroyed) {
                destroySoon();
                return;
            }
            if (discardableBytes !== undefined) {
                return;
            }
            discardableBytes = lingerBytes;
            dropUnparsed();
            holding.release();
            socket.end();
            socket.resume();
            if (states.size > maxConnections) {
                // It holds a descriptor, so only what has arrived is read.
                setImmediate(() => setImmediate(destroySoon));
                return;
            }
            const timer = setTimeout(destroySoon, lingerMs);
            socket.once("end", destroySoon);
            socket.once("close", () => clearTimeout(timer));
        }

        function closeIfDone(): void {
            if (cause !== undefined && running.size === 0) {
                socket.destroySoon();
            }
        }

        const holding = budget.open({ mayYield: () => true, onYield: () => yieldFor("overBudget") });

        const state: State = {
            running,
            bodies,
            feed,
            closeIfDone,
            yielded: () => cause,
            hasUnparsed: () => unfed !== undefined || socket.readableLength > 0,
            yieldFor,
            start: request => {
                if (running.size > 1) {
                    countReadBytes(requestCostBytes);
                }
                last = request;
                headBytes = 0;
                bytesSinceStart = 0;
            },
            openBody: (request, onBodyYield) => {
                const body: Body = {
                    holding: budget.open({
                        mayYield: () => !body.isComplete,
                        onYield: () => yieldFor("overBudget"),
                    }),
                    onYield: onBodyYield,
                    startedAtMs: performance.now(),
                    receivedBytes: 0,
                    isComplete: false,
                };
                bodies.set(request, body);
                return {
                    charge: body.holding.charge,
                    receive: bytes => {
                        body.receivedBytes += bytes;
                        countReadBytes(chunkCostBytes);
                    },
                    complete: () => {
                        body.isComplete = true;
                    },
                };
            },
        };
        states.set(socket, state);
        guarded.set(socket, state);

        const destroySoon = socket.destroySoon.bind(socket);
        // The runtime calls this too, after a response that is the last one on its connection.
        socket.destroySoon = closeSoon;
        socket.removeListener("data", deliver);
        socket.on("data", (chunk: Buffer) => {
            countReadBytes(chunk.length);
            if (discardableBytes !== undefined) {
                discardableBytes -= chunk.length;
                if (discardableBytes <= 0) {
                    destroySoon();
                }
            }
            else if (cause === undefined) {
                unfed = unfed === undefined ? chunk : Buffer.concat([unfed, chunk]);
                feed();
            }
        });
        socket.on("resume", feed);
        socket.on("drain", feed);
        // The runtime has ended its side too: nothing that waits could be answered.
        socket.once("end", dropUnparsed);
        socket.once("close", () => {
            states.delete(socket);
            holding.release();
            bodies.forEach(body => body.holding.release());
            bodies.clear();
            dropUnparsed();
        });
        if (states.size > maxConnections) {
            onYield("tooMany");
            (firstIdle(state) ?? state).yieldFor("overBudget");
        }
    }

    server.on("connection", guard);
    server.prependListener("request", (request, response) => {
        const state = states.get(request.socket);
        if (state === undefined) {
            return;
        }
        state.running.set(response, request);
        state.start(request);
        response.once("close", () => {
            state.running.delete(response);
            state.bodies.get(request)?.holding.release();
            state.bodies.delete(request);
            state.closeIfDone();
            state.feed();
        });
    });

    const sweep = setInterval(() => {
        const nowMs = performance.now();
        for (const { bodies, yieldFor } of states.values()) {
            for (const { startedAtMs, receivedBytes, isComplete } of bodies.values()) {
                const allowedMs = bodyPatienceMs + receivedBytes / minBodyBytesPerSecond * msPerSecond;
                if (!isComplete && nowMs - startedAtMs > allowedMs) {
                    yieldFor("tooSlow");
                }
            }
        }
    }, sweepMs);
    sweep.unref();
    server.once("close", () => clearInterval(sweep));
}
