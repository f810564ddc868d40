/**
 * Places (a slot and KV memory) at decode engines, given out in the order of the waiting line.
 *
 * An engine's own word on a reservation decides whether there is room; what is in flight only says where to ask first.
 * A request that can't get a place while it is still worth having one is refused as not run, at once if the line is
 * already too long when it arrives.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineHealth } from "../engines/engineHealth.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Reservation } from "../engines/enginePort.js";
import type { GenerationSize } from "../forwarding/forwardRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { ServedMetrics } from "../telemetry/servedMetrics.js";
import { mayReadItself, prefillTokensPerMs, prefillWaitMs, rankForDecode } from "./placement.js";
import type { PlacementView } from "./placement.js";
import { createWaitingLine } from "./waitingLine.js";
import type { Waiter, WaitingLine } from "./waitingLine.js";

export interface DecodePlace {
    readonly engine: EngineRecord;
    /** `undefined` at engines that take no reservations. */
    readonly reservation: Reservation | undefined;
    /** Ends the accounting of the place; the reservation is the engine's to end. */
    readonly end: () => void;
}

export interface NoPlace {
    readonly cause: string;
    readonly retryAfterMs: number;
}

export interface DecodePlaces {
    readonly obtain: (generation: GenerationRequest) => Promise<Result<DecodePlace, NoPlace>>;
    /** How long an answer is expected to take, from its place to its end. */
    readonly expectedAnswerMs: (size: GenerationSize) => number;
    /** When a refused caller should come back. */
    readonly retryAfterMs: (service: string) => number;
    readonly waiting: () => number;
}

/** How requests wait and how much memory they ask for. */
export interface PlaceSettings {
    /** Part of the expected output for which memory is reserved besides the prompt. */
    readonly reservedOutputPart: number;
    /**
     * Part of an engine's memory that the work in flight may need at its end by estimate. What runs grows, and an engine
     * that runs out stops its newest request in the middle and reads it anew later.
     */
    readonly memoryPart: number;
    /**
     * Part of its objective for which a request waits. One that is placed later hardly meets its objective any more, and
     * takes the place of one that could.
     */
    readonly waitPart: number;
    /** A request is refused at once if the line is longer than this. */
    readonly maxWaitMs: number;
    /** Where decode engines must not read prompts, no place is taken while all prefill engines have more to read. */
    readonly maxPrefillWaitMs: number;
}

/** From the trials that docs/POLICY.md lists. */
export const defaultPlaceSettings: PlaceSettings = {
    reservedOutputPart: 0.5,
    memoryPart: 1,
    waitPart: 0.55,
    maxWaitMs: 1_400,
    maxPrefillWaitMs: 250,
};

export interface PlaceDependencies {
    readonly clock: Clock;
    readonly view: PlacementView;
    readonly directory: EngineDirectory;
    readonly health: EngineHealth;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly log: DecisionLog;
    readonly metrics: ServedMetrics;
    /** Entries that share the engines, this one included. */
    readonly entries: () => number;
}

interface Waiting extends Waiter {
    readonly generation: GenerationRequest;
    readonly settle: (result: Result<DecodePlace, NoPlace>) => void;
}

interface PlaceQueue {
    readonly line: WaitingLine<Waiting>;
    /** KV memory of one engine of the service. */
    kvTokens: number;
    pumping: boolean;
    wake: () => void;
}

/** Engines that are asked in one try of one request. */
const enginesPerTry = 3;
/** A full engine is not asked again for this long: about the time in which one of its answers ends. */
const fullPauseMs = 60;
/** The line is tried again at this interval when nothing else wakes it: work of other entries ends unseen. */
const retryMs = 30;
/** An engine that answers no reservation within this time is treated as unresponsive. */
const reserveTimeoutMs = 300;
/** Time from a place to the first token besides the reading of the prompt: set-up, transfer and first step. */
const firstTokenMs = 110;
/** What a reservation lives longer than the prefill is expected to take. */
const reservationMarginMs = 1_200;
/** Shortest and longest time after which a refused caller is asked to come back. */
const minimumRetryAfterMs = 400;
const maximumRetryAfterMs = 4_000;
/** Grants of this last time tell how fast the line moves. */
const grantWindowMs = 2_000;
/** Time that a place is held until answers have told: some hundred tokens at a few milliseconds each. */
const initialPlaceMs = 4_000;
/** Output tokens of an average answer until answers have told (platform's sheets). */
const initialOutputTokens = 700;
/** Weight of the newest answer in the means of places. */
const placeWeight = 0.05;
/** Part of a place's time that doesn't grow with the output: waiting for a prefill engine, reading, transfer. */
const answerStartMs = 900;

