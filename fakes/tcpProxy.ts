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
        from.on("data", (chunk: Buffer) => {
            if (fault === "silence" || (fault === "cutAnswers" && isAnswer)) {
                return;
            }
            if (fault === "delay") {
                setTimeout(() => to.writable && to.write(chunk), delayMs);
                return;
            }
            to.write(chunk);
        });
        // A reset must stay a reset, and a regular end a regular end.
        from.on("end", () => to.end());
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
