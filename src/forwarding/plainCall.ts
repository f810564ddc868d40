/**
 * Plain calls: requests to services without model engines, and requests that declare no token counts. A response is
 * buffered completely before it is passed on, so that a call whose response breaks off can be retried before the caller
 * has received anything.
 *
 * A call is retried only if the error proves that the engine did not run it, or if its route allows repeats; each retry
 * takes one from the fleet's retry budget. A call that may run more than once is hedged: if its response takes unusually
 * long, it is also sent to another instance, and the first response counts. A call whose engine has ended with it is not
 * sent again, since it may be the cause.
 */

import { finished, Readable } from "node:stream";
import { Result } from "true-myth";
import { holdsInTime, limitCall } from "../common/callLimit.js";
import { isConnectionRefused, provesNotRun } from "../engines/enginePort.js";
import type { BodyFraming, EngineError, EngineRecord, EngineResponse } from "../engines/enginePort.js";
import type { EngineRun } from "../quarantine/engineRuns.js";
import type { ForwardContext } from "./context.js";
import { discardBody } from "./discardBody.js";
import { createEventOrder } from "./eventOrder.js";
import { createEventBoundaryTracker, findMissingEnd, isEventStream, withoutLength } from "./eventStream.js";
import { answered, promisesNotRun, refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import { admitPlain } from "./plainAdmission.js";
import { hasSlotForHedge, isRepeatable, plainEnginesInOrder } from "./plainEngines.js";
import { endBrokenRun, isQuarantined } from "./quarantineChecks.js";
import { mayRunAt, suspectsOf } from "./routedRequest.js";
import type { RoutedRequest } from "./routedRequest.js";
import { mayOutlastEntry, refuseIfTooLate } from "./shutdownChecks.js";

/** Maximum attempts of one call, the first included, before the caller is asked to retry. */
const maxAttempts = 3;
/** Engines that may refuse the connection besides; such an attempt reaches no engine and takes no retry. */
const maxRefusedConnections = 16;
/** Retry delay for callers when no instance has run the call, for example because all instances are full. */
const unavailableRetryMs = 250;
/** Time for which the response to a new stream waits until its version is known. */
const newStreamWaitMs = 300;
const successStatus = 200;
const serverError = 500;
/** Many times a usual response of a plain service; limits the memory that one response takes. */
const maxBufferedBytes = 262_144;
/** Limit on what is buffered of the rest of a larger response while its caller is slow. */
const readAheadBytes = 65_536;

interface Attempt {
    readonly engine: EngineRecord;
    readonly result: Result<EngineResponse, EngineError>;
    /** Its engine ended with it, so that the call may be the cause. */
    readonly isSuspected: boolean;
}

/** An attempt that has no result yet. */
interface RunningAttempt {
    readonly engine: EngineRecord;
    readonly result: Promise<Attempt>;
    readonly cancel: () => void;
}

/** The attempts of one call. */
interface CallState {
    readonly triedEngines: Set<string>;
    readonly running: Set<RunningAttempt>;
    /** Ended attempts that reached no engine, and those of them whose engines refused the connection. */
    unreachable: number;
    refusedConnections: number;
    /** Retries taken from the budget; each pays for one attempt that reaches an engine, the first of which is free. */
    retriesTaken: number;
    /** Ended attempts that may have run. */
    possibleRuns: number;
    /** An engine has ended under an attempt: the call is not sent again. */
    isSuspected: boolean;
    /** The attempt that decides the outcome if no other succeeds. */
    last: Attempt | undefined;
}

export async function callPlain(context: ForwardContext, routed: RoutedRequest): Promise<ForwardOutcome> {
    const state: CallState = {
        triedEngines: new Set(),
        running: new Set(),
        unreachable: 0,
        refusedConnections: 0,
        retriesTaken: 0,
        possibleRuns: 0,
        isSuspected: false,
        last: undefined,
    };
    const admission = admitPlain(context, routed);
    const refusal = admission === undefined ? undefined : await admission;
    if (refusal !== undefined) {
        return refusal;
    }
    await startAttempt(context, routed, state);
    let mayHedge = isRepeatable(routed) && !context.quarantine.isSuspected(suspectsOf(routed));
    while (state.running.size > 0) {
        const ended = await nextEnd(context, routed, state, mayHedge);
        if (ended === undefined) {
            // The running attempt is an outlier: the call is also sent to another engine, and the first response counts.
            mayHedge = hasSlotForHedge(context, routed, state.triedEngines)
                && await startAttempt(context, routed, state);
            if (mayHedge) {
                context.metrics.count("hedges", routed.service);
            }
            continue;
        }
        recordEnd(state, ended);
        if (isFinal(ended) || routed.request.callerDisconnected.aborted || timeLeftMs(context, routed) <= 0) {
            break;
        }
        if (state.running.size === 0 && await startAttempt(context, routed, state)) {
            logRetry(context, routed, ended);
        }
    }
    state.running.forEach(attempt => attempt.cancel());
    const possibleRuns = state.possibleRuns + state.running.size;
    const { last } = state;
    if (last?.result.isOk && isResumableStream(routed) && !await settleVersion(context, routed, last.engine)) {
        discardBody(last.result.value.body);
        return refuse(502, `the outcome is unknown: ${last.engine.id} may have started again with another version`);
    }
    return outcomeOf(context, routed, last, possibleRuns);
}

/** Whether a response ends the call: it reports no failure, and can be passed on. */
function isFinal({ result }: Attempt): boolean {
    return result.isOk && result.value.status < serverError && !promisesNotRun(result.value.status);
}

/** Sends the call to the next engine; resolves to whether the route, the retry budget and the engines allow that. */
async function startAttempt(context: ForwardContext, routed: RoutedRequest, state: CallState): Promise<boolean> {
    const runs = state.possibleRuns + state.running.size;
    if (timeLeftMs(context, routed) <= 0 || state.isSuspected || isQuarantined(context, routed)) {
        return false;
    }
    const mayRunAgain = runs === 0 || (isRepeatable(routed) && runs < routed.route.maxEngines);
    const attempts = state.triedEngines.size - state.refusedConnections;
    if (!mayRunAgain || attempts >= maxAttempts || state.refusedConnections >= maxRefusedConnections) {
        return false;
    }
    for (const engine of plainEnginesInOrder(context, routed, state.triedEngines)) {
        // No await otherwise: the engine's load is to be counted before another call is placed.
        if (context.engineRates.isLimited(engine) && !await context.engineRates.acquire(engine)) {
            continue;
        }
        if (mayOutlastEntry(context, routed) || !takeRetryIfNeeded(context, routed, state)) {
            return false;
        }
        sendTo(context, routed, state, engine);
        return true;
    }
    return false;
}

/** Whether the retry budget allows another attempt. A retry whose attempt reached no engine pays for the next one. */
function takeRetryIfNeeded(context: ForwardContext, { service }: RoutedRequest, state: CallState): boolean {
    const arrivals = state.triedEngines.size - state.unreachable;
    if (state.retriesTaken >= arrivals) {
        return true;
    }
    const isTaken = context.retryBudget.take(service);
    state.retriesTaken += isTaken ? 1 : 0;
    return isTaken;
}

function sendTo(context: ForwardContext, routed: RoutedRequest, state: CallState, engine: EngineRecord): void {
    state.triedEngines.add(engine.id);
    const overtaken = new AbortController();
    const attempt: RunningAttempt = {
        engine,
        result: sendAttempt(context, routed, engine, overtaken.signal),
        cancel: () => overtaken.abort(),
    };
    state.running.add(attempt);
}

/** Resolves to the next attempt that ends, or to `undefined` if `mayHedge` and none ends soon. */
async function nextEnd(
    context: ForwardContext,
    routed: RoutedRequest,
    { running }: CallState,
    mayHedge: boolean,
): Promise<Attempt | undefined> {
    const ends = [...running].map(attempt => attempt.result);
    if (!mayHedge) {
        return Promise.race(ends);
    }
    const ended = new AbortController();
    const outlier = context.clock.sleep(context.responseTimes.outlierMs(routed.service), ended.signal)
        .then(() => undefined);
    const first = await Promise.race([...ends, outlier]);
    ended.abort();
    return first;
}

function recordEnd(state: CallState, ended: Attempt): void {
    for (const attempt of state.running) {
        if (attempt.engine.id === ended.engine.id) {
            state.running.delete(attempt);
        }
    }
    state.isSuspected ||= ended.isSuspected;
    state.unreachable += ended.result.isErr && ended.result.error.kind === "unreachable" ? 1 : 0;
    state.refusedConnections += ended.result.isErr && isConnectionRefused(ended.result.error) ? 1 : 0;
    state.possibleRuns += ended.result.isOk || !provesNotRun(ended.result.error) ? 1 : 0;
    // A response that reports a failure is better than none.
    if (ended.result.isOk || state.last === undefined || state.last.result.isErr) {
        state.last = ended;
    }
}

function timeLeftMs(context: ForwardContext, routed: RoutedRequest): number {
    return routed.deadlineMs - context.clock.monotonicMs();
}

async function sendAttempt(
    context: ForwardContext,
    routed: RoutedRequest,
    engine: EngineRecord,
    overtaken: AbortSignal,
): Promise<Attempt> {
    const { request } = routed;
    const remainingMs = Math.max(1, timeLeftMs(context, routed));
    const limit = limitCall({
        clock: context.clock,
        timeoutMs: remainingMs,
        cancelledBy: [overtaken, request.callerDisconnected],
    });
    const sentAtMs = context.clock.monotonicMs();
    const sentTo = context.instanceLoads.loadOf(engine);
    const endLoad = context.loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: 0 });
    const run = context.engineRuns.start(engine, suspectsOf(routed));
    request.onSend();
    const sent = await context.engines.send(engine, request, {
        remainingMs,
        ...request.lastEventId === undefined ? {} : { lastEventId: request.lastEventId },
        signal: limit.signal,
    });
    const result = sent.isErr ? sent : await bufferBody(sent.value, routed);
    if (sent.isErr) {
        limit.end();
    }
    else {
        limit.endWith(sent.value.body);
    }
    endLoad();
    if (result.isOk && result.value.status < serverError) {
        const durationMs = context.clock.monotonicMs() - sentAtMs;
        context.responseTimes.record(routed.service, durationMs);
        context.instanceLoads.recordDuration(routed.service, durationMs, sentTo);
    }
    recordHealth(context, engine, result, limit.isTimedOut(), request.callerDisconnected.aborted, sentAtMs);
    const isCancelled = overtaken.aborted || request.callerDisconnected.aborted;
    if (result.isErr && result.error.kind === "interrupted" && !isCancelled) {
        context.log.decision("a call broke off at its engine", {
            requestId: request.requestId,
            engine: engine.id,
            bornMs: engine.bornMs,
            sinceStartMs: Math.round(context.clock.monotonicMs() - sentAtMs),
            fingerprint: routed.fingerprint,
            cause: result.error.cause,
        });
    }
    const isSuspected = await endRun(context, run, result, isCancelled);
    if (isSuspected) {
        context.health.recordOutcome(engine.id, "ended");
    }
    return {
        engine,
        result: limit.isTimedOut() && result.isErr && result.error.kind === "cancelled"
            ? Result.err({ kind: "timeout", cause: "no whole answer in time" })
            : result,
        isSuspected,
    };
}

