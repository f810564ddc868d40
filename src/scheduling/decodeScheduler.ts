/**
 * Allocates capacity (a slot and KV memory) at decode engines to requests, in queue order.
 *
 * An engine's response to a reservation request decides whether it has capacity; the estimate of the work in flight
 * decides which engines are asked, and in which order. A request that gets no allocation before its queue deadline is
 * refused as not run. It is refused immediately if the estimated queue delay is already too long when it arrives, or
 * becomes too long because more urgent requests arrive.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineHealth } from "../engines/engineHealth.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Stage } from "../engines/enginePort.js";
import type { GenerationSize } from "../forwarding/forwardRequest.js";
import { isInHomeRegion, mayRunAt } from "../forwarding/routedRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import type { EngineRateLimiter } from "../limits/engineRateLimiter.js";
import { shuttingDown } from "../overload/notRunRefusal.js";
import type { NotRunRefusal } from "../overload/notRunRefusal.js";
import { keptRoomFraction } from "../overload/yieldOrder.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { QueuedRequest } from "./decodeQueue.js";
import { createDecodeReservations, expectedKvTokens, expectedOutputTokens } from "./decodeReservations.js";
import type { DecodeAllocation } from "./decodeReservations.js";
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
import { createQueueDelays } from "./queueDelays.js";
import { createStreamDurations } from "./streamDurations.js";

export interface DecodeScheduler {
    /** Queues the request until an engine has capacity, its queue deadline passes or its caller disconnects. */
    readonly allocate: (generation: GenerationRequest) => Promise<Result<DecodeAllocation, NotRunRefusal>>;
    /** Expected time from the allocation to the end of the response; `undefined` while too few have ended. */
    readonly expectedResponseMs: (service: string, size: GenerationSize) => number | undefined;
    /** Delay after which a refused caller should retry. */
    readonly retryAfterMs: (service: string) => number;
    /** Number of queued requests of all services. */
    readonly queuedRequests: () => number;
    /** Stage whose engines lack room for queued requests of a service; `undefined` if none waits. */
    readonly shortStage: (service: string) => Stage | undefined;
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
    readonly resolve: (result: Result<DecodeAllocation, NotRunRefusal>) => void;
}

type GenerationQueue = EngineQueue<QueuedGeneration>;

/** Maximum number of engines that are asked for one request in one pass over the queue. */
const maxEnginesPerPass = 3;
/** The queue is processed at least this often: this entry is not notified when work of other entries ends. */
const queuePollMs = 30;
/** Time from the allocation to the first token, excluding the prefill: set-up, KV transfer and first decode step. */
const firstTokenOverheadMs = 110;
/** Bounds of the retry delay that is given to refused callers. */
const minimumRetryAfterMs = 400;
const maximumRetryAfterMs = 4_000;
const noEngineCause = "no decode engine is available";
const noRoomCauses: Readonly<Record<Stage, string>> = {
    decode: "no decode engine had room in time",
    prefill: "no prefill engine could read the prompt in time",
};
const queueFullCause = "too many requests wait for a decode engine";
const yieldedCause = "more urgent requests need the room that is left";
const allExhaustedCause = "all decode engines have got as many requests as the rates that they name";
const allRestingCause = "all decode engines accept no requests for some time";

