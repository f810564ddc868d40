/**
 * Work that a generation means for each stage, estimated from the generations of this entry. Entries share the engines, so
 * the proportion between the stages is the fleet's, whatever share of the requests this entry gets.
 *
 * Only the pace of a stream is learnt when it ends, because the first streams to end are short ones: how much is to be
 * generated is learnt when a stream starts.
 */

import type { GenerationSize } from "../forwarding/forwardRequest.js";
import type { EngineSpec } from "../routes/desiredState.js";
import { expectedKvTokens, expectedOutputTokens } from "../scheduling/decodeReservations.js";
import { prefillTokensPerMs } from "../scheduling/placement.js";

/** Time for which a mean generation occupies a whole engine of each stage. */
export interface StageWork {
    readonly prefillMs: number;
    readonly decodeMs: number;
}

export interface StageWorkEstimates {
    /** Counts a generation whose stream has started at a decode engine. */
    readonly recordStart: (service: string, size: GenerationSize, engineSpec: EngineSpec) => void;
    /** Counts a stream that is complete, and the time for which its decode engine wrote it. */
    readonly recordEnd: (service: string, size: GenerationSize, durationMs: number) => void;
    /** `undefined` until enough streams of a service are complete. */
    readonly of: (service: string) => StageWork | undefined;
}

const minEnded = 8;
/** Weight of the newest generation in the moving averages; the first ones all have the same weight. */
const averageWeight = 0.05;

interface Average {
    readonly samples: number;
    readonly value: number;
}

interface ServiceAverages {
    readonly promptTokens: Average;
    /** Output tokens times the fraction of an engine that the generation occupies. */
    readonly engineTokens: Average;
    readonly endedTokens: Average;
    readonly endedMs: Average;
}

const noSamples: Average = { samples: 0, value: 0 };
const noAverages: ServiceAverages = {
    promptTokens: noSamples,
    engineTokens: noSamples,
    endedTokens: noSamples,
    endedMs: noSamples,
};

function add({ samples, value }: Average, sample: number): Average {
    const weight = Math.max(averageWeight, 1 / (samples + 1));
    return { samples: samples + 1, value: value + weight * (sample - value) };
}

export function createStageWorkEstimates(): StageWorkEstimates {
    const averagesByService = new Map<string, ServiceAverages>();
    const averagesOf = (service: string): ServiceAverages => averagesByService.get(service) ?? noAverages;

    return {
        recordStart: (service, size, { kvTokens, slots }) => {
            const averages = averagesOf(service);
            const engineFraction = Math.max(expectedKvTokens(size) / kvTokens, 1 / slots);
            averagesByService.set(service, {
                ...averages,
                promptTokens: add(averages.promptTokens, size.promptTokens),
                engineTokens: add(averages.engineTokens, expectedOutputTokens(size) * engineFraction),
            });
        },
        recordEnd: (service, size, durationMs) => {
            const averages = averagesOf(service);
            averagesByService.set(service, {
                ...averages,
                endedTokens: add(averages.endedTokens, expectedOutputTokens(size)),
                endedMs: add(averages.endedMs, durationMs),
            });
        },
        of: service => {
            const { promptTokens, engineTokens, endedTokens, endedMs } = averagesOf(service);
            if (endedMs.samples < minEnded || endedTokens.value <= 0) {
                return undefined;
            }
            const msPerToken = endedMs.value / endedTokens.value;
            return { prefillMs: promptTokens.value / prefillTokensPerMs, decodeMs: engineTokens.value * msPerToken };
        },
    };
}
