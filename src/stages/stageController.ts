/**
 * Control loop that keeps the split of model engines between prefill and decode on target. It checks the split at a
 * fixed interval and, if this entry obtains the order leadership, sends one order at a time.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Stage } from "../engines/enginePort.js";
import type { RouteTable } from "../routes/routeTable.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { OrderLeadership } from "./orderLeadership.js";
import { isStageMissing, nextStageChange } from "./stageSplit.js";

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
}

/** An order that was sent, until its new stage appears in the engine's record; monotonic times. */
interface PendingOrder {
    readonly stage: Stage;
    readonly sentAtMs: number;
    readonly untilMs: number;
}

export interface StageControllerSettings {
    /** Fraction of a service's engines that should prefill. */
    readonly prefillFraction: number;
}

/** No order is sent until the list of engines has been unchanged for this long: at a start they register one by one. */
const stabilizationWindowMs = 1_500;
const intervalMs = 250;
/** Longest delay until a changed stage appears in the engine's record, which is written at intervals. */
const recordLagMs = 1_500;
/**
 * Pause between two changes while requests run: a change takes an engine out of use for seconds. A stage without any engine
 * is filled without this pause.
 */
const pauseBetweenChangesMs = 15_000;
const orderTimeoutMs = 1_500;
/** Pause for an engine that did not respond to an order: the order may still be carried out late (platform). */
const unknownOutcomePauseMs = 13_000;

export function createStageController(
    dependencies: StageControllerDependencies,
    settings: StageControllerSettings,
): StageController {
    const { clock, directory, loads, engines, leadership, log, metrics } = dependencies;
    const pendingOrders = new Map<string, PendingOrder>();
    const lastSplits = new Map<string, string>();
    const peerChangeUntilMs = new Map<string, number>();
    const lastEngineLists = new Map<string, { readonly engineIds: string; readonly sinceMs: number; }>();
    let nextChangeAtMs = 0;

    function isReconfiguring(engineId: string): boolean {
        const nowMs = clock.monotonicMs();
        return (pendingOrders.get(engineId)?.untilMs ?? 0) > nowMs || (peerChangeUntilMs.get(engineId) ?? 0) > nowMs;
    }

    /** Removes the orders whose new stage appears in the engine's record. */
    function removeCompletedOrders(): void {
        for (const [id, { stage, sentAtMs }] of pendingOrders) {
            if (directory.get(id)?.stage === stage) {
                pendingOrders.delete(id);
                log.info("an engine has changed its stage", {
                    engine: id,
                    stage,
                    tookMs: Math.round(clock.monotonicMs() - sentAtMs),
                });
            }
        }
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

    async function sendOrder(engine: EngineRecord, stage: Stage, reconfigureMs: number): Promise<void> {
        const report = await engines.report(engine, orderTimeoutMs);
        if (report.isErr) {
            log.info("an engine that was to change its stage did not report", {
                engine: engine.id,
                cause: report.error.cause,
            });
            return;
        }
        const permit = report.value.isReconfiguring ? undefined : await leadership.claim();
        if (permit === undefined || !permit.isFresh()) {
            return;
        }
        const { holder, fencingToken } = permit;
        const expectedSequence = report.value.orderSequence;
        const outcome = await engines.orderStage(
            engine,
            { stage, holder, fencingToken, expectedSequence },
            orderTimeoutMs,
        );
        const pauseMs = outcome === "unknown" ? unknownOutcomePauseMs : reconfigureMs + recordLagMs;
        const nowMs = clock.monotonicMs();
        pendingOrders.set(engine.id, {
            stage,
            sentAtMs: nowMs,
            untilMs: nowMs + (outcome === "rejected" ? 0 : pauseMs),
        });
        metrics.count("ordersSent", stage, outcome);
        log.info("ordered an engine to another stage", { engine: engine.id, stage, fencingToken, outcome });
    }

    async function rebalance(service: string, reconfigureMs: number): Promise<void> {
        const modelEngines = directory.usable(service).filter(engine => engine.stage !== undefined);
        const nowMs = clock.monotonicMs();
        if (modelEngines.some(engine => isReconfiguring(engine.id)) && !isIdle(modelEngines)) {
            return;
        }
        const effective = modelEngines.map(engine => withPendingStage(engine, nowMs));
        if (!isIdle(modelEngines) && nowMs < nextChangeAtMs && !isStageMissing(effective)) {
            return;
        }
        const change = nextStageChange(effective, settings.prefillFraction, id => loads.total(id).requests);
        if (change === undefined || isReconfiguring(change.engine.id)) {
            return;
        }
        nextChangeAtMs = nowMs + pauseBetweenChangesMs;
        await sendOrder(change.engine, change.stage, reconfigureMs);
    }

    /** Replaces the stage of an engine that is changing, whose record still shows the old one, by the ordered stage. */
    function withPendingStage(engine: EngineRecord, nowMs: number): EngineRecord {
        const pendingOrder = pendingOrders.get(engine.id);
        return pendingOrder !== undefined && pendingOrder.untilMs > nowMs
            ? { ...engine, stage: pendingOrder.stage }
            : engine;
    }

    return {
        isReconfiguring,
        reconfiguring: () => {
            const nowMs = clock.monotonicMs();
            return Object.fromEntries(
                [...pendingOrders]
                    .filter(([, { untilMs }]) => untilMs > nowMs)
                    .map(([id, { untilMs }]) => [id, untilMs - nowMs]),
            );
        },
        recordPeerReconfiguring: remainingMs => {
            for (const [id, ms] of Object.entries(remainingMs)) {
                peerChangeUntilMs.set(id, clock.monotonicMs() + ms);
            }
        },
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                removeCompletedOrders();
                for (const { name, engine: engineSpec } of dependencies.routes()?.state.services ?? []) {
                    if (engineSpec === undefined) {
                        continue;
                    }
                    logSplit(name);
                    if (isEngineListStable(name)) {
                        await rebalance(name, engineSpec.reconfigureMs);
                    }
                }
            }
        },
    };
}