export function createDecodeScheduler(
    dependencies: DecodeSchedulerDependencies,
    settings: DecodeSchedulerSettings,
): DecodeScheduler {
    const { clock, view, directory, health, loads, engines, engineRates, log, metrics } = dependencies;
    const queues = createEngineQueues<QueuedGeneration>();
    const { queueOf } = queues;
    const durations = createStreamDurations();
    const { tryAllocateAt, isInBackoff } = createDecodeReservations(
        { clock, directory, health, loads, engines, engineRates, log, durations },
        settings.reservedOutputFraction,
    );
    const delays = createQueueDelays(
        { clock, view, durations, decodeEngines, isInBackoff, entries: dependencies.entries },
        settings.maxKvUtilization,
    );

    loads.onEnd(() => queues.all().forEach(queue => queue.wake()));
    directory.onChange(() => queues.all().forEach(queue => queue.wake()));

    function decodeEngines(choice: EngineChoice): readonly EngineRecord[] {
        const engines = view.enginesFor(choice.service, "decode");
        return health.withoutEjected(engines.filter(engine => mayRunAt(choice, engine)));
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

    function allExhausted(service: string, decoders: readonly EngineRecord[]): NotRunRefusal {
        metrics.count("exhausted", service);
        return { cause: allExhaustedCause, retryAfterMs: engineRates.retryAfterMs(service, decoders) };
    }

    function retryAfterMs(delayMs: number): number {
        return Math.min(maximumRetryAfterMs, minimumRetryAfterMs + delayMs);
    }

    function retryAfterQueueMs(choice: EngineChoice): number {
        const { kvTokens, pending } = queueOf(choice);
        return retryAfterMs(delays.delaysOf(choice, kvTokens)(pending.tokens()));
    }

    function recordAllocation(item: QueuedGeneration, nowMs: number): void {
        const { service } = item.generation;
        const { pending } = queueOf(item.generation);
        delays.recordAllocation(service, item.work);
        pending.recordAllocatedTokens(item.clientAccount, item.work, nowMs);
        pending.recordServed(item, nowMs);
        metrics.observe("placeWaitMs", service, nowMs - item.enqueuedAtMs);
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

    /** Whether the request left the queue: with an allocation, or because its caller disconnected or it yielded. */
    async function tryAllocate(item: QueuedGeneration): Promise<boolean> {
        const { engineSpec, request } = item.generation;
        const queue = queueOf(item.generation);
        const keptFraction = keptRoomFraction(queue.pending.stepsBehind(item, clock.monotonicMs()));
        const maxKvTokens = engineSpec.kvTokens * settings.maxKvUtilization;
        const keptTokens = engineSpec.kvTokens * keptFraction;
        // An engine without work keeps nothing free, or the largest requests would find room nowhere.
        const hasRoom = (usedTokens: number): boolean =>
            usedTokens + item.work + (usedTokens > 0 ? keptTokens : 0) <= maxKvTokens;
        const enginesWithCapacity = decodeEngines(item.generation).filter(engine =>
            !isInBackoff(engine) && !engineRates.areExhausted([engine])
            && hasRoom(view.workAt(engine.id).kvTokens)
        );
        for (const engine of rankEngines(item.generation, enginesWithCapacity).slice(0, maxEnginesPerPass)) {
            const allocation = await tryAllocateAt(item.generation, engine);
            if (allocation === undefined) {
                continue;
            }
            const wasQueued = queue.pending.remove(item);
            if (!wasQueued || request.callerDisconnected.aborted) {
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
                expectedTokens: item.work,
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
        const shortStage = queue.shortStage ?? "decode";
        for (const item of queue.pending.takeExpired(nextAllocationMs)) {
            metrics.count("turnedAway", "expired", String(item.priority));
            metrics.count("stageFull", queue.choice.service, shortStage);
            item.resolve(
                Result.err({
                    cause: restMs === undefined ? noRoomCauses[shortStage] : allRestingCause,
                    retryAfterMs: restMs ?? retryAfterQueueMs(queue.choice),
                }),
            );
        }
    }

    /** Longest expected delay with which a request is queued: a less urgent one is refused if it would wait in vain. */
    function longestDelayMs({ pending }: GenerationQueue, request: QueuedRequest): number {
        const nowMs = clock.monotonicMs();
        return pending.stepsBehind(request, nowMs) === 0
            ? settings.maxQueueDelayMs
            : Math.min(settings.maxQueueDelayMs, request.queueDeadlineMs - nowMs);
    }

    /** Refuses the less urgent requests that would wait in vain now, because of `arrival`. */
    function refuseYielding(queue: GenerationQueue, arrival: QueuedGeneration): void {
        const { choice, pending, kvTokens } = queue;
        const delayMsOf = delays.delaysOf(choice, kvTokens);
        const yielding = pending.takeYielding(
            arrival,
            (item, tokensAhead) => delayMsOf(tokensAhead) > longestDelayMs(queue, item),
            clock.monotonicMs(),
        );
        for (const { generation, resolve, priority, work } of yielding) {
            metrics.count("turnedAway", "displaced", String(priority));
            log.decision("yielded to a more urgent request", {
                requestId: generation.request.requestId,
                priority,
                work,
                service: choice.service,
                yieldedTo: arrival.generation.request.requestId,
                arrivalPriority: arrival.priority,
            });
            resolve(Result.err({ cause: yieldedCause, retryAfterMs: retryAfterMs(delayMsOf(pending.tokens())) }));
        }
    }

    /** Refuses the requests that may not be started any more, because this entry shuts down. */
    function refuseTooLate(queue: GenerationQueue): void {
        for (const item of queue.pending.takeWhere(({ generation }) => !dependencies.mayStart(generation))) {
            item.resolve(Result.err(shuttingDown));
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
            const waiting = queue.pending.candidates(clock.monotonicMs());
            const candidates = waiting.filter(item => canPrefill(item.generation));
            const results = await Promise.all(candidates.map(tryAllocate));
            const isBlocked = !results.includes(true) && queue.pending.size() > 0;
            queue.shortStage = !isBlocked ? undefined : candidates.length === 0 ? "prefill" : "decode";
            refuseIfExhausted(queue);
            if (isBlocked && queue.pending.size() > 0) {
                const wakeController = new AbortController();
                queue.wake = () => wakeController.abort();
                await clock.sleep(queuePollMs, wakeController.signal);
            }
        }
        queue.isProcessing = false;
        queue.shortStage = undefined;
        queues.removeIfOfVersion(queue);
    }

    function toQueuedRequest(generation: GenerationRequest): QueuedRequest {
        const { size, route, request, priority, deadlineMs } = generation;
        const minimumTtftMs = size.promptTokens / prefillTokensPerMs + firstTokenOverheadMs;
        const objectiveAtMs = request.receivedAtMs + route.objectiveMs;
        return {
            clientAccount: request.clientAccount ?? "",
            priority,
            work: expectedKvTokens(size),
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
        retryAfterMs: service => retryAfterQueueMs({ service, softwareVersion: undefined, homeRegions: undefined }),
        queuedRequests: () => queues.all().reduce((sum, queue) => sum + queue.pending.size(), 0),
        shortStage: service =>
            queues.all().find(({ choice, shortStage }) => choice.service === service && shortStage !== undefined)
                ?.shortStage,
        allocate: async generation => {
            const { service, size, engineSpec, priority } = generation;
            const { callerDisconnected } = generation.request;
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
            const nowMs = clock.monotonicMs();
            const request = toQueuedRequest(generation);
            queue.pending.recordArrival(request, nowMs);
            const delayMs = delays.delaysOf(queue.choice, queue.kvTokens)(queue.pending.tokensAheadOf(request, nowMs));
            if (delayMs > longestDelayMs(queue, request)) {
                metrics.count("turnedAway", "notAdmitted", String(priority));
                return Result.err({
                    cause: delayMs > settings.maxQueueDelayMs ? queueFullCause : yieldedCause,
                    retryAfterMs: retryAfterMs(delayMs),
                });
            }
            return new Promise(resolve => {
                const item: QueuedGeneration = {
                    ...request,
                    generation,
                    resolve: result => {
                        callerDisconnected.removeEventListener("abort", onCallerDisconnect);
                        resolve(result);
                    },
                };
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
                refuseYielding(queue, item);
                void processQueue(queue);
            });
        },
    };
}
