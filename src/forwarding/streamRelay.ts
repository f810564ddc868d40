/**
 * Relays a stream of events to the caller, and resumes a broken one at another engine where the route allows it.
 *
 * A stream is broken if the engine's response breaks off, and also if it ends inside an event, however it is framed. A
 * stream that may be resumed is relayed in complete events only: the incomplete event is dropped, and the stream resumes
 * after the id of the last complete one; the caller sees one response with the first engine's status and headers. Any
 * other stream is relayed as it arrives, and breaks off for the caller too.
 */

import { finished, Readable } from "node:stream";
import type { BodyFraming, EngineResponse } from "../engines/enginePort.js";
import type { ForwardContext } from "./context.js";
import { discardBody } from "./discardBody.js";
import {
    createEventAssembler,
    createEventBoundaryTracker,
    findMissingEnd,
    isEventStream,
    lastEventIdIn,
    maxEventBytes,
    withoutLength,
} from "./eventStream.js";
import type { EventBoundaryTracker } from "./eventStream.js";
import { startStream } from "./generation.js";
import type { RunningStream } from "./generation.js";
import type { GenerationRequest } from "./routedRequest.js";

const successStatus = 200;
/** Limit on what is buffered for a slow caller: a few events. */
const readAheadBytes = 4_096;
const endOfStream = null;
const maxLoggedParts = 8;

/**
 * Returns the response for the caller. Its body has the stream's events and fails where the stream broke off and could
 * not be resumed.
 *
 * A chunk is passed on in the event loop turn in which it arrives, because entries spend most of their processor time
 * here.
 */
export function relayStream(
    context: ForwardContext,
    generation: GenerationRequest,
    stream: RunningStream,
): EngineResponse {
    const { response, run, end } = stream;
    if (response.status !== successStatus || !isEventStream(generation.route.kind, response.headers)) {
        finished(response.body, () => end());
        void run.end("abandoned");
        return response;
    }
    const current: { body: Readable; } = { body: response.body };
    const relayed = new Readable({
        // Backpressure: while the caller is slow, the engine's stream is paused rather than buffered in this process.
        highWaterMark: readAheadBytes,
        read: () => void current.body.resume(),
        destroy: (error, done) => {
            current.body.destroy();
            done(error);
        },
    });
    const onStreamChange = ({ response: { body } }: RunningStream): void => {
        current.body = body;
    };
    void relayWithResumption(context, generation, stream, relayed, onStreamChange);
    return { ...response, headers: withoutLength(response.headers), body: relayed };
}

async function relayWithResumption(
    context: ForwardContext,
    generation: GenerationRequest,
    first: RunningStream,
    relayed: Readable,
    onStreamChange: (stream: RunningStream) => void,
): Promise<void> {
    const { request, route } = generation;
    const relayEvents = route.isResumable ? relayCompleteEvents : relayChunks;
    const position: StreamPosition = { lastEventId: request.lastEventId };
    let stream: RunningStream | undefined = first;
    for (let engineCount = 1; stream !== undefined; engineCount++) {
        onStreamChange(stream);
        stream.response.body.on("data", stream.run.recordOutput);
        const failure = await relayEvents(stream, relayed, position);
        stream.end();
        if (failure === undefined) {
            void stream.run.end("completed");
            relayed.push(endOfStream);
            return;
        }
        const isCallerWaiting = !relayed.destroyed && !request.callerDisconnected.aborted;
        const runEnded = stream.run.end(isCallerWaiting ? "broken" : "abandoned");
        logBreak(context, generation, stream, failure);
        if (!route.isResumable || !await stream.isVersionKnown) {
            relayed.destroy(failure);
            return;
        }
        if (isCallerWaiting) {
            // Ejects the engine, so that the stream is not resumed at the one that has just broken it off.
            context.health.recordOutcome(stream.engine.id, "unresponsive");
        }
        const isSuspected = await runEnded;
        if (
            isSuspected || !isCallerWaiting || engineCount >= route.maxEngines
            || !generation.callBudget.tryAcquireCall()
        ) {
            break;
        }
        context.metrics.count("resumes", generation.service);
        context.log.decision("continuing a broken stream at another engine", {
            requestId: request.requestId,
            engine: stream.engine.id,
            softwareVersion: stream.engine.softwareVersion,
            lastEventId: position.lastEventId,
            cause: failure.message,
        });
        stream = await resumeStream(
            context,
            { ...generation, softwareVersion: first.engine.softwareVersion },
            position.lastEventId,
        );
    }
    relayed.destroy(new Error("the engine broke off the stream and it could not be resumed at another engine"));
}

function logBreak(
    context: ForwardContext,
    { request, fingerprint }: GenerationRequest,
    { engine, startedAtMs }: RunningStream,
    failure: Error,
): void {
    if (request.callerDisconnected.aborted) {
        return;
    }
    context.log.decision("a stream broke off at its engine", {
        requestId: request.requestId,
        engine: engine.id,
        bornMs: engine.bornMs,
        sinceStartMs: Math.round(context.clock.monotonicMs() - startedAtMs),
        sharedPromptParts: request.sharedPromptParts.slice(0, maxLoggedParts),
        fingerprint,
        cause: failure.message,
    });
}

async function resumeStream(
    context: ForwardContext,
    generation: GenerationRequest,
    lastEventId: string | undefined,
): Promise<RunningStream | undefined> {
    const started = await startStream(context, generation, lastEventId);
    if (started.kind === "refused") {
        return undefined;
    }
    if (started.stream.response.status !== successStatus) {
        discardBody(started.stream.response.body);
        started.stream.end();
        return undefined;
    }
    return started.stream;
}

interface StreamPosition {
    /** Id of the last complete event that was relayed. */
    lastEventId: string | undefined;
}

/** Relays a stream until it ends; resolves to the error that broke it off, or to `undefined` if it is complete. */
type EventRelay = (stream: RunningStream, relayed: Readable, position: StreamPosition) => Promise<Error | undefined>;

/** Relays complete events and records the id of the last one. */
const relayCompleteEvents: EventRelay = ({ response: { body, framing } }, relayed, position) => {
    const assembler = createEventAssembler();
    const boundaries = createEventBoundaryTracker();
    body.on("data", (chunk: Buffer) => {
        boundaries.push(chunk);
        const events = assembler.push(chunk);
        if (events.length === 0) {
            if (assembler.partialEvent().length > maxEventBytes) {
                body.destroy(new Error(`an event is larger than ${maxEventBytes} bytes`));
            }
            return;
        }
        position.lastEventId = lastEventIdIn(events) ?? position.lastEventId;
        if (!relayed.push(events)) {
            body.pause();
        }
    });
    return endOf(body, boundaries, framing).then(failure => {
        const rest = assembler.partialEvent();
        if (failure === undefined && rest.length > 0) {
            // Line ends after the last event.
            relayed.push(rest);
        }
        return failure;
    });
};

/** Relays the bytes as they arrive. */
const relayChunks: EventRelay = ({ response: { body, framing } }, relayed) => {
    const boundaries = createEventBoundaryTracker();
    body.on("data", (chunk: Buffer) => {
        boundaries.push(chunk);
        if (!relayed.push(chunk)) {
            body.pause();
        }
    });
    return endOf(body, boundaries, framing);
};

function endOf(body: Readable, boundaries: EventBoundaryTracker, framing: BodyFraming): Promise<Error | undefined> {
    return new Promise(resolve => {
        finished(body, error => {
            const missing = findMissingEnd(boundaries, framing);
            resolve(error ?? (missing === undefined ? undefined : new Error(missing)));
        });
    });
}
