/**
 * Control loop that splits model engines between prefill and decode. It checks the split at a fixed interval and, if this
 * entry obtains the order leadership, sends one order at a time.
 *
 * A change takes an engine out of use for seconds, and the engines may be other ones by then. Under load an engine changes
 * therefore only once the present split has cost as much as the change will: while requests wait for a stage, the fraction
 * that a better split would serve more is added up over time.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Stage } from "../engines/enginePort.js";
import type { EngineSpec, Service } from "../routes/desiredState.js";
import type { RouteTable } from "../routes/routeTable.js";
import { allowsLocalPrefill, prefillTokensPerMs } from "../scheduling/placement.js";
import type { PrefillRates } from "../scheduling/prefillRates.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { OrderLeadership } from "./orderLeadership.js";
import { bestImprovement, byVersion, changeToMissingStage, nextStageChange } from "./stageSplit.js";
import type { SplitDemand, StageChange, StageImprovement } from "./stageSplit.js";
import type { StageWorkEstimates } from "./stageWork.js";

export interface StageController {
    /** Runs the loop until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Whether an engine is changing its stage, as far as this entry knows. */
    readonly isReconfiguring: (engineId: string) => boolean;
    /** Remaining milliseconds of each change that this entry ordered, by engine id. */
    readonly reconfiguring: () => Readonly<Record<string, number>>;
    /** Records the changes that another entry ordered: remaining milliseconds by engine id. */
    readonly recordPeerReconfiguring: (remainingMs: Readonly<Record<string, number>>) => void;
}

export interface StageControllerDependencies {
    readonly clock: Clock;
    readonly directory: EngineDirectory;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly leadership: OrderLeadership;
    readonly log: DecisionLog;
    readonly metrics: PrometheusMetrics;
    readonly routes: () => RouteTable | undefined;
    /** Stage whose engines lack room for queued requests of a service; `undefined` if none waits. */
    readonly shortStage: (service: string) => Stage | undefined;
    readonly stageWork: Pick<StageWorkEstimates, "of">;
    readonly prefillRates: Pick<PrefillRates, "rateOf">;
}

/**
 * An order that was sent, until its new stage appears in the engine's record; monotonic times. While it is `unanswered`,
 * its engine may carry it out late or never, and serves its present stage meanwhile.
 */
interface PendingOrder {
    readonly kind: "accepted" | "unanswered";
    /** The engine as it was ordered. */
    readonly engine: EngineRecord;
    readonly stage: Stage;
    readonly sentAtMs: number;
    /** When the engine is asked next whether it is changing. */
    readonly checkAtMs: number;
    /** Until then the engine is out of use if the order was accepted, and gets no other order if it was not answered. */
    readonly untilMs: number;
}

