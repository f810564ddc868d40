/**
 * The entry: composes the modules into the process that callers and operators talk to.
 *
 * It dispatches requests through the agents beside the engines, and reads its configuration from the store or from
 * other entries.
 */

import { randomUUID } from "node:crypto";
import { createCallersRouter } from "../callers/callersServer.js";
import { systemClock } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import { createRandom } from "../common/random.js";
import { repeat } from "../common/repeat.js";
import type { Key } from "../configuration/objects.js";
import { listObjects } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";
import { createKeyring } from "../keys/keyring.js";
import { createKeyUses } from "../keys/keyUses.js";
import { createWithdrawals } from "../keys/withdrawal.js";
import { createHostDirectory } from "../membership/hosts.js";
import { createOperatorMethods } from "../operators/operatorMethods.js";
import type { HostRecord, Platform } from "../platform/ports.js";
import { createEvidenceExchange } from "../quarantine/evidenceExchange.js";
import { createEvidenceStore } from "../quarantine/evidenceStore.js";
import { createRequestQuarantine } from "../quarantine/requestQuarantine.js";
import { defaultTimeouts } from "../requests/context.js";
import type { RequestContext, RequestTimeouts } from "../requests/context.js";
import { createIdempotentCalls } from "../requests/idempotency.js";
import { createRetryBudget } from "../requests/retryBudget.js";
import { createCandidateIndex } from "../routing/candidates.js";
import { defaultPolicies } from "../routing/choose.js";
import type { RoutingPolicies } from "../routing/choose.js";
import { createEndpointVersions } from "../routing/endpointVersions.js";
import { createLoadView } from "../routing/loadView.js";
import { createPrefixIndex } from "../routing/prefixIndex.js";
import { listen, sendJson } from "../rpc/httpServer.js";
import type { Handler } from "../rpc/httpServer.js";
import { createRpcClient } from "../rpc/rpcClient.js";
import { createRpcHandler, rpcPath } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { EntryFileSettings } from "../settings/settings.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { createEntryConfiguration } from "./entryConfiguration.js";
import { createEntryLimits } from "./entryLimits.js";

/** Dependencies and settings of an entry that tests and benchmarks may replace. */
export interface EntryOptions {
    readonly clock?: Clock;
    readonly policies?: RoutingPolicies;
    readonly timeouts?: RequestTimeouts;
    readonly seed?: number;
}

/** A started entry. */
export interface RunningEntry {
    /** Base URL for other processes and operators. */
    readonly url: string;
    /** Base URL for callers. */
    readonly callersUrl: string;
    readonly configuration: () => ConfigurationState;
    /**
     * Shuts down gracefully: reports not ready, keeps serving for `drainDelayMs`, then refuses new requests, returns
     * its shares of the limits, waits for running requests, those of operators and other processes included, and closes.
     */
    readonly shutDown: () => Promise<void>;
    /** Stops all tasks and closes all connections at once, without draining or returning shares. */
    readonly kill: () => Promise<void>;
}

const initialRetryMs = 500;
/** Delay before a task that runs until shutdown is started again after a failure. */
const taskRestartMs = 500;
const leaseRenewalsPerLease = 3;
const idempotencySweepMs = 600_000;
/** Shares that can't be returned in this time after the last request are free again when the lease has expired. */
const releaseTimeoutMs = 5_000;

/**
 * Starts an entry and resolves once both listeners are open. The entry refuses requests until it has loaded its
 * configuration.
 */
