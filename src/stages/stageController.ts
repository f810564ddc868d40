/**
 * Control loop that splits model engines between prefill and decode. It checks the split at a fixed interval and, if this
 * entry obtains the order leadership, sends one order at a time.
 *
 * A change takes an engine out of use for seconds, and the engines may be other ones by then. Under load an engine changes
 * therefore only once the present split has cost as much as the change will: while requests wait for a stage, the fraction
 * that a better split would serve more is added up over time.
 */

import type { EngineLoads } from "../engines/engineLoads.js";
import type { EngineRecord, Stage } from "../engines/enginePort.js";
import type { EngineSpec, Service } from "../routes/desiredState.js";
import type { RouteTable } from "../routes/routeTable.js";
import { allowsLocalPrefill, prefillTokensPerMs } from "../scheduling/placement.js";
import type { PrefillRates } from "../scheduling/prefillRates.js";
import { createStageOrders } from "./stageOrders.js";
import type { StageOrders, StageOrdersDependencies } from "./stageOrders.js";
import { bestImprovement, byVersion, changeToMissingStage, changeTowardsFraction } from "./stageSplit.js";
import type { SplitDemand, StageChange, StageImprovement } from "./stageSplit.js";
import type { StageWorkEstimates } from "./stageWork.js";

export interface StageController
    extends Pick<StageOrders, "isReconfiguring" | "reconfiguring" | "recordPeerReconfiguring">
{
    /** Runs the loop until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

export interface StageControllerDependencies extends StageOrdersDependencies {
    readonly loads: EngineLoads;
    readonly routes: () => RouteTable | undefined;
    /** Stage whose engines lack room for queued requests of a service; `undefined` if none waits. */
    readonly shortStage: (service: string) => Stage | undefined;
    readonly stageWork: Pick<StageWorkEstimates, "of">;
    readonly prefillRates: Pick<PrefillRates, "rateOf">;
}

/** Time that a change of a software version's split would have saved so far, if its engines were all busy. */
interface Saving {
    /** The split before the change, and the stage that gets an engine. */
    readonly change: string;
    readonly savedMs: number;
}

export interface StageControllerSettings {
    /** Fraction of a service's engines that prefill before its generations show how much work they are. */
    readonly initialPrefillFraction: number;
}

/** No order is sent until the list of engines has been unchanged for this long: at a start they register one by one. */
const stabilizationWindowMs = 1_500;
const intervalMs = 250;
/** Pause after an order that was not sent, mostly because another entry holds the order leadership, or had no effect. */
const failedOrderPauseMs = 15_000;
/** Least cost of a change, as a fraction of its engine's share of what the service serves. */
const minCostFraction = 0.5;
/** Longest time that counts as cost of a split in one round, however long the previous round took. */
const maxRoundMs = 1_000;

