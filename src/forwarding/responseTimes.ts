/**
 * Estimates how long a service usually takes to respond, from the responses of plain calls.
 *
 * As for TCP's retransmission timer (RFC 6298), the estimate is a moving average plus a multiple of the mean deviation.
 * A call that takes longer is an outlier that another instance would probably answer sooner.
 */

export interface ResponseTimes {
    /** Records the duration of a successful call. */
    readonly record: (service: string, durationMs: number) => void;
    /** Time after which a call of the service is an outlier. */
    readonly outlierMs: (service: string) => number;
}

interface Estimate {
    readonly meanMs: number;
    readonly deviationMs: number;
}

const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/** Before the first response, and the least and the largest result: a connection has to be set up as well. */
const initialOutlierMs = 150;
const minOutlierMs = 30;
const maxOutlierMs = 2_000;

export function createResponseTimes(): ResponseTimes {
    const estimates = new Map<string, Estimate>();

    return {
        record: (service, durationMs) => {
            const { meanMs, deviationMs } = estimates.get(service)
                ?? { meanMs: durationMs, deviationMs: durationMs / 2 };
            const errorMs = durationMs - meanMs;
            estimates.set(service, {
                meanMs: meanMs + meanWeight * errorMs,
                deviationMs: deviationMs + deviationWeight * (Math.abs(errorMs) - deviationMs),
            });
        },
        outlierMs: service => {
            const estimate = estimates.get(service);
            return estimate === undefined ? initialOutlierMs : Math.min(
                maxOutlierMs,
                Math.max(minOutlierMs, estimate.meanMs + deviationFactor * estimate.deviationMs),
            );
        },
    };
}
