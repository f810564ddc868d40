/**
 * Relays a stream of events to the caller, in complete events only, and resumes a broken one at another engine where
 * the route allows it.
 *
 * An engine may break off in the middle of an event. The incomplete event is dropped, and the stream resumes after the
 * id of the last complete one; the caller sees one response with the first engine's status and headers.
 */

import { finished, Readable } from "node:stream";
import type { EngineResponse } from "../engines/enginePort.js";
import type { ForwardContext } from "./context.js";
import { startStream } from "./generation.js";
import type { RunningStream } from "./generation.js";
import type { GenerationRequest } from "./routedRequest.js";

const eventDelimiter = Buffer.from("\n\n");
const idField = "id:";
const lineFeed = "\n";
const successStatus = 200;
/** Limit on an incomplete event, which is kept in memory: a faulty engine may send bytes that never end an event. */
const maxEventBytes = 1_048_576;
/** Limit on what is buffered for a slow caller: a few events. */
const readAheadBytes = 4_096;
const endOfStream = null;

/**
 * Returns the body for the caller: the stream's events, failing where the stream broke off and could not be resumed.
 *
 * A chunk is passed on in the event loop turn in which it arrives, because entries spend most of their processor time
 * here.
 */
export function relayStream(context: ForwardContext, generation: GenerationRequest, stream: RunningStream): Readable {
    const { response, end } = stream;
    const canResume = generation.route.isResumable && response.status === successStatus;
    if (!canResume) {
        finished(response.body, () => end());
        return response.body;
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
    return relayed;
}

async function relayWithResumption(
    context: ForwardContext,
    generation: GenerationRequest,
    first: RunningStream,
    relayed: Readable,
    onStreamChange: (stream: RunningStream) => void,
): Promise<void> {
    const { request, route } = generation;
    const position: StreamPosition = { lastEventId: request.lastEventId };
    let stream: RunningStream | undefined = first;
    for (let engineCount = 1; stream !== undefined; engineCount++) {
        onStreamChange(stream);
        const isComplete = await relayCompleteEvents(stream, relayed, position);
        stream.end();
        if (isComplete) {
            relayed.push(endOfStream);
            return;
        }
        const isCallerWaiting = !relayed.destroyed && !request.callerDisconnected.aborted;
        if (isCallerWaiting) {
            // Ejects the engine, so that the stream is not resumed at the one that has just broken it off.
            context.health.recordOutcome(stream.engine.id, "unresponsive");
        }
        if (!isCallerWaiting || engineCount >= route.maxEngines || !generation.callBudget.tryAcquireCall()) {
            break;
        }
        context.metrics.count("resumes", generation.service);
        context.log.decision("continuing a broken stream at another engine", {
            requestId: request.requestId,
            engine: stream.engine.id,
            lastEventId: position.lastEventId,
        });
        stream = await resumeStream(context, generation, position.lastEventId);
    }
    relayed.destroy(new Error("the engine broke off the stream and it could not be resumed at another engine"));
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
        destroyBody(started.stream.response);
        started.stream.end();
        return undefined;
    }
    return started.stream;
}

function destroyBody(response: EngineResponse): void {
    response.body.on("error", () => undefined);
    response.body.destroy();
}

interface StreamPosition {
    /** Id of the last complete event that was relayed. */
    lastEventId: string | undefined;
}

/** Relays complete events and records the id of the last one; resolves to whether the stream ended normally. */
function relayCompleteEvents(
    { response: { body } }: RunningStream,
    relayed: Readable,
    position: StreamPosition,
): Promise<boolean> {
    let partialEvent: Buffer = Buffer.alloc(0);
    const pushEvents = (events: Buffer): void => {
        if (!relayed.push(events)) {
            body.pause();
        }
    };
    body.on("data", (chunk: Buffer) => {
        const pending = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk]);
        const lastDelimiter = pending.lastIndexOf(eventDelimiter);
        if (lastDelimiter < 0) {
            partialEvent = pending;
            if (partialEvent.length > maxEventBytes) {
                body.destroy(new Error(`an event is larger than ${maxEventBytes} bytes`));
            }
            return;
        }
        const events = pending.subarray(0, lastDelimiter + eventDelimiter.length);
        partialEvent = pending.subarray(lastDelimiter + eventDelimiter.length);
        position.lastEventId = lastEventIdIn(events) ?? position.lastEventId;
        pushEvents(events);
    });
    return new Promise(resolve => {
        finished(body, error => {
            const isComplete = error === undefined || error === null;
            if (isComplete && partialEvent.length > 0) {
                pushEvents(partialEvent);
            }
            resolve(isComplete);
        });
    });
}

/** The value of the last `id` field in a sequence of complete events. */
export function lastEventIdIn(events: Buffer): string | undefined {
    const lineStart = events.lastIndexOf(lineFeed + idField);
    const fieldStart = lineStart >= 0 ? lineStart + lineFeed.length : events.indexOf(idField) === 0 ? 0 : -1;
    if (fieldStart < 0) {
        return undefined;
    }
    const valueStart = fieldStart + idField.length;
    return events.subarray(valueStart, events.indexOf(lineFeed, valueStart)).toString("utf8").trim();
}
