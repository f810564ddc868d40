/**
 * Tracks the running requests and open connections of each key, so that a withdrawal can end them.
 */

import type { Socket } from "node:net";

export interface KeyUses {
    /** Registers a running request; the caller must call `end` when the request has ended. */
    readonly begin: (digestHex: string, socket: Socket, abort: () => void) => { readonly end: () => void; };
    /** Aborts the key's running requests and closes its idle connections, on which no request of another key runs either. */
    readonly endAll: (digestHex: string) => void;
}

interface Uses {
    /** Abort functions of the running requests. */
    readonly running: Set<() => void>;
    readonly sockets: Set<Socket>;
}

export function createKeyUses(): KeyUses {
    const usesByDigest = new Map<string, Uses>();
    /** Number of running requests per connection, of all keys. */
    const runningBySocket = new WeakMap<Socket, number>();

    function changeRunning(socket: Socket, change: number): void {
        runningBySocket.set(socket, (runningBySocket.get(socket) ?? 0) + change);
    }

    function usesOf(digestHex: string): Uses {
        const uses = usesByDigest.get(digestHex) ?? { running: new Set(), sockets: new Set() };
        usesByDigest.set(digestHex, uses);
        return uses;
    }

    function trackSocket(digestHex: string, uses: Uses, socket: Socket): void {
        if (!uses.sockets.has(socket)) {
            socket.once("close", () => {
                uses.sockets.delete(socket);
                if (uses.sockets.size === 0 && uses.running.size === 0) {
                    usesByDigest.delete(digestHex);
                }
            });
        }
        uses.sockets.add(socket);
    }

    return {
        begin: (digestHex, socket, abort) => {
            const uses = usesOf(digestHex);
            uses.running.add(abort);
            trackSocket(digestHex, uses, socket);
            changeRunning(socket, 1);
            return {
                end: () => {
                    uses.running.delete(abort);
                    changeRunning(socket, -1);
                },
            };
        },
        endAll: digestHex => {
            const uses = usesByDigest.get(digestHex);
            if (uses === undefined) {
                return;
            }
            const idle = [...uses.sockets].filter(socket => runningBySocket.get(socket) === 0);
            uses.running.forEach(abort => abort());
            // What is left of the last response is sent first; the server drops requests that arrive from here on.
            idle.forEach(socket => socket.end());
        },
    };
}
