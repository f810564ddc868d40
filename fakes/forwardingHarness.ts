/**
 * Test harness for request forwarding: a complete forward context on a virtual clock, with engines that follow a script.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import type { Clock } from "../src/common/clock.js";
import type { Random } from "../src/common/random.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import type { ColdEngines } from "../src/engines/coldEngines.js";
import { createEngineDirectory } from "../src/engines/engineDirectory.js";
import { createEngineHealth } from "../src/engines/engineHealth.js";
import { createEngineLoads } from "../src/engines/engineLoads.js";
import { createEngineNotices } from "../src/engines/engineNotices.js";
import type { EngineNotices } from "../src/engines/engineNotices.js";
import type {
    EngineError,
    EnginePort,
    EngineRecord,
    EngineReport,
    EngineRequest,
    EngineResponse,
    PrefilledCache,
    Reservation,
    SendOptions,
    Stage,
} from "../src/engines/enginePort.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import type { EngineRates } from "../src/engines/engineRates.js";
import { createEvacuations } from "../src/engines/evacuations.js";
import type { Evacuations } from "../src/engines/evacuations.js";
import { createReportedLoads } from "../src/engines/reportedLoads.js";
import type { ReportedLoads } from "../src/engines/reportedLoads.js";
import { createStartChecks } from "../src/engines/startChecks.js";
import { createStatusChecks } from "../src/engines/statusChecks.js";
import type { ForwardContext } from "../src/forwarding/context.js";
import type { ForwardOutcome, ForwardRequest, GenerationSize } from "../src/forwarding/forwardRequest.js";
import { createResponseTimes } from "../src/forwarding/responseTimes.js";
import { createEngineRateLimiter } from "../src/limits/engineRateLimiter.js";
import { createFleetQuota } from "../src/limits/fleetQuota.js";
import { createFleetRetryBudget } from "../src/limits/fleetRetryBudget.js";
import type { RetryBudgetSettings } from "../src/limits/fleetRetryBudget.js";
import { createMemoryPlatform } from "../src/platform/memoryPlatform.js";
import { createEngineRuns } from "../src/quarantine/engineRuns.js";
import { createRequestQuarantine } from "../src/quarantine/requestQuarantine.js";
import { createStreamOrigins } from "../src/resumption/streamOrigins.js";
import type { StreamOrigins } from "../src/resumption/streamOrigins.js";
import type { DesiredState, Route, RouteKind } from "../src/routes/desiredState.js";
import { createRouteTable } from "../src/routes/routeTable.js";
import type { RpcClient } from "../src/rpc/rpcClient.js";
import { createDecodeScheduler } from "../src/scheduling/decodeScheduler.js";
import type { DecodeScheduler, DecodeSchedulerDependencies } from "../src/scheduling/decodeScheduler.js";
import { defaultDecodeSchedulerSettings } from "../src/scheduling/decodeSchedulerSettings.js";
import type { DecodeSchedulerSettings } from "../src/scheduling/decodeSchedulerSettings.js";
import { createInstanceLoads } from "../src/scheduling/instanceLoads.js";
import { prefillTokensPerMs } from "../src/scheduling/placement.js";
import type { PlacementView } from "../src/scheduling/placement.js";
import { compareByObjective, createPlainQueue } from "../src/scheduling/plainQueue.js";
import { createPrefillRates } from "../src/scheduling/prefillRates.js";
import { createStageWorkEstimates } from "../src/stages/stageWork.js";
import type { DecisionLog } from "../src/telemetry/decisionLog.js";
import { createPrometheusMetrics } from "../src/telemetry/prometheusMetrics.js";
import { createVirtualClock } from "./virtualClock.js";
import type { VirtualClock } from "./virtualClock.js";

export const silentDecisionLog: DecisionLog = {
    info: () => undefined,
    warn: () => undefined,
    decision: () => undefined,
    error: () => undefined,
    flush: async () => undefined,
};

export function engineRecord(id: string, stage?: Stage, overrides: Partial<EngineRecord> = {}): EngineRecord {
    return {
        id,
        bornMs: 1,
        service: stage === undefined ? "desk" : "models",
        softwareVersion: "v1",
        address: `${id}:1`,
        dataCentre: "a",
        slots: 4,
        state: "ready",
        stage,
        recordSequence: 1,
        coldRemainingMs: 0,
        ...overrides,
    };
}

/** Overrides what engines return for a call; calls without an override succeed. */
export interface EngineScript {
    readonly send?: (
        engine: EngineRecord,
        options: SendOptions,
        request: EngineRequest,
    ) => Promise<Result<EngineResponse, EngineError>>;
    readonly prefill?: (
        engine: EngineRecord,
        options: SendOptions,
        request: EngineRequest,
    ) => Promise<Result<PrefilledCache, EngineError>>;
    readonly reserve?: (engine: EngineRecord, tokens: number) => Promise<Result<Reservation, EngineError>>;
    readonly report?: (engine: EngineRecord, timeoutMs: number) => Promise<Result<EngineReport, EngineError>>;
    readonly checkStatus?: (engine: EngineRecord) => Promise<Result<boolean, EngineError>>;
    /** By default no connection was opened after the engine was confirmed to be the start that its record names. */
    readonly connectedAtMs?: (engine: EngineRecord) => number;
}

