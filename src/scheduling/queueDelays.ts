/**
 * Estimates how long work waits in a queue for decode engines, from what was allocated lately and what the engines free.
 */

import type { Clock } from "../common/clock.js";
import type { EngineRecord } from "../engines/enginePort.js";
import type { EngineChoice } from "./engineQueues.js";
import type { PlacementView } from "./placement.js";
import type { StreamDurations } from "./streamDurations.js";

export interface QueueDelays {
    /**
     * How long it takes until the engines of a choice, each with `kvTokens`, have room for a number of tokens more. The
     * returned function is valid at the time of the call.
     */
    readonly delaysOf: (choice: EngineChoice, kvTokens: number) => (queuedTokens: number) => number;
    readonly recordAllocation: (service: string, tokens: number) => void;
}

export interface QueueDelaysContext {
    readonly clock: Clock;
    readonly view: PlacementView;
    readonly durations: StreamDurations;
    readonly decodeEngines: (choice: EngineChoice) => readonly EngineRecord[];
    readonly isInBackoff: (engine: EngineRecord) => boolean;
    /** Number of entries that share the engines, including this one. */
    readonly entries: () => number;
}

/** Tokens allocated for one request. */
interface RecentAllocation {
    readonly atMs: number;
    readonly tokens: number;
    readonly service: string;
}

/** Window over which allocations are counted to estimate how fast the queue moves. */
const allocationWindowMs = 2_000;

/** `maxKvUtilization`: see `DecodeSchedulerSettings`. */
export function createQueueDelays(
    { clock, view, durations, decodeEngines, isInBackoff, entries }: QueueDelaysContext,
    maxKvUtilization: number,
): QueueDelays {
    let recentAllocations: readonly RecentAllocation[] = [];

    /**
     * Estimated queue delay: queued tokens that do not fit now, divided by the rate at which memory becomes available. That rate is the one of recent allocations or this entry's share of what the decode engines
     * free, whichever is higher, because after an idle period there are few recent allocations.
     */
    function delaysOf(choice: EngineChoice, kvTokens: number): (queuedTokens: number) => number {
        const { service } = choice;
        const sinceMs = clock.monotonicMs() - allocationWindowMs;
        recentAllocations = recentAllocations.filter(recent => recent.atMs >= sinceMs);
        const allocatedTokens = recentAllocations.filter(recent => recent.service === service)
            .reduce((sum, recent) => sum + recent.tokens, 0);
        const availableEngines = decodeEngines(choice);
        const freedTokensPerMs = availableEngines.length * kvTokens / durations.meanMs(service)
            / Math.max(1, entries());
        // Requests that fit into free memory do not wait.
        const freeTokens = availableEngines
            .filter(engine => !isInBackoff(engine))
            .map(engine => Math.max(0, kvTokens * maxKvUtilization - view.workAt(engine.id).kvTokens))
            .reduce((sum, free) => sum + free, 0);
        const tokensPerMs = Math.max(allocatedTokens / allocationWindowMs, freedTokensPerMs, 1 / allocationWindowMs);
        return queuedTokens => Math.max(0, queuedTokens - freeTokens) / tokensPerMs;
    }

    return {
        delaysOf,
        recordAllocation: (service, tokens) => {
            recentAllocations = [...recentAllocations, { atMs: clock.monotonicMs(), tokens, service }];
        },
    };
}
