/**
 * Chooses endpoints for work. The policies are plain functions, so that measurements can substitute others.
 */

import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { LoadView } from "./loadView.js";
import { blockTokens } from "./prefixIndex.js";
import type { PrefixIndex } from "./prefixIndex.js";

/** An endpoint that could take the work. */
export interface Candidate {
    readonly endpoint: string;
    readonly agentUrl: string;
    readonly dataCentre: string;
    readonly slots: number;
    /** Fraction of its normal traffic, from 0 to 1, that it should receive; see `HostDirectory.rampUp`. */
    readonly rampUp: number;
}

/** What is known about the work when its endpoint is chosen. */
export interface WorkHint {
    readonly promptTokens: number;
    /** Hashes of the prompt's leading blocks, see `PrefixIndex`; empty if the work is not a prefill. */
    readonly blockHashes: readonly number[];
}

export interface ChoiceContext {
    readonly loads: LoadView;
    readonly prefixes: PrefixIndex;
    readonly random: Random;
    readonly dataCentre: string;
}

/** Chooses one of the candidates; `undefined` if there are none. */
export type ChoicePolicy = (
    context: ChoiceContext,
    candidates: readonly Candidate[],
    hint: WorkHint,
) => Candidate | undefined;

/** How endpoints are chosen for each kind of work. */
export interface RoutingPolicies {
    readonly chooseDecode: ChoicePolicy;
    readonly choosePrefill: ChoicePolicy;
    readonly chooseService: ChoicePolicy;
}

const sampleSize = 3;
/** Added to the requests per slot of an endpoint in another data centre. */
const crossDataCentreDecodePenalty = 0.05;
/** Added to the prefill work of an endpoint in another data centre. */
const crossDataCentrePrefillPenaltyTokens = 200;

/** The least loaded of a few random candidates, by requests per slot. */
export function leastLoadedOfSample(
    context: ChoiceContext,
    candidates: readonly Candidate[],
): Candidate | undefined {
    const sample = sampleAvailable(context, candidates);
    return minBy(sample, candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        const penalty = candidate.dataCentre === context.dataCentre ? 0 : crossDataCentreDecodePenalty;
        return load.requestsPerSlot / candidate.rampUp + penalty;
    });
}

/**
 * The candidate with the least work before this prompt's first token: its backlog plus the prompt tokens that are not
 * in its prefix cache. Two candidates that have a prefix of the prompt cached are considered besides the random sample.
 */
export function leastPrefillWork(
    context: ChoiceContext,
    candidates: readonly Candidate[],
    hint: WorkHint,
): Candidate | undefined {
    const candidatesWithPrefix = candidates.filter(candidate =>
        context.prefixes.cachedTokens(candidate.endpoint, hint.blockHashes) >= blockTokens
    );
    const sample = [
        ...new Set([...sampleAvailable(context, candidates), ...pickSome(context.random, candidatesWithPrefix, 2)]),
    ];
    return minBy(sample, candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        const cached = context.prefixes.cachedTokens(candidate.endpoint, hint.blockHashes);
        const penaltyTokens = candidate.dataCentre === context.dataCentre ? 0 : crossDataCentrePrefillPenaltyTokens;
        const uncachedTokens = Math.max(0, hint.promptTokens - cached);
        return load.backlogTokens / candidate.rampUp + load.requestsPerSlot * hint.promptTokens + uncachedTokens
            + penaltyTokens;
    });
}

export const defaultPolicies: RoutingPolicies = {
    chooseDecode: leastLoadedOfSample,
    choosePrefill: leastPrefillWork,
    chooseService: leastLoadedOfSample,
};

function sampleAvailable(context: ChoiceContext, candidates: readonly Candidate[]): readonly Candidate[] {
    const available = candidates.filter(candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        return !load.unavailable;
    });
    return pickSome(context.random, available.length > 0 ? available : candidates, sampleSize);
}

function minBy(candidates: readonly Candidate[], score: (candidate: Candidate) => number): Candidate | undefined {
    let best: Candidate | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const current = score(candidate);
        if (current < bestScore) {
            best = candidate;
            bestScore = current;
        }
    }
    return best;
}
