/**
 * Grants the slots and KV memory of one endpoint to waiting work, in the order of the fair queue.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { RequestClass } from "../configuration/objects.js";
import { createFairQueue } from "./fairQueue.js";
import type { FairQueueSettings } from "./fairQueue.js";
import type { EndpointLoad, RefusalReason } from "./messages.js";

export interface Capacity {
    readonly slots: number;
    readonly kvCapacityBytes: number;
}

/** Work that asks for a slot. */
export interface WorkRequest {
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
    readonly costTokens: number;
    readonly kvBytes: number;
    readonly maxQueueMs: number;
}

/** A held slot with its memory. */
export interface Grant {
    /** Frees the slot once; `actualTokens` corrects the account's charge. Further calls do nothing. */
    readonly release: (actualTokens?: number) => void;
}

export interface WorkQueue {
    /** Waits for a slot until the request's time is over or `signal` aborts. */
    readonly acquire: (request: WorkRequest, signal: AbortSignal) => Promise<Result<Grant, RefusalReason>>;
    /** Refuses everything new and everything that waits, for this reason, until `undefined` takes up work again. */
    readonly setUnavailable: (reason: "draining" | "endpointDown" | undefined) => void;
    readonly setCapacity: (capacity: Capacity) => void;
    readonly load: () => EndpointLoad;
    /** Resolves when nothing is held any more. */
    readonly idle: () => Promise<void>;
}

interface WaitingItem extends WorkRequest {
    readonly deadlineMs: number;
    readonly settle: (answer: Result<Grant, RefusalReason>) => void;
}

const maxQueuedRequests = 2_000;

export function createWorkQueue(
    initialCapacity: Capacity,
    clock: Clock,
    fairness: FairQueueSettings,
): WorkQueue {
    const queue = createFairQueue<WaitingItem>(fairness);
    const waiting = new Set<WaitingItem>();
    let idleWaiters: readonly (() => void)[] = [];
    let capacity = initialCapacity;
    let activeSlots = 0;
    let heldBytes = 0;
    let unavailable: "draining" | "endpointDown" | undefined;

    function fits(item: WaitingItem): boolean {
        return activeSlots < capacity.slots && heldBytes + item.kvBytes <= capacity.kvCapacityBytes;
    }

    function grantFor(item: WaitingItem): Grant {
        let held = true;
        activeSlots += 1;
        heldBytes += item.kvBytes;
        return {
            release: actualTokens => {
                if (!held) {
                    return;
                }
                held = false;
                activeSlots -= 1;
                heldBytes -= item.kvBytes;
                if (actualTokens !== undefined) {
                    queue.charge(item.clientAccount, item.weight, actualTokens - item.costTokens);
                }
                grantNext();
                reportIdle();
            },
        };
    }

    function grantNext(): void {
        let next = queue.peek(clock.monotonicMs());
        while (next !== undefined && fits(next)) {
            queue.start(next);
            waiting.delete(next);
            next.settle(Result.ok(grantFor(next)));
            next = queue.peek(clock.monotonicMs());
        }
    }

    function reportIdle(): void {
        if (activeSlots === 0) {
            idleWaiters.forEach(resolve => resolve());
            idleWaiters = [];
        }
    }

    function giveUp(item: WaitingItem, reason: RefusalReason): void {
        if (waiting.delete(item)) {
            queue.remove(item);
            item.settle(Result.err(reason));
            grantNext();
        }
    }

    function earlyRefusal(request: WorkRequest, signal: AbortSignal): RefusalReason | undefined {
        if (unavailable !== undefined) {
            return unavailable;
        }
        if (signal.aborted) {
            return "cancelled";
        }
        if (request.kvBytes > capacity.kvCapacityBytes) {
            return "tooLarge";
        }
        return waiting.size >= maxQueuedRequests ? "queueFull" : undefined;
    }

    async function acquire(request: WorkRequest, signal: AbortSignal): Promise<Result<Grant, RefusalReason>> {
        const refusal = earlyRefusal(request, signal);
        if (refusal !== undefined) {
            return Result.err(refusal);
        }
        const timeout = new AbortController();
        const answer = await new Promise<Result<Grant, RefusalReason>>(settle => {
            const deadlineMs = clock.monotonicMs() + request.maxQueueMs;
            const item: WaitingItem = { ...request, deadlineMs, settle };
            waiting.add(item);
            queue.add(item);
            signal.addEventListener("abort", () => giveUp(item, "cancelled"), { once: true });
            grantNext();
            void clock.sleep(request.maxQueueMs, timeout.signal).then(() => giveUp(item, "queueTimeout"));
        });
        timeout.abort();
        return answer;
    }

    return {
        acquire,
        setUnavailable: reason => {
            unavailable = reason;
            if (reason !== undefined) {
                [...waiting].forEach(item => giveUp(item, reason));
            }
        },
        setCapacity: next => {
            capacity = next;
            grantNext();
        },
        load: () => ({
            slots: capacity.slots,
            activeSlots,
            queuedRequests: waiting.size,
            queuedTokens: queue.costTokens(),
            kvFreeBytes: capacity.kvCapacityBytes - heldBytes,
            unavailable: unavailable !== undefined,
        }),
        idle: () =>
            activeSlots === 0
                ? Promise.resolve()
                : new Promise(resolve => {
                    idleWaiters = [...idleWaiters, resolve];
                }),
    };
}
