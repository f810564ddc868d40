/**
 * Keeps an entry's replica of the configuration up to date from the store or from other entries, and serves it to
 * other entries and to agents. `distributionTree` selects the sources.
 */

import { runLimited } from "../common/callLimit.js";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { Platform } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Counters } from "../telemetry/telemetry.js";
import { sourcesFor } from "./distributionTree.js";
import type { ConfigurationSource } from "./distributionTree.js";
import { readRevisions } from "./log.js";
import {
    announcementSchema,
    configurationMethods,
    waitEndpointSchema,
    waitResponseSchema,
    waitSchema,
} from "./messages.js";
import type { WaitEndpointResponse, WaitResponse } from "./messages.js";
import type { Endpoint } from "./objects.js";
import type { ConfigurationReplica } from "./replica.js";
import { fromSnapshot, loadFromStore, toSnapshot } from "./snapshot.js";
import { lookUp } from "./state.js";
import type { ConfigurationState } from "./state.js";

export interface DistributionSettings {
    readonly host: string;
    readonly dataCentre: string;
    readonly url: string;
    /** Mean time between two reads of the log in the store. */
    readonly pollMs: number;
}

export interface DistributionDependencies {
    readonly platform: Platform;
    readonly replica: ConfigurationReplica;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** Base URLs of usable entries in this data centre. */
    readonly localEntries: () => readonly string[];
    /** Base URLs of usable entries in all data centres. */
    readonly allEntries: () => readonly string[];
    /** Base URLs of all other known entries, including those that do not respond. */
    readonly knownEntries: () => readonly string[];
    readonly reportFailure: (url: string) => void;
    readonly reportSuccess: (url: string) => void;
}

/**
 * The revision that a host had when it last asked; for an agent, the revision of this entry at that time. `seenAtMs` is
 * monotonic time.
 */
export interface HostRevision {
    readonly host: string;
    readonly revision: number;
    readonly seenAtMs: number;
}

export interface Distribution {
    readonly methods: RpcMethods;
    /** Loads the newest state available; resolves to whether it is recent enough to be served. */
    readonly loadInitial: () => Promise<boolean>;
    /** Keeps the replica up to date until `stopped` aborts. */
    readonly follow: (stopped: AbortSignal) => Promise<void>;
    /** Time since the state was last confirmed by the store, directly or through other entries. */
    readonly ageMs: () => number;
    /** Time since the store or another entry last responded. */
    readonly sinceLastContactMs: () => number;
    /** Records that another entry has responded to a call of another module. */
    readonly recordContact: () => void;
    /**
     * Applies a state that this process has just written. The store is read first, so that the replica keeps the
     * individual revisions for other entries; if that fails, only the state is applied.
     */
    readonly applyOwnWrite: (written: ConfigurationState) => Promise<void>;
    /** Announces a new revision to other entries, so that those that poll the store read it at once. */
    readonly announce: (revision: number) => Promise<void>;
    /** Answers the long polls of other processes at once from now on. */
    readonly endWaits: () => void;
    /** The revision of each host when it last asked this entry. */
    readonly hostRevisions: () => readonly HostRevision[];
}

const longPollMs = 3_000;
const longPollMarginMs = 1_500;
const initialStoreTimeoutMs = 1_500;
/** After a response with a staler state than this, the next source is tried. */
const maxPeerStalenessMs = 6_000;
const maxInitialPeers = 8;
const maxAnnouncementPeers = 64;
const announcementTimeoutMs = 1_000;
const maxRetryDelayMs = 300;
const maxEntryUrlsForAgents = 4;

