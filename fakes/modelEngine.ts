/**
 * A model of one engine in virtual time: batches that slow down as they grow, prompts read in pieces between the tokens
 * of other requests, KV memory that runs out, reservations, and caches that live half a second.
 *
 * One turn of its loop makes one event of each running request. It keeps to what the platform's pages say of engines; it
 * knows no network, and its answers are never lost.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Clock } from "../src/common/clock.js";
import type {
    EngineAnswer,
    EngineError,
    EngineRequest,
    PrefilledCache,
    Reservation,
    SendOptions,
    Stage,
} from "../src/engines/enginePort.js";

/** How an engine works; times in milliseconds, sizes in tokens. */
export interface ModelEngineShape {
    readonly slots: number;
    readonly kvTokens: number;
    /** One token of each running request, if only one runs. */
    readonly stepMs: number;
    /** What each further running request adds to that. */
    readonly stepMsPerRequest: number;
    readonly readTokensPerMs: number;
    /** Largest piece of a prompt that is read between two tokens of the others. */
    readonly pieceTokens: number;
    readonly tokensPerEvent: number;
    /** Time of a prefill besides the reading. */
    readonly prefillSetUpMs: number;
    readonly cacheLifeMs: number;
}

/** What a request of an experiment carries as its body. */
export interface ModelRequest {
    readonly promptTokens: number;
    readonly outputTokens: number;
}

export interface ModelEngineFigures {
    /** Prompt tokens read so far. */
    readonly readTokens: number;
    /** Requests that lost their memory in the middle. */
    readonly preempted: number;
    /** Caches that nobody took in time, in prompt tokens. */
    readonly unusedCacheTokens: number;
    /** Most KV memory in use. */
    readonly peakTokens: number;
}

export interface ModelEngine {
    readonly send: (request: EngineRequest, options: SendOptions) => Promise<Result<EngineAnswer, EngineError>>;
    readonly prefill: (request: EngineRequest) => Promise<Result<PrefilledCache, EngineError>>;
    readonly reserve: (tokens: number, lifeMs: number) => Result<Reservation, EngineError>;
    readonly releaseReservation: (id: string) => void;
    /** Whether there was such a cache; it is gone then. */
    readonly takeCache: (handle: string, isUsed: boolean) => boolean;
    readonly figures: () => ModelEngineFigures;
}

interface Run {
    readonly request: ModelRequest;
    readonly reservedTokens: number;
    readonly body: Readable;
    readonly onFirstEvent: () => void;
    /** Tokens of prompt, and of output lost by preemption, that must be read before the next event. */
    toRead: number;
    produced: number;
}

interface Held {
    readonly tokens: number;
    readonly untilMs: number;
}

const statusOk = 200;
const statusFull = 503;