export function createStageController(
    dependencies: StageControllerDependencies,
    settings: StageControllerSettings,
): StageController {
    const { clock, directory, loads, log } = dependencies;
    const orders = createStageOrders(dependencies);
    const lastSplits = new Map<string, string>();
    const lastEngineLists = new Map<string, { readonly engineIds: string; readonly sinceMs: number; }>();
    const savings = new Map<string, Saving>();

    /** Logs how many engines of a service serve each stage whenever that changes. */
    function logSplit(service: string): void {
        const engines = directory.usable(service).filter(engine => engine.stage !== undefined);
        const inUse = (stage: Stage): number =>
            engines.filter(engine => engine.stage === stage && !orders.isReconfiguring(engine.id)).length;
        const split = {
            prefill: inUse("prefill"),
            decode: inUse("decode"),
            reconfiguring: engines.filter(({ id }) => orders.isReconfiguring(id)).length,
        };
        const text = JSON.stringify(split);
        if (lastSplits.get(service) !== text) {
            lastSplits.set(service, text);
            log.info("engines of a service by stage", {
                service,
                ...split,
                shortStage: dependencies.shortStage(service),
            });
        }
    }

    function isEngineListStable(service: string): boolean {
        const engineIds = directory.usable(service).map(engine => engine.id).sort().join(" ");
        const lastSeen = lastEngineLists.get(service);
        if (lastSeen?.engineIds === engineIds) {
            return clock.monotonicMs() - lastSeen.sinceMs >= stabilizationWindowMs;
        }
        lastEngineLists.set(service, { engineIds, sinceMs: clock.monotonicMs() });
        return false;
    }

    function isIdle(serviceEngines: readonly EngineRecord[]): boolean {
        return serviceEngines.every(engine => loads.total(engine.id).requests === 0);
    }

    const requestsAt = (engineId: string): number => loads.total(engineId).requests;

    async function rebalance({ name, engine: engineSpec }: Service, roundMs: number): Promise<void> {
        const modelEngines = directory.usable(name).filter(engine => engine.stage !== undefined);
        const isServiceIdle = isIdle(modelEngines);
        const isListStable = isEngineListStable(name);
        if (engineSpec === undefined || (modelEngines.some(engine => orders.isOrdered(engine.id)) && !isServiceIdle)) {
            return;
        }
        const effective = modelEngines.map(orders.withOrderedStage);
        const urgent = changeToMissingStage(effective, requestsAt);
        const isUnknown = dependencies.stageWork.of(name) === undefined;
        const change = urgent
            ?? (isServiceIdle && isUnknown
                ? changeTowardsFraction(effective, settings.initialPrefillFraction, requestsAt)
                : worthwhileChange(name, engineSpec, effective, roundMs));
        const mayOrder = urgent !== undefined || isServiceIdle
            || clock.monotonicMs() >= orders.lastFailureAtMs() + failedOrderPauseMs;
        if (change === undefined || !isListStable || !mayOrder || orders.isOrdered(change.engine.id)) {
            return;
        }
        await orders.send(change, engineSpec.reconfigureMs);
    }

    /** The change that would have saved at least what it costs, since the split that it improves is in force. */
    function worthwhileChange(
        service: string,
        engineSpec: EngineSpec,
        modelEngines: readonly EngineRecord[],
        roundMs: number,
    ): StageChange | undefined {
        const work = dependencies.stageWork.of(service);
        const shortStage = dependencies.shortStage(service);
        if (work === undefined || shortStage === undefined) {
            return undefined;
        }
        const demand: SplitDemand = {
            work,
            allowsLocalPrefill: allowsLocalPrefillAt(service, engineSpec),
            prefillSpeedOf: engine => dependencies.prefillRates.rateOf(engine) / prefillTokensPerMs,
            servedPerMs: group =>
                shortStage === "prefill" ? busyDecodeEngines(group, engineSpec) / work.decodeMs : undefined,
        };
        return byVersion(modelEngines)
            .map(group => bestImprovement(group, demand, requestsAt))
            .filter(improvement => improvement !== undefined)
            // Decode engines that read prompts themselves are full although prefill engines are missing.
            .filter(({ stage }) => stage === shortStage || (stage === "prefill" && demand.allowsLocalPrefill))
            .find(improvement => addSaving(service, improvement, roundMs) >= costMs(improvement, engineSpec));
    }

    /**
     * Number of decode engines that the streams of all entries would fill, without those whose prompts are still being read. It
     * is what is served in the time for which a generation occupies an engine (Little's law).
     */
    function busyDecodeEngines(engines: readonly EngineRecord[], { kvTokens }: EngineSpec): number {
        const tokens = engines.map(({ id, stage }) =>
            stage === "decode" ? loads.total(id).kvTokens : -loads.reported(id).prefillTokens
        );
        return Math.max(0, tokens.reduce((sum, count) => sum + count, 0)) / kvTokens;
    }

    /** Adds what a change would have saved in this round; starts anew if the split is another one than before. */
    function addSaving(service: string, improvement: StageImprovement, roundMs: number): number {
        const { engine, stage, before, shortfall } = improvement;
        const key = JSON.stringify([service, engine.softwareVersion]);
        const change = JSON.stringify([before, stage]);
        const saving = savings.get(key);
        const savedMs = (saving?.change === change ? saving.savedMs : 0) + shortfall * roundMs;
        savings.set(key, { change, savedMs });
        return savedMs;
    }

    /**
     * Cost of a change: what is lost while the engine serves neither stage. It is at least a part of the engine's share, since
     * a lost engine may be replaced soon and the change have to be taken back.
     */
    function costMs({ before, lossMeanwhile }: StageImprovement, { reconfigureMs }: EngineSpec): number {
        return reconfigureMs * Math.max(minCostFraction / (before.prefill + before.decode), lossMeanwhile);
    }

    function allowsLocalPrefillAt(service: string, engineSpec: EngineSpec): boolean {
        return (dependencies.routes()?.state.routes ?? [])
            .filter(({ services }) => services.some(target => target.service === service))
            .every(route => allowsLocalPrefill(route, engineSpec));
    }

    return {
        isReconfiguring: orders.isReconfiguring,
        reconfiguring: orders.reconfiguring,
        recordPeerReconfiguring: orders.recordPeerReconfiguring,
        run: async signal => {
            let roundAtMs = clock.monotonicMs();
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                await orders.update();
                const roundMs = Math.min(maxRoundMs, clock.monotonicMs() - roundAtMs);
                roundAtMs = clock.monotonicMs();
                for (const service of dependencies.routes()?.state.services ?? []) {
                    if (service.engine === undefined) {
                        continue;
                    }
                    logSplit(service.name);
                    await rebalance(service, roundMs);
                }
            }
        },
    };
}
