/**
 * Runs a generation: obtains a decode allocation (a slot and KV memory at a decode engine), prefills the prompt at a
 * prefill engine, then relays the stream.
 *
 * The allocation comes first, because a prefill is wasted if no decode engine has free KV memory for its result.
 * Reservations and caches are released as soon as the request can no longer use them.
 */

import { Result } from "true-myth";
import { holdsInTime, limitCall, runLimited } from "../common/callLimit.js";
import { provesNotRun } from "../engines/enginePort.js";
import type { EngineError, EngineRecord, EngineResponse, PrefilledCache } from "../engines/enginePort.js";
import { shuttingDown } from "../overload/notRunRefusal.js";
import type { EngineRun } from "../quarantine/engineRuns.js";
import type { DecodeAllocation } from "../scheduling/decodeReservations.js";
import {
    allowsLocalPrefill,
    isLocalPrefillFaster,
    prefillEnginesFor,
    rankForPrefill,
} from "../scheduling/placement.js";
import type { ForwardContext } from "./context.js";
import { discardBody } from "./discardBody.js";
import type { EngineCallBudget } from "./engineCallBudget.js";
import { answered, refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import { endBrokenRun, isQuarantined, refuseQuarantined } from "./quarantineChecks.js";
import { isInHomeRegion, suspectsOf } from "./routedRequest.js";
import type { GenerationRequest } from "./routedRequest.js";
import { mayOutlastEntry, refuseIfTooLate } from "./shutdownChecks.js";
import { relayStream } from "./streamRelay.js";

/** A stream that is running at an engine, and its decode allocation. */
export interface RunningStream {
    readonly engine: EngineRecord;
    readonly response: EngineResponse;
    /** Monotonic time at which its engine returned the response's headers. */
    readonly startedAtMs: number;
    readonly run: EngineRun;
    /** Whether its engine is found to have the software version of its record; else the stream can't be resumed. */
    readonly isVersionKnown: Promise<boolean>;
    /** Ends the load accounting of the allocation. */
    readonly end: () => void;
}

/** Why an engine did not accept a request, and what is found out about an engine that broke off. */
type StartError = EngineError & Pick<StartFailure, "isSuspected">;

/** A request that an engine has accepted. */
type StartedRun = Pick<RunningStream, "response" | "run" | "isVersionKnown">;

interface StartFailure {
    readonly kind: "refused";
    readonly outcome: ForwardOutcome;
    /** Whether the last engine ended with the request, if it broke off before its response. */
    readonly isSuspected?: Promise<boolean> | undefined;
}
export type StartResult = { readonly kind: "started"; readonly stream: RunningStream; } | StartFailure;

/** Maximum attempts of one generation; each needs its own decode allocation and usually its own prefill. */
const maxAttempts = 3;
/** Maximum number of prefill engines that one attempt calls. */
const maxPrefillEngines = 2;
/** A prefill that exceeds its expected time by this much is aborted, and another engine is called. */
const prefillTimeoutMarginMs = 700;
/** Lowest prefill rate of a healthy engine. */
const minPrefillTokensPerMs = 25;
/** 5% of responses take less than this fraction of their expected time. */
const fastResponseFactor = 0.5;
const serverError = 500;
const firstAttempt = 0;
const quarantinedCause = "engines ended under it meanwhile";

export async function generate(context: ForwardContext, generation: GenerationRequest): Promise<ForwardOutcome> {
    const { lastEventId } = generation.request;
    // A resumed stream is shorter than its declared size, so its duration cannot be estimated from it.
    if (lastEventId === undefined && !canCompleteInTime(context, generation)) {
        return refuse(503, "its caller would not wait for the whole answer", retryAfterMs(context, generation));
    }
    const started = await startStream(context, generation, lastEventId);
    if (started.kind === "refused") {
        return started.outcome;
    }
    return answered(relayStream(context, generation, started.stream));
}

/** Starts a stream, or resumes one after `lastEventId`. */
export async function startStream(
    context: ForwardContext,
    generation: GenerationRequest,
    lastEventId: string | undefined,
): Promise<StartResult> {
    const { request, service } = generation;
    let current = generation;
    let outcome: ForwardOutcome = refuse(503, "no engine is available", retryAfterMs(context, generation));
    for (let attempt = firstAttempt; attempt < maxAttempts; attempt++) {
        const refusal = refuseQuarantined(context, generation) ?? refuseIfTooLate(context, generation);
        if (refusal !== undefined) {
            return { kind: "refused", outcome: refusal };
        }
        const allocation = await context.decodeScheduler.allocate(current);
        if (allocation.isErr) {
            const { cause, retryAfterMs: waitMs } = allocation.error;
            return { kind: "refused", outcome: attempt === firstAttempt ? refuse(503, cause, waitMs) : outcome };
        }
        current = bindToVersion(current, allocation.value.engine);
        const result = await prefillAndSend(context, current, allocation.value, lastEventId);
        if (result.isOk) {
            if (lastEventId === undefined) {
                context.stageWork.recordStart(service, generation.size, generation.engineSpec);
            }
            return {
                kind: "started",
                stream: {
                    engine: allocation.value.engine,
                    ...result.value,
                    startedAtMs: context.clock.monotonicMs(),
                    end: allocation.value.end,
                },
            };
        }
        allocation.value.end();
        outcome = refusalFor(context, generation, allocation.value.engine, result.error);
        if (!provesNotRun(result.error) || request.callerDisconnected.aborted) {
            return { kind: "refused", outcome, isSuspected: result.error.isSuspected };
        }
        if (isQuarantined(context, generation) || mayOutlastEntry(context, generation)) {
            continue;
        }
        if (timeLeftMs(context, generation) <= 0 || !generation.callBudget.tryAcquireCall()) {
            return { kind: "refused", outcome };
        }
        context.metrics.count("repeats", service);
        context.log.decision("starting the generation again at other engines", {
            requestId: request.requestId,
            engine: allocation.value.engine.id,
            cause: result.error.cause,
        });
    }
    return { kind: "refused", outcome };
}

/** Binds a resumable generation to the software version of its first engine, which each further attempt needs. */
function bindToVersion(generation: GenerationRequest, { softwareVersion }: EngineRecord): GenerationRequest {
    return generation.route.isResumable && generation.softwareVersion === undefined
        ? { ...generation, softwareVersion }
        : generation;
}

function canCompleteInTime(context: ForwardContext, generation: GenerationRequest): boolean {
    const expectedMs = context.decodeScheduler.expectedResponseMs(generation.service, generation.size);
    return expectedMs === undefined || expectedMs * fastResponseFactor <= timeLeftMs(context, generation);
}

function timeLeftMs(context: ForwardContext, generation: GenerationRequest): number {
    return generation.deadlineMs - context.clock.monotonicMs();
}

function retryAfterMs(context: ForwardContext, { service }: GenerationRequest): number {
    return context.decodeScheduler.retryAfterMs(service);
}

async function prefillAndSend(
    context: ForwardContext,
    generation: GenerationRequest,
    allocation: DecodeAllocation,
    lastEventId: string | undefined,
): Promise<Result<StartedRun, StartError>> {
    const { request, service, callBudget } = generation;
    if (isQuarantined(context, generation)) {
        releaseResources(context, allocation, undefined);
        return Result.err({ kind: "unreachable", cause: quarantinedCause });
    }
    const cache = await prefill(context, generation, allocation.engine);
    // Without a cache, the decode engine prefills the prompt itself (a local prefill) before its first token.
    const endPrefillLoad = context.loads.start(allocation.engine.id, {
        requests: 0,
        kvTokens: 0,
        prefillTokens: cache === undefined ? generation.size.promptTokens : 0,
    });
    if (request.callerDisconnected.aborted) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return cancelled();
    }
    if (timeLeftMs(context, generation) <= 0) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({ kind: "unreachable", cause: "its time was over before it was sent" });
    }
    if (mayOutlastEntry(context, generation)) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({ kind: "unreachable", cause: shuttingDown.cause });
    }
    if (!context.directory.isUsable(allocation.engine)) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({ kind: "unreachable", cause: "the engine stopped accepting work during the prefill" });
    }
    if (isQuarantined(context, generation)) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({ kind: "unreachable", cause: quarantinedCause });
    }
    if (
        !allocation.hasPermit && context.engineRates.isLimited(allocation.engine)
        && !await context.engineRates.acquire(allocation.engine)
    ) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({
            kind: "unreachable",
            cause: "the engine became limited during the prefill",
            isWithdrawn: true,
        });
    }
    if (!callBudget.tryAcquireCall()) {
        endPrefillLoad();
        releaseResources(context, allocation, cache);
        return Result.err({ kind: "unreachable", cause: "the retry budget is used up" });
    }
    const run = context.engineRuns.start(allocation.engine, suspectsOf(generation));
    const limit = limitCall({
        clock: context.clock,
        timeoutMs: timeLeftMs(context, generation),
        cancelledBy: [request.callerDisconnected],
    });
    request.onSend();
    const sent = await context.engines.send(allocation.engine, request, {
        remainingMs: Math.max(1, timeLeftMs(context, generation)),
        signal: limit.signal,
        ...allocation.reservation === undefined ? {} : { reservation: allocation.reservation },
        ...cache === undefined ? {} : { cache },
        ...lastEventId === undefined ? {} : { lastEventId },
    });
    endPrefillLoad();
    if (sent.isOk) {
        limit.endWith(sent.value.body);
    }
    else {
        limit.end();
    }
    if (sent.isOk || sent.error.kind !== "unreachable") {
        callBudget.recordCall();
    }
    const isBroken = sent.isErr && sent.error.kind === "interrupted" && !request.callerDisconnected.aborted;
    const isSuspected = sent.isErr ? run.end(isBroken ? "broken" : "abandoned") : undefined;
    if (request.callerDisconnected.aborted) {
        return sent.map(response => ({ response, run, isVersionKnown: Promise.resolve(false) }));
    }
    if (sent.isErr) {
        if (provesNotRun(sent.error)) {
            releaseResources(context, allocation, cache);
        }
        // A rejection counts as unresponsive too: an engine that grants a reservation and then rejects its request does
        // not match its registry record.
        context.health.recordNoResponse(allocation.engine.id, sent.error);
        return Result.err({ ...sent.error, isSuspected });
    }
    context.health.recordOutcome(allocation.engine.id, sent.value.status >= serverError ? "failed" : "succeeded");
    if (!generation.route.isResumable) {
        return Result.ok({ response: sent.value, run, isVersionKnown: Promise.resolve(false) });
    }
    const isVersionKnown = context.startChecks.isConfirmed(allocation.engine);
    const waitLimit = {
        clock: context.clock,
        timeoutMs: timeLeftMs(context, generation),
        cancelledBy: [request.callerDisconnected],
    };
    if (lastEventId === undefined) {
        // A new stream is passed on at once, but it may go on elsewhere only once its version is known: a record that turns
        // out to be wrong could not be taken back from entries that this one does not reach any more.
        const { softwareVersion } = allocation.engine;
        void context.streamOrigins.recordOnceKnown(request.requestId, { service, softwareVersion }, isVersionKnown);
    }
    else if (!await holdsInTime(waitLimit, isVersionKnown)) {
        discardBody(sent.value.body);
        void run.end("abandoned");
        return Result.err({ kind: "interrupted", cause: "the engine may have started again with another version" });
    }
    return Result.ok({ response: sent.value, run, isVersionKnown });
}

