/**
 * Tracks a server's open connections: the running requests on each, and the bytes transferred.
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Bytes transferred over a server's connections so far, headers included. */
export interface Traffic {
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

export interface Connections {
    readonly traffic: () => Traffic;
    /**
     * Closes the connections without a running request. Unlike `server.closeIdleConnections`, this includes
     * connections on which no request has arrived yet: a client may open one and then use another.
     */
    readonly closeIdle: () => void;
}

export function trackConnections(server: Server): Connections {
    const requestsBySocket = new Map<Socket, number>();
    let receivedBytes = 0;
    let sentBytes = 0;

    function changeRequestCount(socket: Socket, change: number): void {
        const requests = requestsBySocket.get(socket);
        if (requests !== undefined) {
            requestsBySocket.set(socket, requests + change);
        }
    }

    server.on("connection", socket => {
        requestsBySocket.set(socket, 0);
        socket.once("close", () => {
            requestsBySocket.delete(socket);
            receivedBytes += socket.bytesRead;
            sentBytes += socket.bytesWritten;
        });
    });
    server.on("request", (request, response) => {
        changeRequestCount(request.socket, 1);
        response.once("close", () => changeRequestCount(request.socket, -1));
    });

    return {
        traffic: () => {
            const sockets = [...requestsBySocket.keys()];
            return {
                receivedBytes: sockets.reduce((sum, socket) => sum + socket.bytesRead, receivedBytes),
                sentBytes: sockets.reduce((sum, socket) => sum + socket.bytesWritten, sentBytes),
            };
        },
        closeIdle: () => {
            for (const [socket, requests] of requestsBySocket) {
                if (requests === 0) {
                    socket.destroy();
                }
            }
        },
    };
}
