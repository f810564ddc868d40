/**
 * Settings of the decode scheduler, which measurements replace by others.
 */

/** How long requests may stay queued and how much memory is allocated. */
export interface DecodeSchedulerSettings {
    /** Fraction of the expected output for which memory is reserved in addition to the prompt's. */
    readonly reservedOutputFraction: number;
    /**
     * Fraction of an engine's KV memory that the work in flight may need at its end, by estimate. The memory of running
     * requests grows, and an engine that runs out of memory preempts its newest request and prefills it again later.
     */
    readonly maxKvUtilization: number;
    /**
     * Longest time from a request's arrival to its allocation, as a fraction of its objective. A request that starts
     * later rarely meets its objective, and takes capacity from one that could.
     */
    readonly queueTimeoutFraction: number;
    /** A request is refused immediately if the estimated queue delay is longer than this. */
    readonly maxQueueDelayMs: number;
    /** Where decode engines must not prefill, nothing is allocated while the wait at all prefill engines is longer. */
    readonly maxPrefillWaitMs: number;
}

/** docs/POLICY.md compares these values with alternatives. */
export const defaultDecodeSchedulerSettings: DecodeSchedulerSettings = {
    reservedOutputFraction: 0.5,
    maxKvUtilization: 1,
    queueTimeoutFraction: 0.55,
    maxQueueDelayMs: 1_400,
    maxPrefillWaitMs: 250,
};
