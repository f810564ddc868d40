/**
 * Simulates one engine in virtual time: decode steps that slow down as the batch grows, chunked prefill between the
 * decode steps of other requests, limited KV memory with preemption, reservations, and prefilled caches that expire.
 *
 * Each iteration of its loop emits one event per decoding request. The simulation follows the platform's documentation of
 * its engines. It has no network, and no response is ever lost.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Clock } from "../src/common/clock.js";
import type {
    EngineError,
    EngineRequest,
    EngineResponse,
    PrefilledCache,
    Reservation,
    SendOptions,
    Stage,
} from "../src/engines/enginePort.js";

/** Capacity and speed of an engine; times in milliseconds, sizes in tokens. */
export interface SimulatedEngineSpec {
    readonly slots: number;
    readonly kvTokens: number;
    /** Duration of a decode step, which generates one token per decoding request, with a single request. */
    readonly decodeStepMs: number;
    /** Added to the step by each additional decoding request. */
    readonly decodeStepMsPerRequest: number;
    readonly prefillTokensPerMs: number;
    /** Maximum number of prompt tokens that are prefilled per decode step of the other requests. */
    readonly prefillChunkTokens: number;
    readonly tokensPerEvent: number;
    /** Fixed duration of a prefill in addition to the processing of its prompt. */
    readonly prefillOverheadMs: number;
    /** Lifetime of a prefilled cache that no request takes; half a second on the platform. */
    readonly cacheLifetimeMs: number;
}

