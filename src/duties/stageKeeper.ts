/**
 * Keeps the split of model engines between prefill and decode: looks at intervals, and orders one change at a time
 * while this entry holds the duty.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Stage } from "../engines/enginePort.js";
import type { RouteTable } from "../routes/routeTable.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { ServedMetrics } from "../telemetry/servedMetrics.js";
import type { OrderDuty } from "./orderDuty.js";
import { nextStageChange } from "./stageBalance.js";

export interface StageKeeper {
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Whether an engine is changing its stage, as far as this entry knows. */
    readonly isReconfiguring: (engineId: string) => boolean;
    /** Time left of each change that this entry ordered, by engine. */
    readonly reconfiguring: () => Readonly<Record<string, number>>;
    /** Takes up what another entry has ordered. */
    readonly noteReconfiguring: (remainingMs: Readonly<Record<string, number>>) => void;
}

export interface StageKeeperDependencies {
    readonly clock: Clock;
    readonly directory: EngineDirectory;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly duty: OrderDuty;
    readonly log: DecisionLog;
    readonly metrics: ServedMetrics;
    readonly routes: () => RouteTable | undefined;
}

export interface StageKeeperSettings {
    /** Part of a service's engines that should read prompts. */
    readonly prefillPart: number;
}

/** No order is given until the list of engines has been the same for this long: at a start they register one by one. */
const settleMs = 1_500;
const intervalMs = 250;
/** Records are written at intervals, so a changed stage shows this much later than the change itself. */
const recordDelayMs = 1_500;
/** Pause between two changes while requests run: a change costs an engine for seconds. */
const pauseBetweenChangesMs = 15_000;
const orderTimeoutMs = 1_500;
/** An engine that did not answer an order is left alone for this long: the order may be carried out late (platform). */
const unansweredPauseMs = 13_000;

export function createStageKeeper(
    dependencies: StageKeeperDependencies,
    settings: StageKeeperSettings,
): StageKeeper {
    const { clock, directory, loads, engines, duty, log, metrics } = dependencies;
    const ordered = new Map<string, { readonly stage: Stage; readonly untilMs: number; }>();
    const heardUntilMs = new Map<string, number>();
    const settled = new Map<string, { readonly names: string; readonly sinceMs: number; }>();
    let nextChangeAtMs = 0;

    function isReconfiguring(engineId: string): boolean {
        const nowMs = clock.monotonicMs();
        return (ordered.get(engineId)?.untilMs ?? 0) > nowMs || (heardUntilMs.get(engineId) ?? 0) > nowMs;
    }

    /** A change is over as soon as the engine's record shows it. */
    function forgetDone(): void {
        for (const [id, { stage }] of ordered) {
            if (directory.get(id)?.stage === stage) {
                ordered.delete(id);
            }
        }
    }

    function isSettled(service: string): boolean {
        const names = directory.usable(service).map(engine => engine.id).sort().join(" ");
        const seen = settled.get(service);
        if (seen?.names === names) {
            return clock.monotonicMs() - seen.sinceMs >= settleMs;
        }
        settled.set(service, { names, sinceMs: clock.monotonicMs() });
        return false;
    }

    function isIdle(service: readonly EngineRecord[]): boolean {
        return service.every(engine => loads.total(engine.id).requests === 0);
    }

    async function order(engine: EngineRecord, stage: Stage, reconfigureMs: number): Promise<void> {
        const report = await engines.report(engine, orderTimeoutMs);
        const permit = report.isOk && !report.value.isReconfiguring ? await duty.claim() : undefined;
        if (report.isErr || permit === undefined || !permit.isFresh()) {
            return;
        }
        const { holder, fencingToken } = permit;
        const expectedSequence = report.value.orderSequence;
        const outcome = await engines.orderStage(
            engine,
            { stage, holder, fencingToken, expectedSequence },
            orderTimeoutMs,
        );
        const pauseMs = outcome === "unknown" ? unansweredPauseMs : reconfigureMs + recordDelayMs;
        ordered.set(engine.id, { stage, untilMs: clock.monotonicMs() + (outcome === "rejected" ? 0 : pauseMs) });
        metrics.count("ordersSent", stage, outcome);
        log.info("ordered an engine to another stage", { engine: engine.id, stage, fencingToken, outcome });
    }

    async function balance(service: string, reconfigureMs: number): Promise<void> {
        const staged = directory.usable(service).filter(engine => engine.stage !== undefined);
        const nowMs = clock.monotonicMs();
        if (staged.some(engine => isReconfiguring(engine.id)) && !isIdle(staged)) {
            return;
        }
        if (!isIdle(staged) && nowMs < nextChangeAtMs) {
            return;
        }
        const effective = staged.map(engine => asOrdered(engine, nowMs));
        const change = nextStageChange(effective, settings.prefillPart, id => loads.total(id).requests);
        if (change === undefined || isReconfiguring(change.engine.id)) {
            return;
        }
        nextChangeAtMs = nowMs + pauseBetweenChangesMs;
        await order(change.engine, change.stage, reconfigureMs);
    }

    /** An engine that is changing counts as what it will be; its record still shows what it was. */
    function asOrdered(engine: EngineRecord, nowMs: number): EngineRecord {
        const order = ordered.get(engine.id);
        return order !== undefined && order.untilMs > nowMs ? { ...engine, stage: order.stage } : engine;
    }

    return {
        isReconfiguring,
        reconfiguring: () => {
            const nowMs = clock.monotonicMs();
            return Object.fromEntries(
                [...ordered]
                    .filter(([, { untilMs }]) => untilMs > nowMs)
                    .map(([id, { untilMs }]) => [id, untilMs - nowMs]),
            );
        },
        noteReconfiguring: remainingMs => {
            for (const [id, ms] of Object.entries(remainingMs)) {
                heardUntilMs.set(id, clock.monotonicMs() + ms);
            }
        },
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                forgetDone();
                for (const { name, engine } of dependencies.routes()?.state.services ?? []) {
                    if (engine !== undefined && isSettled(name)) {
                        await balance(name, engine.reconfigureMs);
                    }
                }
            }
        },
    };
}
