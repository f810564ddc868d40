/**
 * Plain calls: requests to services without model engines, and requests that declare no token counts. A response is
 * buffered completely before it is passed on, so that a call whose response breaks off can be retried before the caller
 * has received anything.
 *
 * A call is retried only if the error proves that the engine did not run it, or if its route allows repeats; each retry
 * takes one from the fleet's retry budget.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { provesNotRun } from "../engines/enginePort.js";
import type { EngineError, EngineRecord, EngineResponse } from "../engines/enginePort.js";
import { rankForPlain } from "../scheduling/placement.js";
import type { ForwardContext } from "./context.js";
import { answered, refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Maximum attempts of one call, the first included, before the caller is asked to retry. */
const maxAttempts = 3;
/** Fraction of the remaining time that one attempt of a repeatable call may use while another may follow. */
const attemptTimeFraction = 0.5;
/** Minimum timeout of one attempt: several times the usual response time of a plain service. */
const minAttemptMs = 200;
/** Retry delay for callers when no instance has run the call, for example because all instances are full. */
const unavailableRetryMs = 250;
const serverError = 500;
/** Many times a usual response of a plain service; limits the memory that one response takes. */
const maxBufferedBytes = 262_144;

interface Attempt {
    readonly engine: EngineRecord;
    readonly result: Result<EngineResponse, EngineError>;
}

export async function callPlain(context: ForwardContext, routed: RoutedRequest): Promise<ForwardOutcome> {
    const { route, request } = routed;
    const isRepeatable = route.kind === "idempotent" || route.isResumable;
    const triedEngines = new Set<string>();
    let possibleRuns = 0;
    let last: Attempt | undefined;
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const engine = nextEngine(context, routed.service, triedEngines);
        if (engine === undefined || (attempt > 0 && !context.retryBudget.take(routed.service))) {
            break;
        }
        triedEngines.add(engine.id);
        const canRetry = isRepeatable && possibleRuns + 1 < route.maxEngines;
        const result = await sendAttempt(context, routed, engine, canRetry);
        last = { engine, result };
        const mayHaveRun = result.isOk || !provesNotRun(result.error);
        possibleRuns += mayHaveRun ? 1 : 0;
        const isFinal = result.isOk && result.value.status < serverError;
        const isLastRun = mayHaveRun && (!isRepeatable || possibleRuns >= route.maxEngines);
        if (isFinal || isLastRun || request.callerDisconnected.aborted || timeLeftMs(context, routed) <= 0) {
            break;
        }
        logRetry(context, routed, last);
    }
    return outcomeOf(context, routed, last, possibleRuns);
}

function timeLeftMs(context: ForwardContext, routed: RoutedRequest): number {
    return routed.deadlineMs - context.clock.monotonicMs();
}

function nextEngine(
    context: ForwardContext,
    service: string,
    triedEngines: ReadonlySet<string>,
): EngineRecord | undefined {
    const usable = context.directory.usable(service);
    const ranked = rankForPlain(context.view, context.health.withoutEjected(usable));
    return ranked.find(engine => !triedEngines.has(engine.id))
        ?? rankForPlain(context.view, usable).find(engine => !triedEngines.has(engine.id));
}

async function sendAttempt(
    context: ForwardContext,
    routed: RoutedRequest,
    engine: EngineRecord,
    canRetry: boolean,
): Promise<Result<EngineResponse, EngineError>> {
    const { request } = routed;
    const remainingMs = Math.max(1, timeLeftMs(context, routed));
    const attemptTimeoutMs = canRetry
        ? Math.min(remainingMs, Math.max(minAttemptMs, remainingMs * attemptTimeFraction))
        : remainingMs;
    const timeout = context.clock.timeout(attemptTimeoutMs);
    const endLoad = context.loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: 0 });
    const sent = await context.engines.send(engine, request, {
        remainingMs,
        ...request.lastEventId === undefined ? {} : { lastEventId: request.lastEventId },
        signal: AbortSignal.any([timeout, request.callerDisconnected]),
    });
    const result = sent.isErr ? sent : await bufferBody(sent.value);
    endLoad();
    recordHealth(context, engine, result, timeout.aborted, request.callerDisconnected.aborted);
    return timeout.aborted && result.isErr && result.error.kind === "cancelled"
        ? Result.err({ kind: "timeout", cause: "no whole answer in time" })
        : result;
}

function recordHealth(
    context: ForwardContext,
    engine: EngineRecord,
    result: Result<EngineResponse, EngineError>,
    timedOut: boolean,
    isCallerDisconnected: boolean,
): void {
    if (isCallerDisconnected) {
        return;
    }
    if (result.isOk) {
        context.health.recordOutcome(engine.id, result.value.status >= serverError ? "failed" : "succeeded");
        return;
    }
    const isUnresponsive = timedOut || result.error.kind === "unreachable";
    context.health.recordOutcome(engine.id, isUnresponsive ? "unresponsive" : "failed");
}

/**
 * Reads the whole body into memory; fails if the engine breaks off the response. Of a body larger than
 * `maxBufferedBytes` the rest is passed on as it arrives, and ends at the attempt's timeout at the latest.
 */
async function bufferBody(response: EngineResponse): Promise<Result<EngineResponse, EngineError>> {
    const { body } = response;
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            sizeBytes += chunk.length;
            if (sizeBytes > maxBufferedBytes) {
                return Result.ok({ ...response, body: Readable.from(concatenate(chunks, body)) });
            }
        }
    }
    catch (error) {
        return Result.err({ kind: "interrupted", cause: `the answer broke off: ${(error as Error).message}` });
    }
    return Result.ok({ ...response, body: Readable.from(chunks.length === 0 ? [] : [Buffer.concat(chunks)]) });
}

/** The chunks that were read, then the rest of the body. */
async function* concatenate(chunks: readonly Buffer[], rest: Readable): AsyncGenerator<Buffer> {
    yield* chunks;
    yield* rest as AsyncIterable<Buffer>;
}

function logRetry(context: ForwardContext, routed: RoutedRequest, { engine, result }: Attempt): void {
    context.metrics.count("repeats", routed.service);
    context.log.decision("sending the call to another engine", {
        requestId: routed.request.requestId,
        engine: engine.id,
        cause: result.isErr ? result.error.cause : `status ${result.value.status}`,
    });
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
    const cause = last?.result.isErr ? `${last.engine.id}: ${last.result.error.cause}` : "no engine is available";
    if (possibleRuns > 0) {
        const isPastDeadline = timeLeftMs(context, routed) <= 0;
        return refuse(isPastDeadline ? 504 : 502, `the outcome is unknown: ${cause}`);
    }
    const restMs = context.directory.allRestingMs(routed.service, undefined);
    return refuse(503, cause, restMs ?? unavailableRetryMs);
}