/** Ends the run of an attempt; resolves to whether its engine ended with it. */
async function endRun(
    context: ForwardContext,
    run: EngineRun,
    result: Result<EngineResponse, EngineError>,
    isCancelled: boolean,
): Promise<boolean> {
    if (result.isOk) {
        return run.end("completed");
    }
    if (isCancelled || provesNotRun(result.error)) {
        return run.end("abandoned");
    }
    if (result.error.kind !== "interrupted") {
        // The call's time is over, so nothing waits for the check of the engine.
        void run.end("broken");
        return false;
    }
    return endBrokenRun(context, run);
}

function recordHealth(
    context: ForwardContext,
    engine: EngineRecord,
    result: Result<EngineResponse, EngineError>,
    timedOut: boolean,
    isCallerDisconnected: boolean,
    sentAtMs: number,
): void {
    if (isCallerDisconnected) {
        return;
    }
    if (result.isOk) {
        const outcome = result.value.status >= serverError ? "failed" : "succeeded";
        context.health.recordOutcome(engine.id, outcome, sentAtMs);
        return;
    }
    if (timedOut || result.error.kind === "unreachable") {
        context.health.recordNoResponse(engine.id, result.error);
    }
    else {
        context.health.recordOutcome(engine.id, result.error.kind === "interrupted" ? "interrupted" : "notServed");
    }
}