function releaseResources(
    context: ForwardContext,
    allocation: DecodeAllocation,
    cache: PrefilledCache | undefined,
): void {
    if (allocation.reservation !== undefined) {
        context.engines.releaseReservation(allocation.engine, allocation.reservation);
    }
    if (cache !== undefined) {
        context.metrics.count("prefillsDiscarded", allocation.engine.service);
        context.engines.releaseCache(cache);
    }
}

/** Prefills the prompt at a prefill engine. If this returns `undefined`, the decode engine does a local prefill. */
async function prefill(
    context: ForwardContext,
    generation: GenerationRequest,
    decodeEngine: EngineRecord,
): Promise<PrefilledCache | undefined> {
    const { request, service, size, callBudget } = generation;
    const compatible = prefillEnginesFor(context.view, service, decodeEngine)
        .filter(engine => isInHomeRegion(generation, engine));
    const engines = context.health.withoutEjected(compatible)
        .filter(engine => !context.engineRates.areExhausted([engine]));
    const ranked = rankForPrefill(context.view, engines, decodeEngine);
    for (const engine of ranked.slice(0, maxPrefillEngines)) {
        if (
            allowsLocalPrefill(generation.route, generation.engineSpec)
            && isLocalPrefillFaster(context.view, decodeEngine, engine, size.promptTokens)
        ) {
            context.metrics.count("ownPrefills", service);
            return undefined;
        }
        if (!callBudget.tryAcquireCall()) {
            return undefined;
        }
        // No await otherwise: the engine's load is to be counted before another request is placed.
        if (context.engineRates.isLimited(engine) && !await context.engineRates.acquire(engine)) {
            continue;
        }
        const expectedMs = (context.view.workAt(engine.id).prefillTokens + size.promptTokens)
            / minPrefillTokensPerMs;
        const timeoutMs = Math.min(expectedMs + prefillTimeoutMarginMs, timeLeftMs(context, generation));
        const endLoad = context.loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: size.promptTokens });
        const recordRead = context.prefillRates.recordSend(engine, size.promptTokens);
        const sentAtMs = context.clock.monotonicMs();
        const run = context.engineRuns.start(engine, suspectsOf(generation));
        const result = await runLimited(
            { clock: context.clock, timeoutMs, cancelledBy: [request.callerDisconnected] },
            ({ signal }) =>
                context.engines.prefill(engine, request, {
                    remainingMs: Math.max(1, timeLeftMs(context, generation)),
                    signal,
                }),
        );
        endLoad();
        recordPrefill(callBudget, result);
        if (result.isOk) {
            context.health.recordOutcome(engine.id, "succeeded");
            const tookMs = context.clock.monotonicMs() - sentAtMs;
            recordRead(tookMs);
            context.metrics.observe("prefillMs", service, tookMs);
            context.log.decision("the prompt was read", {
                requestId: request.requestId,
                engine: engine.id,
                softwareVersion: engine.softwareVersion,
                tookMs: Math.round(tookMs),
            });
            return result.value;
        }
        if (request.callerDisconnected.aborted || timeLeftMs(context, generation) <= 0) {
            return undefined;
        }
        if (result.error.kind === "interrupted" || result.error.kind === "timeout") {
            await endBrokenRun(context, run);
        }
        if (result.error.kind === "notExecuted") {
            context.health.recordOutcome(engine.id, "failed");
        }
        else {
            context.health.recordNoResponse(engine.id, result.error);
        }
        context.log.decision("the prefill failed", {
            requestId: request.requestId,
            engine: engine.id,
            bornMs: engine.bornMs,
            fingerprint: generation.fingerprint,
            cause: result.error.cause,
        });
        if (isQuarantined(context, generation)) {
            return undefined;
        }
    }
    return undefined;
}

function recordPrefill(callBudget: EngineCallBudget, result: Result<PrefilledCache, EngineError>): void {
    if (result.isOk || result.error.kind === "notExecuted") {
        callBudget.recordPrefill(result.isOk);
    }
    else if (result.error.kind !== "unreachable") {
        callBudget.recordCall();
    }
}

function cancelled(): Result<never, EngineError> {
    return Result.err({ kind: "cancelled", cause: "the caller went away" });
}

function refusalFor(
    context: ForwardContext,
    generation: GenerationRequest,
    engine: EngineRecord,
    error: EngineError,
): ForwardOutcome {
    const cause = `${engine.id}: ${error.cause}`;
    if (provesNotRun(error)) {
        return refuse(503, cause, retryAfterMs(context, generation));
    }
    return refuse(timeLeftMs(context, generation) <= 0 ? 504 : 502, `the outcome is unknown: ${cause}`);
}
