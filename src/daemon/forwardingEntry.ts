/**
 * The entry that forwards to engines directly: composes the modules around ports that an adapter implements.
 *
 * It starts without state, reads the desired state and the engine registry from the store or from other entries, and
 * keeps no state that must survive a restart.
 */

import { randomUUID } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import type { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import { createRandom } from "../common/random.js";
import type { ColdEngines } from "../engines/coldEngines.js";
import { createEngineDirectory } from "../engines/engineDirectory.js";
import { createEngineHealth } from "../engines/engineHealth.js";
import { createEngineLoads } from "../engines/engineLoads.js";
import type { EngineNotices } from "../engines/engineNotices.js";
import type { EnginePort, EngineRecord, EngineRecordDecoder } from "../engines/enginePort.js";
import type { EngineRates } from "../engines/engineRates.js";
import type { Evacuations } from "../engines/evacuations.js";
import { createReportedLoads } from "../engines/reportedLoads.js";
import type { ReportedLoads } from "../engines/reportedLoads.js";
import { createSharedEjections } from "../engines/sharedEjections.js";
import { createStartChecks } from "../engines/startChecks.js";
import { createStatusChecks } from "../engines/statusChecks.js";
import type { ForwardContext } from "../forwarding/context.js";
import { forward } from "../forwarding/forward.js";
import type { ForwardRequest, ForwardResult } from "../forwarding/forwardRequest.js";
import { createResponseTimes } from "../forwarding/responseTimes.js";
import { mayOutlastEntry } from "../forwarding/shutdownChecks.js";
import type { Shutdown } from "../forwarding/shutdownChecks.js";
import { limitControlCalls } from "../limits/controlCallLimits.js";
import { createEngineRateLimiter } from "../limits/engineRateLimiter.js";
import { createFleetQuota } from "../limits/fleetQuota.js";
import { createFleetRetryBudget } from "../limits/fleetRetryBudget.js";
import { createDesiredStateSync } from "../peerSync/desiredStateSync.js";
import { createEntryList } from "../peerSync/entryList.js";
import type { EntryState } from "../peerSync/messages.js";
import { createPeerSync } from "../peerSync/peerSync.js";
import { registerPeerSyncGauges } from "../peerSync/peerSyncGauges.js";
import { createTableReplica } from "../peerSync/tableReplica.js";
import type { CopyOrigin, TableCopy, TableFeed } from "../peerSync/tableReplica.js";
import type { TableService } from "../platform/ports.js";
import { createEngineRuns } from "../quarantine/engineRuns.js";
import { createEvidenceStore } from "../quarantine/evidenceStore.js";
import { createRequestQuarantine } from "../quarantine/requestQuarantine.js";
import { createStreamOrigins } from "../resumption/streamOrigins.js";
import type { CallerLimits, DesiredState } from "../routes/desiredState.js";
import type { RouteTable } from "../routes/routeTable.js";
import { listen } from "../rpc/httpServer.js";
import { createRpcClient } from "../rpc/rpcClient.js";
import { createRpcHandler, rpcPath } from "../rpc/rpcServer.js";
import { createDecodeScheduler } from "../scheduling/decodeScheduler.js";
import type { DecodeScheduler } from "../scheduling/decodeScheduler.js";
import { defaultDecodeSchedulerSettings } from "../scheduling/decodeSchedulerSettings.js";
import { createInstanceLoads } from "../scheduling/instanceLoads.js";
import { prefillTokensPerMs } from "../scheduling/placement.js";
import type { PlacementView } from "../scheduling/placement.js";
import { compareByObjective, createPlainQueue } from "../scheduling/plainQueue.js";
import { createPrefillRates } from "../scheduling/prefillRates.js";
import { createOrderLeadership } from "../stages/orderLeadership.js";
import { createStageController } from "../stages/stageController.js";
import { createStageWorkEstimates } from "../stages/stageWork.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import { createLoopDelays } from "../telemetry/loopDelays.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import { createConnectionLimits } from "./connectionLimits.js";
import type { ConnectionLimits } from "./connectionLimits.js";
import type { ForwardingSettings } from "./forwardingSettings.js";

/** What an adapter provides to the entry. */
export interface ForwardingPorts {
    readonly tables: TableService;
    /** The table with the desired state and the evacuations, and their decoders. */
    readonly desiredState: {
        readonly table: string;
        readonly key: string;
        readonly feed: TableFeed;
        readonly decode: (value: JsonValue) => Result<DesiredState, string>;
        /** The data centre that the row with a key evacuates; `undefined` if it is another row. */
        readonly evacuatedDataCentre: (key: string) => string | undefined;
    };
    /** The table of registered engines, and its decoder. */
    readonly registry: { readonly table: string; readonly feed: TableFeed; readonly decode: EngineRecordDecoder; };
    readonly engines: EnginePort;
    /** What engines announce in their responses; the adapter records it. */
    readonly notices: EngineNotices;
    readonly rates: EngineRates;
    /** The adapter asks it before it writes a request to an engine. */
    readonly evacuations: Evacuations;
    /** Loads that engines report; without it, none does. */
    readonly reportedLoads?: ReportedLoads;
    /** What engines say of the time for which they stay cold; the adapter records it. */
    readonly coldEngines: ColdEngines;
}

/** A started entry. */
export interface ForwardingEntry {
    readonly forward: (request: ForwardRequest) => Promise<ForwardResult>;
    /** Limits on callers' connections, from the desired state in force. */
    readonly limits: () => CallerLimits;
    readonly desiredStateVersion: () => number | undefined;
    readonly connectionLimits: ConnectionLimits;
    /** Whether both the desired state and the engine registry are known. */
    readonly isReady: () => boolean;
    /** Begins the shutdown. Requests that might not end by its deadline are refused. */
    readonly beginShutdown: (begun: Shutdown) => void;
    /** Stops the background tasks, notifies the other entries, and removes this entry's row from the store. */
    readonly leave: () => Promise<void>;
    /** Closes the peer listener and all connections at once. */
    readonly close: () => Promise<void>;
}

/** Limits until a desired state is known: the platform's usual values. */
const initialLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
/**
 * How long the store may hold a call for changes: between these, depending on the number of entries. A dead connection is
 * detected soon after this time, or earlier by the newer copies of other entries, so that with many entries, whose calls
 * end at different times, each may wait longer and the load on the store grows more slowly than their number.
 */
const minFeedWaitMs = 1_500;
const maxFeedWaitMs = 20_000;
const feedWaitPerEntryMs = 375;
/**
 * Pause between calls for registry changes, between these: engine records change often, and one call then returns several
 * changes. A fleet with more entries has more engines and more time to notice that one leaves.
 */
const minRegistryPauseMs = 500;
const maxRegistryPauseMs = 1_000;
const registryPausePerEntryMs = 40;
const desiredStatePauseMs = 50;
const feedRetryMs = 250;
/** Interval for requesting missing table copies from other entries and for passing membership to the budgets. */
const peerRefreshMs = 300;
/** The largest response of another entry is its copy of a table. */
const maxPeerResponseBytes = 4 * 1_024 * 1_024;
/** Fraction of the platform's quota slack that is used, so that callers within their rate are not refused. */
const quotaSlackFraction = 0.5;
/** Fraction of a service's model engines that serve prefill before its generations show how much work they are. */
const initialPrefillFraction = 0.25;

/** Starts an entry and resolves once its peer listener is open; `isReady` tells when it can forward. */
export async function startForwardingEntry(
    settings: ForwardingSettings,
    ports: ForwardingPorts,
    clock: Clock,
    log: DecisionLog,
    metrics: PrometheusMetrics,
): Promise<ForwardingEntry> {
    const startId = randomUUID();
    const url = `http://${settings.exchange.ip}:${settings.exchange.port}`;
    const random = createRandom(Math.trunc(clock.wallMs()) ^ Number.parseInt(startId.slice(0, 8), 16));
    const stopping = new AbortController();
    const rpc = createRpcClient(maxPeerResponseBytes);
    const { notices, rates, evacuations, coldEngines } = ports;
    const directory = createEngineDirectory(clock, log, notices, evacuations);
    const engineRates = createEngineRateLimiter({
        clock,
        random,
        rpc,
        log,
        rates,
        coldEngines,
        coldRate: settings.coldRate,
        url,
        stableEntries: () => peerSync.stableEntries(),
        liveFraction: () => peerSync.liveFraction(),
    });
    const engines = limitControlCalls(ports.engines, engineRates, directory, log);
    rates.onChange(() => peerSync.syncNow());
    coldEngines.onChange(() => peerSync.syncNow());
    evacuations.onChange(takenBack =>
        directory.known().filter(({ dataCentre }) => takenBack.includes(dataCentre))
            .forEach(engine => coldEngines.suspect(engine))
    );
    const health = createEngineHealth(clock);
    const ejections = createSharedEjections({ clock, log, metrics, health });
    ejections.onChange(() => peerSync.syncNow());
    const statusChecks = createStatusChecks({ clock, random, log, metrics, health, engines });
    const startChecks = createStartChecks({ ...engines, isClosed: notices.isClosed }, clock, log);
    const loads = createEngineLoads(clock, prefillTokensPerMs);
    const instanceLoads = createInstanceLoads(clock, ports.reportedLoads ?? createReportedLoads(clock), loads);
    const plainQueue = createPlainQueue({
        clock,
        random,
        instanceLoads,
        onEnd: loads.onEnd,
        compare: compareByObjective,
    });
    const quota = createFleetQuota(clock, {
        burstTolerance: settings.quotaSlack * quotaSlackFraction,
        limitsOf: name => desiredState.routes()?.state.clientAccounts?.find(account => account.name === name),
        reportEarly: (clientAccount, admittedCost) => peerSync.reportUsage(clientAccount, admittedCost),
    });
    const retryBudget = createFleetRetryBudget(clock, settings.retryBudget);
    const quarantine = createRequestQuarantine({ clock, log, onEvidence: () => peerSync.syncNow() });
    const engineRuns = createEngineRuns({
        clock,
        quarantine,
        report: engines.report,
        isReplaced: ({ address, id, bornMs }) =>
            directory.known().some(other => other.address === address && (other.id !== id || other.bornMs > bornMs)),
    });
    let shutdown: Shutdown | undefined;

    const desiredState = createDesiredStateSync({
        clock,
        rpc,
        log,
        key: ports.desiredState.key,
        decode: ports.desiredState.decode,
        isArriving: () => desiredStateReplica.isReceiving() || peerSync.isCopying(ports.desiredState.table),
        onChange: ({ services }) => {
            services.forEach(({ name, maxConnections }) => engines.setMaxConnections(name, maxConnections));
            coldEngines.setServices(services);
        },
    });
    const leadership = createOrderLeadership(ports.tables, clock, log, {
        holder: settings.host,
        isFirstStart: settings.isFirstStart,
    });
    const stageWork = createStageWorkEstimates();
    const prefillRates = createPrefillRates(clock, directory, loads);
    const stages = createStageController(
        {
            clock,
            directory,
            loads,
            engines,
            leadership,
            log,
            metrics,
            routes: desiredState.routes,
            shortStage: service => decodeScheduler.shortStage(service),
            stageWork,
            prefillRates,
        },
        { initialPrefillFraction },
    );
    const view: PlacementView = {
        dataCentre: settings.dataCentre,
        workAt: loads.total,
        entries: () => peerSync.members(),
        prefillRateOf: prefillRates.rateOf,
        isCold: engine => coldEngines.rateOf(engine) !== undefined,
        enginesFor: (service, stage) =>
            directory.usable(service).filter(engine => engine.stage === stage && !stages.isReconfiguring(engine.id)),
        random,
    };
    const decodeScheduler: DecodeScheduler = createDecodeScheduler(
        {
            clock,
            view,
            directory,
            health,
            loads,
            engines,
            engineRates,
            log,
            metrics,
            entries: () => peerSync.members(),
            mayStart: generation => !mayOutlastEntry({ clock, decodeScheduler, shutdown: () => shutdown }, generation),
        },
        defaultDecodeSchedulerSettings,
    );

    function applyRegistry({ rows, position }: TableCopy, origin: CopyOrigin): void {
        const records: EngineRecord[] = [];
        for (const { key, value } of rows) {
            const decoded = ports.registry.decode(key, value);
            if (decoded.isOk) {
                const region = settings.regions[decoded.value.dataCentre];
                records.push({ ...decoded.value, region });
            }
            else {
                log.decision("a record of the registry names no engine", { key, cause: decoded.error, position });
            }
        }
        coldEngines.load(records);
        directory.load(records, origin);
    }

    function feedWaitMs(): number {
        const longestMs = Math.min(maxFeedWaitMs, Math.max(minFeedWaitMs, feedWaitPerEntryMs * peerSync.members()));
        return Math.round(minFeedWaitMs + random() * (longestMs - minFeedWaitMs));
    }

    /** Applies the evacuations first, so that they are known before the first desired state makes the entry ready. */
    function applyOperatorRows(copy: TableCopy, origin: CopyOrigin): void {
        const evacuated = copy.rows.map(({ key }) => ports.desiredState.evacuatedDataCentre(key))
            .filter(dataCentre => dataCentre !== undefined);
        const added = evacuated.filter(dataCentre => !evacuations.isEvacuated(dataCentre));
        evacuations.apply(evacuated, origin);
        added.filter(dataCentre => !isKnownDataCentre(dataCentre)).forEach(dataCentre =>
            log.warn("an evacuated data centre is not known", { dataCentre })
        );
        desiredState.applyCopy(copy);
    }

    function isKnownDataCentre(dataCentre: string): boolean {
        return dataCentre === settings.dataCentre || settings.regions[dataCentre] !== undefined
            || directory.known().some(engine => engine.dataCentre === dataCentre);
    }

    const desiredStateReplica = createTableReplica(ports.desiredState.feed, clock, log, {
        table: ports.desiredState.table,
        waitMs: feedWaitMs,
        pauseMs: () => desiredStatePauseMs,
        retryMs: feedRetryMs,
    }, applyOperatorRows);
    const registryReplica = createTableReplica(ports.registry.feed, clock, log, {
        table: ports.registry.table,
        waitMs: feedWaitMs,
        pauseMs: () =>
            Math.min(maxRegistryPauseMs, Math.max(minRegistryPauseMs, registryPausePerEntryMs * peerSync.members())),
        retryMs: feedRetryMs,
    }, applyRegistry);
    directory.onChange(() => {
        const known = directory.known();
        engines.keepOnly(known);
        health.keepOnly(known);
        ejections.keepOnly(known);
        statusChecks.keepOnly(known);
        startChecks.keepOnly(known);
    });

    function applyPeerState(state: EntryState): void {
        quota.applyReportedUsage(state.start, state.usage);
        loads.setPeer(state.url, state.work);
        stages.recordPeerReconfiguring(state.reconfiguring);
        leadership.recordPeerToken(state.fencingToken);
        state.leaving.forEach(notices.recordLeaving);
        quarantine.applyEvidence(state.crashEvidence);
        rates.apply(state.engineRates);
        ejections.apply(state.ejections);
        coldEngines.apply(state.coldEngines);
        void desiredState.applyPeerState(state);
    }

    const peerSync = createPeerSync({
        url,
        start: startId,
        seeds: settings.seeds.filter(seed => seed !== url),
        dataCentre: settings.dataCentre,
    }, {
        clock,
        rpc,
        log,
        replicas: {
            [ports.desiredState.table]: desiredStateReplica,
            [ports.registry.table]: registryReplica,
        },
        localState: () => ({
            usage: quota.usage(),
            work: loads.own(),
            reconfiguring: stages.reconfiguring(),
            fencingToken: leadership.highestToken(),
            desiredStateVersion: desiredState.version(),
            leaving: [...notices.leaving()],
            crashEvidence: [...quarantine.evidence()],
            engineRates: [...rates.notices()],
            ejections: [...ejections.notices()],
            coldEngines: [...coldEngines.notices()],
        }),
        onState: applyPeerState,
        onUsageReport: ({ start, clientAccount, admittedCost }) =>
            quota.applyEarlyReport(start, clientAccount, admittedCost),
        onPeerRemoved: loads.forgetPeer,
    });
    const entryList = createEntryList(ports.tables, clock, log, { url, start: startId }, peerSync.addPeers);
    const streamOrigins = createStreamOrigins({
        clock,
        rpc,
        tables: ports.tables,
        log,
        url,
        stableEntries: () => peerSync.stableEntries(),
    });
    const connectionLimits = createConnectionLimits({ clock, log, metrics }, settings.hostLimits);
    const loopDelays = createLoopDelays(clock, log);
    const handler = createRpcHandler({
        ...peerSync.methods,
        ...desiredState.methods,
        ...engineRates.methods,
        ...streamOrigins.methods,
    });
    const server = await listen(
        settings.exchange.ip,
        settings.exchange.port,
        (method, path) => method === "POST" && path === rpcPath ? handler : undefined,
        connectionLimits.others,
        error =>
            log.warn("a listener failed to accept a connection", {
                port: settings.exchange.port,
                cause: error.message,
            }),
    );

    /** The routes in force, once the evacuations are known as well: another entry may send a desired state without them. */
    const routes = (): RouteTable | undefined =>
        desiredStateReplica.position().revision < 0 ? undefined : desiredState.routes();

    /** Requests table copies from other entries until the desired state and the evacuations are known. */
    async function fetchCopies(): Promise<void> {
        while (!stopping.signal.aborted && routes() === undefined) {
            await clock.sleep(peerRefreshMs, stopping.signal);
            await peerSync.fetchMissingCopies();
        }
    }

    /** Passes the current membership to the retry budget and the quota. */
    async function updateBudgets(): Promise<void> {
        while (!stopping.signal.aborted) {
            retryBudget.setEntryCount(peerSync.members());
            quota.setReportingFraction(peerSync.liveFraction());
            await loopDelays.sleep(peerRefreshMs, stopping.signal);
        }
    }

    metrics.gauge("membersKnown", "entries that may be admitting", peerSync.members);
    registerPeerSyncGauges(metrics, peerSync);
    metrics.gauge(
        "requestsWaiting",
        "requests that wait for a place at a decode engine",
        decodeScheduler.queuedRequests,
    );
    metrics.gauge(
        "evacuatedDataCentres",
        "data centres to whose engines nothing is sent",
        () => evacuations.dataCentres().length,
    );
    metrics.gauge(
        "enginesReconfiguring",
        "engines that change their stage by order of this entry",
        () => Object.keys(stages.reconfiguring()).length,
    );
    metrics.gauge("callsWaiting", "plain calls that wait for a slot", plainQueue.waitingCalls);
    metrics.gauge("coldEngines", "engines that get few requests because they are cold", coldEngines.count);
    metrics.gauge("desiredStateVersion", "version in force", desiredState.version);
    metrics.gauge(
        "heldUpMs",
        "longest time for which the process was held up since the metrics were read last",
        loopDelays.takeLongestMs,
    );
    // The whole memory of the process is not read here: its file may not be readable, and its host measures it.
    metrics.gauge("heapBytes", "memory in use within the runtime's heap", () => getHeapStatistics().used_heap_size);
    metrics.gauge(
        "externalBytes",
        "memory outside of the runtime's heap that its objects refer to, such as buffers, collected or not",
        () => getHeapStatistics().external_memory,
    );
    metrics.gauge(
        "storeSilenceMs",
        "time since the store confirmed the desired state",
        desiredStateReplica.stalenessMs,
    );

    void desiredStateReplica.follow(stopping.signal);
    void registryReplica.follow(stopping.signal);
    void peerSync.run(stopping.signal);
    void entryList.run(stopping.signal);
    void createEvidenceStore(ports.tables, clock, log, quarantine).run(stopping.signal);
    void streamOrigins.run(stopping.signal);
    void stages.run(stopping.signal);
    void prefillRates.run(stopping.signal);
    void fetchCopies();
    void updateBudgets();

    const context: ForwardContext = {
        clock,
        random,
        log,
        metrics,
        view,
        routes,
        isOutdated: desiredState.isOutdated,
        directory,
        health,
        loads,
        engines,
        engineRates,
        decodeScheduler,
        stageWork,
        prefillRates,
        instanceLoads,
        plainQueue,
        quota,
        retryBudget,
        quarantine,
        engineRuns,
        streamOrigins,
        startChecks,
        statusChecks,
        responseTimes: createResponseTimes(),
        shutdown: () => shutdown,
    };

    return {
        forward: request => forward(context, request),
        limits: () => desiredState.routes()?.state.limits ?? initialLimits,
        desiredStateVersion: () => desiredState.routes()?.state.version,
        connectionLimits,
        isReady: () => routes() !== undefined && registryReplica.position().revision >= 0,
        beginShutdown: begun => {
            shutdown = begun;
        },
        leave: async () => {
            stopping.abort();
            await Promise.all([streamOrigins.flush(), peerSync.leave(), entryList.remove()]);
        },
        close: async () => {
            stopping.abort();
            await Promise.all([server.close(), engines.close(), rpc.close()]);
        },
    };
}
