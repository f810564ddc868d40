/**
 * Passes a stream of events on to the caller, whole events only, and continues a broken one at another engine where
 * the route allows it.
 *
 * An engine may break off in the middle of an event. What follows the last whole event is dropped, and the stream goes
 * on after that event's id; the caller sees one answer with the first engine's head.
 */

import { finished, Readable } from "node:stream";
import type { EngineAnswer } from "../engines/enginePort.js";
import type { ForwardContext } from "./context.js";
import { startStream } from "./generation.js";
import type { RunningStream } from "./generation.js";
import type { GenerationRequest } from "./routedRequest.js";

const eventEnd = Buffer.from("\n\n");
const idField = "id:";
const lineFeed = "\n";
const successStatus = 200;
/** More than this is not read ahead of a slow caller: a few events. */
const readAheadBytes = 4_096;
const endOfStream = null;

/**
 * The events of a stream, up to its end; fails where it broke off and could not be continued.
 *
 * A chunk is passed on in the turn of the event loop in which it arrived: a fleet's processors spend most of their time
 * here.
 */
export function relayStream(context: ForwardContext, generation: GenerationRequest, stream: RunningStream): Readable {
    const { answer, end } = stream;
    const canResume = generation.route.isResumable && answer.status === successStatus;
    if (!canResume) {
        finished(answer.body, () => end());
        return answer.body;
    }
    const current: { body: Readable; } = { body: answer.body };
    const relayed = new Readable({
        // The engine is held back while the caller is slow, instead of this process's memory being filled.
        highWaterMark: readAheadBytes,
        read: () => void current.body.resume(),
        destroy: (error, done) => {
            current.body.destroy();
            done(error);
        },
    });
    const onStream = ({ answer: { body } }: RunningStream): void => {
        current.body = body;
    };
    void relayResuming(context, generation, stream, relayed, onStream);
    return relayed;
}

async function relayResuming(
    context: ForwardContext,
    generation: GenerationRequest,
    first: RunningStream,
    relayed: Readable,
    onStream: (stream: RunningStream) => void,
): Promise<void> {
    const { request, route } = generation;
    const progress: Progress = { lastEventId: request.lastEventId };
    let stream: RunningStream | undefined = first;
    for (let engines = 1; stream !== undefined; engines++) {
        onStream(stream);
        const isWhole = await passWholeEvents(stream, relayed, progress);
        stream.end();
        if (isWhole) {
            relayed.push(endOfStream);
            return;
        }
        const isWanted = !relayed.destroyed && !request.callerGone.aborted;
        if (isWanted) {
            // The continuation must not go back to an engine that has just broken off.
            context.health.note(stream.engine.id, "unresponsive");
        }
        if (!isWanted || engines >= route.maxEngines || !generation.arrivals.mayCall()) {
            break;
        }
        context.metrics.count("resumes", generation.service);
        context.log.decision("continuing a broken stream at another engine", {
            requestId: request.requestId,
            engine: stream.engine.id,
            lastEventId: progress.lastEventId,
        });
        stream = await continuation(context, generation, progress.lastEventId);
    }
    relayed.destroy(new Error("the engine broke the stream off and it could not be continued"));
}

async function continuation(
    context: ForwardContext,
    generation: GenerationRequest,
    lastEventId: string | undefined,
): Promise<RunningStream | undefined> {
    const started = await startStream(context, generation, lastEventId);
    if (started.kind === "refused") {
        return undefined;
    }
    if (started.stream.answer.status !== successStatus) {
        discard(started.stream.answer);
        started.stream.end();
        return undefined;
    }
    return started.stream;
}

function discard(answer: EngineAnswer): void {
    answer.body.on("error", () => undefined);
    answer.body.destroy();
}

interface Progress {
    lastEventId: string | undefined;
}

/** Passes whole events on and notes the id of the last one; resolves with whether the engine ended the stream itself. */
function passWholeEvents({ answer: { body } }: RunningStream, relayed: Readable, progress: Progress): Promise<boolean> {
    let rest: Buffer = Buffer.alloc(0);
    const pass = (events: Buffer): void => {
        if (!relayed.push(events)) {
            body.pause();
        }
    };
    body.on("data", (chunk: Buffer) => {
        const pending = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
        const endOfEvents = pending.lastIndexOf(eventEnd);
        if (endOfEvents < 0) {
            rest = pending;
            return;
        }
        const events = pending.subarray(0, endOfEvents + eventEnd.length);
        rest = pending.subarray(endOfEvents + eventEnd.length);
        progress.lastEventId = lastIdIn(events) ?? progress.lastEventId;
        pass(events);
    });
    return new Promise(resolve => {
        finished(body, error => {
            const isWhole = error === undefined || error === null;
            if (isWhole && rest.length > 0) {
                pass(rest);
            }
            resolve(isWhole);
        });
    });
}

/** The last `id` field in a run of whole events. */
export function lastIdIn(events: Buffer): string | undefined {
    const start = events.lastIndexOf(lineFeed + idField);
    const fieldStart = start >= 0 ? start + lineFeed.length : events.indexOf(idField) === 0 ? 0 : -1;
    if (fieldStart < 0) {
        return undefined;
    }
    const valueStart = fieldStart + idField.length;
    return events.subarray(valueStart, events.indexOf(lineFeed, valueStart)).toString("utf8").trim();
}