/** A change that another entry ordered. */
interface PeerChange {
    readonly untilMs: number;
    /** Stage in the engine's record when the change was heard of. */
    readonly stage: Stage | undefined;
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
/** Longest delay until a changed stage appears in the engine's record, which is written at intervals. */
const recordLagMs = 1_500;
/** Pause after an order that was not sent, mostly because another entry holds the order leadership, or had no effect. */
const failedOrderPauseMs = 15_000;
/** Least cost of a change, as a fraction of its engine's share of what the service serves. */
const minCostFraction = 0.5;
/** Longest time that counts as cost of a split in one round, however long the previous round took. */
const maxRoundMs = 1_000;
const orderTimeoutMs = 1_500;
/** An order that was not answered may still be carried out for this long (platform). */
const lateOrderMs = 13_000;
/** Interval at which an engine with an order that was not answered is asked whether it is changing. */
const lateOrderCheckMs = 1_000;
/** An engine is asked so long before it is expected back, so that the other entries hear in time that it is not. */
const checkLeadMs = 1_000;

export function createStageController(
    dependencies: StageControllerDependencies,
    settings: StageControllerSettings,
): StageController {
    const { clock, directory, loads, engines, leadership, log, metrics } = dependencies;
    const pendingOrders = new Map<string, PendingOrder>();
    const lastSplits = new Map<string, string>();
    const peerChanges = new Map<string, PeerChange>();
    const lastEngineLists = new Map<string, { readonly engineIds: string; readonly sinceMs: number; }>();
    const savings = new Map<string, Saving>();
    let nextOrderAtMs = 0;

    function isReconfiguring(engineId: string): boolean {
        const peerChange = peerChanges.get(engineId);
        return pendingOrders.get(engineId)?.kind === "accepted"
            || (peerChange !== undefined && peerChange.untilMs > clock.monotonicMs()
                && directory.get(engineId)?.stage === peerChange.stage);
    }

    /** Ends the orders that are complete, and asks engines whether they are still changing. */
    async function updateOrders(): Promise<void> {
        for (const order of [...pendingOrders.values()]) {
            const { engine, stage, sentAtMs } = order;
            const nowMs = clock.monotonicMs();
            const record = directory.get(engine.id);
            if (record?.stage === stage) {
                pendingOrders.delete(engine.id);
                log.info("an engine has changed its stage", {
                    engine: engine.id,
                    stage,
                    tookMs: Math.round(nowMs - sentAtMs),
                });
            }
            else if (record?.bornMs !== engine.bornMs) {
                // The engine has ended.
                pendingOrders.delete(engine.id);
            }
            else if (order.checkAtMs <= nowMs) {
                await checkOrder(order);
            }
        }
    }

    async function checkOrder(order: PendingOrder): Promise<void> {
        const { engine, stage, kind } = order;
        const report = await engines.report(engine, orderTimeoutMs);
        const nowMs = clock.monotonicMs();
        if (report.isOk && report.value.bornMs > engine.bornMs) {
            pendingOrders.delete(engine.id);
            return;
        }
        if (report.isOk && (report.value.isReconfiguring || report.value.stage === stage)) {
            const untilMs = Math.max(order.untilMs, nowMs + checkLeadMs + recordLagMs);
            pendingOrders.set(engine.id, { ...order, kind: "accepted", checkAtMs: untilMs - checkLeadMs, untilMs });
            return;
        }
        // An engine that does not respond to the check may be changing.
        const lastCheckMs = kind === "unanswered" ? order.untilMs : report.isErr ? order.untilMs + lateOrderMs : 0;
        if (nowMs < lastCheckMs) {
            pendingOrders.set(engine.id, { ...order, checkAtMs: nowMs + lateOrderCheckMs });
            return;
        }
        pendingOrders.delete(engine.id);
        nextOrderAtMs = nowMs + failedOrderPauseMs;
        log.info("an engine does not carry out an order", {
            engine: engine.id,
            stage,
            cause: report.isErr ? report.error.cause : "it is not changing its stage",
        });
    }

    /** Logs how many engines of a service serve each stage whenever that changes. */
    function logSplit(service: string): void {
        const engines = directory.usable(service).filter(engine => engine.stage !== undefined);
        const inUse = (stage: Stage): number =>
            engines.filter(engine => engine.stage === stage && !isReconfiguring(engine.id)).length;
        const split = {
            prefill: inUse("prefill"),
            decode: inUse("decode"),
            reconfiguring: engines.filter(({ id }) => isReconfiguring(id)).length,
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

    /** Returns whether an order was sent and not rejected. */
    async function sendOrder({ engine, stage }: StageChange, reconfigureMs: number): Promise<boolean> {
        const report = await engines.report(engine, orderTimeoutMs);
        if (report.isErr) {
            log.info("an engine that was to change its stage did not report", {
                engine: engine.id,
                cause: report.error.cause,
            });
            return false;
        }
        const permit = report.value.isReconfiguring ? undefined : await leadership.claim();
        if (permit === undefined || !permit.isFresh()) {
            return false;
        }
        const { holder, fencingToken } = permit;
        const expectedSequence = report.value.orderSequence;
        const outcome = await engines.orderStage(
            engine,
            { stage, holder, fencingToken, expectedSequence },
            orderTimeoutMs,
        );
        const sentAtMs = clock.monotonicMs();
        const order = { engine, stage, sentAtMs };
        if (outcome === "accepted" || outcome === "alreadyHolds") {
            const untilMs = sentAtMs + reconfigureMs + recordLagMs;
            pendingOrders.set(engine.id, { ...order, kind: "accepted", checkAtMs: untilMs - checkLeadMs, untilMs });
        }
        else if (outcome === "unknown") {
            pendingOrders.set(engine.id, {
                ...order,
                kind: "unanswered",
                checkAtMs: sentAtMs + lateOrderCheckMs,
                untilMs: sentAtMs + lateOrderMs,
            });
        }
        metrics.count("ordersSent", stage, outcome);
        log.info("ordered an engine to another stage", { engine: engine.id, stage, fencingToken, outcome });
        return outcome !== "rejected";
    }

    const requestsAt = (engineId: string): number => loads.total(engineId).requests;

    async function rebalance({ name, engine: engineSpec }: Service, roundMs: number): Promise<void> {
        const modelEngines = directory.usable(name).filter(engine => engine.stage !== undefined);
        const isServiceIdle = isIdle(modelEngines);
        const isListStable = isEngineListStable(name);
        if (engineSpec === undefined || (modelEngines.some(engine => isOrdered(engine.id)) && !isServiceIdle)) {
            return;
        }
        const effective = modelEngines.map(withPendingStage);
        const urgent = changeToMissingStage(effective, requestsAt);
        const isUnknown = dependencies.stageWork.of(name) === undefined;
        const change = urgent
            ?? (isServiceIdle && isUnknown
                ? nextStageChange(effective, settings.initialPrefillFraction, requestsAt)
                : worthwhileChange(name, engineSpec, effective, roundMs));
        const mayOrder = urgent !== undefined || isServiceIdle || clock.monotonicMs() >= nextOrderAtMs;
        if (change === undefined || !isListStable || !mayOrder || isOrdered(change.engine.id)) {
            return;
        }
        if (!await sendOrder(change, engineSpec.reconfigureMs)) {
            nextOrderAtMs = clock.monotonicMs() + failedOrderPauseMs;
        }
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
        };
        return byVersion(modelEngines)
            .map(group => bestImprovement(group, demand, requestsAt))
            .filter(improvement => improvement !== undefined)
            // Decode engines that read prompts themselves are full although prefill engines are missing.
            .filter(({ stage }) => stage === shortStage || (stage === "prefill" && demand.allowsLocalPrefill))
            .find(improvement => addSaving(service, improvement, roundMs) >= costMs(improvement, engineSpec));
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

    /** Replaces the stage of an engine that is changing, whose record still shows the old one, by the ordered stage. */
    function withPendingStage(engine: EngineRecord): EngineRecord {
        const pendingOrder = pendingOrders.get(engine.id);
        return pendingOrder === undefined ? engine : { ...engine, stage: pendingOrder.stage };
    }

    /** Whether an engine is changing its stage, or has an order that was not answered. */
    function isOrdered(engineId: string): boolean {
        return pendingOrders.has(engineId) || isReconfiguring(engineId);
    }

    return {
        isReconfiguring,
        reconfiguring: () => {
            const nowMs = clock.monotonicMs();
            return Object.fromEntries(
                [...pendingOrders]
                    .filter(([, { kind, untilMs }]) => kind === "accepted" && untilMs > nowMs)
                    .map(([id, { untilMs }]) => [id, untilMs - nowMs]),
            );
        },
        recordPeerReconfiguring: remainingMs => {
            for (const [id, ms] of Object.entries(remainingMs)) {
                const untilMs = clock.monotonicMs() + ms;
                const earlier = peerChanges.get(id);
                const isSameChange = earlier !== undefined && earlier.untilMs > clock.monotonicMs();
                peerChanges.set(id, { untilMs, stage: isSameChange ? earlier.stage : directory.get(id)?.stage });
            }
        },
        run: async signal => {
            let roundAtMs = clock.monotonicMs();
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                await updateOrders();
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
