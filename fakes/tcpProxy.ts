/**
 * A loopback proxy that harms the connections that run through it: delayed, reset, cut one way or silenced.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export type ProxyFault = "none" | "delay" | "reset" | "silence" | "cutAnswers";

export interface TcpProxy {
    /** IP address and port. */
    readonly address: string;
    readonly setFault: (fault: ProxyFault) => void;
    readonly close: () => Promise<void>;
}

const delayMs = 150;

export async function startTcpProxy(target: string): Promise<TcpProxy> {
    const [ip = "", port = ""] = target.split(":");
    const pairs = new Set<readonly [Socket, Socket]>();
    let fault: ProxyFault = "none";

    function pass(from: Socket, to: Socket, isAnswer: boolean): void {
        const delayed: { readonly dueMs: number; readonly act: () => void; }[] = [];

        function actOnDue(): void {
            const [next] = delayed;
            if (next === undefined) {
                return;
            }
            const leftMs = next.dueMs - performance.now();
            if (leftMs > 0) {
                setTimeout(actOnDue, Math.ceil(leftMs));
                return;
            }
            delayed.shift();
            next.act();
            actOnDue();
        }

        /** Acts now, or after the delay and everything that came before. */
        function inOrder(act: () => void): void {
            if (fault !== "delay" && delayed.length === 0) {
                act();
                return;
            }
            delayed.push({ dueMs: performance.now() + (fault === "delay" ? delayMs : 0), act });
            if (delayed.length === 1) {
                actOnDue();
            }
        }

        from.on("data", (chunk: Buffer) => {
            if (fault === "silence" || (fault === "cutAnswers" && isAnswer)) {
                return;
            }
            inOrder(() => to.writable && to.write(chunk));
        });
        // A reset must stay a reset, and a regular end a regular end.
        from.on("end", () => inOrder(() => to.end()));
        from.on("error", () => to.resetAndDestroy());
        from.on("close", () => to.destroy());
    }

    const server = createServer({ allowHalfOpen: true }, socket => {
        const upstream = connect({ host: ip, port: Number(port), allowHalfOpen: true });
        const pair = [socket, upstream] as const;
        pairs.add(pair);
        socket.once("close", () => pairs.delete(pair));
        pass(socket, upstream, false);
        pass(upstream, socket, true);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const { port: ownPort } = server.address() as AddressInfo;

    return {
        address: `127.0.0.1:${ownPort}`,
        setFault: next => {
            const wasHarmful = fault === "silence" || fault === "cutAnswers";
            fault = next;
            // Bytes are missing from connections that were cut, so they end when the fault does.
            if (next === "reset" || wasHarmful) {
                pairs.forEach(pair => pair.forEach(socket => socket.resetAndDestroy()));
            }
        },
        close: async () => {
            pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
