/**
 * What callers' and other entries' connections may hold in an entry: one budget for all of its listeners, and a number of
 * connections for each.
 */

import type { Clock } from "../common/clock.js";
import { createConnectionBudget } from "../rpc/connectionBudget.js";
import type { ConnectionGuardOptions } from "../rpc/connectionGuard.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { HostLimits } from "./forwardingSettings.js";

export interface ConnectionLimits {
    /** For the listener for callers. */
    readonly callers: ConnectionGuardOptions;
    /** For each other listener. */
    readonly others: ConnectionGuardOptions;
}

export interface ConnectionLimitsDependencies {
    readonly clock: Clock;
    readonly log: DecisionLog;
    readonly metrics: PrometheusMetrics;
}

/** Fractions of the process's descriptors. */
const callersFraction = 0.5;
const othersFraction = 0.125;
const logIntervalMs = 1_000;

export function createConnectionLimits(
    { clock, log, metrics }: ConnectionLimitsDependencies,
    { memoryBytes, maxDescriptors }: Pick<HostLimits, "memoryBytes" | "maxDescriptors">,
): ConnectionLimits {
    const budget = createConnectionBudget(memoryBytes);
    let lastLoggedAtMs = Number.NEGATIVE_INFINITY;
    let sinceLogged = 0;

    const onYield = (cause: string): void => {
        metrics.count("connectionsYielded", cause);
        sinceLogged += 1;
        const nowMs = clock.monotonicMs();
        if (nowMs - lastLoggedAtMs >= logIntervalMs) {
            lastLoggedAtMs = nowMs;
            log.info("connections are refused for what connections hold", {
                cause,
                connections: sinceLogged,
                heldBytes: budget.heldBytes(),
                limitBytes: budget.limitBytes,
            });
            sinceLogged = 0;
        }
    };
    metrics.gauge("connectionsHeldBytes", "memory that callers' connections hold", budget.heldBytes);

    function guardFor(fraction: number): ConnectionGuardOptions {
        return {
            budget,
            maxConnections: maxDescriptors === undefined ? undefined : Math.floor(maxDescriptors * fraction),
            onYield,
        };
    }
    return { callers: guardFor(callersFraction), others: guardFor(othersFraction) };
}
