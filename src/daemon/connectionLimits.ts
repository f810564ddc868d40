/**
 * What callers' and other entries' connections may hold in an entry: a budget for callers, one for all other listeners, and a
 * number of connections for each.
 */

import type { Clock } from "../common/clock.js";
import { createConnectionBudget } from "../rpc/connectionBudget.js";
import type { ConnectionBudget } from "../rpc/connectionBudget.js";
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
    const callersBudget = createConnectionBudget(memoryBytes);
    // Callers that fill their budget must not cut the entries off from each other.
    const othersBudget = createConnectionBudget(memoryBytes);
    const heldBytes = (): number => callersBudget.heldBytes() + othersBudget.heldBytes();
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
                heldBytes: heldBytes(),
                limitBytes: callersBudget.limitBytes + othersBudget.limitBytes,
            });
            sinceLogged = 0;
        }
    };
    metrics.gauge("connectionsHeldBytes", "memory that callers' connections hold", heldBytes);

    function guardFor(fraction: number, budget: ConnectionBudget): ConnectionGuardOptions {
        return {
            budget,
            maxConnections: maxDescriptors === undefined ? undefined : Math.floor(maxDescriptors * fraction),
            onYield,
        };
    }
    return { callers: guardFor(callersFraction, callersBudget), others: guardFor(othersFraction, othersBudget) };
}
