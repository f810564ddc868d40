/**
 * Allocates capacity (a slot and KV memory) at decode engines to requests, in queue order.
 *
 * An engine's response to a reservation request decides whether it has capacity; the estimate of the work in flight
 * decides which engines are asked, and in which order. A request that gets no allocation before its queue deadline is
 * refused as not run. It is refused immediately if the estimated queue delay is already too long when it arrives.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineHealth } from "../engines/engineHealth.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Reservation } from "../engines/enginePort.js";
import type { GenerationSize } from "../forwarding/forwardRequest.js";
import { isInHomeRegion, mayRunAt } from "../forwarding/routedRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import { shutdownRetryMs, shuttingDownCause } from "../forwarding/shutdownChecks.js";
import type { EngineRateLimiter } from "../limits/engineRateLimiter.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { QueuedRequest } from "./decodeQueue.js";
import type { DecodeSchedulerSettings } from "./decodeSchedulerSettings.js";
import { createEngineQueues } from "./engineQueues.js";
import type { EngineChoice, EngineQueue } from "./engineQueues.js";
import {
    allowsLocalPrefill,
    prefillEnginesFor,
    prefillTokensPerMs,
    prefillWaitMs,
    rankForDecode,
} from "./placement.js";
import type { PlacementView } from "./placement.js";
import { createStreamDurations } from "./streamDurations.js";

/** A slot and KV memory at one decode engine for one request. */
export interface DecodeAllocation {
    readonly engine: EngineRecord;
    /** `undefined` at engines that do not support reservations, and at those that name a rate. */
    readonly reservation: Reservation | undefined;
    /** Stops counting this work at the engine. It does not release the reservation; the engine ends that itself. */
    readonly end: () => void;
}

/** Why a request got no allocation; it was not run and may be repeated after `retryAfterMs`. */
export interface AllocationRefusal {
    readonly cause: string;
    readonly retryAfterMs: number;
}

export interface DecodeScheduler {
    /** Queues the request until an engine has capacity, its queue deadline passes or its caller disconnects. */
    readonly allocate: (generation: GenerationRequest) => Promise<Result<DecodeAllocation, AllocationRefusal>>;
    /** Expected time from the allocation to the end of the response; `undefined` while too few have ended. */
    readonly expectedResponseMs: (service: string, size: GenerationSize) => number | undefined;
    /** Delay after which a refused caller should retry. */
    readonly retryAfterMs: (service: string) => number;
    /** Number of queued requests of all services. */
    readonly queuedRequests: () => number;
}

export interface DecodeSchedulerDependencies {
    readonly clock: Clock;
    readonly view: PlacementView;
    readonly directory: EngineDirectory;
    readonly health: EngineHealth;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly engineRates: EngineRateLimiter;
    readonly log: DecisionLog;
    readonly metrics: PrometheusMetrics;
    /** Number of entries that share the engines, including this one. */
    readonly entries: () => number;
    /** Whether a generation may still be started at this entry. */
    readonly mayStart: (generation: GenerationRequest) => boolean;
}

interface QueuedGeneration extends QueuedRequest {
    readonly generation: GenerationRequest;
    readonly resolve: (result: Result<DecodeAllocation, AllocationRefusal>) => void;
}

type GenerationQueue = EngineQueue<QueuedGeneration>;

/** Maximum number of engines that are asked for one request in one pass over the queue. */
const maxEnginesPerPass = 3;
/** Time until an engine that granted no reservation is asked again: about the interval at which its streams end. */
const reservationBackoffMs = 60;
/** The queue is processed at least this often: this entry is not notified when work of other entries ends. */
const queuePollMs = 30;
/** An engine that does not respond to a reservation request within this time is treated as unresponsive. */
const reserveTimeoutMs = 300;
/** Time from the allocation to the first token, excluding the prefill: set-up, KV transfer and first decode step. */
const firstTokenOverheadMs = 110;
/** Added to the expected prefill time to give a reservation's time to live. */
const reservationMarginMs = 1_200;
/** Bounds of the retry delay that is given to refused callers. */
const minimumRetryAfterMs = 400;
const maximumRetryAfterMs = 4_000;
/** Window over which allocations are counted to estimate how fast the queue moves. */
const allocationWindowMs = 2_000;
const noEngineCause = "no decode engine is available";
const allExhaustedCause = "all decode engines have got as many requests as the rates that they name";
const allRestingCause = "all decode engines accept no requests for some time";

/** Number of output tokens that a generation is expected to produce. */
export function expectedOutputTokens(size: GenerationSize): number {
    return Math.min(size.maxOutputTokens, size.outputHintTokens ?? Math.ceil(size.maxOutputTokens / 2));
}

