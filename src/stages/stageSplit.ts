/**
 * Split of a service's engines between prefill and decode: how many generations a split can serve, and which change of one
 * engine would serve more. Each software version has a split of its own, because a decode engine can use only the KV caches
 * of its version.
 */

import type { EngineRecord, Stage } from "../engines/enginePort.js";
import type { StageWork } from "./stageWork.js";

export interface StageChange {
    readonly engine: EngineRecord;
    readonly stage: Stage;
}

/** A change of one engine that would let a software version's engines serve more. */
export interface StageImprovement extends StageChange {
    /** Fraction by which the present split serves fewer generations than the new one, from 0 to 1. */
    readonly shortfall: number;
    /** Fraction of what the present split serves that is lost while the engine serves neither stage, from 0 to 1. */
    readonly lossMeanwhile: number;
    /** The present split of the software version's engines. */
    readonly before: Split;
}

/** Numbers of engines in each stage. */
export interface Split {
    readonly prefill: number;
    readonly decode: number;
}

/** What determines how many generations a split serves. */
export interface SplitDemand {
    readonly work: StageWork;
    /** Whether decode engines may read the prompts that prefill engines have no time for. */
    readonly allowsLocalPrefill: boolean;
    /** How fast an engine reads prompts, as a multiple of the usual speed. */
    readonly prefillSpeedOf: (engine: EngineRecord) => number;
    /**
     * Generations per millisecond that `engines` serve now, if requests wait for their prefill engines, which then read as
     * fast as that. `undefined` if they do not.
     */
    readonly servedPerMs: (engines: readonly EngineRecord[]) => number | undefined;
}

/** What is served now changes the measured speed of prefill engines at most by this factor. */
const maxObservedFactor = 2;
/** With this much time idle, prompts wait on average for two others at a single prefill engine. */
const idleFractionOfOne = 0.2;
/** How much longer a decode engine takes to read a prompt than a prefill engine (platform). */
const localPrefillFactor = 2;

/** Target number of prefill engines among `engines` in total; 0 for a single engine, otherwise both stages get one. */
export function targetPrefillEngines(engines: number, prefillFraction: number): number {
    return engines < 2 ? 0 : Math.min(engines - 1, Math.max(1, Math.round(engines * prefillFraction)));
}

/**
 * Generations per millisecond that a split serves at most, if its prefill engines together read as fast as `prefillSpeed`
 * usual ones.
 */
function generationsPerMs(
    { prefill, decode }: Split,
    prefillSpeed: number,
    { work, allowsLocalPrefill }: SplitDemand,
): number {
    const { prefillMs, decodeMs } = work;
    const usableSpeed = prefillSpeed * usableFraction(prefill);
    const prefillRate = usableSpeed / prefillMs;
    const decodeRate = decode / decodeMs;
    if (prefillRate >= decodeRate || !allowsLocalPrefill) {
        return Math.min(prefillRate, decodeRate);
    }
    // All engines are busy: decode engines with the streams and with the prompts that prefill engines have no time for.
    return (decode + localPrefillFactor * usableSpeed) / (decodeMs + localPrefillFactor * prefillMs);
}

/**
 * Fraction of the time of prefill engines that can be used. Prompts come at random, so engines that are always busy would
 * let them wait without bound; of many engines, fewer have to be idle (square-root staffing).
 */
function usableFraction(prefillEngines: number): number {
    return 1 - idleFractionOfOne / Math.sqrt(Math.max(1, prefillEngines));
}

/** Engines by their software versions; first the versions without decode engines, then those without prefill engines. */
export function byVersion(engines: readonly EngineRecord[]): readonly (readonly EngineRecord[])[] {
    const versions = new Set(engines.map(({ softwareVersion }) => softwareVersion));
    const groups = [...versions].map(version => engines.filter(({ softwareVersion }) => softwareVersion === version));
    const urgency = (group: readonly EngineRecord[]): number =>
        lacksStage(group) ? (group[0]?.stage === "prefill" ? 2 : 1) : 0;
    return groups.sort((left, right) => urgency(right) - urgency(left));
}

/** A change that gives an engine to a stage without any, for a software version with engines for both. */
export function changeToMissingStage(
    engines: readonly EngineRecord[],
    requestsAt: (engineId: string) => number,
): StageChange | undefined {
    const [group] = byVersion(engines).filter(lacksStage);
    return group === undefined
        ? undefined
        : changeTo(splitOf(group).prefill > 0 ? "decode" : "prefill", group, requestsAt);
}

