/**
 * Decode streams of an agent. One HTTP response carries one attempt from its reservation to its last token, so the
 * connection's end is the signal that the entry is gone: slot and KV memory are freed at once.
 */

import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { Clock } from "../common/clock.js";
import { hangUpSignal } from "../rpc/httpServer.js";
import type { Counters } from "../telemetry/telemetry.js";
import { cancelAtEngine } from "./cancellation.js";
import type { EngineClient, EngineError } from "./engineClient.js";
import { attemptKey, formatEvent } from "./messages.js";
import type { ReserveDecode, StartDecode, StartDecodeAnswer } from "./messages.js";
import type { Grant, WorkQueue } from "./workQueue.js";

export interface DecodeDependencies {
    readonly engine: EngineClient;
    readonly queue: WorkQueue;
    readonly clock: Clock;
    readonly counters: Counters;
    readonly stopped: AbortSignal;
    readonly onEngineError: (error: EngineError) => void;
}

export interface DecodeStreams {
    /** Serves one stream until it ends or the entry goes away. */
    readonly serve: (request: ReserveDecode, response: ServerResponse) => Promise<void>;
    /** Hands the prefill's result to a waiting reservation. */
    readonly start: (start: StartDecode) => StartDecodeAnswer;
}

/** A stream that can't be written for this long belongs to an entry that is paused or cut off. */
const writeStallMs = 15_000;
const interactivePriority = 1;
const deferrablePriority = 0;
const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-store" };
const tokenMarker = "\"type\":\"token\"";
const endMarker = "\"type\":\"end\"";

export function createDecodeStreams(dependencies: DecodeDependencies): DecodeStreams {
    const { engine, queue, clock, counters, stopped } = dependencies;
    const reservations = new Map<string, (start: StartDecode) => void>();

    function waitForStart(request: ReserveDecode, signal: AbortSignal): Promise<StartDecode | undefined> {
        const key = attemptKey(request.requestId, request.attempt);
        const timer = new AbortController();
        const started = new Promise<StartDecode>(resolve => reservations.set(key, resolve));
        const lapsed = clock.sleep(request.startWithinMs, AbortSignal.any([timer.signal, signal]));
        return Promise.race([started, lapsed.then(() => undefined)]).finally(() => {
            reservations.delete(key);
            timer.abort();
        });
    }

    async function run(
        request: ReserveDecode,
        start: StartDecode,
        response: ServerResponse,
        hungUp: AbortSignal,
    ): Promise<number> {
        const priority = request.requestClass === "interactive" ? interactivePriority : deferrablePriority;
        const reading = new AbortController();
        const signal = AbortSignal.any([hungUp, reading.signal]);
        const decoding = await engine.decode({ ...start, priority }, signal);
        if (decoding.isErr) {
            counters.add("endpoint.decodeFailed");
            dependencies.onEngineError(decoding.error);
            response.write(formatEvent({ type: "failed", stage: "import", cause: decoding.error.cause }));
            await cancelAtEngine(engine, clock, counters, request, stopped);
            return 0;
        }
        const scanner = createEventScanner();
        try {
            for await (const chunk of decoding.value.body as AsyncIterable<Buffer>) {
                scanner.push(chunk);
                if (!response.write(chunk) && !await drained(response, clock, hungUp)) {
                    break;
                }
            }
        }
        catch {
            // A broken engine stream shows as a stream without its end event.
        }
        reading.abort();
        if (!scanner.ended()) {
            counters.add("endpoint.decodeBroken");
            await cancelAtEngine(engine, clock, counters, request, stopped);
        }
        return scanner.tokens();
    }

    async function serveGranted(
        request: ReserveDecode,
        grant: Grant,
        response: ServerResponse,
        hungUp: AbortSignal,
    ): Promise<void> {
        let tokens = 0;
        try {
            response.write(formatEvent({ type: "reserved", load: queue.load() }));
            const start = await waitForStart(request, hungUp);
            if (start === undefined || hungUp.aborted) {
                counters.add("endpoint.reservationsLapsed");
                return;
            }
            tokens = await run(request, start, response, hungUp);
        }
        finally {
            grant.release(request.promptTokens + tokens);
        }
    }

    return {
        serve: async (request, response) => {
            const hungUp = hangUpSignal(response);
            response.writeHead(200, streamHeaders);
            response.flushHeaders();
            const grant = await queue.acquire(
                { ...request, costTokens: request.promptTokens + request.maxOutputTokens },
                hungUp,
            );
            if (grant.isErr) {
                counters.add(`endpoint.refused.${grant.error}`);
                response.end(formatEvent({ type: "refused", reason: grant.error, load: queue.load() }));
                return;
            }
            await serveGranted(request, grant.value, response, hungUp);
            response.end();
        },
        start: start => {
            const waiting = reservations.get(attemptKey(start.requestId, start.attempt));
            if (waiting === undefined) {
                counters.add("endpoint.staleStarts");
                return { kind: "refused", reason: "stale" };
            }
            waiting(start);
            return { kind: "started" };
        },
    };
}

async function drained(response: ServerResponse, clock: Clock, hungUp: AbortSignal): Promise<boolean> {
    const stall = new AbortController();
    const drain = once(response, "drain", { signal: AbortSignal.any([hungUp, stall.signal]) })
        .then(() => true, () => false);
    const stalled = clock.sleep(writeStallMs, stall.signal).then(() => false);
    const couldWrite = await Promise.race([drain, stalled]);
    stall.abort();
    return couldWrite;
}

interface EventScanner {
    readonly push: (chunk: Buffer) => void;
    readonly tokens: () => number;
    readonly ended: () => boolean;
}

/** Counts events in bytes that pass through, without parsing them. */
function createEventScanner(): EventScanner {
    let tail = "";
    let tokens = 0;
    let ended = false;
    return {
        push: chunk => {
            const text = tail + chunk.toString("latin1");
            tokens += countOccurrences(text, tokenMarker) - countOccurrences(tail, tokenMarker);
            ended ||= text.includes(endMarker);
            // A marker may be split between two chunks.
            tail = text.slice(-(tokenMarker.length - 1));
        },
        tokens: () => tokens,
        ended: () => ended,
    };
}

function countOccurrences(text: string, marker: string): number {
    let count = 0;
    let position = text.indexOf(marker);
    while (position >= 0) {
        count += 1;
        position = text.indexOf(marker, position + marker.length);
    }
    return count;
}
