/**
 * Orders to engines to change their stage, and which engines are out of use for one.
 *
 * An engine that accepts an order ends its running work first, so it is out of use until its new stage appears in its record,
 * however long that takes. An order without an answer may be carried out late or never; its engine serves on until a report
 * says that it is changing.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EnginePort, EngineRecord, Stage } from "../engines/enginePort.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { OrderLeadership } from "./orderLeadership.js";
import type { StageChange } from "./stageSplit.js";

export interface StageOrders {
    /** Sends an order if the engine reports that it is not changing and this entry obtains the order leadership. */
    readonly send: (change: StageChange, reconfigureMs: number) => Promise<void>;
    /** Ends the orders that are complete, and asks engines whether they are still changing. */
    readonly update: () => Promise<void>;
    /** Monotonic time at which an order was last not sent, rejected or not carried out. */
    readonly lastFailureAtMs: () => number;
    /** Whether an engine is changing its stage, as far as this entry knows. */
    readonly isReconfiguring: (engineId: string) => boolean;
    /** Whether an engine is changing its stage, or has an order that was not answered. */
    readonly isOrdered: (engineId: string) => boolean;
    /** Replaces the stage of an engine with an order by the ordered one. */
    readonly withOrderedStage: (engine: EngineRecord) => EngineRecord;
    /** Remaining milliseconds of each change that this entry ordered, by engine id. */
    readonly reconfiguring: () => Readonly<Record<string, number>>;
    /** Records the changes that another entry ordered: remaining milliseconds by engine id. */
    readonly recordPeerReconfiguring: (remainingMs: Readonly<Record<string, number>>) => void;
}

export interface StageOrdersDependencies {
    readonly clock: Clock;
    readonly directory: EngineDirectory;
    readonly engines: EnginePort;
    readonly leadership: OrderLeadership;
    readonly log: DecisionLog;
    readonly metrics: PrometheusMetrics;
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

/** Longest delay until a changed stage appears in the engine's record, which is written at intervals. */
const recordLagMs = 1_500;
const orderTimeoutMs = 1_500;
/** An order that was not answered may still be carried out for this long (platform). */
const lateOrderMs = 13_000;
/** Interval at which an engine with an order that was not answered is asked whether it is changing. */
const lateOrderCheckMs = 1_000;
/** An engine is asked so long before it is expected back, so that the other entries hear in time that it is not. */
const checkLeadMs = 1_000;

export function createStageOrders(dependencies: StageOrdersDependencies): StageOrders {
    const { clock, directory, engines, leadership, log, metrics } = dependencies;
    const pendingOrders = new Map<string, PendingOrder>();
    const peerChanges = new Map<string, PeerChange>();
    let lastFailureAtMs = Number.NEGATIVE_INFINITY;

    function isReconfiguring(engineId: string): boolean {
        const peerChange = peerChanges.get(engineId);
        return pendingOrders.get(engineId)?.kind === "accepted"
            || (peerChange !== undefined && peerChange.untilMs > clock.monotonicMs()
                && directory.get(engineId)?.stage === peerChange.stage);
    }

    /** Ends the orders that are complete, and asks engines whether they are still changing. */
    async function update(): Promise<void> {
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
        lastFailureAtMs = nowMs;
        log.info("an engine does not carry out an order", {
            engine: engine.id,
            stage,
            cause: report.isErr ? report.error.cause : "it is not changing its stage",
        });
    }

    async function send(change: StageChange, reconfigureMs: number): Promise<void> {
        if (!await trySend(change, reconfigureMs)) {
            lastFailureAtMs = clock.monotonicMs();
        }
    }

    /** Returns whether an order was sent and not rejected. */
    async function trySend({ engine, stage }: StageChange, reconfigureMs: number): Promise<boolean> {
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

    return {
        send,
        update,
        lastFailureAtMs: () => lastFailureAtMs,
        isReconfiguring,
        isOrdered: engineId => pendingOrders.has(engineId) || isReconfiguring(engineId),
        withOrderedStage: engine => {
            const pendingOrder = pendingOrders.get(engine.id);
            return pendingOrder === undefined ? engine : { ...engine, stage: pendingOrder.stage };
        },
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
    };
}