/**
 * Reads the whole body into memory; fails if the engine breaks off the response, or sends events out of order. Of a body
 * larger than `maxBufferedBytes` the rest is passed on as it arrives, and ends at the attempt's timeout at the latest.
 */
async function bufferBody(
    response: EngineResponse,
    { request, route }: RoutedRequest,
): Promise<Result<EngineResponse, EngineError>> {
    const { body, framing, headers, status } = response;
    const isChecked = status === successStatus && isEventStream(route.kind, headers);
    const check = isChecked ? createStreamCheck(request.lastEventId, route.kind === "stream", framing) : undefined;
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            check?.push(chunk);
            sizeBytes += chunk.length;
            if (sizeBytes > maxBufferedBytes) {
                const whole = Readable.from(concatenate(chunks, body, check), {
                    objectMode: false,
                    highWaterMark: readAheadBytes,
                });
                // A caller that has stopped reading would not notice otherwise that the rest broke off.
                finished(body, error => error && whole.destroy(error));
                return Result.ok({ ...response, headers: isChecked ? withoutLength(headers) : headers, body: whole });
            }
        }
        check?.end();
    }
    catch (error) {
        discardBody(body);
        return Result.err({ kind: "interrupted", cause: `the answer broke off: ${(error as Error).message}` });
    }
    return Result.ok({ ...response, body: Readable.from(chunks.length === 0 ? [] : [Buffer.concat(chunks)]) });
}

