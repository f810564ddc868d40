/**
 * Placement: the order in which engines are tried for a request. Pure functions of the known state of the engines.
 */

import type { EngineWork } from "../engines/engineLoads.js";
import type { EngineRecord, Stage } from "../engines/enginePort.js";
import type { EngineSpec, Route } from "../routes/desiredState.js";
import type { InstanceLoad } from "./instanceLoads.js";

/** State of the engines as seen by one entry. */
export interface PlacementView {
    /** Data centre of this entry. */
    readonly dataCentre: string;
    /** Work that all entries have in flight at an engine. */
    readonly workAt: (engineId: string) => EngineWork;
    /** Prompt tokens that a prefill engine reads in a millisecond. */
    readonly prefillRateOf: (engine: EngineRecord) => number;
    /** Whether an engine is cold and bears only few requests a second. */
    readonly isCold: (engine: EngineRecord) => boolean;
    /** Engines of a service that accept work of a stage now: ready, and not changing their stage. */
    readonly enginesFor: (service: string, stage: Stage) => readonly EngineRecord[];
    /** Number of entries that place work at these engines, including this one. */
    readonly entries: () => number;
    /** From 0 to 1; breaks ties, so that entries with the same view do not all choose the same engine. */
    readonly random: () => number;
}

/** Prefill rate of a usual prefill engine (platform's data sheet; engines of one pool differ by a factor of up to 1.5). */
export const prefillTokensPerMs = 50;
/**
 * Longer wait that is preferred to a prefill engine in another data centre than the decode engine, for each other entry:
 * a KV transfer between data centres is slower, and a view that lags sends the work of all entries to the same engine.
 */
const crossDataCentrePrefillPenaltyMs = 8 / 3;
/**
 * Additional fraction of KV memory that an engine in another data centre must have free, for each other entry. Its tokens
 * cross data centres, and the more entries place work, the less the engine that looks freest to all of them is.
 */
const crossDataCentreMemoryPenalty = 0.02;
/** An engine in another data centre is preferred to a near one with no memory left. */
const maxCrossDataCentreMemoryPenalty = 0.5;
/** A cold engine is used before others only if those are this much fuller, as a fraction of KV memory or in requests. */
const coldMemoryPenalty = 0.3;
const coldRequestPenalty = 3;
/** Less than one request, so that an instance with one request fewer is preferred even in another data centre. */
const crossDataCentreRequestPenalty = 0.9;

function sortBy<Item>(items: readonly Item[], cost: (item: Item) => number): readonly Item[] {
    return items.map(item => ({ item, cost: cost(item) })).sort((a, b) => a.cost - b.cost).map(({ item }) => item);
}

/** Prefill rate of a decode engine, which prefills between the decode steps of its other requests (platform). */
const localPrefillTokensPerMs = 25;
/** A decode engine prefills locally only if that is faster by this much, because it slows its other requests. */
const localPrefillAdvantageMs = 60;

/** Duration of a decode step that also prefills a chunk of a prompt, on a slow engine (platform's data sheets). */
const stepWithPrefillMs = 31;

/**
 * Whether decode engines may prefill although prefill engines are available. Local prefill slows each decode step of
 * the other requests, and an event of `tokensPerEvent` tokens must still arrive within the route's longest gap.
 */
export function allowsLocalPrefill(route: Route, engineSpec: EngineSpec): boolean {
    return engineSpec.tokensPerEvent * stepWithPrefillMs < route.maxGapMs;
}

/** Whether the decode engine would finish the prefill earlier than the prefill engine by `localPrefillAdvantageMs`. */
export function isLocalPrefillFaster(
    view: PlacementView,
    decodeEngine: EngineRecord,
    prefillEngine: EngineRecord,
    promptTokens: number,
): boolean {
    const prefillEngineMs = prefillWaitMs(view, prefillEngine) + promptTokens / view.prefillRateOf(prefillEngine);
    const pendingTokens = view.workAt(decodeEngine.id).prefillTokens + promptTokens;
    return pendingTokens / localPrefillTokensPerMs + localPrefillAdvantageMs < prefillEngineMs;
}

/** Time that a prompt sent now would wait at a prefill engine before its prefill starts. */
export function prefillWaitMs(view: PlacementView, engine: EngineRecord): number {
    return view.workAt(engine.id).prefillTokens / view.prefillRateOf(engine) + engine.coldRemainingMs;
}

/** Prefill engines whose KV caches a decode engine can use: those of its software version. */
export function prefillEnginesFor(
    view: PlacementView,
    service: string,
    { softwareVersion }: EngineRecord,
): readonly EngineRecord[] {
    return view.enginesFor(service, "prefill").filter(engine => engine.softwareVersion === softwareVersion);
}

function otherEntries(view: PlacementView): number {
    return Math.max(1, view.entries() - 1);
}

/** Prefill engines in order of increasing wait, those near the decode engine first. */
export function rankForPrefill(
    view: PlacementView,
    engines: readonly EngineRecord[],
    decodeEngine: EngineRecord,
): readonly EngineRecord[] {
    const farPenaltyMs = crossDataCentrePrefillPenaltyMs * otherEntries(view);
    return sortBy(
        engines,
        engine =>
            prefillWaitMs(view, engine) + (engine.dataCentre === decodeEngine.dataCentre ? 0 : farPenaltyMs)
            + view.random(),
    );
}

/** Decode engines in order of decreasing free KV memory; `kvTokens` is the memory of one engine. */
export function rankForDecode(
    view: PlacementView,
    engines: readonly EngineRecord[],
    kvTokens: number,
): readonly EngineRecord[] {
    const farPenalty = Math.min(maxCrossDataCentreMemoryPenalty, crossDataCentreMemoryPenalty * otherEntries(view));
    return sortBy(engines, engine => {
        const usedFraction = view.workAt(engine.id).kvTokens / Math.max(1, kvTokens);
        return usedFraction + (engine.dataCentre === view.dataCentre ? 0 : farPenalty)
            + (view.isCold(engine) ? coldMemoryPenalty : 0)
            + view.random() / 1_000;
    });
}

/** Instances of a plain service in order of increasing load. */
export function rankForPlain(view: PlacementView, engines: readonly EngineRecord[]): readonly EngineRecord[] {
    return sortBy(
        engines,
        engine =>
            view.workAt(engine.id).requests
            + (engine.dataCentre === view.dataCentre ? 0 : crossDataCentreRequestPenalty)
            + (view.isCold(engine) ? coldRequestPenalty : 0)
            + view.random() / 2,
    );
}

/**
 * Instances of a plain service in order of the time at which they would end a call, in multiples of a usual call. The calls
 * in flight count before the slots are full as well, so that entries with the same reports do not all choose one instance.
 */
export function rankByCompletion(
    view: PlacementView,
    engines: readonly EngineRecord[],
    loadOf: (engine: EngineRecord) => InstanceLoad | undefined,
): readonly EngineRecord[] {
    return sortBy(engines, engine => {
        const { inFlight, slots, slowdown = 1 } = loadOf(engine)
            ?? { inFlight: view.workAt(engine.id).requests, slots: engine.slots };
        const penalty = engine.dataCentre === view.dataCentre ? 0 : crossDataCentreRequestPenalty;
        return slowdown * (1 + inFlight / slots) + (penalty + view.random() / 2) / slots;
    });
}
