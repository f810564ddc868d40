/**
 * Client of an agent's decode stream: opens the stream and returns its events one at a time.
 */

import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import { Result } from "true-myth";
import { limitCall } from "../common/callLimit.js";
import type { Clock } from "../common/clock.js";
import { parseJson } from "../common/json.js";
import { decodeEventSchema, decodePath } from "../endpoint/messages.js";
import type { DecodeEvent, ReserveDecodeRequest } from "../endpoint/messages.js";
import type { RpcError } from "../rpc/errors.js";
import type { RpcClient, StreamResponse } from "../rpc/rpcClient.js";

/** Why no event could be read: the wait timed out, or the stream ended. */
export type StreamReadError = "timeout" | "interrupted";

export interface AgentStream {
    /** Resolves to the next event, or to the reason why none arrived within `timeoutMs`. */
    readonly next: (timeoutMs: number) => Promise<Result<DecodeEvent, StreamReadError>>;
    /** Closes the connection; the agent then cancels the attempt and frees its slot and KV memory. */
    readonly close: () => void;
}

const responseHeadersTimeoutMs = 3_000;
/** Limit on an incomplete event, which is kept in memory: a faulty engine may send bytes that never end an event. */
const maxEventCharacters = 262_144;
const deadlineCheckIntervalMs = 200;

/** Sends a reservation request to an agent; the response is the decode stream. Aborting `signal` closes the stream. */
export async function openAgentStream(
    rpc: RpcClient,
    clock: Clock,
    agentUrl: string,
    reservationRequest: ReserveDecodeRequest,
    signal: AbortSignal,
): Promise<Result<AgentStream, RpcError>> {
    const closing = new AbortController();
    const limit = limitCall({ cancelledBy: [closing.signal, signal] });
    const response = await rpc.stream(agentUrl, decodePath, reservationRequest, {
        timeoutMs: responseHeadersTimeoutMs,
        signal: limit.signal,
    });
    if (response.isErr) {
        limit.end();
        return Result.err(response.error);
    }
    limit.endWith(response.value.body);
    return Result.ok(createAgentStream(response.value, clock, closing));
}

function createAgentStream(response: StreamResponse, clock: Clock, closing: AbortController): AgentStream {
    const events: DecodeEvent[] = [];
    const deadlineChecks = new AbortController();
    let isEnded = false;
    let deadlineMs = Number.POSITIVE_INFINITY;
    let wake: (() => void) | undefined;

    function wakeReader(): void {
        wake?.();
        wake = undefined;
    }

    const decoder = new StringDecoder("utf8");
    const parser = createParser({
        maxBufferSize: maxEventCharacters,
        onEvent: ({ data }) => {
            const event = parseEvent(data);
            if (event === undefined) {
                closing.abort();
                return;
            }
            events.push(event);
        },
    });

    async function readBody(): Promise<void> {
        try {
            for await (const chunk of response.body as AsyncIterable<Buffer>) {
                parser.feed(decoder.write(chunk));
                wakeReader();
            }
        }
        catch {
            // `next` reports an interrupted body as "interrupted" once `isEnded` is set.
        }
        isEnded = true;
        deadlineChecks.abort();
        wakeReader();
    }

    /** Ends a wait whose deadline has passed. One periodic task per stream costs less than a timer per token. */
    async function checkDeadlines(): Promise<void> {
        while (!isEnded) {
            await clock.sleep(deadlineCheckIntervalMs, deadlineChecks.signal);
            if (clock.monotonicMs() >= deadlineMs) {
                wakeReader();
            }
        }
    }

    async function waitForEvent(timeoutMs: number): Promise<boolean> {
        deadlineMs = clock.monotonicMs() + timeoutMs;
        await new Promise<void>(resolve => {
            wake = resolve;
        });
        const isTimedOut = clock.monotonicMs() >= deadlineMs;
        deadlineMs = Number.POSITIVE_INFINITY;
        return events.length > 0 || isEnded || !isTimedOut;
    }

    void readBody();
    void checkDeadlines();
    return {
        next: async timeoutMs => {
            while (true) {
                const event = events.shift();
                if (event !== undefined) {
                    return Result.ok(event);
                }
                if (isEnded) {
                    return Result.err("interrupted");
                }
                if (!await waitForEvent(timeoutMs)) {
                    return Result.err("timeout");
                }
            }
        },
        close: () => closing.abort(),
    };
}

/** Parses an event. Token events skip the schema validation because they are by far the most frequent. */
function parseEvent(data: string): DecodeEvent | undefined {
    let value: unknown;
    try {
        value = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    const fields = value as { readonly type?: unknown; readonly index?: unknown; readonly text?: unknown; };
    if (fields.type === "token" && typeof fields.index === "number" && typeof fields.text === "string") {
        return { type: "token", index: fields.index, text: fields.text };
    }
    return parseJson(decodeEventSchema, data).unwrapOr(undefined as never);
}