/** The chunks that were read, then the rest of the body. */
async function* concatenate(
    chunks: readonly Buffer[],
    rest: Readable,
    check: StreamCheck | undefined,
): AsyncGenerator<Buffer> {
    yield* chunks;
    for await (const chunk of rest as AsyncIterable<Buffer>) {
        check?.push(chunk);
        yield chunk;
    }
    check?.end();
}

/** Check of a body that is a stream of events; throws if its events are out of order or it ends too early. */
interface StreamCheck {
    readonly push: (chunk: Buffer) => void;
    readonly end: () => void;
}

function createStreamCheck(after: string | undefined, isOrdered: boolean, framing: BodyFraming): StreamCheck {
    const boundaries = createEventBoundaryTracker();
    const order = createEventOrder(after, isOrdered);
    const failIf = (fault: string | undefined): void => {
        if (fault !== undefined) {
            throw new Error(fault);
        }
    };
    return {
        push: chunk => {
            boundaries.push(chunk);
            order.push(chunk);
            failIf(order.fault());
        },
        end: () => failIf(findMissingEnd(boundaries, framing)),
    };
}

function logRetry(context: ForwardContext, routed: RoutedRequest, { engine, result }: Attempt): void {
    context.metrics.count("repeats", routed.service);
    context.log.decision("sending the call to another engine", {
        requestId: routed.request.requestId,
        engine: engine.id,
        cause: result.isErr ? result.error.cause : `status ${result.value.status}`,
    });
}

function isResumableStream({ route }: RoutedRequest): boolean {
    return route.kind === "stream" && route.isResumable;
}

/**
 * Whether a response may be passed on, as one that goes on at the version that began its stream. The version of a new
 * stream is recorded once it is known: usually before its caller gets the first event, but the caller does not wait long.
 */
async function settleVersion(context: ForwardContext, routed: RoutedRequest, engine: EngineRecord): Promise<boolean> {
    const { clock, streamOrigins, startChecks } = context;
    const { request, service, softwareVersion } = routed;
    const isVersionKnown = startChecks.isConfirmed(engine);
    const cancelledBy = [request.callerDisconnected];
    if (softwareVersion !== undefined) {
        return holdsInTime({ clock, timeoutMs: timeLeftMs(context, routed), cancelledBy }, isVersionKnown);
    }
    const origin = { service, softwareVersion: engine.softwareVersion };
    const recorded = streamOrigins.recordOnceKnown(request.requestId, origin, isVersionKnown);
    await holdsInTime({ clock, timeoutMs: newStreamWaitMs, cancelledBy }, recorded.then(() => true));
    return true;
}

function outcomeOf(
    context: ForwardContext,
    routed: RoutedRequest,
    last: Attempt | undefined,
    possibleRuns: number,
): ForwardOutcome {
    if (last?.result.isOk) {
        return answered(last.result.value);
    }
    const usable = context.directory.usable(routed.service).filter(engine => mayRunAt(routed, engine));
    const areExhausted = context.engineRates.areExhausted(usable);
    const noEngineCause = areExhausted
        ? "all engines have got as many requests as the rates that they name"
        : "no engine is available";
    const noAttemptCause = timeLeftMs(context, routed) <= 0 ? "its time was over" : noEngineCause;
    const cause = last?.result.isErr ? `${last.engine.id}: ${last.result.error.cause}` : noAttemptCause;
    if (possibleRuns > 0) {
        const isPastDeadline = timeLeftMs(context, routed) <= 0;
        return refuse(isPastDeadline ? 504 : 502, `the outcome is unknown: ${cause}`);
    }
    const tooLate = refuseIfTooLate(context, routed);
    if (tooLate !== undefined) {
        return tooLate;
    }
    if (areExhausted) {
        context.metrics.count("exhausted", routed.service);
        return refuse(503, cause, context.engineRates.retryAfterMs(routed.service, usable));
    }
    const restMs = context.directory.allRestingMs(routed.service, undefined);
    return refuse(503, cause, restMs ?? unavailableRetryMs);
}
