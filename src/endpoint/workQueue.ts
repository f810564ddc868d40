/**
 * Allocates the slots and KV cache memory of one endpoint to waiting work, in the order of the fair queue.
 *
 * The work at the head of the queue gets a grant as soon as a slot and its KV memory are free. Work waits until it is
 * granted, cancelled, times out or the endpoint becomes unavailable.
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

/** A request for a slot, with the attributes that decide its place in the queue. */
export interface WorkRequest {
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
    /** Estimated cost; `Grant.release` corrects it. */
    readonly costTokens: number;
    /** KV cache memory that the work reserves while it holds the slot. */
    readonly kvBytes: number;
    /** How long the work may wait in the queue. */
    readonly maxQueueMs: number;
}

/** An allocated slot and the KV memory reserved with it. */
export interface Grant {
    /**
     * Frees the slot and its memory. `actualTokens` replaces the estimated cost in the account's charge. Further calls
     * have no effect.
     */
    readonly release: (actualTokens?: number) => void;
}

export interface WorkQueue {
    /** Waits for a slot for at most `maxQueueMs`, or until `signal` aborts. */
    readonly acquire: (request: WorkRequest, signal: AbortSignal) => Promise<Result<Grant, RefusalReason>>;
    /** Refuses new and waiting work with this reason; `undefined` makes the queue accept work again. */
    readonly setUnavailable: (reason: "draining" | "endpointDown" | undefined) => void;
    readonly setCapacity: (capacity: Capacity) => void;
    readonly load: () => EndpointLoad;
    /** Resolves when no slot is in use. */
    readonly whenIdle: () => Promise<void>;
}

interface WaitingItem extends WorkRequest {
    readonly deadlineMs: number;
    readonly settle: (result: Result<Grant, RefusalReason>) => void;
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
    let heldKvBytes = 0;
    let unavailable: "draining" | "endpointDown" | undefined;

    function fits(item: WaitingItem): boolean {
        return activeSlots < capacity.slots && heldKvBytes + item.kvBytes <= capacity.kvCapacityBytes;
    }

    function createGrant(item: WaitingItem): Grant {
        let held = true;
        activeSlots += 1;
        heldKvBytes += item.kvBytes;
        return {
            release: actualTokens => {
                if (!held) {
                    return;
                }
                held = false;
                activeSlots -= 1;
                heldKvBytes -= item.kvBytes;
                if (actualTokens !== undefined) {
                    queue.charge(item.clientAccount, item.weight, actualTokens - item.costTokens);
                }
                grantNext();
                resolveIdleWaiters();
            },
        };
    }

    function grantNext(): void {
        let next = queue.peek(clock.monotonicMs());
        while (next !== undefined && fits(next)) {
            queue.start(next);
            waiting.delete(next);
            next.settle(Result.ok(createGrant(next)));
            next = queue.peek(clock.monotonicMs());
        }
    }

    function resolveIdleWaiters(): void {
        if (activeSlots === 0) {
            idleWaiters.forEach(resolve => resolve());
            idleWaiters = [];
        }
    }

    function refuseWaiting(item: WaitingItem, reason: RefusalReason): void {
        if (waiting.delete(item)) {
            queue.remove(item);
            item.settle(Result.err(reason));
            grantNext();
        }
    }

    function immediateRefusal(request: WorkRequest, signal: AbortSignal): RefusalReason | undefined {
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
        const refusal = immediateRefusal(request, signal);
        if (refusal !== undefined) {
            return Result.err(refusal);
        }
        const timeout = new AbortController();
        const result = await new Promise<Result<Grant, RefusalReason>>(settle => {
            const deadlineMs = clock.monotonicMs() + request.maxQueueMs;
            const item: WaitingItem = { ...request, deadlineMs, settle };
            waiting.add(item);
            queue.add(item);
            signal.addEventListener("abort", () => refuseWaiting(item, "cancelled"), { once: true });
            grantNext();
            void clock.sleep(request.maxQueueMs, timeout.signal).then(() => refuseWaiting(item, "queueTimeout"));
        });
        timeout.abort();
        return result;
    }

    return {
        acquire,
        setUnavailable: reason => {
            unavailable = reason;
            if (reason !== undefined) {
                [...waiting].forEach(item => refuseWaiting(item, reason));
            }
        },
        setCapacity: newCapacity => {
            capacity = newCapacity;
            grantNext();
        },
        load: () => ({
            slots: capacity.slots,
            activeSlots,
            queuedRequests: waiting.size,
            queuedTokens: queue.costTokens(),
            kvFreeBytes: capacity.kvCapacityBytes - heldKvBytes,
            unavailable: unavailable !== undefined,
        }),
        whenIdle: () =>
            activeSlots === 0
                ? Promise.resolve()
                : new Promise(resolve => {
                    idleWaiters = [...idleWaiters, resolve];
                }),
    };
}