/** Output tokens that a generation is expected to make. */
export function expectedOutputTokens(size: GenerationSize): number {
    return Math.min(size.maxOutputTokens, size.outputHintTokens ?? Math.ceil(size.maxOutputTokens / 2));
}

export function createDecodePlaces(dependencies: PlaceDependencies, settings: PlaceSettings): DecodePlaces {
    const { clock, view, directory, health, loads, engines, log, metrics } = dependencies;
    const queues = new Map<string, PlaceQueue>();
    const fullUntilMs = new Map<string, number>();
    let meanPlaceMs = initialPlaceMs;
    let meanOutputTokens = initialOutputTokens;
    let grants: readonly { readonly atMs: number; readonly tokens: number; readonly service: string; }[] = [];

    function queueOf(service: string): PlaceQueue {
        const existing = queues.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const created: PlaceQueue = { line: createWaitingLine(), kvTokens: 0, pumping: false, wake: () => undefined };
        queues.set(service, created);
        return created;
    }

    loads.onEnd(() => queues.forEach(queue => queue.wake()));
    directory.onChange(() => queues.forEach(queue => queue.wake()));

    function decodeEngines(service: string): readonly EngineRecord[] {
        return health.withoutAvoided(view.staged(service, "decode"));
    }

    /** Whether an engine said a moment ago that it has no room. */
    function isFull({ id }: EngineRecord): boolean {
        return (fullUntilMs.get(id) ?? 0) > clock.monotonicMs();
    }

    function canReadPrompt({ service, route, figures }: GenerationRequest): boolean {
        const waits = view.staged(service, "prefill").map(engine => prefillWaitMs(view, engine));
        return waits.length === 0 || Math.min(...waits) <= settings.maxPrefillWaitMs || mayReadItself(route, figures);
    }

    /**
     * How long the line of a service takes: by the memory that lately was granted, or by this entry's part of what the
     * decode engines give free, whichever is faster. Grants alone would tell little after a quiet moment.
     */
    function lineMs(service: string): number {
        const sinceMs = clock.monotonicMs() - grantWindowMs;
        grants = grants.filter(grant => grant.atMs >= sinceMs);
        const granted = grants.filter(grant => grant.service === service)
            .reduce((sum, grant) => sum + grant.tokens, 0);
        const { line, kvTokens } = queueOf(service);
        const decode = decodeEngines(service);
        const freedPerMs = decode.length * kvTokens / meanPlaceMs / Math.max(1, dependencies.entries());
        // What fits now does not wait.
        const freeTokens = decode
            .filter(engine => !isFull(engine))
            .map(engine => Math.max(0, kvTokens * settings.memoryPart - view.workAt(engine.id).kvTokens))
            .reduce((sum, free) => sum + free, 0);
        const excessTokens = Math.max(0, line.tokens() - freeTokens);
        return excessTokens / Math.max(granted / grantWindowMs, freedPerMs, 1 / grantWindowMs);
    }

    function retryAfterMs(service: string): number {
        return Math.min(maximumRetryAfterMs, minimumRetryAfterMs + lineMs(service));
    }

    function expectedAnswerMs(size: GenerationSize): number {
        return answerStartMs
            + Math.max(0, meanPlaceMs - answerStartMs) * expectedOutputTokens(size) / meanOutputTokens;
    }

    function notePlaceEnd(startedAtMs: number, size: GenerationSize): void {
        meanPlaceMs += placeWeight * (clock.monotonicMs() - startedAtMs - meanPlaceMs);
        meanOutputTokens += placeWeight * (expectedOutputTokens(size) - meanOutputTokens);
    }

    function noteGrant(item: Waiting, nowMs: number): void {
        const { service } = item.generation;
        grants = [...grants, { atMs: nowMs, tokens: item.tokens, service }];
        queueOf(service).line.noteGranted(item.clientAccount, item.tokens, nowMs);
        metrics.observe("placeWaitMs", service, nowMs - item.arrivedAtMs);
    }

    async function tryEngine(item: Waiting, engine: EngineRecord): Promise<DecodePlace | undefined> {
        const { size, figures, request, service } = item.generation;
        const asked = size.promptTokens + Math.ceil(expectedOutputTokens(size) * settings.reservedOutputPart);
        const startedAtMs = clock.monotonicMs();
        const endWork = loads.start(engine.id, { requests: 1, kvTokens: item.tokens, prefillTokens: 0 });
        const end = (): void => {
            endWork();
            notePlaceEnd(startedAtMs, size);
        };
        if (figures.maxReservationMs === 0) {
            return { engine, reservation: undefined, end };
        }
        const lifeMs = Math.min(
            figures.maxReservationMs,
            size.promptTokens / prefillTokensPerMs + reservationMarginMs,
        );
        const reserved = await engines.reserve(engine, asked, Math.ceil(lifeMs), reserveTimeoutMs);
        if (reserved.isOk) {
            return { engine, reservation: reserved.value, end };
        }
        endWork();
        fullUntilMs.set(engine.id, clock.monotonicMs() + fullPauseMs);
        if (reserved.error.kind !== "notExecuted") {
            health.note(engine.id, "unresponsive");
            log.decision("an engine did not answer a reservation", {
                requestId: request.requestId,
                engine: engine.id,
                service,
                cause: reserved.error.cause,
            });
        }
        return undefined;
    }

    async function tryPlace(item: Waiting): Promise<boolean> {
        const { service, figures, request } = item.generation;
        const memory = figures.kvTokens * settings.memoryPart;
        const open = decodeEngines(service).filter(engine =>
            !isFull(engine) && view.workAt(engine.id).kvTokens + item.tokens <= memory
        );
        const queue = queueOf(service);
        for (const engine of rankForDecode(view, open, figures.kvTokens).slice(0, enginesPerTry)) {
            const place = await tryEngine(item, engine);
            if (place === undefined) {
                continue;
            }
            queue.line.remove(item);
            if (request.callerGone.aborted) {
                place.end();
                if (place.reservation !== undefined) {
                    engines.releaseReservation(engine, place.reservation);
                }
                return true;
            }
            noteGrant(item, clock.monotonicMs());
            log.decision("placed at a decode engine", {
                requestId: request.requestId,
                engine: engine.id,
                promptTokens: item.generation.size.promptTokens,
                expectedTokens: item.tokens,
                engineTokens: view.workAt(engine.id).kvTokens,
                enginesOpen: open.length,
                waitedMs: Math.round(clock.monotonicMs() - item.arrivedAtMs),
            });
            item.settle(Result.ok(place));
            return true;
        }
        return false;
    }

    function refuseExpired(queue: PlaceQueue, service: string): void {
        for (const item of queue.line.takeExpired(clock.monotonicMs())) {
            item.settle(
                Result.err({ cause: "no decode engine had room in time", retryAfterMs: retryAfterMs(service) }),
            );
        }
    }

    async function pump(service: string, queue: PlaceQueue): Promise<void> {
        if (queue.pumping) {
            queue.wake();
            return;
        }
        queue.pumping = true;
        while (queue.line.size() > 0) {
            refuseExpired(queue, service);
            const candidates = queue.line.candidates(clock.monotonicMs()).filter(item =>
                canReadPrompt(item.generation)
            );
            const placed = await Promise.all(candidates.map(tryPlace));
            if (!placed.includes(true) && queue.line.size() > 0) {
                const woken = new AbortController();
                queue.wake = () => woken.abort();
                await clock.sleep(retryMs, woken.signal);
            }
        }
        queue.pumping = false;
    }

    function waiterOf(generation: GenerationRequest, settle: Waiting["settle"]): Waiting {
        const { size, route, request, dueAtMs } = generation;
        const readMs = size.promptTokens / prefillTokensPerMs + firstTokenMs;
        const objectiveAtMs = request.receivedAtMs + route.objectiveMs;
        return {
            generation,
            settle,
            clientAccount: request.clientAccount ?? "",
            tokens: size.promptTokens + expectedOutputTokens(size),
            arrivedAtMs: clock.monotonicMs(),
            onTimeUntilMs: objectiveAtMs - readMs,
            givenUpAtMs: Math.min(dueAtMs - readMs, request.receivedAtMs + route.objectiveMs * settings.waitPart),
        };
    }

    return {
        expectedAnswerMs,
        retryAfterMs,
        waiting: () => [...queues.values()].reduce((sum, queue) => sum + queue.line.size(), 0),
        obtain: async generation => {
            const { service, size, figures, request } = generation;
            if (size.promptTokens + size.maxOutputTokens > figures.kvTokens) {
                return Result.err({ cause: "larger than an engine's memory", retryAfterMs: maximumRetryAfterMs });
            }
            if (decodeEngines(service).length === 0) {
                return Result.err({ cause: "no decode engine is available", retryAfterMs: minimumRetryAfterMs });
            }
            const queue = queueOf(service);
            queue.kvTokens = figures.kvTokens;
            if (lineMs(service) > settings.maxWaitMs) {
                return Result.err({
                    cause: "too many requests wait for a decode engine",
                    retryAfterMs: retryAfterMs(service),
                });
            }
            return new Promise(resolve => {
                const item = waiterOf(generation, resolve);
                const leave = (): void => {
                    queue.line.remove(item);
                    resolve(Result.err({ cause: "the caller went away", retryAfterMs: minimumRetryAfterMs }));
                };
                if (request.callerGone.aborted) {
                    leave();
                    return;
                }
                request.callerGone.addEventListener("abort", leave, { once: true });
                queue.line.add(item);
                void pump(service, queue);
            });
        },
    };
}
