/**
 * Queue of the requests that wait at this entry for a decode allocation.
 *
 * Requests that can still meet their objective come first, in order of their latest start time; requests of client
 * accounts with many recently allocated tokens are moved back, for fairness between accounts. Requests that can no
 * longer meet their objective follow while their callers still wait. Small requests that always overtake would starve
 * the largest ones, so a request that has waited for a certain time is no longer overtaken by those behind it.
 */

export interface QueuedRequest {
    readonly clientAccount: string;
    /** KV memory that the request needs at its end, by estimate. */
    readonly tokens: number;
    readonly enqueuedAtMs: number;
    /** Latest monotonic time of the allocation at which the first token can still meet the objective. */
    readonly latestStartMs: number;
    /** Monotonic time at which the request leaves the queue without an allocation. */
    readonly queueDeadlineMs: number;
}

export interface DecodeQueue<Item extends QueuedRequest> {
    readonly add: (item: Item) => void;
    readonly remove: (item: Item) => void;
    readonly size: () => number;
    /** Sum of the tokens of all queued requests. */
    readonly tokens: () => number;
    /** Requests to try now, in order. The list ends with the first request that must not be overtaken. */
    readonly candidates: (nowMs: number) => readonly Item[];
    /** Removes and returns the requests whose queue deadline has passed. */
    readonly takeExpired: (nowMs: number) => readonly Item[];
    /** Removes and returns the requests for which `isTaken` holds. */
    readonly takeWhere: (isTaken: (item: Item) => boolean) => readonly Item[];
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

    function recentlyAllocatedTokens(clientAccount: string, nowMs: number): number {
        const allocated = allocatedByAccount.get(clientAccount);
        return allocated === undefined ? 0 : allocated.tokens * Math.exp((allocated.atMs - nowMs) / allocationDecayMs);
    }

    /** Sort key of an item, lowest first; late items come after all others. */
    function rank(item: Item, nowMs: number): number {
        const isLate = nowMs > item.latestStartMs;
        const fairnessPenaltyMs = recentlyAllocatedTokens(item.clientAccount, nowMs) * fairnessPenaltyMsPerToken;
        return (isLate ? 1e9 : 0) + item.latestStartMs + fairnessPenaltyMs;
    }

    function takeWhere(isTaken: (item: Item) => boolean): readonly Item[] {
        const taken = [...items].filter(isTaken);
        taken.forEach(item => items.delete(item));
        return taken;
    }

    return {
        add: item => void items.add(item),
        remove: item => void items.delete(item),
        size: () => items.size,
        tokens: () => [...items].reduce((sum, item) => sum + item.tokens, 0),
        candidates: nowMs => {
            const ordered = [...items]
                .map(item => ({ item, rank: rank(item, nowMs) }))
                .sort((a, b) => a.rank - b.rank)
                .slice(0, maxCandidates)
                .map(({ item }) => item);
            const blocking = ordered.findIndex(item => nowMs - item.enqueuedAtMs > noOvertakingAfterMs);
            return blocking < 0 ? ordered : ordered.slice(0, blocking + 1);
        },
        takeExpired: nowMs => takeWhere(item => nowMs >= item.queueDeadlineMs),
        takeWhere,
        recordAllocatedTokens: (clientAccount, tokens, nowMs) =>
            void allocatedByAccount.set(clientAccount, {
                tokens: recentlyAllocatedTokens(clientAccount, nowMs) + tokens,
                atMs: nowMs,
            }),
    };
}
