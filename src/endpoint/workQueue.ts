/**
 * Allocates the slots and KV cache memory of one endpoint to queued requests, in the order of the fair queue.
 *
 * The request at the head of the queue gets a grant as soon as a slot and enough KV memory are free. A request stays
 * queued until it is granted, is cancelled or times out, or until the endpoint becomes unavailable.
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

/** A request for a slot, with the attributes that decide its order in the queue. */
export interface WorkRequest {
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
    /** Estimated cost; `Grant.release` corrects it. */
    readonly costTokens: number;
    /** KV cache memory that is reserved while the slot is in use. */
    readonly kvBytes: number;
    /** Maximum time that the work may stay in the queue. */
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
    /** Refuses new and queued requests with this reason; `undefined` makes the queue accept work again. */
    readonly setUnavailable: (reason: "draining" | "endpointDown" | undefined) => void;
    readonly setCapacity: (capacity: Capacity) => void;
    readonly load: () => EndpointLoad;
    /** Resolves when no slot is in use. */
    readonly whenIdle: () => Promise<void>;
}

interface QueuedRequest extends WorkRequest {
    readonly deadlineMs: number;
    readonly settle: (result: Result<Grant, RefusalReason>) => void;
}

const maxQueuedRequests = 2_000;

export function createWorkQueue(
    initialCapacity: Capacity,
    clock: Clock,
    fairness: FairQueueSettings,
): WorkQueue {
    const queue = createFairQueue<QueuedRequest>(fairness);
    const queuedRequests = new Set<QueuedRequest>();
    let idleResolvers: readonly (() => void)[] = [];
    let capacity = initialCapacity;
    let activeSlots = 0;
    let reservedKvBytes = 0;
    let unavailable: "draining" | "endpointDown" | undefined;

    function fits(item: QueuedRequest): boolean {
        return activeSlots < capacity.slots && reservedKvBytes + item.kvBytes <= capacity.kvCapacityBytes;
    }

    function createGrant(item: QueuedRequest): Grant {
        let isActive = true;
        activeSlots += 1;
        reservedKvBytes += item.kvBytes;
        return {
            release: actualTokens => {
                if (!isActive) {
                    return;
                }
                isActive = false;
                activeSlots -= 1;
                reservedKvBytes -= item.kvBytes;
                if (actualTokens !== undefined) {
                    queue.charge(item.clientAccount, item.weight, actualTokens - item.costTokens);
                }
                grantNext();
                resolveIdle();
            },
        };
    }

    function grantNext(): void {
        if (unavailable !== undefined) {
            return;
        }
        let next = queue.peek(clock.monotonicMs());
        while (next !== undefined && fits(next)) {
            queue.start(next);
            queuedRequests.delete(next);
            next.settle(Result.ok(createGrant(next)));
            next = queue.peek(clock.monotonicMs());
        }
    }

    function resolveIdle(): void {
        if (activeSlots === 0) {
            idleResolvers.forEach(resolve => resolve());
            idleResolvers = [];
        }
    }

    function refuseQueued(item: QueuedRequest, reason: RefusalReason): void {
        if (queuedRequests.delete(item)) {
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
        return queuedRequests.size >= maxQueuedRequests ? "queueFull" : undefined;
    }

    async function acquire(request: WorkRequest, signal: AbortSignal): Promise<Result<Grant, RefusalReason>> {
        const refusal = immediateRefusal(request, signal);
        if (refusal !== undefined) {
            return Result.err(refusal);
        }
        const timeout = new AbortController();
        const result = await new Promise<Result<Grant, RefusalReason>>(settle => {
            const deadlineMs = clock.monotonicMs() + request.maxQueueMs;
            const item: QueuedRequest = { ...request, deadlineMs, settle };
            queuedRequests.add(item);
            queue.add(item);
            signal.addEventListener("abort", () => refuseQueued(item, "cancelled"), { once: true });
            grantNext();
            void clock.sleep(request.maxQueueMs, timeout.signal).then(() => refuseQueued(item, "queueTimeout"));
        });
        timeout.abort();
        return result;
    }

    return {
        acquire,
        setUnavailable: reason => {
            unavailable = reason;
            if (reason !== undefined) {
                [...queuedRequests].forEach(item => refuseQueued(item, reason));
            }
        },
        setCapacity: newCapacity => {
            capacity = newCapacity;
            grantNext();
        },
        load: () => ({
            slots: capacity.slots,
            activeSlots,
            queuedRequests: queuedRequests.size,
            queuedTokens: queue.costTokens(),
            kvFreeBytes: capacity.kvCapacityBytes - reservedKvBytes,
            unavailable: unavailable !== undefined,
        }),
        whenIdle: () =>
            activeSlots === 0
                ? Promise.resolve()
                : new Promise(resolve => {
                    idleResolvers = [...idleResolvers, resolve];
                }),
    };
}