/** JSON body of a simulated request. */
export interface SimulatedRequest {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

export interface SimulatedEngineStats {
    /** Tokens prefilled so far, including output that was prefilled again after a preemption. */
    readonly prefilledTokens: number;
    /** Number of times a running request lost its KV memory. */
    readonly preempted: number;
    /** Prompt tokens of caches that expired or were released unused. */
    readonly unusedCacheTokens: number;
    /** Peak KV memory use, in tokens. */
    readonly peakKvTokens: number;
}

export interface SimulatedEngine {
    readonly send: (request: EngineRequest, options: SendOptions) => Promise<Result<EngineResponse, EngineError>>;
    readonly prefill: (request: EngineRequest) => Promise<Result<PrefilledCache, EngineError>>;
    readonly reserve: (tokens: number, lifeMs: number) => Result<Reservation, EngineError>;
    readonly releaseReservation: (id: string) => void;
    /** Removes a cache and returns whether it existed. Unless `isUsed`, its tokens count as unused. */
    readonly takeCache: (handle: string, isUsed: boolean) => boolean;
    readonly stats: () => SimulatedEngineStats;
}

interface RequestRun {
    readonly request: SimulatedRequest;
    readonly reservedTokens: number;
    readonly body: Readable;
    readonly onFirstEvent: () => void;
    /** Tokens of the prompt, and of output lost by preemption, to prefill before the next event. */
    remainingPrefillTokens: number;
    generatedTokens: number;
}

interface KvAllocation {
    readonly tokens: number;
    readonly expiresAtMs: number;
}

const statusOk = 200;
const statusUnavailable = 503;

export function createSimulatedEngine(
    id: string,
    stage: Stage,
    spec: SimulatedEngineSpec,
    clock: Clock,
    consumeCache: (cache: PrefilledCache) => boolean,
): SimulatedEngine {
    const reservations = new Map<string, KvAllocation>();
    const caches = new Map<string, KvAllocation>();
    const stats = { prefilledTokens: 0, preempted: 0, unusedCacheTokens: 0, peakKvTokens: 0 };
    let running: readonly RequestRun[] = [];
    let queued: readonly RequestRun[] = [];
    let isLoopRunning = false;
    let lastPrefill: Promise<void> = Promise.resolve();
    let lastId = 0;

    function dropExpired(): void {
        const nowMs = clock.monotonicMs();
        for (const [key, { expiresAtMs }] of reservations) {
            if (expiresAtMs <= nowMs) {
                reservations.delete(key);
            }
        }
        for (const [key, { expiresAtMs, tokens }] of caches) {
            if (expiresAtMs <= nowMs) {
                caches.delete(key);
                stats.unusedCacheTokens += tokens;
            }
        }
    }

    function kvTokensOf(run: RequestRun): number {
        return Math.max(run.reservedTokens, run.request.promptTokens + run.generatedTokens);
    }

    function usedTokens(): number {
        dropExpired();
        const heldTokens = [...reservations.values(), ...caches.values()].reduce((sum, { tokens }) => sum + tokens, 0);
        const used = running.reduce((sum, run) => sum + kvTokensOf(run), heldTokens);
        stats.peakKvTokens = Math.max(stats.peakKvTokens, used);
        return used;
    }

    /** Whether a new request or reservation of this size exceeds the capacity that running and queued requests leave. */
    function exceedsCapacity(tokens: number): boolean {
        const queuedTokens = queued.reduce((sum, run) => sum + kvTokensOf(run), 0);
        return running.length + queued.length + reservations.size >= spec.slots
            || usedTokens() + queuedTokens + tokens > spec.kvTokens;
    }

    function rejectAsFull(): Result<never, EngineError> {
        return Result.err({ kind: "notExecuted", status: statusUnavailable, cause: "the engine is full" });
    }

    function admitQueued(): void {
        for (const run of queued) {
            const fits = running.length + reservations.size < spec.slots
                && usedTokens() + kvTokensOf(run) <= spec.kvTokens;
            if (!fits) {
                return;
            }
            queued = queued.filter(other => other !== run);
            running = [...running, run];
        }
    }

    function preemptNewest(): void {
        while (usedTokens() > spec.kvTokens && running.length > 1) {
            const newest = running.at(-1);
            if (newest === undefined) {
                return;
            }
            running = running.slice(0, -1);
            newest.remainingPrefillTokens = newest.request.promptTokens + newest.generatedTokens;
            queued = [newest, ...queued];
            stats.preempted += 1;
        }
    }

    /** Duration of one iteration: an event of each decoding request, and a chunk of the oldest prompt being prefilled. */
    function iterationMs(prefilling: RequestRun | undefined, chunkTokens: number): number {
        const decodingCount = running.filter(run => run.remainingPrefillTokens === 0).length;
        const decodeMs = spec.tokensPerEvent
            * (spec.decodeStepMs + Math.max(0, decodingCount - 1) * spec.decodeStepMsPerRequest);
        return (decodingCount === 0 ? spec.decodeStepMs : decodeMs)
            + (prefilling === undefined ? 0 : chunkTokens / spec.prefillTokensPerMs);
    }

    async function runLoop(): Promise<void> {
        if (isLoopRunning) {
            return;
        }
        isLoopRunning = true;
        while (running.length + queued.length > 0) {
            running = running.filter(run => !run.body.destroyed);
            queued = queued.filter(run => !run.body.destroyed);
            admitQueued();
            const prefilling = running.find(run => run.remainingPrefillTokens > 0);
            const chunkTokens = Math.min(
                prefilling?.remainingPrefillTokens ?? 0,
                spec.prefillChunkTokens * spec.tokensPerEvent,
            );
            await clock.sleep(iterationMs(prefilling, chunkTokens));
            if (prefilling !== undefined) {
                prefilling.remainingPrefillTokens -= chunkTokens;
                stats.prefilledTokens += chunkTokens;
            }
            running.filter(run => run.remainingPrefillTokens === 0).forEach(emitEvent);
            running = running.filter(run => run.generatedTokens < run.request.outputTokens);
            preemptNewest();
        }
        isLoopRunning = false;
    }

    function emitEvent(run: RequestRun): void {
        run.generatedTokens = Math.min(run.request.outputTokens, run.generatedTokens + spec.tokensPerEvent);
        run.onFirstEvent();
        run.body.push(`id: ${run.generatedTokens}\n\n`);
        if (run.generatedTokens >= run.request.outputTokens) {
            run.body.push(null);
        }
    }

    return {
        send: (request, { reservation, cache, signal }) => {
            const size = JSON.parse(request.body.toString()) as SimulatedRequest;
            dropExpired();
            const held = reservation === undefined ? undefined : reservations.get(reservation.id);
            if (reservation !== undefined) {
                reservations.delete(reservation.id);
            }
            const isFull = exceedsCapacity(size.promptTokens);
            if (held === undefined && isFull) {
                return Promise.resolve(rejectAsFull());
            }
            const isPrefilled = cache !== undefined && consumeCache(cache);
            return new Promise(resolve => {
                const body = new Readable({ read: () => undefined });
                const response = { engine: id, status: statusOk, headers: [], framing: "chunks" as const, body };
                const run: RequestRun = {
                    request: size,
                    reservedTokens: held?.tokens ?? 0,
                    body,
                    onFirstEvent: () => resolve(Result.ok(response)),
                    remainingPrefillTokens: isPrefilled ? 0 : size.promptTokens,
                    generatedTokens: 0,
                };
                signal.addEventListener("abort", () => {
                    body.destroy();
                    resolve(Result.err({ kind: "cancelled", cause: "the caller went away" }));
                }, { once: true });
                // A request with a reservation is admitted ahead of all queued requests.
                running = held === undefined ? running : [...running, run];
                queued = held === undefined ? [...queued, run] : queued;
                void runLoop();
            });
        },
        prefill: async request => {
            const { promptTokens } = JSON.parse(request.body.toString()) as SimulatedRequest;
            if (stage !== "prefill") {
                return rejectAsFull();
            }
            // Prompts are processed one at a time; the fixed overhead of one overlaps with the processing of the next.
            const previousPrefill = lastPrefill;
            const currentPrefill = (async () => {
                await previousPrefill;
                await clock.sleep(promptTokens / spec.prefillTokensPerMs);
            })();
            lastPrefill = currentPrefill;
            await currentPrefill;
            await clock.sleep(spec.prefillOverheadMs);
            stats.prefilledTokens += promptTokens;
            lastId += 1;
            const handle = `${id}-cache-${lastId}`;
            caches.set(handle, { tokens: promptTokens, expiresAtMs: clock.monotonicMs() + spec.cacheLifetimeMs });
            return Result.ok({ address: id, handle, tokens: promptTokens });
        },
        reserve: (tokens, lifeMs) => {
            if (exceedsCapacity(tokens)) {
                return rejectAsFull();
            }
            lastId += 1;
            const reservation = { id: `${id}-reservation-${lastId}`, tokens };
            reservations.set(reservation.id, { tokens, expiresAtMs: clock.monotonicMs() + lifeMs });
            return Result.ok(reservation);
        },
        releaseReservation: reservationId => void reservations.delete(reservationId),
        takeCache: (handle, isUsed) => {
            dropExpired();
            const cache = caches.get(handle);
            caches.delete(handle);
            stats.unusedCacheTokens += isUsed ? 0 : cache?.tokens ?? 0;
            return cache !== undefined;
        },
        stats: () => {
            dropExpired();
            return { ...stats };
        },
    };
}
