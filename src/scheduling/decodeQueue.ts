/**
 * Queue of the requests that wait at this entry for a decode allocation.
 *
 * The order is that of `yieldOrder`: by the latest start that meets the objective, less urgent requests later, and those
 * of client accounts with many recently allocated tokens moved back, for fairness between accounts. Requests that can no
 * longer meet their objective follow while their callers still wait. Small requests that always overtake would starve
 * the largest ones, so a request that has waited for a certain time is no longer overtaken by those behind it,
 * unless they are more urgent and nothing is owed to it.
 */

import { createServedShares } from "../overload/servedShares.js";
import { yieldOrderOf } from "../overload/yieldOrder.js";
import type { WaitingRequest, YieldOrder } from "../overload/yieldOrder.js";

/** A request in the queue; its work is the KV memory that it needs at its end, in tokens by estimate. */
export interface QueuedRequest extends WaitingRequest {
    readonly enqueuedAtMs: number;
    /** Monotonic time at which the request leaves the queue without an allocation. */
    readonly queueDeadlineMs: number;
}

export interface DecodeQueue<Item extends QueuedRequest> {
    readonly add: (item: Item) => void;
    /** Returns whether the item was still queued. */
    readonly remove: (item: Item) => boolean;
    readonly size: () => number;
    /** Sum of the work of all queued requests. */
    readonly tokens: () => number;
    /** Sum of the work of the queued requests that do not yield to `arrival`, which is not in the queue yet. */
    readonly tokensAheadOf: (arrival: QueuedRequest, nowMs: number) => number;
    /** Requests to try now, in order. The list ends with the first request that must not be overtaken. */
    readonly candidates: (nowMs: number) => readonly Item[];
    /** Removes and returns the requests whose queue deadline has passed. */
    readonly takeExpired: (nowMs: number) => readonly Item[];
    /** Removes and returns the requests for which `isTaken` holds. */
    readonly takeWhere: (isTaken: (item: Item) => boolean) => readonly Item[];
    /**
     * Removes and returns the requests that yield to `arrival`, which is in the queue, and for which `isTooLong` holds of
     * the work ahead of them: those that cost their callers least, last in the order, go first.
     */
    readonly takeYielding: (
        arrival: QueuedRequest,
        isTooLong: (item: QueuedRequest, tokensAhead: number) => boolean,
        nowMs: number,
    ) => readonly Item[];
    /** Counts a request that asks for an allocation, whether or not it is queued, for the shares of priorities and sizes. */
    readonly recordArrival: (request: QueuedRequest, nowMs: number) => void;
    /** Counts a request that got an allocation, for the shares of priorities and sizes. */
    readonly recordServed: (request: QueuedRequest, nowMs: number) => void;
    /** See `ServedShares`. */
    readonly stepsBehind: (request: QueuedRequest, nowMs: number) => number;
    /** Counts tokens allocated to an account, for fairness between accounts. */
    readonly recordAllocatedTokens: (clientAccount: string, tokens: number, nowMs: number) => void;
}

/** Requests that are tried at the same time; each attempt is a call to an engine. */
const maxCandidates = 4;
/** A request that has waited this long is no longer overtaken. */
const noOvertakingAfterMs = 350;
/** Time constant with which an account's allocated tokens decay; about the duration of a response. */
const allocationDecayMs = 4_000;
/** Delay in the queue order per recently allocated token; an average request moves its account back by 20 ms. */
const fairnessPenaltyMsPerToken = 0.004;

/** Decayed sum of an account's allocated tokens, valid at `atMs`. */
interface AllocatedTokens {
    readonly tokens: number;
    readonly atMs: number;
}

export function createDecodeQueue<Item extends QueuedRequest>(): DecodeQueue<Item> {
    const items = new Set<Item>();
    const allocatedByAccount = new Map<string, AllocatedTokens>();
    const shares = createServedShares();

    function recentlyAllocatedTokens(clientAccount: string, nowMs: number): number {
        const allocated = allocatedByAccount.get(clientAccount);
        return allocated === undefined ? 0 : allocated.tokens * Math.exp((allocated.atMs - nowMs) / allocationDecayMs);
    }

    /** The order of `waiting`. */
    function orderOf(waiting: readonly QueuedRequest[], nowMs: number): YieldOrder {
        return yieldOrderOf(waiting, {
            isOwed: request => shares.isOwed(request, nowMs),
            accountPenaltyMs: account => recentlyAllocatedTokens(account, nowMs) * fairnessPenaltyMsPerToken,
        }, nowMs);
    }

    function takeWhere(isTaken: (item: Item) => boolean): readonly Item[] {
        const taken = [...items].filter(isTaken);
        taken.forEach(item => items.delete(item));
        return taken;
    }

    return {
        add: item => void items.add(item),
        remove: item => items.delete(item),
        size: () => items.size,
        tokens: () => sumOfWork([...items]),
        tokensAheadOf: (arrival, nowMs) => {
            const { yieldsTo } = orderOf([...items, arrival], nowMs);
            return sumOfWork([...items].filter(item => !yieldsTo(item, arrival)));
        },
        candidates: nowMs => {
            const ordered = inOrder([...items], orderOf([...items], nowMs));
            const blocking = ordered.slice(0, maxCandidates)
                .find(item => nowMs - item.enqueuedAtMs > noOvertakingAfterMs);
            if (blocking === undefined) {
                return ordered.slice(0, maxCandidates);
            }
            const end = ordered.indexOf(blocking) + 1;
            // Room that is kept free from the blocking request may be enough for a more urgent one.
            const isYielding = shares.stepsBehind(blocking, nowMs) > 0;
            return ordered
                .filter((item, index) => index < end || isYielding && item.priority < blocking.priority)
                .slice(0, maxCandidates);
        },
        takeExpired: nowMs => takeWhere(item => nowMs >= item.queueDeadlineMs),
        takeWhere,
        takeYielding: (arrival, isTooLong, nowMs) => {
            const order = orderOf([...items], nowMs);
            const taken: Item[] = [];
            let tokensAhead = sumOfWork([...items]);
            for (const item of inOrder([...items], order).reverse()) {
                tokensAhead -= item.work;
                if (order.yieldsTo(item, arrival) && isTooLong(item, tokensAhead)) {
                    items.delete(item);
                    taken.push(item);
                }
            }
            return taken;
        },
        recordArrival: shares.recordArrival,
        recordServed: shares.recordServed,
        stepsBehind: shares.stepsBehind,
        recordAllocatedTokens: (clientAccount, tokens, nowMs) =>
            void allocatedByAccount.set(clientAccount, {
                tokens: recentlyAllocatedTokens(clientAccount, nowMs) + tokens,
                atMs: nowMs,
            }),
    };
}

function sumOfWork(requests: readonly WaitingRequest[]): number {
    return requests.reduce((sum, { work }) => sum + work, 0);
}

function inOrder<Item extends WaitingRequest>(items: readonly Item[], { rankOf }: YieldOrder): Item[] {
    return items
        .map(item => ({ item, rank: rankOf(item) }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ item }) => item);
}
