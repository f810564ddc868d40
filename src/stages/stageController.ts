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
    let nextChangeAtMs = 0;

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
            else if (record !== undefined && record.bornMs !== engine.bornMs) {
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
    }

    async function rebalance(service: string, reconfigureMs: number): Promise<void> {
        const modelEngines = directory.usable(service).filter(engine => engine.stage !== undefined);
        const nowMs = clock.monotonicMs();
        if (modelEngines.some(engine => isOrdered(engine.id)) && !isIdle(modelEngines)) {
            return;
        }
        const effective = modelEngines.map(withPendingStage);
        if (!isIdle(modelEngines) && nowMs < nextChangeAtMs && !isStageMissing(effective)) {
            return;
        }
        const change = nextStageChange(effective, settings.prefillFraction, id => loads.total(id).requests);
        if (change === undefined || isOrdered(change.engine.id)) {
            return;
        }
        nextChangeAtMs = nowMs + pauseBetweenChangesMs;
        await sendOrder(change.engine, change.stage, reconfigureMs);
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
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                await updateOrders();
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
