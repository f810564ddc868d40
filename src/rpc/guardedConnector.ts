/**
 * Connector for undici on whose connections a reset is always an error.
 *
 * A response without a length ends when its connection closes, and is complete only if the connection was closed
 * normally. Two lower layers treat a reset as a normal close: undici ignores `ECONNRESET` once such a response has
 * begun, and the event loop reports the end of the stream instead of an error when the reset arrives together with the
 * last bytes. Only a write shows then that the connection was reset.
 */

import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Replaces the code `ECONNRESET`, so that undici does not treat the reset as a normal close. */
export const resetErrorCode = "CONNECTION_RESET";

export function createGuardedConnector(connectTimeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    return (options, callback) =>
        connect(options, (...outcome) => {
            // After a failure undici passes no second argument, contrary to the declared type.
            const socket: Socket | null | undefined = outcome[1];
            if (socket) {
                failOnReset(socket);
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
    const endUnlessReset = (): void => {
        if (wasReset(socket)) {
            socket.destroy(Object.assign(new Error("the connection was reset"), { code: resetErrorCode }));
        }
        else if (!socket.destroyed) {
            emit("end");
        }
    };
    socket.emit = (event: string | symbol, ...values: readonly unknown[]): boolean => {
        if (event !== "end") {
            return emit(event, ...values);
        }
        if (socket.writableLength === 0) {
            endUnlessReset();
        }
        else {
            // A write that is pending, such as a long upload, fails in this turn of the event loop, but after this event.
            setImmediate(endUnlessReset);
        }
        return true;
    };
}

/** Detects a reset with an empty write: it fails immediately on a reset connection and does nothing on a closed one. */
function wasReset(socket: Socket): boolean {
    if (!socket.destroyed && socket.writable) {
        socket.write("");
    }
    return socket.errored !== null && socket.errored !== undefined;
}