export interface EngineCalls {
    /** Calls in the order in which they were made, such as `send i-1`. */
    readonly calls: string[];
}

/** Body of a response whose content doesn't matter: a complete event. `describeOutcome` shows it as `ok`. */
const defaultBody = "data: ok\n\n";
/** The same, for a stream that goes on after an event. */
const defaultRest = /^id: \d+\ndata: ok\n\n$/u;

export function responseOf(
    status: number,
    chunks: readonly string[] = [defaultBody],
): Result<EngineResponse, EngineError> {
    const body = Readable.from(chunks.map(chunk => Buffer.from(chunk)));
    return Result.ok({ engine: "", status, headers: [], framing: "chunks", body });
}

export function errorOf(kind: EngineError["kind"]): Result<never, EngineError> {
    return Result.err(kind === "notExecuted" ? { kind, status: 503, cause: kind } : { kind, cause: kind });
}

function bodyAfter(lastEventId: string | undefined): string {
    return lastEventId === undefined ? defaultBody : `id: ${Number(lastEventId) + 1}\n${defaultBody}`;
}

function scriptedEngines(script: EngineScript, calls: string[]): EnginePort {
    let reservations = 0;
    return {
        send: async (engine, request, options) => {
            calls.push(`send ${engine.id}`);
            return script.send?.(engine, options, request) ?? responseOf(200, [bodyAfter(options.lastEventId)]);
        },
        prefill: async (engine, request, options) => {
            calls.push(`prefill ${engine.id}`);
            return script.prefill?.(engine, options, request)
                ?? Result.ok({ address: engine.address, handle: "h", tokens: 10 });
        },
        reserve: async (engine, tokens) => {
            calls.push(`reserve ${engine.id}`);
            reservations += 1;
            return script.reserve?.(engine, tokens) ?? Result.ok({ id: `hold-${reservations}`, tokens });
        },
        releaseCache: ({ address }) => void calls.push(`releaseCache ${address}`),
        releaseReservation: engine => void calls.push(`releaseReservation ${engine.id}`),
        report: async (engine, timeoutMs) => script.report?.(engine, timeoutMs) ?? errorOf("unreachable"),
        checkStatus: async (engine, path) => {
            calls.push(`check ${engine.id} ${path}`);
            return script.checkStatus?.(engine) ?? Result.ok(true);
        },
        orderStage: async () => "rejected",
        connectedAtMs: engine => script.connectedAtMs?.(engine) ?? Number.NEGATIVE_INFINITY,
        keepOnly: () => undefined,
        setMaxConnections: () => undefined,
        close: async () => undefined,
    };
}

export interface ForwardingHarness extends EngineCalls {
    readonly rates: EngineRates;
    readonly reportedLoads: ReportedLoads;
    readonly context: ForwardContext;
    readonly clock: VirtualClock;
    readonly notices: EngineNotices;
    readonly evacuations: Evacuations;
    readonly coldEngines: ColdEngines;
    readonly load: (engines: readonly EngineRecord[]) => void;
}

export function routeOf(kind: RouteKind, overrides: Partial<Route> = {}): Route {
    return {
        name: kind,
        host: "caller.example",
        pathPrefix: `/${kind}/`,
        kind,
        timeoutMs: 2_000,
        objectiveMs: 900,
        maxGapMs: 300,
        services: [{ service: kind === "stream" ? "models" : "desk", weight: 1 }],
        maxEngines: 2,
        isPublic: true,
        isResumable: false,
        priority: 5,
        homeRegions: undefined,
        ...overrides,
    };
}