function lacksStage(engines: readonly EngineRecord[]): boolean {
    const stages = new Set(engines.map(engine => engine.stage));
    return engines.length > 1 && !(stages.has("prefill") && stages.has("decode"));
}

/**
 * The next change towards a fixed fraction of prefill engines, or `undefined` if the splits of all software versions are
 * on target. `requestsAt` returns the requests in flight at an engine.
 */
export function changeTowardsFraction(
    engines: readonly EngineRecord[],
    prefillFraction: number,
    requestsAt: (engineId: string) => number,
): StageChange | undefined {
    for (const group of byVersion(engines)) {
        const { prefill, decode } = splitOf(group);
        const target = targetPrefillEngines(prefill + decode, prefillFraction);
        const change = prefill > target
            ? changeTo("decode", group, requestsAt)
            : prefill < target
            ? changeTo("prefill", group, requestsAt)
            : undefined;
        if (change !== undefined) {
            return change;
        }
    }
    return undefined;
}

/** The change of one of `engines`, all of one software version, with which they serve most; `undefined` if none helps. */
export function bestImprovement(
    engines: readonly EngineRecord[],
    demand: SplitDemand,
    requestsAt: (engineId: string) => number,
): StageImprovement | undefined {
    const { prefillSpeedOf } = demand;
    const before = splitOf(engines);
    const prefillSpeed = prefillSpeedOfAll(engines, before, demand);
    const rateNow = generationsPerMs(before, prefillSpeed, demand);
    const improvements = (["prefill", "decode"] as const).flatMap(stage => {
        // The slowest prefill engine changes first.
        const change = changeTo(stage, engines, requestsAt, stage === "decode" ? prefillSpeedOf : undefined);
        if (change === undefined || before[change.engine.stage ?? stage] < 2) {
            return [];
        }
        const added = stage === "prefill" ? 1 : -1;
        const after: Split = { prefill: before.prefill + added, decode: before.decode - added };
        const speedAfter = prefillSpeed + added * prefillSpeedOf(change.engine);
        const rateAfter = generationsPerMs(after, speedAfter, demand);
        if (rateAfter <= rateNow) {
            return [];
        }
        const meanwhile: Split = {
            prefill: Math.min(before.prefill, after.prefill),
            decode: Math.min(before.decode, after.decode),
        };
        const rateMeanwhile = generationsPerMs(meanwhile, Math.min(prefillSpeed, speedAfter), demand);
        return [{
            ...change,
            shortfall: 1 - rateNow / rateAfter,
            lossMeanwhile: Math.max(0, 1 - rateMeanwhile / rateNow),
            before,
        }];
    });
    return improvements.sort((left, right) => right.shortfall - left.shortfall)[0];
}

/** How fast all prefill engines read together, in engines of the usual speed. */
function prefillSpeedOfAll(engines: readonly EngineRecord[], { prefill }: Split, demand: SplitDemand): number {
    const { work, prefillSpeedOf, servedPerMs } = demand;
    const measuredSpeed = engines.filter(({ stage }) => stage === "prefill")
        .reduce((sum, engine) => sum + prefillSpeedOf(engine), 0);
    const served = servedPerMs(engines);
    if (served === undefined) {
        return measuredSpeed;
    }
    const observedSpeed = served * work.prefillMs / usableFraction(prefill);
    return Math.min(measuredSpeed * maxObservedFactor, Math.max(measuredSpeed / maxObservedFactor, observedSpeed));
}

function splitOf(engines: readonly EngineRecord[]): Split {
    const countOf = (stage: Stage): number => engines.filter(engine => engine.stage === stage).length;
    return { prefill: countOf("prefill"), decode: countOf("decode") };
}

/** The change to a stage of the engine of the other one that comes first: the slowest, then that with the fewest requests. */
function changeTo(
    stage: Stage,
    engines: readonly EngineRecord[],
    requestsAt: (engineId: string) => number,
    speedOf: (engine: EngineRecord) => number = () => 1,
): StageChange | undefined {
    const from = engines.filter(engine => engine.stage !== undefined && engine.stage !== stage);
    const [engine] = [...from].sort((a, b) =>
        speedOf(a) - speedOf(b) || requestsAt(a.id) - requestsAt(b.id)
        || countInDataCentre(from, b) - countInDataCentre(from, a)
    );
    return engine === undefined ? undefined : { engine, stage };
}

/**
 * Number of `engines` in an engine's data centre. Of equally busy engines, one in the data centre with the most engines
 * of the stage changes first.
 */
function countInDataCentre(engines: readonly EngineRecord[], { dataCentre }: EngineRecord): number {
    return engines.filter(engine => engine.dataCentre === dataCentre).length;
}