export function createDecodeScheduler(
    dependencies: DecodeSchedulerDependencies,
    settings: DecodeSchedulerSettings,
): DecodeScheduler {
    const { clock, view, directory, health, loads, engines, engineRates, log, metrics } = dependencies;
    const queues = createEngineQueues<QueuedGeneration>();
    const { queueOf } = queues;
    const backoffUntilMs = new Map<string, number>();
    const durations = createStreamDurations();
    let recentAllocations: readonly { readonly atMs: number; readonly tokens: number; readonly service: string; }[] =
        [];

    loads.onEnd(() => queues.all().forEach(queue => queue.wake()));
    directory.onChange(() => queues.all().forEach(queue => queue.wake()));

    function decodeEngines(choice: EngineChoice): readonly EngineRecord[] {
        const engines = view.enginesFor(choice.service, "decode");
        return health.withoutEjected(engines.filter(engine => mayRunAt(choice, engine)));
    }

    /** Whether an engine recently refused a reservation or did not respond to the request for it. */
    function isInBackoff({ id }: EngineRecord): boolean {
        return (backoffUntilMs.get(id) ?? 0) > clock.monotonicMs();
    }

    /** Whether the prompt can be prefilled soon enough, by a prefill engine or by the decode engine. */
    function canPrefill(generation: GenerationRequest): boolean {
        const { service, route, engineSpec } = generation;
        const prefillWaitsMs = view.enginesFor(service, "prefill")
            .filter(engine => mayRunAt(generation, engine))
            .map(engine => prefillWaitMs(view, engine));
        return prefillWaitsMs.length === 0 || Math.min(...prefillWaitsMs) <= settings.maxPrefillWaitMs
            || allowsLocalPrefill(route, engineSpec);
    }

    /**
     * Estimated queue delay: queued tokens that do not fit now, divided by the rate at which memory
     * becomes available. That rate is the one of recent allocations or this entry's share of what the decode engines
     * free, whichever is higher, because after an idle period there are few recent allocations.
     */
    function queueDelayMs(choice: EngineChoice): number {
        const { service } = choice;
        const sinceMs = clock.monotonicMs() - allocationWindowMs;
        recentAllocations = recentAllocations.filter(recent => recent.atMs >= sinceMs);
        const allocatedTokens = recentAllocations.filter(recent => recent.service === service)
            .reduce((sum, recent) => sum + recent.tokens, 0);
        const { pending, kvTokens } = queueOf(choice);
        const availableEngines = decodeEngines(choice);
        const freedTokensPerMs = availableEngines.length * kvTokens / durations.meanMs(service)
            / Math.max(1, dependencies.entries());
        // Requests that fit into free memory do not wait.
        const freeTokens = availableEngines
            .filter(engine => !isInBackoff(engine))
            .map(engine => Math.max(0, kvTokens * settings.maxKvUtilization - view.workAt(engine.id).kvTokens))
            .reduce((sum, free) => sum + free, 0);
        const excessTokens = Math.max(0, pending.tokens() - freeTokens);
        return excessTokens / Math.max(allocatedTokens / allocationWindowMs, freedTokensPerMs, 1 / allocationWindowMs);
    }

    function allExhausted(service: string, decoders: readonly EngineRecord[]): AllocationRefusal {
        metrics.count("exhausted", service);
        return { cause: allExhaustedCause, retryAfterMs: engineRates.retryAfterMs(service, decoders) };
    }

    function retryAfterMs(choice: EngineChoice): number {
        return Math.min(maximumRetryAfterMs, minimumRetryAfterMs + queueDelayMs(choice));
    }

    function recordAllocation(item: QueuedGeneration, nowMs: number): void {
        const { service } = item.generation;
        recentAllocations = [...recentAllocations, { atMs: nowMs, tokens: item.tokens, service }];
        queueOf(item.generation).pending.recordAllocatedTokens(item.clientAccount, item.tokens, nowMs);
        metrics.observe("placeWaitMs", service, nowMs - item.enqueuedAtMs);
    }

    /**
     * Asks one engine for a reservation; `undefined` if it refuses or does not respond. An engine that does not support
     * reservations is used without asking, and so is one that names a rate: a reservation would count as a request.
     */
    async function tryAllocateAt(item: QueuedGeneration, engine: EngineRecord): Promise<DecodeAllocation | undefined> {
        const { size, engineSpec, request, service } = item.generation;
        const isLimited = engineRates.isLimited(engine);
        if (isLimited && !await engineRates.acquire(engine)) {
            return undefined;
        }
        const requestedTokens = size.promptTokens
            + Math.ceil(expectedOutputTokens(size) * settings.reservedOutputFraction);
        const startedAtMs = clock.monotonicMs();
        const endWork = loads.start(engine.id, { requests: 1, kvTokens: item.tokens, prefillTokens: 0 });
        const end = (): void => {
            endWork();
            durations.record(service, clock.monotonicMs() - startedAtMs, expectedOutputTokens(size));
        };
        if (isLimited || engineSpec.maxReservationMs === 0) {
            return { engine, reservation: undefined, end };
        }
        const reservationTtlMs = Math.min(
            engineSpec.maxReservationMs,
            size.promptTokens / prefillTokensPerMs + reservationMarginMs,
        );
        const reserved = await engines.reserve(engine, requestedTokens, Math.ceil(reservationTtlMs), reserveTimeoutMs);
        if (reserved.isOk && directory.isUsable(engine)) {
            return { engine, reservation: reserved.value, end };
        }
        endWork();
        if (reserved.isOk) {
            // The engine has announced meanwhile that it accepts no more requests.
            engines.releaseReservation(engine, reserved.value);
            return undefined;
        }
        backoffUntilMs.set(engine.id, clock.monotonicMs() + reservationBackoffMs);
        if (reserved.error.kind !== "notExecuted") {
            health.recordNoResponse(engine.id, reserved.error);
            log.decision("an engine did not answer a reservation", {
                requestId: request.requestId,
                engine: engine.id,
                service,
                cause: reserved.error.cause,
            });
        }
        return undefined;
    }

    /**
     * The engines to ask, in order. Where decode engines must not prefill, those for which no prefill engine of their
     * software version is available come last.
     */
    function rankEngines(
        generation: GenerationRequest,
        engines: readonly EngineRecord[],
    ): readonly EngineRecord[] {
        const { service, route, engineSpec } = generation;
        const ranked = rankForDecode(view, engines, engineSpec.kvTokens);
        if (allowsLocalPrefill(route, engineSpec)) {
            return ranked;
        }
        const hasPrefill = (engine: EngineRecord): boolean =>
            prefillEnginesFor(view, service, engine).some(prefill => isInHomeRegion(generation, prefill));
        return [...ranked.filter(hasPrefill), ...ranked.filter(engine => !hasPrefill(engine))];
    }

    /** Whether the request left the queue: with an allocation, or because its caller disconnected. */
    async function tryAllocate(item: QueuedGeneration): Promise<boolean> {
        const { engineSpec, request } = item.generation;
        const maxKvTokens = engineSpec.kvTokens * settings.maxKvUtilization;
        const enginesWithCapacity = decodeEngines(item.generation).filter(engine =>
            !isInBackoff(engine) && !engineRates.areExhausted([engine])
            && view.workAt(engine.id).kvTokens + item.tokens <= maxKvTokens
        );
        const queue = queueOf(item.generation);
        for (const engine of rankEngines(item.generation, enginesWithCapacity).slice(0, maxEnginesPerPass)) {
            const allocation = await tryAllocateAt(item, engine);
            if (allocation === undefined) {
                continue;
            }
            queue.pending.remove(item);
            if (request.callerDisconnected.aborted) {
                allocation.end();
                if (allocation.reservation !== undefined) {
                    engines.releaseReservation(engine, allocation.reservation);
                }
                return true;
            }
            recordAllocation(item, clock.monotonicMs());
            log.decision("placed at a decode engine", {
                requestId: request.requestId,
                engine: engine.id,
                softwareVersion: engine.softwareVersion,
                promptTokens: item.generation.size.promptTokens,
                expectedTokens: item.tokens,
                engineTokens: view.workAt(engine.id).kvTokens,
                enginesOpen: enginesWithCapacity.length,
                waitedMs: Math.round(clock.monotonicMs() - item.enqueuedAtMs),
            });
            item.resolve(Result.ok(allocation));
            return true;
        }
        return false;
    }

    /** Refuses the requests that can get no allocation before their queue deadline. */
    function refuseExpired(queue: GenerationQueue): void {
        const restMs = directory.allRestingMs(queue.choice.service, "decode");
        const nextAllocationMs = clock.monotonicMs() + (restMs ?? 0);
        for (const item of queue.pending.takeExpired(nextAllocationMs)) {
            item.resolve(
                Result.err({
                    cause: restMs === undefined ? "no decode engine had room in time" : allRestingCause,
                    retryAfterMs: restMs ?? retryAfterMs(queue.choice),
                }),
            );
        }
    }

    /** Refuses the requests that may not be started any more, because this entry shuts down. */
    function refuseTooLate(queue: GenerationQueue): void {
        for (const item of queue.pending.takeWhere(({ generation }) => !dependencies.mayStart(generation))) {
            item.resolve(Result.err({ cause: shuttingDownCause, retryAfterMs: shutdownRetryMs }));
        }
    }

    /** Refuses all queued requests if no engine may take one, by the rates that the engines name. */
    function refuseIfExhausted(queue: GenerationQueue): void {
        const { service } = queue.choice;
        const decoders = decodeEngines(queue.choice);
        if (engineRates.areExhausted(decoders)) {
            for (const item of queue.pending.takeExpired(Number.POSITIVE_INFINITY)) {
                item.resolve(Result.err(allExhausted(service, decoders)));
            }
        }
    }

    /** Refuses the queued requests that need a software version, or a region, of which no engine is left. */
    function refuseIfVersionLeft(queue: GenerationQueue): void {
        const { softwareVersion, homeRegions } = queue.choice;
        if ((softwareVersion === undefined && homeRegions === undefined) || decodeEngines(queue.choice).length > 0) {
            return;
        }
        for (const item of queue.pending.takeExpired(Number.POSITIVE_INFINITY)) {
            item.resolve(Result.err({ cause: noEngineCause, retryAfterMs: minimumRetryAfterMs }));
        }
    }

    /** Processes a queue until it is empty; one loop runs at a time, and a further call wakes it. */
    async function processQueue(queue: GenerationQueue): Promise<void> {
        if (queue.isProcessing) {
            queue.wake();
            return;
        }
        queue.isProcessing = true;
        while (queue.pending.size() > 0) {
            refuseExpired(queue);
            refuseTooLate(queue);
            refuseIfVersionLeft(queue);
            const candidates = queue.pending.candidates(clock.monotonicMs()).filter(item =>
                canPrefill(item.generation)
            );
            const results = await Promise.all(candidates.map(tryAllocate));
            refuseIfExhausted(queue);
            if (!results.includes(true) && queue.pending.size() > 0) {
                const wakeController = new AbortController();
                queue.wake = () => wakeController.abort();
                await clock.sleep(queuePollMs, wakeController.signal);
            }
        }
        queue.isProcessing = false;
        queues.removeIfOfVersion(queue);
    }

    function toQueuedGeneration(generation: GenerationRequest, resolve: QueuedGeneration["resolve"]): QueuedGeneration {
        const { size, route, request, deadlineMs } = generation;
        const minimumTtftMs = size.promptTokens / prefillTokensPerMs + firstTokenOverheadMs;
        const objectiveAtMs = request.receivedAtMs + route.objectiveMs;
        return {
            generation,
            resolve,
            clientAccount: request.clientAccount ?? "",
            tokens: size.promptTokens + expectedOutputTokens(size),
            enqueuedAtMs: clock.monotonicMs(),
            latestStartMs: objectiveAtMs - minimumTtftMs,
            queueDeadlineMs: Math.min(
                deadlineMs - minimumTtftMs,
                request.receivedAtMs + route.objectiveMs * settings.queueTimeoutFraction,
            ),
        };
    }

    return {
        expectedResponseMs: (service, size) => durations.expectedMs(service, expectedOutputTokens(size)),
        retryAfterMs: service => retryAfterMs({ service, softwareVersion: undefined, homeRegions: undefined }),
        queuedRequests: () => queues.all().reduce((sum, queue) => sum + queue.pending.size(), 0),
        allocate: async generation => {
            const { service, size, engineSpec, request } = generation;
            if (size.promptTokens + size.maxOutputTokens > engineSpec.kvTokens) {
                return Result.err({
                    cause: "larger than an engine's memory",
                    retryAfterMs: maximumRetryAfterMs,
                });
            }
            const decoders = decodeEngines(generation);
            if (engineRates.areExhausted(decoders)) {
                return Result.err(allExhausted(service, decoders));
            }
            const restMs = directory.allRestingMs(service, "decode");
            if (decoders.length === 0 && restMs === undefined) {
                return Result.err({ cause: noEngineCause, retryAfterMs: minimumRetryAfterMs });
            }
            const queue = queueOf(generation);
            queue.kvTokens = engineSpec.kvTokens;
            if (queueDelayMs(generation) > settings.maxQueueDelayMs) {
                return Result.err({
                    cause: "too many requests wait for a decode engine",
                    retryAfterMs: retryAfterMs(generation),
                });
            }
            return new Promise(resolve => {
                const { callerDisconnected } = request;
                const item = toQueuedGeneration(generation, result => {
                    callerDisconnected.removeEventListener("abort", onCallerDisconnect);
                    resolve(result);
                });
                const onCallerDisconnect = (): void => {
                    queue.pending.remove(item);
                    item.resolve(Result.err({ cause: "the caller went away", retryAfterMs: minimumRetryAfterMs }));
                };
                if (callerDisconnected.aborted) {
                    onCallerDisconnect();
                    return;
                }
                callerDisconnected.addEventListener("abort", onCallerDisconnect);
                queue.pending.add(item);
                void processQueue(queue);
            });
        },
    };
}
