/**
 * The entry's side of a decode stream: opens it at an agent and yields its events one by one.
 */

import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import { parseJson } from "../common/json.js";
import { decodeEventSchema, decodePath } from "../endpoint/messages.js";
import type { DecodeEvent, ReserveDecode } from "../endpoint/messages.js";
import type { RpcError } from "../rpc/errors.js";
import type { RpcClient, StreamResponse } from "../rpc/rpcClient.js";

/** Why no further event came. */
export type StreamGap = "timeout" | "interrupted";

export interface AgentStream {
    /** The next event, or why there is none. */
    readonly next: (timeoutMs: number) => Promise<Result<DecodeEvent, StreamGap>>;
    /** Closes the connection, which makes the agent free everything. */
    readonly close: () => void;
}

const headTimeoutMs = 3_000;
const watchIntervalMs = 200;

export async function openAgentStream(
    rpc: RpcClient,
    clock: Clock,
    agentUrl: string,
    reserve: ReserveDecode,
    signal: AbortSignal,
): Promise<Result<AgentStream, RpcError>> {
    const closing = new AbortController();
    const ending = AbortSignal.any([closing.signal, signal]);
    const response = await rpc.stream(agentUrl, decodePath, reserve, { timeoutMs: headTimeoutMs, signal: ending });
    if (response.isErr) {
        return Result.err(response.error);
    }
    return Result.ok(createAgentStream(response.value, clock, closing));
}

function createAgentStream(response: StreamResponse, clock: Clock, closing: AbortController): AgentStream {
    const events: DecodeEvent[] = [];
    const watching = new AbortController();
    let over = false;
    let waitUntilMs = Number.POSITIVE_INFINITY;
    let wake: (() => void) | undefined;

    function wakeReader(): void {
        wake?.();
        wake = undefined;
    }

    const decoder = new StringDecoder("utf8");
    const parser = createParser({
        onEvent: ({ data }) => {
            const event = parseEvent(data);
            if (event === undefined) {
                closing.abort();
                return;
            }
            events.push(event);
        },
    });

    async function pump(): Promise<void> {
        try {
            for await (const chunk of response.body as AsyncIterable<Buffer>) {
                parser.feed(decoder.write(chunk));
                wakeReader();
            }
        }
        catch {
            // The reader sees the interruption as a stream that is over.
        }
        over = true;
        watching.abort();
        wakeReader();
    }

    /** Ends waits that are past their deadline. One task a stream, since a timer a token would be dear. */
    async function watch(): Promise<void> {
        while (!over) {
            await clock.sleep(watchIntervalMs, watching.signal);
            if (clock.monotonicMs() >= waitUntilMs) {
                wakeReader();
            }
        }
    }

    async function waitForMore(timeoutMs: number): Promise<boolean> {
        waitUntilMs = clock.monotonicMs() + timeoutMs;
        await new Promise<void>(resolve => {
            wake = resolve;
        });
        const isLate = clock.monotonicMs() >= waitUntilMs;
        waitUntilMs = Number.POSITIVE_INFINITY;
        return events.length > 0 || over || !isLate;
    }

    void pump();
    void watch();
    return {
        next: async timeoutMs => {
            while (true) {
                const event = events.shift();
                if (event !== undefined) {
                    return Result.ok(event);
                }
                if (over) {
                    return Result.err("interrupted");
                }
                if (!await waitForMore(timeoutMs)) {
                    return Result.err("timeout");
                }
            }
        },
        close: () => closing.abort(),
    };
}

/** Token events are by far the most frequent, so they skip the schema. */
function parseEvent(data: string): DecodeEvent | undefined {
    let value: unknown;
    try {
        value = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    const token = value as { readonly type?: unknown; readonly index?: unknown; readonly text?: unknown; };
    if (token.type === "token" && typeof token.index === "number" && typeof token.text === "string") {
        return { type: "token", index: token.index, text: token.text };
    }
    return parseJson(decodeEventSchema, data).unwrapOr(undefined as never);
}
