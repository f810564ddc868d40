/**
 * A generation: a place at a decode engine, a prefill elsewhere, then the stream.
 *
 * The place (slot and KV memory) is reserved first, because a prefill whose result finds no room is lost. What the
 * request holds anywhere is freed as soon as it can't be used any more.
 */

import { Result } from "true-myth";
import { provesNotRun } from "../engines/enginePort.js";
import type { EngineAnswer, EngineError, EngineRecord, PrefilledCache } from "../engines/enginePort.js";
import type { DecodePlace } from "../scheduling/decodePlaces.js";
import { isSoonerByItself, mayReadItself, rankForPrefill } from "../scheduling/placement.js";
import type { Arrivals } from "./arrivals.js";
import type { ForwardContext } from "./context.js";
import { answered, refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import type { GenerationRequest } from "./routedRequest.js";
import { relayStream } from "./streamRelay.js";

/** A stream that runs at an engine, with the place that it occupies. */
export interface RunningStream {
    readonly engine: EngineRecord;
    readonly answer: EngineAnswer;
    /** Ends the accounting of the place. */
    readonly end: () => void;
}

interface StartFailure {
    readonly kind: "refused";
    readonly outcome: ForwardOutcome;
}
export type StartResult = { readonly kind: "started"; readonly stream: RunningStream; } | StartFailure;

/** Tries of one generation: each needs a place and mostly a prefill of its own. */
const maxTries = 3;
/** Prefill engines that are asked for one try. */
const maxPrefillSends = 2;
/** A prefill that takes this much longer than estimated is given up for another engine. */
const prefillPatienceMs = 700;
/** A prompt is read at this rate at least by an engine that is well. */
const slowestPrefillTokensPerMs = 25;
/** One answer in twenty takes less than this part of its expected time (bench, both sites). */
const fastAnswerPart = 0.5;
const serverError = 500;
const firstTry = 0;

export async function generate(context: ForwardContext, generation: GenerationRequest): Promise<ForwardOutcome> {
    const { lastEventId } = generation.request;
    // A continued stream is shorter than its size says.
    if (lastEventId === undefined && !mayEndInTime(context, generation)) {
        return refuse(503, "its caller would not wait for the whole answer", retryAfterMs(context, generation));
    }
    const started = await startStream(context, generation, lastEventId);
    if (started.kind === "refused") {
        return started.outcome;
    }
    const { answer } = started.stream;
    const body = relayStream(context, generation, started.stream);
    return answered({ ...answer, body });
}

/** Starts a stream, or continues one after `lastEventId`. */
export async function startStream(
    context: ForwardContext,
    generation: GenerationRequest,
    lastEventId: string | undefined,
): Promise<StartResult> {
    const { request, service } = generation;
    let outcome: ForwardOutcome = refuse(503, "no engine is available", retryAfterMs(context, generation));
    for (let attempt = firstTry; attempt < maxTries; attempt++) {
        const place = await context.places.obtain(generation);
        if (place.isErr) {
            const { cause, retryAfterMs: waitMs } = place.error;
            return { kind: "refused", outcome: attempt === firstTry ? refuse(503, cause, waitMs) : outcome };
        }
        const result = await sendTo(context, generation, place.value, lastEventId);
        if (result.isOk) {
            return {
                kind: "started",
                stream: { engine: place.value.engine, answer: result.value, end: place.value.end },
            };
        }
        place.value.end();
        outcome = describeFailure(context, generation, place.value.engine, result.error);
        if (!provesNotRun(result.error) || request.callerGone.aborted) {
            return { kind: "refused", outcome };
        }
        if (timeLeft(context, generation) <= 0 || !generation.arrivals.mayCall()) {
            return { kind: "refused", outcome };
        }
        context.metrics.count("repeats", service);
        context.log.decision("starting the generation again at other engines", {
            requestId: request.requestId,
            engine: place.value.engine.id,
            cause: result.error.cause,
        });
    }
    return { kind: "refused", outcome };
}

function mayEndInTime(context: ForwardContext, generation: GenerationRequest): boolean {
    return context.places.expectedAnswerMs(generation.size) * fastAnswerPart <= timeLeft(context, generation);
}

function timeLeft(context: ForwardContext, generation: GenerationRequest): number {
    return generation.dueAtMs - context.clock.monotonicMs();
}

function retryAfterMs(context: ForwardContext, { service }: GenerationRequest): number {
    return context.places.retryAfterMs(service);
}

async function sendTo(
    context: ForwardContext,
    generation: GenerationRequest,
    place: DecodePlace,
    lastEventId: string | undefined,
): Promise<Result<EngineAnswer, EngineError>> {
    const { request, arrivals } = generation;
    const cache = await prefill(context, generation, place.engine);
    // Without a cache, the decode engine reads the prompt before its first token.
    const endReading = context.loads.start(place.engine.id, {
        requests: 0,
        kvTokens: 0,
        prefillTokens: cache === undefined ? generation.size.promptTokens : 0,
    });
    if (request.callerGone.aborted) {
        endReading();
        discard(context, place, cache);
        return cancelled();
    }
    if (context.directory.get(place.engine.id)?.state !== "ready") {
        endReading();
        discard(context, place, cache);
        return Result.err({ kind: "unreachable", cause: "the engine began to leave while the prompt was read" });
    }
    if (!arrivals.mayCall()) {
        endReading();
        discard(context, place, cache);
        return Result.err({ kind: "unreachable", cause: "the retry budget is used up" });
    }
    const sent = await context.engines.send(place.engine, request, {
        remainingMs: Math.max(1, timeLeft(context, generation)),
        signal: AbortSignal.any([request.callerGone, context.clock.timeout(timeLeft(context, generation))]),
        ...place.reservation === undefined ? {} : { reservation: place.reservation },
        ...cache === undefined ? {} : { cache },
        ...lastEventId === undefined ? {} : { lastEventId },
    });
    endReading();
    if (sent.isOk || sent.error.kind !== "unreachable") {
        arrivals.noteCall();
    }
    if (request.callerGone.aborted) {
        return sent;
    }
    if (sent.isErr) {
        if (provesNotRun(sent.error)) {
            discard(context, place, cache);
        }
        // An engine that takes a reservation and rejects its request is not what its record says.
        context.health.note(place.engine.id, "unresponsive");
        return sent;
    }
    context.health.note(place.engine.id, sent.value.status >= serverError ? "failed" : "succeeded");
    return sent;
}

function discard(context: ForwardContext, place: DecodePlace, cache: PrefilledCache | undefined): void {
    if (place.reservation !== undefined) {
        context.engines.releaseReservation(place.engine, place.reservation);
    }
    if (cache !== undefined) {
        context.metrics.count("prefillsDiscarded", place.engine.service);
        context.engines.releaseCache(cache);
    }
}

/** Has the prompt read at a prefill engine. Without a result, the decode engine reads it itself. */
async function prefill(
    context: ForwardContext,
    generation: GenerationRequest,
    decodeEngine: EngineRecord,
): Promise<PrefilledCache | undefined> {
    const { request, service, size, arrivals } = generation;
    const engines = context.health.withoutAvoided(context.view.staged(service, "prefill"));
    const ranked = rankForPrefill(context.view, engines);
    for (const engine of ranked.slice(0, maxPrefillSends)) {
        if (
            mayReadItself(generation.route, generation.figures)
            && isSoonerByItself(context.view, decodeEngine, engine, size.promptTokens)
        ) {
            context.metrics.count("ownPrefills", service);
            return undefined;
        }
        if (!arrivals.mayCall()) {
            return undefined;
        }
        const expectedMs = (context.view.workAt(engine.id).prefillTokens + size.promptTokens)
            / slowestPrefillTokensPerMs;
        const timeout = context.clock.timeout(expectedMs + prefillPatienceMs);
        const end = context.loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: size.promptTokens });
        const sentAtMs = context.clock.monotonicMs();
        const result = await context.engines.prefill(engine, request, {
            remainingMs: Math.max(1, timeLeft(context, generation)),
            signal: AbortSignal.any([request.callerGone, timeout]),
        });
        end();
        notePrefill(arrivals, result);
        if (result.isOk) {
            context.health.note(engine.id, "succeeded");
            const tookMs = context.clock.monotonicMs() - sentAtMs;
            context.metrics.observe("prefillMs", service, tookMs);
            context.log.decision("the prompt was read", {
                requestId: request.requestId,
                engine: engine.id,
                tookMs: Math.round(tookMs),
            });
            return result.value;
        }
        if (request.callerGone.aborted || timeLeft(context, generation) <= 0) {
            return undefined;
        }
        context.health.note(engine.id, result.error.kind === "notExecuted" ? "failed" : "unresponsive");
        context.log.decision("the prefill failed", {
            requestId: request.requestId,
            engine: engine.id,
            cause: result.error.cause,
        });
    }
    return undefined;
}

function notePrefill(arrivals: Arrivals, result: Result<PrefilledCache, EngineError>): void {
    if (result.isOk || result.error.kind === "notExecuted") {
        arrivals.notePrefill(result.isOk);
    }
    else if (result.error.kind !== "unreachable") {
        arrivals.noteCall();
    }
}

function cancelled(): Result<EngineAnswer, EngineError> {
    return Result.err({ kind: "cancelled", cause: "the caller went away" });
}

function describeFailure(
    context: ForwardContext,
    generation: GenerationRequest,
    engine: EngineRecord,
    error: EngineError,
): ForwardOutcome {
    const cause = `${engine.id}: ${error.cause}`;
    if (provesNotRun(error)) {
        return refuse(503, cause, retryAfterMs(context, generation));
    }
    return refuse(timeLeft(context, generation) <= 0 ? 504 : 502, `the outcome is unknown: ${cause}`);
}
