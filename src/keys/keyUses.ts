/**
 * Tracks the running requests and open connections of each key, so that a withdrawal can end them.
 */

import type { Socket } from "node:net";

export interface KeyUses {
    /** Registers a running request; the caller must call `end` when the request has ended. */
    readonly begin: (digestHex: string, socket: Socket, abort: () => void) => { readonly end: () => void; };
    /** Aborts the key's running requests and closes its idle connections. */
    readonly endAll: (digestHex: string) => void;
}

interface Uses {
    /** Abort functions of the running requests. */
    readonly running: Set<() => void>;
    /** Number of running requests per connection. */
    readonly sockets: Map<Socket, number>;
}

export function createKeyUses(): KeyUses {
    const usesByDigest = new Map<string, Uses>();

    function usesOf(digestHex: string): Uses {
        const uses = usesByDigest.get(digestHex) ?? { running: new Set(), sockets: new Map() };
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
        uses.sockets.set(socket, (uses.sockets.get(socket) ?? 0) + 1);
    }

    return {
        begin: (digestHex, socket, abort) => {
            const uses = usesOf(digestHex);
            uses.running.add(abort);
            trackSocket(digestHex, uses, socket);
            return {
                end: () => {
                    uses.running.delete(abort);
                    const count = uses.sockets.get(socket);
                    if (count !== undefined) {
                        uses.sockets.set(socket, count - 1);
                    }
                },
            };
        },
        endAll: digestHex => {
            const uses = usesByDigest.get(digestHex);
            if (uses === undefined) {
                return;
            }
            const idle = [...uses.sockets].filter(([, count]) => count === 0).map(([socket]) => socket);
            uses.running.forEach(abort => abort());
            // What is left of the last response is sent first; the server drops requests that arrive from here on.
            idle.forEach(socket => socket.end());
        },
    };
}