export function createModelEngine(
    id: string,
    stage: Stage,
    shape: ModelEngineShape,
    clock: Clock,
    cacheOf: (cache: PrefilledCache) => boolean,
): ModelEngine {
    const reservations = new Map<string, Held>();
    const caches = new Map<string, Held>();
    const figures = { readTokens: 0, preempted: 0, unusedCacheTokens: 0, peakTokens: 0 };
    let running: readonly Run[] = [];
    let waiting: readonly Run[] = [];
    let isTurning = false;
    let lastRead: Promise<void> = Promise.resolve();
    let names = 0;

    function dropExpired(): void {
        const nowMs = clock.monotonicMs();
        for (const [key, { untilMs }] of reservations) {
            if (untilMs <= nowMs) {
                reservations.delete(key);
            }
        }
        for (const [key, { untilMs, tokens }] of caches) {
            if (untilMs <= nowMs) {
                caches.delete(key);
                figures.unusedCacheTokens += tokens;
            }
        }
    }

    function memoryOf(run: Run): number {
        return Math.max(run.reservedTokens, run.request.promptTokens + run.produced);
    }

    function usedTokens(): number {
        dropExpired();
        const held = [...reservations.values(), ...caches.values()].reduce((sum, { tokens }) => sum + tokens, 0);
        const used = running.reduce((sum, run) => sum + memoryOf(run), held);
        figures.peakTokens = Math.max(figures.peakTokens, used);
        return used;
    }

    /** Whether a new request or reservation finds no room besides what runs and waits. */
    function hasNoRoom(tokens: number): boolean {
        const waitingTokens = waiting.reduce((sum, run) => sum + memoryOf(run), 0);
        return running.length + waiting.length + reservations.size >= shape.slots
            || usedTokens() + waitingTokens + tokens > shape.kvTokens;
    }

    function full(): Result<never, EngineError> {
        return Result.err({ kind: "notExecuted", status: statusFull, cause: "the engine is full" });
    }

    function admitWaiting(): void {
        for (const run of waiting) {
            const fits = running.length + reservations.size < shape.slots
                && usedTokens() + memoryOf(run) <= shape.kvTokens;
            if (!fits) {
                return;
            }
            waiting = waiting.filter(other => other !== run);
            running = [...running, run];
        }
    }

    function preemptNewest(): void {
        while (usedTokens() > shape.kvTokens && running.length > 1) {
            const newest = running.at(-1);
            if (newest === undefined) {
                return;
            }
            running = running.slice(0, -1);
            newest.toRead = newest.request.promptTokens + newest.produced;
            waiting = [newest, ...waiting];
            figures.preempted += 1;
        }
    }

    /** The time of one turn: an event of each request that has read its prompt, and pieces of the oldest other one. */
    function turnMs(reader: Run | undefined, pieces: number): number {
        const makers = running.filter(run => run.toRead === 0).length;
        const makeMs = shape.tokensPerEvent * (shape.stepMs + Math.max(0, makers - 1) * shape.stepMsPerRequest);
        return (makers === 0 ? shape.stepMs : makeMs) + (reader === undefined ? 0 : pieces / shape.readTokensPerMs);
    }

    async function turn(): Promise<void> {
        if (isTurning) {
            return;
        }
        isTurning = true;
        while (running.length + waiting.length > 0) {
            running = running.filter(run => !run.body.destroyed);
            waiting = waiting.filter(run => !run.body.destroyed);
            admitWaiting();
            const reader = running.find(run => run.toRead > 0);
            const pieces = Math.min(reader?.toRead ?? 0, shape.pieceTokens * shape.tokensPerEvent);
            await clock.sleep(turnMs(reader, pieces));
            if (reader !== undefined) {
                reader.toRead -= pieces;
                figures.readTokens += pieces;
            }
            running.filter(run => run.toRead === 0).forEach(makeEvent);
            running = running.filter(run => run.produced < run.request.outputTokens);
            preemptNewest();
        }
        isTurning = false;
    }

    function makeEvent(run: Run): void {
        run.produced = Math.min(run.request.outputTokens, run.produced + shape.tokensPerEvent);
        run.onFirstEvent();
        run.body.push(`id: ${run.produced}\n\n`);
        if (run.produced >= run.request.outputTokens) {
            run.body.push(null);
        }
    }

    return {
        send: (request, { reservation, cache, signal }) => {
            const size = JSON.parse(request.body.toString()) as ModelRequest;
            dropExpired();
            const held = reservation === undefined ? undefined : reservations.get(reservation.id);
            if (reservation !== undefined) {
                reservations.delete(reservation.id);
            }
            const isFull = hasNoRoom(size.promptTokens);
            if (held === undefined && isFull) {
                return Promise.resolve(full());
            }
            const isRead = cache !== undefined && cacheOf(cache);
            return new Promise(resolve => {
                const body = new Readable({ read: () => undefined });
                const answer = { engine: id, status: statusOk, headers: [], body };
                const run: Run = {
                    request: size,
                    reservedTokens: held?.tokens ?? 0,
                    body,
                    onFirstEvent: () => resolve(Result.ok(answer)),
                    toRead: isRead ? 0 : size.promptTokens,
                    produced: 0,
                };
                signal.addEventListener("abort", () => {
                    body.destroy();
                    resolve(Result.err({ kind: "cancelled", cause: "the caller went away" }));
                }, { once: true });
                // A reservation is admitted ahead of all that wait.
                running = held === undefined ? running : [...running, run];
                waiting = held === undefined ? [...waiting, run] : waiting;
                void turn();
            });
        },
        prefill: async request => {
            const { promptTokens } = JSON.parse(request.body.toString()) as ModelRequest;
            if (stage !== "prefill") {
                return full();
            }
            // Prompts are read one after the other; the set-up of one overlaps with the reading of another.
            const before = lastRead;
            const read = (async () => {
                await before;
                await clock.sleep(promptTokens / shape.readTokensPerMs);
            })();
            lastRead = read;
            await read;
            await clock.sleep(shape.prefillSetUpMs);
            figures.readTokens += promptTokens;
            names += 1;
            const handle = `${id}-cache-${names}`;
            caches.set(handle, { tokens: promptTokens, untilMs: clock.monotonicMs() + shape.cacheLifeMs });
            return Result.ok({ address: id, handle, tokens: promptTokens });
        },
        reserve: (tokens, lifeMs) => {
            if (hasNoRoom(tokens)) {
                return full();
            }
            names += 1;
            const reservation = { id: `${id}-reservation-${names}`, tokens };
            reservations.set(reservation.id, { tokens, untilMs: clock.monotonicMs() + lifeMs });
            return Result.ok(reservation);
        },
        releaseReservation: key => void reservations.delete(key),
        takeCache: (handle, isUsed) => {
            dropExpired();
            const cache = caches.get(handle);
            caches.delete(handle);
            figures.unusedCacheTokens += isUsed ? 0 : cache?.tokens ?? 0;
            return cache !== undefined;
        },
        figures: () => {
            dropExpired();
            return { ...figures };
        },
    };
}
