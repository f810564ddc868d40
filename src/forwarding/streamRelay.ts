/**
 * Relays a stream of events to the caller, and resumes a broken one at another engine where the route allows it.
 *
 * A stream is broken if the engine's response breaks off, if it ends inside an event, however it is framed, and if its
 * events are out of order. Only complete events that are in order are relayed: an incomplete event is dropped, and the
 * stream resumes after the id of the last one that was relayed; the caller sees one response with the first engine's
 * status and headers. A stream that can't be resumed breaks off for the caller too.
 */

import { finished, Readable } from "node:stream";
import { createBodyBlocks } from "../common/bodyBlocks.js";
import { holdsInTime } from "../common/callLimit.js";
import type { BodyFraming, EngineRecord, EngineResponse } from "../engines/enginePort.js";
import type { ForwardContext } from "./context.js";
import { discardBody } from "./discardBody.js";
import { createEventOrder } from "./eventOrder.js";
import {
    createEventBoundaryTracker,
    findMissingEnd,
    isEventStream,
    lastEventIdIn,
    maxEventBytes,
    mediaTypeOf,
    withoutLength,
} from "./eventStream.js";
import type { EventBoundaryTracker } from "./eventStream.js";
import { startStream } from "./generation.js";
import type { RunningStream } from "./generation.js";
import type { GenerationRequest } from "./routedRequest.js";

