/**
 * Serves decode streams at the agent. One HTTP response carries one attempt from its reservation to its last token, so
 * a closed connection means that the entry no longer needs the attempt: its slot and KV memory are freed immediately.
 */

import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { runLimited } from "../common/callLimit.js";
import type { Clock } from "../common/clock.js";
import { createEventAssembler, maxEventBytes } from "../forwarding/eventStream.js";
import { disconnectSignal } from "../rpc/httpServer.js";
import type { Counters } from "../telemetry/telemetry.js";
import { cancelAtEngine } from "./cancellation.js";
import type { EndpointHealth } from "./endpointHealth.js";
import type { EngineClient, EngineError } from "./engineClient.js";
import { attemptKey, formatEvent } from "./messages.js";
import type { ReserveDecodeRequest, StartDecodeRequest, StartDecodeResponse } from "./messages.js";
import type { Grant, WorkQueue } from "./workQueue.js";

export interface DecodeDependencies {
    readonly engine: EngineClient;
    readonly queue: WorkQueue;
    readonly clock: Clock;
    readonly counters: Counters;
    readonly stopped: AbortSignal;
    readonly onEngineError: (error: EngineError) => void;
    readonly checkEnded: EndpointHealth["checkEnded"];
}

export interface DecodeStreams {
    /** Serves one stream until it ends or the entry disconnects. */
    readonly serve: (request: ReserveDecodeRequest, response: ServerResponse) => Promise<void>;
    /** Passes the result of the prefill to the reservation that waits for it. */
    readonly start: (startRequest: StartDecodeRequest) => StartDecodeResponse;
}

/** If an entry reads nothing for this long, it is considered paused or unreachable, and its stream ends. */
const writeStallTimeoutMs = 15_000;
const interactivePriority = 1;
const deferrablePriority = 0;
const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-store" };
const tokenMarker = "\"type\":\"token\"";
const endMarker = "\"type\":\"end\"";

export function createDecodeStreams(dependencies: DecodeDependencies): DecodeStreams {
    const { engine, queue, clock, counters, stopped } = dependencies;
    const reservations = new Map<string, (startRequest: StartDecodeRequest) => void>();

    function waitForStart(request: ReserveDecodeRequest, signal: AbortSignal): Promise<StartDecodeRequest | undefined> {
        const key = attemptKey(request.requestId, request.attempt);
        const settled = new AbortController();
        const started = new Promise<StartDecodeRequest>(resolve => reservations.set(key, resolve));
        const expired = runLimited(
            { cancelledBy: [settled.signal, signal] },
            limit => clock.sleep(request.startWithinMs, limit.signal),
        );
        return Promise.race([started, expired.then(() => undefined)]).finally(() => {
            reservations.delete(key);
            settled.abort();
        });
    }

    async function relayDecode(
        request: ReserveDecodeRequest,
        startRequest: StartDecodeRequest,
        response: ServerResponse,
        disconnected: AbortSignal,
    ): Promise<number> {
        const priority = request.requestClass === "interactive" ? interactivePriority : deferrablePriority;
        const engineResponse = await engine.decode({ ...startRequest, priority }, disconnected);
        if (engineResponse.isErr) {
            counters.add("endpoint.decodeFailed");
            dependencies.onEngineError(engineResponse.error);
            const endpointEndedAtMs = engineResponse.error.kind === "failed" && !disconnected.aborted
                ? await dependencies.checkEnded()
                : undefined;
            const { cause } = engineResponse.error;
            response.write(formatEvent({ type: "failed", stage: "import", cause, endpointEndedAtMs }));
            await cancelAtEngine(engine, clock, counters, request, stopped);
            return 0;
        }
        const scanner = createEventScanner();
        // Half an event would join with the event that is written below.
        const assembler = createEventAssembler();
        try {
            // Leaving the loop early destroys the body, which ends the call.
            for await (const chunk of engineResponse.value.body as AsyncIterable<Buffer>) {
                const events = assembler.push(chunk);
                scanner.push(events);
                const mayGoOn = events.length === 0 || response.write(events)
                    || await waitForDrain(response, clock, disconnected);
                if (!mayGoOn || assembler.keptBytes() > maxEventBytes) {
                    break;
                }
            }
        }
        catch {
            // A broken engine stream is detected below by its missing end event.
        }
        finally {
            assembler.drop();
        }
        if (!scanner.ended()) {
            counters.add("endpoint.decodeBroken");
            const endpointEndedAtMs = disconnected.aborted ? undefined : await dependencies.checkEnded();
            if (endpointEndedAtMs !== undefined) {
                const cause = "the endpoint ended";
                response.write(formatEvent({ type: "failed", stage: "decode", cause, endpointEndedAtMs }));
            }
            await cancelAtEngine(engine, clock, counters, request, stopped);
        }
        return scanner.tokens();
    }

    async function serveGranted(
        request: ReserveDecodeRequest,
        grant: Grant,
        response: ServerResponse,
        disconnected: AbortSignal,
    ): Promise<void> {
        let tokens = 0;
        try {
            response.write(formatEvent({ type: "reserved", load: queue.load() }));
            const startRequest = await waitForStart(request, disconnected);
            if (startRequest === undefined || disconnected.aborted) {
                counters.add("endpoint.reservationsLapsed");
                return;
            }
            tokens = await relayDecode(request, startRequest, response, disconnected);
        }
        finally {
            grant.release(request.promptTokens + tokens);
        }
    }

    return {
        serve: async (request, response) => {
            const disconnected = disconnectSignal(response);
            response.writeHead(200, streamHeaders);
            response.flushHeaders();
            const grant = await queue.acquire(
                { ...request, costTokens: request.promptTokens + request.maxOutputTokens },
                disconnected,
            );
            if (grant.isErr) {
                counters.add(`endpoint.refused.${grant.error}`);
                response.end(formatEvent({ type: "refused", reason: grant.error, load: queue.load() }));
                return;
            }
            await serveGranted(request, grant.value, response, disconnected);
            response.end();
        },
        start: startRequest => {
            const resolveStart = reservations.get(attemptKey(startRequest.requestId, startRequest.attempt));
            if (resolveStart === undefined) {
                counters.add("endpoint.staleStarts");
                return { kind: "refused", reason: "stale" };
            }
            resolveStart(startRequest);
            return { kind: "started" };
        },
    };
}

/** Waits until `response` accepts data again; false if the entry disconnects or the write stalls. */
async function waitForDrain(response: ServerResponse, clock: Clock, disconnected: AbortSignal): Promise<boolean> {
    return runLimited(
        { clock, timeoutMs: writeStallTimeoutMs, cancelledBy: [disconnected] },
        ({ signal }) => once(response, "drain", { signal }).then(() => true, () => false),
    );
}

interface EventScanner {
    /** Takes complete events. */
    readonly push: (events: Buffer) => void;
    readonly tokens: () => number;
    readonly ended: () => boolean;
}

/** Counts the token events of a stream and detects its end event without parsing it. */
function createEventScanner(): EventScanner {
    let tokens = 0;
    let ended = false;
    return {
        push: events => {
            const text = events.toString("latin1");
            tokens += countOccurrences(text, tokenMarker);
            ended ||= text.includes(endMarker);
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
