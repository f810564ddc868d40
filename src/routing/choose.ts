/**
 * Chooses endpoints for work. The policies are plain functions, so that a measurement can pass others in.
 */

import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { LoadView } from "./loadView.js";
import { pieceTokens } from "./prefixIndex.js";
import type { PrefixIndex } from "./prefixIndex.js";

/** An endpoint that could take the work. */
export interface Candidate {
    readonly endpoint: string;
    readonly agentUrl: string;
    readonly dataCentre: string;
    readonly slots: number;
    /** From 0 to 1: part of its normal work that it should get. */
    readonly rampUp: number;
}

/** What is known about the work when its endpoint is chosen. */
export interface WorkHint {
    readonly promptTokens: number;
    readonly pieces: readonly number[];
}

export interface ChoiceContext {
    readonly loads: LoadView;
    readonly prefixes: PrefixIndex;
    readonly random: Random;
    readonly dataCentre: string;
}

/** Picks one of the candidates, or `undefined` if there is none. */
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

const sampledCandidates = 3;
const remoteDecodePenalty = 0.05;
const remotePrefillPenaltyTokens = 200;

/** The least loaded of a few random candidates, by requests per slot. */
export function leastRequestsOfFew(
    context: ChoiceContext,
    candidates: readonly Candidate[],
): Candidate | undefined {
    const sample = sampleUsable(context, candidates);
    return leastBy(sample, candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        const distance = candidate.dataCentre === context.dataCentre ? 0 : remoteDecodePenalty;
        return load.requestsPerSlot / candidate.rampUp + distance;
    });
}

/**
 * The candidate with the least work ahead of this prompt's first token: its backlog plus the part of the prompt that
 * it does not have in its cache. Candidates that hold the prompt's start are always looked at.
 */
export function leastPrefillWork(
    context: ChoiceContext,
    candidates: readonly Candidate[],
    hint: WorkHint,
): Candidate | undefined {
    const holders = candidates.filter(candidate =>
        context.prefixes.cachedTokens(candidate.endpoint, hint.pieces) >= pieceTokens
    );
    const sample = [...new Set([...sampleUsable(context, candidates), ...pickSome(context.random, holders, 2)])];
    return leastBy(sample, candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        const cached = context.prefixes.cachedTokens(candidate.endpoint, hint.pieces);
        const distance = candidate.dataCentre === context.dataCentre ? 0 : remotePrefillPenaltyTokens;
        const ownWork = Math.max(0, hint.promptTokens - cached);
        return load.backlogTokens / candidate.rampUp + load.requestsPerSlot * hint.promptTokens + ownWork + distance;
    });
}

export const defaultPolicies: RoutingPolicies = {
    chooseDecode: leastRequestsOfFew,
    choosePrefill: leastPrefillWork,
    chooseService: leastRequestsOfFew,
};

function sampleUsable(context: ChoiceContext, candidates: readonly Candidate[]): readonly Candidate[] {
    const usable = candidates.filter(candidate => {
        const load = context.loads.estimate(candidate.endpoint, candidate.slots);
        return !load.unavailable;
    });
    return pickSome(context.random, usable.length > 0 ? usable : candidates, sampledCandidates);
}

function leastBy(candidates: readonly Candidate[], score: (candidate: Candidate) => number): Candidate | undefined {
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