export function createDistribution(
    settings: DistributionSettings,
    dependencies: DistributionDependencies,
): Distribution {
    const { platform, replica, rpc, clock, random, counters } = dependencies;
    const hostRevisions = new Map<string, HostRevision>();
    const pollWakeups = new Set<AbortController>();
    const waitsEnded = new AbortController();
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let lastContactAtMs = clock.monotonicMs();
    /** The read of the store with which this process starts, while it is running. */
    let initialRead: ReturnType<typeof loadFromStore> | undefined;

    function recordContact(): void {
        lastContactAtMs = clock.monotonicMs();
    }

    function recordConfirmation(stalenessMs: number): void {
        recordContact();
        confirmedAtMs = Math.max(confirmedAtMs, clock.monotonicMs() - stalenessMs);
    }

    function currentStalenessMs(): number {
        return Math.min(Number.MAX_SAFE_INTEGER, clock.monotonicMs() - confirmedAtMs);
    }

    function recordHostRevision(host: string, revision: number): void {
        hostRevisions.set(host, { host, revision, seenAtMs: clock.monotonicMs() });
    }

    function createWaitResponse(afterRevision: number): WaitResponse {
        const state = replica.state();
        const revisions = replica.revisionsAfter(afterRevision);
        const base = { revision: state.revision, ageMs: currentStalenessMs() };
        return revisions === undefined
            ? { ...base, snapshot: toSnapshot(state) }
            : { ...base, revisions: [...revisions] };
    }

    function createEndpointResponse(name: string): WaitEndpointResponse {
        const state = replica.state();
        const object = lookUp(state, "endpoint", name);
        const others = dependencies.localEntries().slice(0, maxEntryUrlsForAgents);
        return {
            revision: state.revision,
            version: object?.version ?? 0,
            endpoint: object?.value as Endpoint | undefined,
            entryUrls: [...others],
        };
    }

    async function waitForEndpoint(
        name: string,
        afterVersion: number,
        timeoutMs: number,
    ): Promise<WaitEndpointResponse> {
        const untilMs = clock.monotonicMs() + timeoutMs;
        let remainingMs = timeoutMs;
        while (
            createEndpointResponse(name).version === afterVersion && remainingMs > 0 && !waitsEnded.signal.aborted
        ) {
            await replica.waitForRevisionAfter(replica.state().revision, remainingMs, waitsEnded.signal);
            remainingMs = untilMs - clock.monotonicMs();
        }
        return createEndpointResponse(name);
    }

    async function readStore(): Promise<boolean> {
        counters.add("configuration.storeReads");
        const revisions = await readRevisions(platform.tables, replica.state().revision);
        if (revisions.isErr) {
            return false;
        }
        const first = revisions.value[0];
        if (first !== undefined && first.revision > replica.state().revision + 1) {
            // The log no longer contains the next revision after this state.
            const state = await loadFromStore(platform, replica.state());
            if (state === undefined) {
                return false;
            }
            replica.adoptIfNewer(state);
        }
        replica.applyRevisions(revisions.value);
        recordConfirmation(0);
        return true;
    }

    async function askPeer(url: string, timeoutMs: number): Promise<WaitResponse | undefined> {
        const params = { afterRevision: replica.state().revision, timeoutMs, host: settings.host };
        const response = await rpc.call(url, configurationMethods.wait, params, {
            timeoutMs: timeoutMs + longPollMarginMs,
        });
        const checked = response.isOk ? checkValue(waitResponseSchema, response.value) : undefined;
        if (checked === undefined || checked.isErr) {
            dependencies.reportFailure(url);
            return undefined;
        }
        dependencies.reportSuccess(url);
        recordContact();
        return checked.value;
    }

    function applyResponse(response: WaitResponse): void {
        if (response.snapshot !== undefined) {
            replica.adoptIfNewer(fromSnapshot(response.snapshot));
        }
        replica.applyRevisions(response.revisions ?? []);
        if (response.revision >= replica.state().revision) {
            recordConfirmation(response.ageMs);
        }
    }

    async function followPeer(url: string): Promise<boolean> {
        const response = await askPeer(url, longPollMs);
        if (response === undefined) {
            return false;
        }
        applyResponse(response);
        return response.ageMs < maxPeerStalenessMs;
    }

    async function followOnce(source: ConfigurationSource, stopped: AbortSignal): Promise<boolean> {
        if (source.kind === "peer") {
            return followPeer(source.url);
        }
        const read = await readStore();
        const wakeup = new AbortController();
        pollWakeups.add(wakeup);
        const jitteredPollMs = settings.pollMs * (0.75 + random() / 2);
        await runLimited(
            { cancelledBy: [wakeup.signal, stopped] },
            ({ signal }) => clock.sleep(jitteredPollMs, signal),
        );
        pollWakeups.delete(wakeup);
        return read;
    }

    async function follow(stopped: AbortSignal): Promise<void> {
        let skipped = 0;
        while (!stopped.aborted) {
            const sources = sourcesFor(settings.dataCentre, settings.url, dependencies.localEntries());
            const source = sources[Math.min(skipped, sources.length - 1)] ?? { kind: "store" };
            const followed = await followOnce(source, stopped);
            if (followed) {
                // After one read of the store, the peers are tried again.
                skipped = source.kind === "store" ? 0 : skipped;
                continue;
            }
            skipped = (skipped + 1) % sources.length;
            counters.add("configuration.sourceFailures");
            await clock.sleep(maxRetryDelayMs * random(), stopped);
        }
    }

    /** Continues the read that an earlier call began: a large snapshot takes longer than one call waits. */
    function readInitial(): ReturnType<typeof loadFromStore> {
        initialRead ??= loadFromStore(platform, replica.state()).finally(() => {
            initialRead = undefined;
        });
        return initialRead;
    }

    async function loadInitial(): Promise<boolean> {
        const peers = pickSome(random, dependencies.knownEntries(), maxInitialPeers);
        const fromStore = readInitial();
        const responses = await Promise.all(peers.map(url => askPeer(url, 0)));
        const received = responses.filter(response => response !== undefined);
        received.forEach(applyResponse);
        const stored = await Promise.race([fromStore, clock.sleep(initialStoreTimeoutMs).then(() => undefined)]);
        if (stored !== undefined) {
            replica.adoptIfNewer(stored);
            recordConfirmation(0);
            return true;
        }
        // If half of the peers or fewer respond, all received states may be older than what this host served before
        // its restart.
        return received.length * 2 > peers.length;
    }

    async function announce(revision: number): Promise<void> {
        const peers = dependencies.allEntries().filter(url => url !== settings.url).slice(0, maxAnnouncementPeers);
        await Promise.all(
            peers.map(url =>
                rpc.call(url, configurationMethods.announce, { revision }, { timeoutMs: announcementTimeoutMs })
            ),
        );
    }

    const methods: RpcMethods = {
        [configurationMethods.wait]: rpcMethod(waitSchema, async (params, { signal }) => {
            recordHostRevision(params.host, params.afterRevision);
            await runLimited(
                { cancelledBy: [signal, waitsEnded.signal] },
                limit => replica.waitForRevisionAfter(params.afterRevision, params.timeoutMs, limit.signal),
            );
            return createWaitResponse(params.afterRevision);
        }),
        [configurationMethods.waitEndpoint]: rpcMethod(waitEndpointSchema, async params => {
            recordHostRevision(params.host, replica.state().revision);
            return waitForEndpoint(params.endpoint, params.afterVersion, params.timeoutMs);
        }),
        [configurationMethods.announce]: rpcMethod(announcementSchema, async ({ revision }) => {
            if (revision > replica.state().revision) {
                pollWakeups.forEach(controller => controller.abort());
            }
            return {};
        }),
    };

    return {
        methods,
        loadInitial,
        follow,
        ageMs: currentStalenessMs,
        sinceLastContactMs: () => clock.monotonicMs() - lastContactAtMs,
        recordContact,
        applyOwnWrite: async written => {
            await readStore();
            replica.adoptIfNewer(written);
        },
        announce,
        endWaits: () => waitsEnded.abort(),
        hostRevisions: () => [...hostRevisions.values()],
    };
}
