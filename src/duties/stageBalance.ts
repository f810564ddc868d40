/**
 * How many of a service's engines should read prompts, and which engine to change next.
 */

import type { EngineRecord, Stage } from "../engines/enginePort.js";

export interface StageChange {
    readonly engine: EngineRecord;
    readonly stage: Stage;
}

/** Engines that should read prompts, of `engines` in all. */
export function wantedPrefillEngines(engines: number, prefillPart: number): number {
    return engines < 2 ? 0 : Math.min(engines - 1, Math.max(1, Math.round(engines * prefillPart)));
}

/**
 * The next change of stage, if the split is off; `workAt` tells how busy an engine is, and the least busy one changes.
 */
export function nextStageChange(
    engines: readonly EngineRecord[],
    prefillPart: number,
    workAt: (engineId: string) => number,
): StageChange | undefined {
    const prefill = engines.filter(engine => engine.stage === "prefill");
    const decode = engines.filter(engine => engine.stage === "decode");
    const wanted = wantedPrefillEngines(prefill.length + decode.length, prefillPart);
    const leastBusy = (from: readonly EngineRecord[]): EngineRecord | undefined =>
        [...from].sort((a, b) => workAt(a.id) - workAt(b.id) || dataCentreLoad(from, b) - dataCentreLoad(from, a))[0];
    if (prefill.length > wanted) {
        const engine = leastBusy(prefill);
        return engine === undefined ? undefined : { engine, stage: "decode" };
    }
    if (prefill.length < wanted) {
        const engine = leastBusy(decode);
        return engine === undefined ? undefined : { engine, stage: "prefill" };
    }
    return undefined;
}

/** Engines of the same stage in an engine's data centre: the fullest data centre gives one up first. */
function dataCentreLoad(engines: readonly EngineRecord[], { dataCentre }: EngineRecord): number {
    return engines.filter(engine => engine.dataCentre === dataCentre).length;
}
