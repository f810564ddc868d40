/**
 * Connector for undici that guards against faulty peers: on its connections a reset is always an error, and a head or
 * trailers without end don't block this process.
 *
 * A response without a length ends when its connection closes, and is complete only if the connection was closed
 * normally. Two lower layers treat a reset as a normal close: undici ignores `ECONNRESET` once such a response has
 * begun, and the event loop reports the end of the stream instead of an error when the reset arrives together with the
 * last bytes.
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Replaces the code `ECONNRESET`, so that undici does not treat the reset as a normal close. */
export const resetErrorCode = "CONNECTION_RESET";

/** Large enough for most responses. */
const maxPieceBytes = 4_096;

export function createGuardedConnector(connectTimeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    return (options, callback) =>
        connect(options, (...outcome) => {
            // After a failure undici passes no second argument, contrary to the declared type.
            const socket: Socket | null | undefined = outcome[1];
            if (socket) {
                failOnReset(socket);
                readInPieces(socket);
            }
            callback(...outcome);
        });
}

function failOnReset(socket: Socket): void {
    socket.on("error", (error: NodeJS.ErrnoException) => {
        if (error.code === "ECONNRESET") {
            error.code = resetErrorCode;
        }
    });
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: readonly unknown[]) => boolean;
    socket.emit = (event: string | symbol, ...values: readonly unknown[]): boolean => {
        if (event === "end" && wasReset(socket)) {
            socket.destroy(Object.assign(new Error("the connection was reset"), { code: resetErrorCode }));
            return true;
        }
        return emit(event, ...values);
    };
}

/**
 * Hands out what has arrived in pieces, and nothing once the socket is destroyed. The parser goes on to the end of a piece
 * after it has rejected a head, at a cost for each further header line, so a faulty sender would block this process.
 */
function readInPieces(socket: Socket): void {
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => {
        if (socket.destroyed) {
            return null;
        }
        return socket.readableLength > maxPieceBytes ? read(maxPieceBytes) : read(size);
    };
}

/** Detects a reset with an empty write: it fails immediately on a reset connection and does nothing on a closed one. */
function wasReset(socket: Socket): boolean {
    if (!socket.destroyed && socket.writable) {
        socket.write("");
    }
    return socket.errored !== null && socket.errored !== undefined;
}
