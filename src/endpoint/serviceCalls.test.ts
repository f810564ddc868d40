/**
 * How an agent reports each way in which a plain service's response can end. A response with neither a length nor chunks
 * ends with its connection, and is whole only if that connection was closed in order.
 */

import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { describe, expect, it } from "vitest";
import { freeWorkQueue } from "../../fakes/requestHarness.js";
import { systemClock } from "../common/clock.js";
import { createServiceCalls } from "./serviceCalls.js";

interface EndCase {
    readonly name: string;
    readonly head: string;
    readonly afterWrite: (socket: Socket) => void;
    readonly kind: "answered" | "unknown";
}

const keepOpen = (): void => undefined;
const end = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();

const endCases: readonly EndCase[] = [
    { name: "a length, whole", head: "content-length: 4\r\n", afterWrite: keepOpen, kind: "answered" },
    { name: "a length, cut", head: "content-length: 40\r\n", afterWrite: end, kind: "unknown" },
    { name: "a length, reset", head: "content-length: 40\r\n", afterWrite: reset, kind: "unknown" },
    { name: "neither a length nor chunks, closed in order", head: "", afterWrite: end, kind: "answered" },
    // A reset was taken for the end of the response, and half a response was delivered as the whole one.
    { name: "neither a length nor chunks, reset", head: "", afterWrite: reset, kind: "unknown" },
];

describe("a plain service's response", () => {
    it.each(endCases)("$name: $kind", async ({ head, afterWrite, kind }) => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once(
                "data",
                () => void socket.write(`HTTP/1.1 200 OK\r\n${head}\r\ndone`, () => afterWrite(socket)),
            );
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
        const { port } = server.address() as AddressInfo;
        const services = createServiceCalls(`http://127.0.0.1:${port}`, freeWorkQueue, systemClock, {
            add: () => undefined,
            set: () => undefined,
            snapshot: () => ({}),
            close: () => undefined,
        }, async () => undefined);
        const outcome = await services.call({
            requestId: "r-1",
            attempt: 1,
            clientAccount: "account",
            weight: 1,
            requestClass: "interactive",
            maxQueueMs: 1_000,
            method: "POST",
            path: "/x",
            headers: {},
            bodyBase64: "",
            idempotent: false,
            timeoutMs: 10_000,
        }, new AbortController().signal);
        expect(outcome.kind).toBe(kind);
        await services.close();
        server.close();
    });
});