export async function startEntry(
    settings: EntryFileSettings,
    platform: Platform,
    telemetry: Telemetry,
    options: EntryOptions = {},
): Promise<RunningEntry> {
    const clock = options.clock ?? systemClock;
    const random = createRandom(options.seed ?? Math.trunc(clock.wallMs()));
    const { counters, log } = telemetry;
    const stopping = new AbortController();
    const rpc = createRpcClient();
    const keyring = createKeyring();
    const keyUses = createKeyUses();
    const staticHosts = settings.peerUrls.map((url): HostRecord => ({
        host: url,
        role: "entry",
        url,
        dataCentre: settings.dataCentre,
        region: settings.region,
        state: "live",
    }));
    const hosts = createHostDirectory(platform.hosts, clock, staticHosts);
    const candidates = createCandidateIndex(hosts);
    let ready = false;
    let isShuttingDown = false;
    let admissionClosed = false;
    let wasCutOff = false;

    const methods: Record<string, RpcMethods[string]> = {};
    const handlers: { rpc: Handler | undefined; } = { rpc: undefined };
    const server = await listen(settings.listen.address, settings.listen.port, (method, path) => {
        if (method === "POST" && path === rpcPath) {
            return handlers.rpc;
        }
        return method === "GET" && path === "/healthz"
            ? async (request, response) =>
                sendJson(response, 200, { counters: counters.snapshot(), traffic: server.traffic() })
            : undefined;
    });

    function peersOf(dataCentre: string | undefined): readonly string[] {
        return hosts.usable("entry")
            .filter(host => dataCentre === undefined || host.dataCentre === dataCentre)
            .map(host => host.url)
            .filter(url => url !== server.url);
    }

    const { replica, distribution, append, makeWithdrawalDurable } = createEntryConfiguration(settings, {
        platform,
        rpc,
        clock,
        random,
        counters,
        hosts,
        url: server.url,
        peersOf,
    });

    const withdrawals = createWithdrawals({
        keyring,
        rpc,
        clock,
        random,
        telemetry,
        peers: () => peersOf(undefined),
        makeDurable: makeWithdrawalDurable,
        onPeerContact: distribution.recordContact,
    });

    const { lease, rateLimiter, methods: limitsMethods } = createEntryLimits({
        tables: platform.tables,
        rpc,
        clock,
        random,
        telemetry,
        url: server.url,
        leaseMs: settings.limitsLeaseMs,
        peers: () => peersOf(undefined),
        configuration: replica.state,
    });

    /** Whether neither the store nor another entry has responded for longer than `cutOffMs`; logs each change. */
    function checkCutOff(): boolean {
        // An entry that knows no other entry is not cut off, since no other entry could have withdrawn a key.
        const isCutOff = distribution.sinceLastContactMs() > settings.cutOffMs && hosts.known("entry").length > 1;
        if (isCutOff !== wasCutOff) {
            wasCutOff = isCutOff;
            log.warn(isCutOff ? "cut off from the store and all entries" : "no longer cut off");
        }
        return isCutOff;
    }

    /** The reason for refusing requests, or `undefined` while they are accepted. */
    function unavailable(): string | undefined {
        if (admissionClosed) {
            return "this entry is shutting down";
        }
        if (!ready) {
            return "this entry has no current configuration yet";
        }
        return checkCutOff() ? "this entry is cut off from the store and all other entries" : undefined;
    }

    replica.onChange(state => {
        keyring.load(state);
        candidates.load(state);
        rateLimiter.reload();
        const withdrawn = listObjects(state, "key").map(({ value }) => value as Key).filter(key =>
            key.state === "withdrawn"
        );
        withdrawals.removeDurable(new Set(withdrawn.map(key => key.digestHex)));
        counters.set("configuration.revision", state.revision);
    });
    keyring.onWithdrawal(keyUses.endAll);

    const quarantine = createRequestQuarantine({
        clock,
        log: { info: log.info, decision: log.info },
        onEvidence: () => evidenceExchange.send(),
    });
    const evidenceStore = createEvidenceStore(platform.tables, clock, log, quarantine);
    const evidenceExchange = createEvidenceExchange(rpc, clock, () => peersOf(undefined), quarantine);
    const retryBudget = createRetryBudget();
    const loads = createLoadView(clock);
    const prefixes = createPrefixIndex();

    function createRequestContext(confirmAdmission: () => Promise<boolean>): RequestContext {
        return {
            dataCentre: settings.dataCentre,
            rpc,
            clock,
            random,
            counters,
            candidates,
            policies: options.policies ?? defaultPolicies,
            loads,
            prefixes,
            versions: createEndpointVersions(),
            retryBudget,
            quarantine,
            timeouts: options.timeouts ?? defaultTimeouts,
            reportFailure: hosts.reportFailure,
            reportSuccess: hosts.reportSuccess,
            confirmAdmission,
        };
    }

    Object.assign(
        methods,
        distribution.methods,
        withdrawals.methods,
        limitsMethods,
        evidenceExchange.methods,
        createOperatorMethods({
            host: settings.host,
            url: server.url,
            configuration: replica.state,
            append,
            withdrawals,
            distribution,
            hosts,
            clock,
            telemetry,
            unavailable,
        }),
    );
    handlers.rpc = createRpcHandler(methods);

    function recordTaskFailure(error: unknown): void {
        counters.add("entry.taskFailures");
        log.warn("a periodic task failed", { cause: String(error) });
    }

    /** Runs a task until shutdown, with `intervalMs` between two runs. */
    function runPeriodically(intervalMs: number, run: () => Promise<void>): Promise<void> {
        return repeat(clock, stopping.signal, intervalMs, run, recordTaskFailure);
    }

    /** Loads the configuration and acquires the lease on limits, then marks the entry ready. */
    async function initialize(): Promise<void> {
        await hosts.refresh();
        while (!stopping.signal.aborted && !await distribution.loadInitial()) {
            counters.add("configuration.initialRetries");
            await clock.sleep(initialRetryMs, stopping.signal);
            await hosts.refresh();
        }
        await withdrawals.loadInitial();
        await lease.endPredecessors();
        await lease.renew();
        ready = true;
        log.info("entry ready", { url: server.url, revision: replica.state().revision });
    }

    const idempotentCalls = createIdempotentCalls({
        tables: platform.tables,
        clock,
        newId: randomUUID,
        count: counters.add,
    });
    const router = createCallersRouter({
        idempotentCalls,
        configuration: replica.state,
        keyring,
        keyUses,
        rateLimiter,
        candidates,
        clock,
        counters,
        maxBodyBytes: settings.maxBodyBytes,
        unavailable,
        notReady: () => isShuttingDown ? "this entry is shutting down" : unavailable(),
        createRequestContext,
    });
    const callers = await listen(settings.callersListen.address, settings.callersListen.port, router);

    async function initializeAndRun(): Promise<void> {
        let isInitialized = false;
        while (!isInitialized && !stopping.signal.aborted) {
            try {
                await initialize();
                isInitialized = true;
            }
            catch (error) {
                recordTaskFailure(error);
                await clock.sleep(initialRetryMs, stopping.signal);
            }
        }
        void runPeriodically(taskRestartMs, () => distribution.follow(stopping.signal));
        void runPeriodically(taskRestartMs, () => withdrawals.run(stopping.signal));
        void runPeriodically(taskRestartMs, () => evidenceExchange.run(stopping.signal));
        void runPeriodically(taskRestartMs, () => evidenceStore.run(stopping.signal));
        void runPeriodically(settings.hostListPollMs, hosts.refresh);
        void runPeriodically(idempotencySweepMs, idempotentCalls.deleteExpired);
        void runPeriodically(settings.limitsLeaseMs / leaseRenewalsPerLease, lease.renew);
        void runPeriodically(settings.limitsRebalanceMs, rateLimiter.rebalance);
    }

    void initializeAndRun();

    async function closeAll(): Promise<void> {
        stopping.abort();
        await Promise.all([server.close(), callers.close()]);
        await rpc.close();
        counters.close();
    }

    return {
        url: server.url,
        callersUrl: callers.url,
        configuration: replica.state,
        shutDown: async () => {
            isShuttingDown = true;
            callers.announceClose();
            log.info("entry is draining");
            // Readiness fails from here on; requests are still accepted until the load balancer has detected that.
            await clock.sleep(settings.drainDelayMs);
            admissionClosed = true;
            const sharesReleased = rateLimiter.releaseAll();
            await callers.drain();
            await Promise.race([sharesReleased.then(lease.release), clock.sleep(releaseTimeoutMs)]);
            distribution.endWaits();
            await server.drain();
            await closeAll();
            log.info("entry ended");
        },
        kill: closeAll,
    };
}