const successStatus = 200;
const unknownOutcomeStatus = 502;
/** Limit on what is buffered for a slow caller: a few events. */
const readAheadBytes = 4_096;
const endOfStream = null;
const maxLoggedParts = 8;
/** Time for which a stream that broke off waits until its version is known, before it breaks off for its caller too. */
const maxVersionWaitMs = 300;

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
    const { request, route, service } = generation;
    const state: RelayState = { lastEventId: request.lastEventId, isLastNamed: true, engineCount: 1 };
    const isCallerWaiting = (): boolean => !relayed.destroyed && !request.callerDisconnected.aborted;
    let stream: RunningStream | undefined = first;
    while (stream !== undefined) {
        onStreamChange(stream);
        stream.response.body.on("data", stream.run.recordOutput);
        const failure = await relayEvents(generation, stream, relayed, state);
        stream.end();
        if (failure === undefined) {
            void stream.run.end(stream.response.framing === "connection" ? "closed" : "completed");
            if (stream === first && request.lastEventId === undefined) {
                const durationMs = context.clock.monotonicMs() - stream.startedAtMs;
                context.stageWork.recordEnd(service, generation.size, durationMs);
            }
            relayed.push(endOfStream);
            return;
        }
        const wasCallerWaiting = isCallerWaiting();
        const runEnded = stream.run.end(wasCallerWaiting ? "broken" : "abandoned");
        logBreak(context, generation, stream, failure);
        const waitLimit = {
            clock: context.clock,
            timeoutMs: Math.min(maxVersionWaitMs, generation.deadlineMs - context.clock.monotonicMs()),
            cancelledBy: [request.callerDisconnected],
        };
        if (!route.isResumable || !state.isLastNamed || !await holdsInTime(waitLimit, stream.isVersionKnown)) {
            relayed.destroy(failure);
            return;
        }
        if (wasCallerWaiting) {
            // Ejects the engine, so that the stream is not resumed at the one that has just broken it off.
            context.health.recordOutcome(stream.engine.id, "unresponsive");
        }
        if (await runEnded) {
            break;
        }
        stream = await resumeStream(context, generation, first, state, isCallerWaiting, {
            engine: stream.engine,
            cause: failure.message,
        });
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

/** Why a stream did not go on at an engine. */
interface StreamBreak {
    readonly engine: EngineRecord;
    readonly cause: string;
}

/**
 * Resumes a stream at other engines, as many as the route allows, until one goes on with it; `undefined` if none does. An
 * engine that ended with the request is the last one, since the request may be the cause.
 */
async function resumeStream(
    context: ForwardContext,
    generation: GenerationRequest,
    first: RunningStream,
    state: RelayState,
    isCallerWaiting: () => boolean,
    broken: StreamBreak,
): Promise<RunningStream | undefined> {
    const { request, route, service, callBudget } = generation;
    const { softwareVersion } = first.engine;
    let last = broken;
    while (isCallerWaiting() && state.engineCount < route.maxEngines && callBudget.tryAcquireCall()) {
        state.engineCount += 1;
        context.metrics.count("resumes", service);
        context.log.decision("continuing a broken stream at another engine", {
            requestId: request.requestId,
            engine: last.engine.id,
            softwareVersion: last.engine.softwareVersion,
            lastEventId: state.lastEventId,
            cause: last.cause,
        });
        const started = await startStream(context, { ...generation, softwareVersion }, state.lastEventId);
        if (started.kind === "refused") {
            const { outcome, isSuspected } = started;
            const mayGoOn = outcome.kind === "refused" && outcome.refusal.status === unknownOutcomeStatus;
            if (!mayGoOn || await isSuspected) {
                return undefined;
            }
            last = { ...last, cause: outcome.refusal.cause };
            continue;
        }
        const { stream } = started;
        const cause = findTakeUpFault(first.response, stream.response);
        if (cause === undefined) {
            return stream;
        }
        discardBody(stream.response.body);
        stream.end();
        void stream.run.end("abandoned");
        context.health.recordOutcome(stream.engine.id, "unresponsive");
        last = { engine: stream.engine, cause };
    }
    return undefined;
}

/** Why a response does not go on with the stream that `first` began; `undefined` if it may. */
function findTakeUpFault(first: EngineResponse, response: EngineResponse): string | undefined {
    if (response.status !== successStatus) {
        return `the engine answered the take-up with status ${response.status}`;
    }
    const mediaType = mediaTypeOf(response.headers);
    return mediaType === mediaTypeOf(first.headers)
        ? undefined
        : `the engine answered the take-up with content of type "${mediaType}"`;
}

/** How far a stream was relayed. */
interface RelayState {
    /** Id of the last complete event that was relayed. */
    lastEventId: string | undefined;
    /** Whether no event without an id was relayed after that one; the stream can't be resumed after such an event. */
    isLastNamed: boolean;
    /** Number of engines that may have run the request. */
    engineCount: number;
}

/**
 * Relays a stream until it ends; resolves to the error that broke it off, or to `undefined` if it is complete. An event
 * that is too large to be kept is passed on as it arrives unless the stream may be resumed.
 */
function relayEvents(
    { route }: GenerationRequest,
    { response: { body, framing } }: RunningStream,
    relayed: Readable,
    state: RelayState,
): Promise<Error | undefined> {
    const boundaries = createEventBoundaryTracker();
    const order = createEventOrder(state.lastEventId, route.kind === "stream");
    const partialEvent = createBodyBlocks();
    const relay = (bytes: Buffer): void => {
        if (!relayed.push(bytes)) {
            body.pause();
        }
    };
    body.on("data", (chunk: Buffer) => {
        boundaries.push(chunk);
        const inOrderBytes = order.push(chunk);
        if (inOrderBytes > 0) {
            partialEvent.append(chunk.subarray(0, inOrderBytes));
            const events = partialEvent.take();
            state.lastEventId = order.lastNumber() === undefined
                ? lastEventIdIn(events) ?? state.lastEventId
                : String(order.lastNumber());
            state.isLastNamed = order.isLastNamed();
            relay(events);
        }
        if (inOrderBytes < chunk.length) {
            partialEvent.append(chunk.subarray(inOrderBytes));
        }
        const fault = order.fault();
        if (fault !== undefined) {
            body.destroy(new Error(fault));
        }
        else if (partialEvent.sizeBytes() > maxEventBytes && route.isResumable) {
            body.destroy(new Error(`an event is larger than ${maxEventBytes} bytes`));
        }
        else if (partialEvent.sizeBytes() > maxEventBytes) {
            relay(partialEvent.take());
        }
    });
    return endOf(body, boundaries, framing).finally(partialEvent.drop);
}

function endOf(body: Readable, boundaries: EventBoundaryTracker, framing: BodyFraming): Promise<Error | undefined> {
    return new Promise(resolve => {
        finished(body, error => {
            const missing = findMissingEnd(boundaries, framing);
            resolve(error ?? (missing === undefined ? undefined : new Error(missing)));
        });
    });
}
