/**
 * Passes a stream of events on to the caller, whole events only, and continues a broken one at another engine where
 * the route allows it.
 *
 * An engine may break off in the middle of an event. What follows the last whole event is dropped, and the stream goes
 * on after that event's id; the caller sees one answer with the first engine's head.
 */

import { Readable } from "node:stream";
import type { EngineAnswer } from "../engines/enginePort.js";
import type { ForwardContext } from "./context.js";
import { startStream } from "./generation.js";
import type { RunningStream } from "./generation.js";
import type { GenerationRequest } from "./routedRequest.js";

const eventEnd = Buffer.from("\n\n");
const idField = "id:";
const lineFeed = "\n";
const successStatus = 200;

/** The events of a stream, up to its end; fails where it broke off and could not be continued. */
export function relayStream(context: ForwardContext, generation: GenerationRequest, stream: RunningStream): Readable {
    const { answer } = stream;
    const canResume = generation.route.isResumable && answer.status === successStatus;
    const events = canResume ? resumingEvents(context, generation, stream) : plainEvents(stream);
    // One chunk at a time is read ahead, so that a slow caller holds the engine back and not this process's memory.
    return Readable.from(events, { objectMode: true, highWaterMark: 1 });
}

async function* plainEvents({ answer, end }: RunningStream): AsyncGenerator<Buffer> {
    try {
        yield* answer.body as AsyncIterable<Buffer>;
    }
    finally {
        end();
    }
}

async function* resumingEvents(
    context: ForwardContext,
    generation: GenerationRequest,
    first: RunningStream,
): AsyncGenerator<Buffer> {
    const { request, route } = generation;
    const progress = { lastEventId: request.lastEventId, isBroken: false };
    let stream: RunningStream | undefined = first;
    for (let engines = 1; stream !== undefined; engines++) {
        yield* wholeEvents(stream, progress);
        if (!progress.isBroken) {
            return;
        }
        if (!request.callerGone.aborted) {
            // The continuation must not go back to an engine that has just broken off.
            context.health.note(stream.engine.id, "unresponsive");
        }
        const mayResume = engines < route.maxEngines && !request.callerGone.aborted
            && context.retryBudget.take(generation.service);
        if (!mayResume) {
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
    throw new Error("the engine broke the stream off and it could not be continued");
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
    isBroken: boolean;
}

/** Yields whole events; notes the id of the last one and whether the engine broke off. */
async function* wholeEvents({ answer, end }: RunningStream, progress: Progress): AsyncGenerator<Buffer> {
    let rest: Buffer = Buffer.alloc(0);
    progress.isBroken = false;
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            const pending = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const endOfEvents = pending.lastIndexOf(eventEnd);
            if (endOfEvents < 0) {
                rest = pending;
                continue;
            }
            const events = pending.subarray(0, endOfEvents + eventEnd.length);
            rest = pending.subarray(endOfEvents + eventEnd.length);
            progress.lastEventId = lastIdIn(events) ?? progress.lastEventId;
            yield events;
        }
    }
    catch {
        progress.isBroken = true;
        return;
    }
    finally {
        end();
    }
    if (rest.length > 0) {
        yield rest;
    }
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
