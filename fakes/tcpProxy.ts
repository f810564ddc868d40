/**
 * A loopback TCP proxy that injects network faults into its connections: delay, reset, and loss of all bytes in one or
 * both directions; the open connections may also go silent for good while new ones work. While its target refuses
 * connections, the proxy refuses them as well.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/**
 * Fault applied until the next one is set: `delay` delays all bytes, `reset` resets the open connections once, `silence`
 * drops the bytes of both directions, and `dropResponses` drops the bytes from the target.
 */
export type ProxyFault = "none" | "delay" | "reset" | "silence" | "dropResponses";

export interface TcpProxy {
    /** IP address and port. */
    readonly address: string;
    readonly setFault: (fault: ProxyFault) => void;
    /** From now on drops all bytes of the open connections; new ones work. Returns the number of open connections. */
    readonly silenceOpen: () => number;
    readonly close: () => Promise<void>;
}

/** A link of limited bandwidth for the bytes from the targets of one or several proxies; connections take turns. */
export interface SlowLink {
    /** Resolves when the bytes have passed. */
    readonly pass: (sizeBytes: number) => Promise<void>;
}

/** Largest piece that passes a slow link in one turn. */
const pieceBytes = 16_384;

export function createSlowLink(bytesPerSecond: number): SlowLink {
    let freeAtMs = Number.NEGATIVE_INFINITY;
    return {
        pass: async sizeBytes => {
            freeAtMs = Math.max(freeAtMs, performance.now()) + sizeBytes * 1_000 / bytesPerSecond;
            await sleep(freeAtMs - performance.now());
        },
    };
}

const delayMs = 150;
/** Interval at which the proxy checks whether a target that refused a connection accepts them again. */
const probeIntervalMs = 50;

/** Starts a proxy for a target, given as IP address and port; `link` limits the bandwidth of its responses. */
export async function startTcpProxy(target: string, link?: SlowLink): Promise<TcpProxy> {
    const [ip = "", port = ""] = target.split(":");
    const pairs = new Set<readonly [Socket, Socket]>();
    const silentSockets = new Set<Socket>();
    let fault: ProxyFault = "none";

    function forward(from: Socket, to: Socket, isResponse: boolean): void {
        const pendingActions: { readonly dueMs: number; readonly run: () => void; }[] = [];

        function runDueActions(): void {
            const [next] = pendingActions;
            if (next === undefined) {
                return;
            }
            const remainingMs = next.dueMs - performance.now();
            if (remainingMs > 0) {
                setTimeout(runDueActions, Math.ceil(remainingMs));
                return;
            }
            pendingActions.shift();
            next.run();
            runDueActions();
        }

        /** Runs the action now, or after the delay and all earlier actions. */
        function runInOrder(action: () => void): void {
            if (fault !== "delay" && pendingActions.length === 0) {
                action();
                return;
            }
            pendingActions.push({ dueMs: performance.now() + (fault === "delay" ? delayMs : 0), run: action });
            if (pendingActions.length === 1) {
                runDueActions();
            }
        }

        let passed = Promise.resolve();

        /** Runs the action once the bytes, and all before them, have passed the link. */
        function passLink(sizeBytes: number, action: () => void): void {
            if (link === undefined || !isResponse) {
                action();
                return;
            }
            passed = passed.then(async () => {
                // What a closed connection has not received never uses the link.
                if (to.writable) {
                    await link.pass(sizeBytes);
                    action();
                }
            });
        }

        from.on("data", (chunk: Buffer) => {
            if (fault === "silence" || silentSockets.has(from) || (fault === "dropResponses" && isResponse)) {
                return;
            }
            for (let start = 0; start < chunk.length; start += pieceBytes) {
                const piece = chunk.subarray(start, start + pieceBytes);
                passLink(piece.length, () => runInOrder(() => to.writable && to.write(piece)));
            }
        });
        // Forwards a reset as a reset and a regular end as a regular end.
        from.on("end", () => passLink(0, () => runInOrder(() => to.end())));
        from.on("error", () => to.resetAndDestroy());
        from.on("close", () => to.destroy());
    }

    let isClosed = false;

    /** Stops listening until the target accepts connections again. */
    function refuseUntilTargetListens(): void {
        if (!server.listening || isClosed) {
            return;
        }
        server.close();
        const probe = (): void => {
            const connection = connect({ host: ip, port: Number(port) });
            connection.once("connect", () => {
                connection.destroy();
                if (!isClosed) {
                    server.listen(ownPort, "127.0.0.1");
                }
            });
            connection.once("error", () => {
                if (!isClosed) {
                    setTimeout(probe, probeIntervalMs).unref();
                }
            });
        };
        probe();
    }

    const server = createServer({ allowHalfOpen: true }, socket => {
        const upstream = connect({ host: ip, port: Number(port), allowHalfOpen: true });
        upstream.once("error", ({ code }: NodeJS.ErrnoException) => {
            if (code === "ECONNREFUSED") {
                refuseUntilTargetListens();
            }
        });
        const pair = [socket, upstream] as const;
        pairs.add(pair);
        socket.once("close", () => {
            pairs.delete(pair);
            pair.forEach(end => silentSockets.delete(end));
        });
        forward(socket, upstream, false);
        forward(upstream, socket, true);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const { port: ownPort } = server.address() as AddressInfo;

    return {
        address: `127.0.0.1:${ownPort}`,
        setFault: next => {
            const wasDroppingBytes = fault === "silence" || fault === "dropResponses";
            fault = next;
            // Connections that lost bytes are reset when the fault ends.
            if (next === "reset" || wasDroppingBytes) {
                pairs.forEach(pair => pair.forEach(socket => socket.resetAndDestroy()));
            }
        },
        silenceOpen: () => {
            [...pairs].flat().forEach(socket => silentSockets.add(socket));
            return pairs.size;
        },
        close: async () => {
            isClosed = true;
            pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
