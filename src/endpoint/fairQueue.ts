/**
 * Orders waiting work so that each client account gets service in proportion to its weight (start-time fair
 * queueing, charged in tokens). Interactive work goes before deferrable work, except that deferrable work keeps a
 * floor of the service and is promoted when its deadline comes near.
 */

import type { RequestClass } from "../configuration/objects.js";

export interface QueueItem {
    readonly clientAccount: string;
    readonly weight: number;
    readonly requestClass: RequestClass;
    readonly costTokens: number;
    /** Monotonic time by which the item must have started. */
    readonly deadlineMs: number;
}

export interface FairQueueSettings {
    /** Part of the charged tokens that deferrable work gets while both classes wait. */
    readonly deferrableFloor: number;
    /** A deferrable item counts as interactive when its deadline is nearer than this. */
    readonly promotionMs: number;
}

export const defaultFairQueueSettings: FairQueueSettings = { deferrableFloor: 0.1, promotionMs: 5_000 };

export interface FairQueue<Item extends QueueItem> {
    readonly add: (item: Item) => void;
    readonly remove: (item: Item) => boolean;
    /** The item to start next, left in the queue. */
    readonly peek: (nowMs: number) => Item | undefined;
    /** Removes an item and charges its account for it. */
    readonly start: (item: Item) => void;
    /** Corrects an account's charge once the true cost is known. */
    readonly charge: (clientAccount: string, weight: number, tokens: number) => void;
    readonly size: () => number;
    readonly costTokens: () => number;
}

interface AccountTags {
    finishTag: number;
}

export function createFairQueue<Item extends QueueItem>(settings: FairQueueSettings): FairQueue<Item> {
    const waiting = new Set<Item>();
    const arrivalTags = new Map<Item, number>();
    const accounts = new Map<string, AccountTags>();
    let virtualTime = 0;
    let chargedTokens = 0;
    let deferrableTokens = 0;

    function tagsOf(clientAccount: string): AccountTags {
        const tags = accounts.get(clientAccount) ?? { finishTag: 0 };
        accounts.set(clientAccount, tags);
        return tags;
    }

    function startTag(item: Item): number {
        return Math.max(tagsOf(item.clientAccount).finishTag, arrivalTags.get(item) ?? 0);
    }

    function first(items: readonly Item[]): Item | undefined {
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

    function forgetIdleAccounts(): void {
        for (const [clientAccount, tags] of accounts) {
            if (tags.finishTag <= virtualTime) {
                accounts.delete(clientAccount);
            }
        }
    }

    return {
        add: item => {
            waiting.add(item);
            arrivalTags.set(item, virtualTime);
        },
        remove: item => {
            arrivalTags.delete(item);
            return waiting.delete(item);
        },
        peek: nowMs => {
            const isUrgent = (item: Item): boolean =>
                item.requestClass === "interactive" || item.deadlineMs - nowMs < settings.promotionMs;
            const items = [...waiting];
            const urgent = items.filter(isUrgent);
            const patient = items.filter(item => !isUrgent(item));
            const belowFloor = deferrableTokens < settings.deferrableFloor * chargedTokens;
            if (patient.length > 0 && (urgent.length === 0 || belowFloor)) {
                return first(patient);
            }
            return first(urgent);
        },
        start: item => {
            const tag = startTag(item);
            waiting.delete(item);
            arrivalTags.delete(item);
            virtualTime = Math.max(virtualTime, tag);
            tagsOf(item.clientAccount).finishTag = tag + item.costTokens / item.weight;
            chargedTokens += item.costTokens;
            deferrableTokens += item.requestClass === "deferrable" ? item.costTokens : 0;
            if (waiting.size === 0) {
                chargedTokens = 0;
                deferrableTokens = 0;
                forgetIdleAccounts();
            }
        },
        charge: (clientAccount, weight, tokens) => {
            const tags = tagsOf(clientAccount);
            tags.finishTag = Math.max(0, tags.finishTag + tokens / weight);
        },
        size: () => waiting.size,
        costTokens: () => [...waiting].reduce((sum, item) => sum + item.costTokens, 0),
    };
}
