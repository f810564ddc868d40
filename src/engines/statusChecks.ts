/**
 * Status checks of instances of plain services that are in doubt: after an ejection, if no request has shown whether the
 * instance serves again. Each costs a request, so an entry checks an instance once after each of its ejections, at a
 * random time, by which most entries have heard the result of another one.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineHealth } from "./engineHealth.js";
import type { EnginePort, EngineRecord } from "./enginePort.js";

export interface StatusChecks {
    /** Checks an instance, by a request to `path`, if it is in doubt and its check is due. */
    readonly checkIfDue: (engine: EngineRecord, path: string) => void;
    /** Forgets all other engines. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
}

export interface StatusChecksDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Pick<PrometheusMetrics, "count">;
    readonly health: Pick<EngineHealth, "probationMs" | "recordStatusCheck">;
    readonly engines: Pick<EnginePort, "checkStatus">;
}

/** The check of one ejection. */
interface PlannedCheck {
    /** Monotonic time at which the ejection ended. */
    readonly ejectionEndMs: number;
    readonly dueMs: number;
    readonly isSent: boolean;
}

const minDelayMs = 500;
const delaySpreadMs = 1_500;
const timeoutMs = 400;

export function createStatusChecks(dependencies: StatusChecksDependencies): StatusChecks {
    const { clock, random, log, metrics, health, engines } = dependencies;
    const plans = new Map<string, PlannedCheck>();

    function planOf(engineId: string, ejectionEndMs: number): PlannedCheck {
        const known = plans.get(engineId);
        if (known !== undefined && Math.abs(known.ejectionEndMs - ejectionEndMs) < 1) {
            return known;
        }
        return { ejectionEndMs, dueMs: ejectionEndMs + minDelayMs + random() * delaySpreadMs, isSent: false };
    }

    async function check(engine: EngineRecord, path: string): Promise<void> {
        const status = await engines.checkStatus(engine, path, timeoutMs);
        const outcome = status.isOk ? (status.value ? "healthy" : "failing") : status.error.kind;
        metrics.count("statusChecks", engine.service, outcome);
        log.info("checked the status of an instance after its ejection", { engine: engine.id, outcome });
        // An instance that is full tells nothing of its health.
        if (outcome !== "notExecuted" && health.probationMs(engine.id) !== undefined) {
            health.recordStatusCheck(engine.id, outcome === "healthy");
        }
    }

    return {
        checkIfDue: (engine, path) => {
            const nowMs = clock.monotonicMs();
            const probationMs = engine.stage === undefined ? health.probationMs(engine.id) : undefined;
            if (probationMs === undefined) {
                return;
            }
            const plan = planOf(engine.id, nowMs - probationMs);
            const isDue = !plan.isSent && nowMs >= plan.dueMs;
            plans.set(engine.id, isDue ? { ...plan, isSent: true } : plan);
            if (isDue) {
                void check(engine, path);
            }
        },
        keepOnly: known => {
            const kept = new Set(known.map(({ id }) => id));
            [...plans.keys()].filter(id => !kept.has(id)).forEach(id => plans.delete(id));
        },
    };
}