export function desiredStateOf(routes: readonly Route[]): DesiredState {
    return {
        version: 1,
        routes,
        services: [
            {
                name: "desk",
                maxConnections: 10,
                coldRequestsPerSecond: 0,
                coldStartMs: 0,
                healthCheckPath: "/health",
                engine: undefined,
            },
            {
                name: "models",
                maxConnections: 10,
                coldRequestsPerSecond: 0,
                coldStartMs: 0,
                engine: {
                    slots: 8,
                    kvTokens: 10_000,
                    reconfigureMs: 6_000,
                    maxReservationMs: 2_000,
                    tokensPerEvent: 1,
                },
            },
        ],
        clientAccounts: [{
            name: "account",
            keys: ["key"],
            unit: "tokens",
            plainTokens: 10,
            ratePerSecond: 100,
            burst: 1_000,
            priority: undefined,
            homeRegions: undefined,
        }],
        limits: { maxHeaderBytes: 1_000, maxBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
    };
}

/** Dependencies and settings of a context that a test or an experiment chooses. */
export interface ForwardContextOptions {
    readonly clock: Clock;
    readonly engines: EnginePort;
    readonly state: DesiredState;
    readonly random?: Random;
    readonly budget?: RetryBudgetSettings;
    readonly entries?: () => number;
    readonly notices?: EngineNotices;
    readonly rates?: EngineRates;
    /** None by default. */
    readonly evacuations?: Evacuations;
    readonly reportedLoads?: ReportedLoads;
    readonly coldEngines?: ColdEngines;
    /** By default the entry is the only one and its store is empty. */
    readonly streamOrigins?: StreamOrigins;
    readonly createScheduler?: (dependencies: DecodeSchedulerDependencies) => DecodeScheduler;
}

const entryUrl = "http://entry-0";
const unreachablePeers: RpcClient = {
    call: async () => Result.err({ kind: "unreachable", delivered: "no", cause: "no peers" }),
    stream: async () => Result.err({ kind: "unreachable", delivered: "no", cause: "no peers" }),
    close: async () => undefined,
};

const ampleBudget: RetryBudgetSettings = { ratio: 1, slack: 100, windowMs: 10_000 };

/** Creates a forward context whose engines are all in one data centre and never change their stages. */
export function createTestForwardContext(options: ForwardContextOptions): ForwardContext {
    const { clock, engines, state, random = () => 0, budget = ampleBudget, entries = () => 1 } = options;
    const createScheduler = options.createScheduler
        ?? (dependencies => createDecodeScheduler(dependencies, defaultDecodeSchedulerSettings));
    const {
        notices = createEngineNotices(clock, silentDecisionLog),
        rates = createEngineRates(clock, silentDecisionLog),
        evacuations = createEvacuations(clock, silentDecisionLog),
        reportedLoads = createReportedLoads(clock),
        coldEngines = createColdEngines(clock, silentDecisionLog),
    } = options;
    const directory = createEngineDirectory(clock, silentDecisionLog, notices, evacuations);
    const health = createEngineHealth(clock);
    const loads = createEngineLoads(clock, prefillTokensPerMs);
    const instanceLoads = createInstanceLoads(clock, reportedLoads, loads);
    const engineRates = createEngineRateLimiter({
        clock,
        random,
        rpc: unreachablePeers,
        log: silentDecisionLog,
        rates,
        coldEngines,
        coldRate: { overshoot: 1.5, slack: 5 },
        url: entryUrl,
        stableEntries: () => [entryUrl],
        liveFraction: () => 1,
    });
    const metrics = createPrometheusMetrics();
    const log = silentDecisionLog;
    const quarantine = createRequestQuarantine({ clock, log, onEvidence: () => undefined });
    const prefillRates = createPrefillRates(clock, directory, loads);
    const view: PlacementView = {
        dataCentre: "a",
        prefillRateOf: prefillRates.rateOf,
        workAt: loads.total,
        entries: () => 4,
        isCold: engine => coldEngines.rateOf(engine) !== undefined,
        enginesFor: (service, stage) => directory.usable(service).filter(engine => engine.stage === stage),
        random,
    };
    const routes = createRouteTable(state);
    return {
        clock,
        random,
        log,
        metrics,
        view,
        routes: () => routes,
        isOutdated: () => false,
        directory,
        health,
        loads,
        engines,
        engineRates,
        stageWork: createStageWorkEstimates(),
        prefillRates,
        decodeScheduler: createScheduler({
            clock,
            view,
            directory,
            health,
            loads,
            engines,
            engineRates,
            log,
            metrics,
            entries,
            mayStart: () => true,
        }),
        instanceLoads,
        plainQueue: createPlainQueue({
            clock,
            random,
            instanceLoads,
            onEnd: loads.onEnd,
            compare: compareByObjective,
        }),
        quota: createFleetQuota(clock, {
            burstTolerance: 0,
            limitsOf: () => undefined,
            reportEarly: () => undefined,
        }),
        retryBudget: createFleetRetryBudget(clock, budget),
        quarantine,
        streamOrigins: options.streamOrigins ?? createStreamOrigins({
            clock,
            rpc: unreachablePeers,
            tables: createMemoryPlatform().tables,
            log,
            url: entryUrl,
            stableEntries: () => [entryUrl],
        }),
        engineRuns: createEngineRuns({ clock, quarantine, report: engines.report, isReplaced: () => false }),
        startChecks: createStartChecks({ ...engines, isClosed: notices.isClosed }, clock, log),
        statusChecks: createStatusChecks({ clock, random, log, metrics, health, engines }),
        responseTimes: createResponseTimes(),
        shutdown: () => undefined,
    };
}

export function createForwardingHarness(
    state: DesiredState,
    script: EngineScript = {},
    schedulerSettings: Partial<DecodeSchedulerSettings> = {},
    budget: RetryBudgetSettings = ampleBudget,
    mayStart: DecodeSchedulerDependencies["mayStart"] = () => true,
): ForwardingHarness {
    const clock = createVirtualClock();
    const calls: string[] = [];
    const notices = createEngineNotices(clock, silentDecisionLog);
    const rates = createEngineRates(clock, silentDecisionLog);
    const evacuations = createEvacuations(clock, silentDecisionLog);
    const reportedLoads = createReportedLoads(clock);
    const coldEngines = createColdEngines(clock, silentDecisionLog);
    coldEngines.setServices(state.services);
    const context = createTestForwardContext({
        clock,
        reportedLoads,
        notices,
        rates,
        evacuations,
        coldEngines,
        engines: scriptedEngines(script, calls),
        state,
        budget,
        createScheduler: dependencies =>
            createDecodeScheduler(
                { ...dependencies, mayStart },
                { ...defaultDecodeSchedulerSettings, ...schedulerSettings },
            ),
    });
    return {
        context,
        clock,
        calls,
        notices,
        rates,
        evacuations,
        reportedLoads,
        coldEngines,
        load: records => {
            coldEngines.load(records);
            context.directory.load(records, "current");
        },
    };
}

export const smallSize: GenerationSize = { promptTokens: 1_000, maxOutputTokens: 200, outputHintTokens: 100 };

export function requestTo(path: string, overrides: Partial<ForwardRequest> = {}): ForwardRequest {
    return {
        requestId: "r-1",
        method: "POST",
        target: path,
        path,
        host: "caller.example:80",
        headers: [],
        body: Buffer.alloc(0),
        clientAccount: undefined,
        key: undefined,
        size: undefined,
        sharedPromptParts: [],
        receivedAtMs: 0,
        callerTimeoutMs: 2_000,
        lastEventId: undefined,
        resumedRequestId: undefined,
        callerDisconnected: new AbortController().signal,
        onSend: () => undefined,
        ...overrides,
    };
}

/** The status and the whole body of an outcome, such as `200 ok` for `defaultBody`; the status alone for a refusal. */
export async function describeOutcome(outcome: ForwardOutcome): Promise<string> {
    if (outcome.kind === "refused") {
        return String(outcome.refusal.status);
    }
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of outcome.answer.body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
    }
    catch {
        return `${outcome.answer.status} ${Buffer.concat(chunks).toString()}, broken`;
    }
    const text = Buffer.concat(chunks).toString();
    return `${outcome.answer.status} ${text === defaultBody || defaultRest.test(text) ? "ok" : text}`;
}
