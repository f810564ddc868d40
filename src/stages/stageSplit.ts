/**
 * Split of a service's engines between prefill and decode: the target number, and the next engine to change. Each software
 * version has a split of its own, because a decode engine can use only the KV caches of its version.
 */

import type { EngineRecord, Stage } from "../engines/enginePort.js";

export interface StageChange {
    readonly engine: EngineRecord;
    readonly stage: Stage;
}

/** Target number of prefill engines among `engines` in total; 0 for a single engine, otherwise both stages get one. */
export function targetPrefillEngines(engines: number, prefillFraction: number): number {
    return engines < 2 ? 0 : Math.min(engines - 1, Math.max(1, Math.round(engines * prefillFraction)));
}

/** Engines by their software versions; first the versions without decode engines, then those without prefill engines. */
function byVersion(engines: readonly EngineRecord[]): readonly (readonly EngineRecord[])[] {
    const versions = new Set(engines.map(({ softwareVersion }) => softwareVersion));
    const groups = [...versions].map(version => engines.filter(({ softwareVersion }) => softwareVersion === version));
    const urgency = (group: readonly EngineRecord[]): number =>
        lacksStage(group) ? (group[0]?.stage === "prefill" ? 2 : 1) : 0;
    return groups.sort((left, right) => urgency(right) - urgency(left));
}

/** Whether no engine of a software version is left in a stage, although there are engines for both. */
export function isStageMissing(engines: readonly EngineRecord[]): boolean {
    return byVersion(engines).some(lacksStage);
}

function lacksStage(engines: readonly EngineRecord[]): boolean {
    const stages = new Set(engines.map(engine => engine.stage));
    return engines.length > 1 && !(stages.has("prefill") && stages.has("decode"));
}

/** The next change of stage, or `undefined` if the splits of all software versions are on target. */
export function nextStageChange(
    engines: readonly EngineRecord[],
    prefillFraction: number,
    requestsAt: (engineId: string) => number,
): StageChange | undefined {
    for (const group of byVersion(engines)) {
        const change = nextChangeOf(group, prefillFraction, requestsAt);
        if (change !== undefined) {
            return change;
        }
    }
    return undefined;
}

/**
 * The next change among the engines of one software version. Of the stage with too many engines, the one with
 * the fewest requests changes; `requestsAt` returns the requests in flight at an engine.
 */
function nextChangeOf(
    engines: readonly EngineRecord[],
    prefillFraction: number,
    requestsAt: (engineId: string) => number,
): StageChange | undefined {
    const prefill = engines.filter(engine => engine.stage === "prefill");
    const decode = engines.filter(engine => engine.stage === "decode");
    const target = targetPrefillEngines(prefill.length + decode.length, prefillFraction);
    const leastBusy = (from: readonly EngineRecord[]): EngineRecord | undefined =>
        [...from].sort((a, b) =>
            requestsAt(a.id) - requestsAt(b.id) || countInDataCentre(from, b) - countInDataCentre(from, a)
        )[0];
    if (prefill.length > target) {
        const engine = leastBusy(prefill);
        return engine === undefined ? undefined : { engine, stage: "decode" };
    }
    if (prefill.length < target) {
        const engine = leastBusy(decode);
        return engine === undefined ? undefined : { engine, stage: "prefill" };
    }
    return undefined;
}

/**
 * Number of `engines` in an engine's data centre. Of equally busy engines, one in the data centre with the most engines
 * of the stage changes first.
 */
function countInDataCentre(engines: readonly EngineRecord[], { dataCentre }: EngineRecord): number {
    return engines.filter(engine => engine.dataCentre === dataCentre).length;
}
