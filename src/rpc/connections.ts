/**
 * Tracks a server's open connections: the requests on each, and the bytes transferred. Closes them so that no request is
 * lost: neither one that is still arriving nor one whose response is not sent yet.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { guardOf } from "./connectionGuard.js";

/** Bytes transferred over a server's connections so far, headers included. */
export interface Traffic {
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

export interface Connections {
    readonly traffic: () => Traffic;
    /** Whether requests on this connection are not served any more: the ones that arrive now have crossed its close. */
    readonly isClosed: (socket: Socket) => boolean;
    /** Adds `connection: close` to all further responses, those to running requests included. */
    readonly announceClose: () => void;
    /**
     * Accepts no new connections once none has come for a moment; resolves when all connections have been closed. The
     * operating system resets those that wait to be accepted when the listener closes.
     */
    readonly stopAccepting: () => Promise<void>;
    /**
     * Closes the idle connections, including those on which no request has arrived yet: a client may open one and then use
     * another. A connection is not idle if a part of a request has arrived on it or a response is not sent in full.
     * `farewell` is sent first, so that it is the response to a request that crosses the close.
     */
    readonly closeIdle: (farewell?: string) => void;
    /** Closes the connections on which a request has not arrived in full, and none before it is running. */
    readonly closeIncomplete: () => void;
}

/** How a connection is used. */
interface ConnectionUse {
    /** Requests whose responses are not sent in full. */
    readonly running: Set<ServerResponse>;
    /** The last request. */
    request: IncomingMessage | undefined;
    /** Bytes that had been read when the last request and its response were complete; more belong to a next request. */
    bytesBefore: number;
    /** Whether the connection is closed if its peer reads none of the last response for `stalledResponseMs`. */
    isStallLimited: boolean;
}

/** The listener closes once no connection has come for this time, */
const quietMs = 100;
/** or, if they keep coming, in the first turn without one after this time, */
const maxAcceptMs = 1_000;
/** or after as many turns with one: all that waited have been accepted then, since no more can wait. */
const maxWaitingConnections = 1_024;
const acceptCheckMs = 10;
/** A peer that does not close its side of a closed connection is disconnected after this time. */
const lingerMs = 2_000;
/** A peer that reads nothing of a complete response for so long is considered gone. */
const stalledResponseMs = 15_000;

/**
 * Returns a function that closes the listener once no connection has come for a moment; it resolves when all connections
 * have been closed. The operating system resets those that wait to be accepted when the listener closes.
 */
export function prepareListenerClose(server: Server): () => Promise<void> {
    let accepted = 0;
    let lastAcceptedAtMs = Number.NEGATIVE_INFINITY;
    server.on("connection", () => {
        accepted += 1;
        lastAcceptedAtMs = performance.now();
    });

    /** Calls `close` right after a turn of the event loop in which no connection was accepted. */
    function whenNoneWaits(close: () => void): void {
        const startedAtMs = performance.now();
        let lateTurns = 0;
        const check = (): void => {
            const acceptedBefore = accepted;
            afterNextPoll(() => {
                const nowMs = performance.now();
                const isLate = nowMs - startedAtMs >= maxAcceptMs;
                const isQuiet = nowMs - lastAcceptedAtMs >= quietMs || isLate;
                lateTurns += isLate ? 1 : 0;
                if (isQuiet && accepted === acceptedBefore || lateTurns > maxWaitingConnections) {
                    close();
                }
                else if (isLate) {
                    check();
                }
                else {
                    setTimeout(check, acceptCheckMs);
                }
            });
        };
        check();
    }

    return () =>
        new Promise(resolve => {
            // The HTTP server's own method also destroys connections, some with a response that is not sent yet.
            whenNoneWaits(() => NetServer.prototype.close.call(server, () => resolve()));
        });
}

/** To be called before a listener for requests is added, since it adds a header to their responses. */
export function trackConnections(server: Server): Connections {
    const uses = new Map<Socket, ConnectionUse>();
    const closeListener = prepareListenerClose(server);
    let isClosing = false;
    let receivedBytes = 0;
    let sentBytes = 0;

    server.on("connection", socket => {
        uses.set(socket, { running: new Set(), request: undefined, bytesBefore: 0, isStallLimited: false });
        socket.once("close", () => {
            uses.delete(socket);
            receivedBytes += socket.bytesRead;
            sentBytes += socket.bytesWritten;
        });
    });
    server.on("request", (request, response) => {
        const { socket } = request;
        const use = uses.get(socket);
        if (use === undefined) {
            return;
        }
        if (isClosed(socket)) {
            return;
        }
        // The connection closes after the response with the header, so only the last of several gets it.
        [...use.running].filter(({ headersSent }) => !headersSent).forEach(earlier =>
            earlier.removeHeader("connection")
        );
        use.request = request;
        use.running.add(response);
        request.once("close", () => {
            use.bytesBefore = socket.bytesRead;
        });
        response.once("close", () => {
            use.running.delete(response);
            use.bytesBefore = socket.bytesRead;
        });
        if (isClosing) {
            addCloseHeader(request, response);
        }
    });

    function isClosed(socket: Socket): boolean {
        const running = [...uses.get(socket)?.running ?? []];
        return !socket.writable || running.some(({ headersSent, shouldKeepAlive }) => headersSent && !shouldKeepAlive);
    }

    function isIdle(socket: Socket, { running, request, bytesBefore }: ConnectionUse): boolean {
        return socket.writable && running.size === 0 && (request?.complete ?? true) && socket.bytesRead === bytesBefore
            && !(guardOf(socket)?.hasUnparsed() ?? false);
    }

    /** Sets a limit on the responses that only wait for their peer to read. */
    function limitStalls(): void {
        for (const [socket, use] of uses) {
            if (!use.isStallLimited && [...use.running].some(response => response.writableEnded)) {
                use.isStallLimited = true;
                socket.setTimeout(stalledResponseMs, () => socket.destroy());
            }
        }
    }

    return {
        traffic: () => {
            const sockets = [...uses.keys()];
            return {
                receivedBytes: sockets.reduce((sum, socket) => sum + socket.bytesRead, receivedBytes),
                sentBytes: sockets.reduce((sum, socket) => sum + socket.bytesWritten, sentBytes),
            };
        },
        isClosed,
        announceClose: () => {
            isClosing = true;
            for (const { running, request } of uses.values()) {
                const last = [...running].at(-1);
                if (request !== undefined && last !== undefined) {
                    addCloseHeader(request, last);
                }
            }
        },
        stopAccepting: closeListener,
        closeIdle: (farewell = "") => {
            limitStalls();
            const idle = [...uses].filter(([socket, use]) => isIdle(socket, use));
            afterNextPoll(() => {
                for (const [socket, use] of idle) {
                    if (isIdle(socket, use)) {
                        // The runtime would remove the time limit of the socket with the next head that it reads.
                        socket.setTimeout(0);
                        const timer = setTimeout(() => socket.destroy(), lingerMs);
                        socket.once("close", () => clearTimeout(timer));
                        socket.end(farewell);
                    }
                }
            });
        },
        closeIncomplete: () => {
            for (const [socket, { running, request, bytesBefore }] of uses) {
                const isInHead = running.size === 0 && socket.bytesRead !== bytesBefore;
                const isInBody = running.size <= 1 && request?.complete === false;
                if (isInHead || isInBody) {
                    socket.destroy();
                }
            }
        },
    };
}

/**
 * A connection with this header is closed right after the response. While the request's body is still arriving that would
 * reset it, and the peer might lose the response, so the header is added only if the response comes after the body.
 */
function addCloseHeader(request: IncomingMessage, response: ServerResponse): void {
    const add = (): void => {
        if (!response.headersSent) {
            response.setHeader("connection", "close");
        }
    };
    if (request.complete || !hasBody(request)) {
        add();
        return;
    }
    request.once("end", add);
}

export function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}

/** Calls `run` once everything that has arrived by now, connections included, has been read. */
export function afterNextPoll(run: () => void): void {
    // An immediate that is set by another one runs in the next turn of the event loop, after it has polled.
    setImmediate(() => setImmediate(run));
}
