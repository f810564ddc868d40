/**
 * Where a request's work goes: the order in which engines are tried. Pure functions of what is known about engines.
 */

import type { EngineWork } from "../engines/engineLoads.js";
import type { EngineRecord, Stage } from "../engines/enginePort.js";
import type { EngineFigures, Route } from "../routes/desiredState.js";

export interface PlacementView {
    /** Data centre of this entry. */
    readonly dataCentre: string;
    readonly workAt: (engineId: string) => EngineWork;
    /** Engines of a service that take work of a stage now: ready, and not changing their stage. */
    readonly staged: (service: string, stage: Stage) => readonly EngineRecord[];
    /** Breaks ties between equals, so that entries that know the same don't all choose the same. */
    readonly random: () => number;
}

/** Prompt tokens that an engine reads in a millisecond (platform's sheet; engines of one pool differ by up to 1.5). */
export const prefillTokensPerMs = 50;
/** A prefill elsewhere costs a slower transfer: worth this much waiting. */
const otherDataCentrePrefillMs = 8;
/** A decode engine elsewhere is chosen only if it has this much more of its memory free, since tokens cross data centres. */
const otherDataCentreMemoryShare = 0.06;
/** One request's difference in queue length outweighs one crossing between data centres. */
const otherDataCentreRequests = 0.9;

function sortBy<Item>(items: readonly Item[], cost: (item: Item) => number): readonly Item[] {
    return items.map(item => ({ item, cost: cost(item) })).sort((a, b) => a.cost - b.cost).map(({ item }) => item);
}

/** Prompt tokens that a decode engine reads in a millisecond, between the tokens of its other requests (platform). */
const decodeEnginePrefillTokensPerMs = 25;
/** A decode engine reads a prompt itself only if that is sooner by this much: it slows its other requests. */
const ownPrefillAdvantageMs = 60;

/** One step of a decode engine that reads a piece of a prompt as well, on a slow engine (platform's sheets). */
const stepWithPrefillMs = 31;

/**
 * Whether decode engines may read prompts while prefill engines can: each token of their other requests then takes
 * longer, and an event is a number of tokens.
 */
export function mayReadItself(route: Route, figures: EngineFigures): boolean {
    return figures.tokensPerEvent * stepWithPrefillMs < route.maxGapMs;
}

/** Whether a decode engine would have read a prompt sooner by itself than the best prefill engine. */
export function isSoonerByItself(
    view: PlacementView,
    decodeEngine: EngineRecord,
    prefillEngine: EngineRecord,
    promptTokens: number,
): boolean {
    const elsewhereMs = prefillWaitMs(view, prefillEngine) + promptTokens / prefillTokensPerMs;
    const pendingTokens = view.workAt(decodeEngine.id).prefillTokens + promptTokens;
    return pendingTokens / decodeEnginePrefillTokensPerMs + ownPrefillAdvantageMs < elsewhereMs;
}

/** How long a prompt sent now would wait at a prefill engine before it is read. */
export function prefillWaitMs(view: PlacementView, engine: EngineRecord): number {
    return view.workAt(engine.id).prefillTokens / prefillTokensPerMs + engine.coldMs;
}

/** Prefill engines, shortest wait first. */
export function rankForPrefill(view: PlacementView, engines: readonly EngineRecord[]): readonly EngineRecord[] {
    return sortBy(
        engines,
        engine =>
            prefillWaitMs(view, engine) + (engine.dataCentre === view.dataCentre ? 0 : otherDataCentrePrefillMs)
            + view.random(),
    );
}

/** Decode engines, most free memory first. */
export function rankForDecode(
    view: PlacementView,
    engines: readonly EngineRecord[],
    kvTokens: number,
): readonly EngineRecord[] {
    return sortBy(engines, engine => {
        const used = view.workAt(engine.id).kvTokens / Math.max(1, kvTokens);
        return used + (engine.dataCentre === view.dataCentre ? 0 : otherDataCentreMemoryShare)
            + view.random() / 1_000;
    });
}

/** Instances of a plain service, least loaded first. */
export function rankForPlain(view: PlacementView, engines: readonly EngineRecord[]): readonly EngineRecord[] {
    return sortBy(
        engines,
        engine =>
            view.workAt(engine.id).requests + (engine.dataCentre === view.dataCentre ? 0 : otherDataCentreRequests)
            + view.random() / 2,
    );
}
