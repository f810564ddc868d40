/**
 * Dependencies of request forwarding.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineHealth } from "../engines/engineHealth.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort } from "../engines/enginePort.js";
import type { StartChecks } from "../engines/startChecks.js";
import type { StatusChecks } from "../engines/statusChecks.js";
import type { EngineRateLimiter } from "../limits/engineRateLimiter.js";
import type { FleetQuota } from "../limits/fleetQuota.js";
import type { FleetRetryBudget } from "../limits/fleetRetryBudget.js";
import type { EngineRuns } from "../quarantine/engineRuns.js";
import type { RequestQuarantine } from "../quarantine/requestQuarantine.js";
import type { StreamOrigins } from "../resumption/streamOrigins.js";
import type { RouteTable } from "../routes/routeTable.js";
import type { DecodeScheduler } from "../scheduling/decodeScheduler.js";
import type { InstanceLoads } from "../scheduling/instanceLoads.js";
import type { PlacementView } from "../scheduling/placement.js";
import type { PlainQueue } from "../scheduling/plainQueue.js";
import type { PrefillRates } from "../scheduling/prefillRates.js";
import type { StageWorkEstimates } from "../stages/stageWork.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { ResponseTimes } from "./responseTimes.js";
import type { Shutdown } from "./shutdownChecks.js";

export interface ForwardContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: DecisionLog;
    readonly metrics: PrometheusMetrics;
    readonly view: PlacementView;
    /** `undefined` until a desired state is known. */
    readonly routes: () => RouteTable | undefined;
    /** Whether a newer desired state is in force at other entries. */
    readonly isOutdated: () => boolean;
    readonly directory: EngineDirectory;
    readonly health: EngineHealth;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly engineRates: EngineRateLimiter;
    readonly decodeScheduler: DecodeScheduler;
    readonly stageWork: StageWorkEstimates;
    readonly prefillRates: PrefillRates;
    readonly instanceLoads: InstanceLoads;
    readonly plainQueue: PlainQueue;
    readonly quota: FleetQuota;
    readonly retryBudget: FleetRetryBudget;
    readonly quarantine: RequestQuarantine;
    readonly engineRuns: EngineRuns;
    readonly streamOrigins: StreamOrigins;
    readonly startChecks: StartChecks;
    readonly statusChecks: StatusChecks;
    readonly responseTimes: ResponseTimes;
    /** `undefined` unless this process is shutting down. */
    readonly shutdown: () => Shutdown | undefined;
}
