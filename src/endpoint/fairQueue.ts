/**
 * Orders queued work so that each client account gets service in proportion to its weight (start-time fair queueing,
 * with costs in tokens). Interactive work is served before deferrable work, with two exceptions: deferrable work is
 * guaranteed a minimum fraction of the service, and it is promoted when its deadline approaches.
 */

import type { RequestClass } from "../configuration/objects.js";

export interface QueueItem {
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
    readonly costTokens: number;
    /** Monotonic time by which the item must start. */
    readonly deadlineMs: number;
}

export interface FairQueueSettings {
    /** Minimum fraction (0 to 1) of the charged tokens for deferrable work while both classes are queued. */
    readonly minDeferrableFraction: number;
    /** A deferrable item is treated as interactive when less than this time remains until its deadline. */
    readonly promotionWindowMs: number;
}

export const defaultFairQueueSettings: FairQueueSettings = { minDeferrableFraction: 0.1, promotionWindowMs: 5_000 };

export interface FairQueue<Item extends QueueItem> {
    readonly add: (item: Item) => void;
    readonly remove: (item: Item) => boolean;
    /** The item to start next; it stays in the queue. */
    readonly peek: (nowMs: number) => Item | undefined;
    /** Removes an item and charges its cost to its account. */
    readonly start: (item: Item) => void;
    /** Adds `tokens`, which may be negative, to an account's charge once the actual cost is known. */
    readonly charge: (clientAccount: string, weight: number, tokens: number) => void;
    readonly size: () => number;
    /** Total cost of the queued items. */
    readonly costTokens: () => number;
}

interface AccountTags {
    /** Virtual time at which the account's charged work finishes; lower bound of its next start tag. */
    finishTag: number;
}

export function createFairQueue<Item extends QueueItem>(settings: FairQueueSettings): FairQueue<Item> {
    const queuedItems = new Set<Item>();
    const arrivalVirtualTimes = new Map<Item, number>();
    const accounts = new Map<string, AccountTags>();
    let virtualTime = 0;
    // Both token counts restart at zero when the queue becomes empty.
    let chargedTokens = 0;
    let deferrableTokens = 0;

    function tagsOf(clientAccount: string): AccountTags {
        const tags = accounts.get(clientAccount) ?? { finishTag: 0 };
        accounts.set(clientAccount, tags);
        return tags;
    }

    function startTag(item: Item): number {
        return Math.max(tagsOf(item.clientAccount).finishTag, arrivalVirtualTimes.get(item) ?? 0);
    }

    function itemWithSmallestStartTag(items: readonly Item[]): Item | undefined {
        let best: Item | undefined;
        let bestTag = Number.POSITIVE_INFINITY;
        for (const item of items) {
            const tag = startTag(item);
            if (tag < bestTag) {
                best = item;
                bestTag = tag;
            }
        }
        return best;
    }

    function deleteIdleAccounts(): void {
        for (const [clientAccount, tags] of accounts) {
            if (tags.finishTag <= virtualTime) {
                accounts.delete(clientAccount);
            }
        }
    }

    return {
        add: item => {
            queuedItems.add(item);
            arrivalVirtualTimes.set(item, virtualTime);
        },
        remove: item => {
            arrivalVirtualTimes.delete(item);
            return queuedItems.delete(item);
        },
        peek: nowMs => {
            const isUrgent = (item: Item): boolean =>
                item.requestClass === "interactive" || item.deadlineMs - nowMs < settings.promotionWindowMs;
            const items = [...queuedItems];
            const urgent = items.filter(isUrgent);
            const notUrgent = items.filter(item => !isUrgent(item));
            const deferrableBelowMinimum = deferrableTokens < settings.minDeferrableFraction * chargedTokens;
            if (notUrgent.length > 0 && (urgent.length === 0 || deferrableBelowMinimum)) {
                return itemWithSmallestStartTag(notUrgent);
            }
            return itemWithSmallestStartTag(urgent);
        },
        start: item => {
            const tag = startTag(item);
            queuedItems.delete(item);
            arrivalVirtualTimes.delete(item);
            virtualTime = Math.max(virtualTime, tag);
            tagsOf(item.clientAccount).finishTag = tag + item.costTokens / item.weight;
            chargedTokens += item.costTokens;
            deferrableTokens += item.requestClass === "deferrable" ? item.costTokens : 0;
            if (queuedItems.size === 0) {
                chargedTokens = 0;
                deferrableTokens = 0;
                deleteIdleAccounts();
            }
        },
        charge: (clientAccount, weight, tokens) => {
            const tags = tagsOf(clientAccount);
            tags.finishTag = Math.max(0, tags.finishTag + tokens / weight);
        },
        size: () => queuedItems.size,
        costTokens: () => [...queuedItems].reduce((sum, item) => sum + item.costTokens, 0),
    };
}
