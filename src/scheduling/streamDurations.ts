/**
 * Estimates how long the streams of a service take, from those that have ended at this entry.
 *
 * Services differ widely in their decode rate, so nothing is assumed of a service before some of its streams have ended:
 * a wrong assumption would refuse the longest requests of every entry that has just started.
 */

export interface StreamDurations {
    /** Records a stream that has ended: its time from the allocation, and the output tokens that were expected of it. */
    readonly record: (service: string, durationMs: number, outputTokens: number) => void;
    /** Mean duration of a service's streams; a default before the first one has ended. */
    readonly meanMs: (service: string) => number;
    /** Expected duration of a stream; `undefined` until enough streams of the service have ended. */
    readonly expectedMs: (service: string, outputTokens: number) => number | undefined;
}

interface Averages {
    readonly samples: number;
    readonly durationMs: number;
    readonly outputTokens: number;
}

/** Several hundred tokens at a few milliseconds each. */
const initialDurationMs = 4_000;
const minSamples = 8;
/** Weight of the newest stream in the moving averages; the first streams all have the same weight. */
const averageWeight = 0.05;
/** Part of a duration that does not grow with the output: prefill queue, prefill and KV transfer. */
const expectedTtftMs = 900;

export function createStreamDurations(): StreamDurations {
    const averagesByService = new Map<string, Averages>();

    return {
        record: (service, durationMs, outputTokens) => {
            const averages = averagesByService.get(service) ?? { samples: 0, durationMs: 0, outputTokens: 0 };
            const weight = Math.max(averageWeight, 1 / (averages.samples + 1));
            averagesByService.set(service, {
                samples: averages.samples + 1,
                durationMs: averages.durationMs + weight * (durationMs - averages.durationMs),
                outputTokens: averages.outputTokens + weight * (outputTokens - averages.outputTokens),
            });
        },
        meanMs: service => averagesByService.get(service)?.durationMs ?? initialDurationMs,
        expectedMs: (service, outputTokens) => {
            const averages = averagesByService.get(service);
            if (averages === undefined || averages.samples < minSamples || averages.outputTokens <= 0) {
                return undefined;
            }
            const decodeMs = Math.max(0, averages.durationMs - expectedTtftMs);
            return expectedTtftMs + decodeMs * outputTokens / averages.outputTokens;
        },
    };
}
