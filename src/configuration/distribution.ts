/**
 * Keeps an entry's replica up to date: from the store or from other entries, see `tree`.
 */

import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { Platform } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Counters } from "../telemetry/telemetry.js";
import { readRevisions } from "./log.js";
import { configurationMethods, pokeSchema, waitAnswerSchema, waitEndpointSchema, waitSchema } from "./messages.js";
import type { WaitAnswer, WaitEndpointAnswer } from "./messages.js";
import type { Endpoint } from "./objects.js";
import type { ConfigurationReplica } from "./replica.js";
import { fromSnapshot, loadFromStore, toSnapshot } from "./snapshot.js";
import { lookUp } from "./state.js";
import type { ConfigurationState } from "./state.js";
import { sourcesFor } from "./tree.js";
import type { ConfigurationSource } from "./tree.js";

export interface DistributionSettings {
    readonly host: string;
    readonly dataCentre: string;
    readonly url: string;
    /** Time between two reads of the store's head. */
    readonly pollMs: number;
}

export interface DistributionDependencies {
    readonly platform: Platform;
    readonly replica: ConfigurationReplica;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    /** Entries of the same data centre that can be asked. */
    readonly localEntries: () => readonly string[];
    /** Usable entries of all data centres. */
    readonly allEntries: () => readonly string[];
    /** All other entries that are known, also those that do not answer. */
    readonly knownEntries: () => readonly string[];
    readonly reportFailure: (url: string) => void;
    readonly reportSuccess: (url: string) => void;
}

/** What a host was last seen at. */
export interface HostRevision {
    readonly host: string;
    readonly revision: number;
    readonly seenAtMs: number;
}

export interface Distribution {
    readonly methods: RpcMethods;
    /** Loads the newest state that can be found; tells whether it may be served. */
    readonly loadInitial: () => Promise<boolean>;
    /** Follows the sources until `stopped` aborts. */
    readonly follow: (stopped: AbortSignal) => Promise<void>;
    /** Time since the state was last confirmed with the store, directly or through others. */
    readonly ageMs: () => number;
    /** Time since the store or any other entry last answered. */
    readonly silenceMs: () => number;
    readonly noteContact: () => void;
    /** Takes up a state that this process has just written, with its revisions if the store gives them. */
    readonly readNow: (written: ConfigurationState) => Promise<void>;
    /** Tells the other data centres' readers about a new revision. */
    readonly announce: (revision: number) => Promise<void>;
    /** The revisions that asking hosts were last seen at. */
    readonly hostRevisions: () => readonly HostRevision[];
}

const longPollMs = 3_000;
const longPollMarginMs = 1_500;
const initialAnswerMs = 1_500;
/** A peer whose state is older than this is passed over while another source can be had. */
const staleAgeMs = 6_000;
const initialPeers = 8;
const announcedPeers = 64;
const announceTimeoutMs = 1_000;
const retryMs = 300;
const entryUrlsForAgents = 4;

export function createDistribution(
    settings: DistributionSettings,
    dependencies: DistributionDependencies,
): Distribution {
    const { platform, replica, rpc, clock, random, counters } = dependencies;
    const hostRevisions = new Map<string, HostRevision>();
    const poked = new Set<AbortController>();
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let contactAtMs = clock.monotonicMs();

    function noteContact(): void {
        contactAtMs = clock.monotonicMs();
    }

    function noteConfirmed(ageMs: number): void {
        noteContact();
        confirmedAtMs = Math.max(confirmedAtMs, clock.monotonicMs() - ageMs);
    }

    function ageMs(): number {
        return Math.min(Number.MAX_SAFE_INTEGER, clock.monotonicMs() - confirmedAtMs);
    }

    function noteHost(host: string, revision: number): void {
        hostRevisions.set(host, { host, revision, seenAtMs: clock.monotonicMs() });
    }

    function answerWait(afterRevision: number): WaitAnswer {
        const state = replica.state();
        const revisions = replica.revisionsAfter(afterRevision);
        const base = { revision: state.revision, ageMs: ageMs() };
        return revisions === undefined
            ? { ...base, snapshot: toSnapshot(state) }
            : { ...base, revisions: [...revisions] };
    }

    function answerEndpoint(name: string): WaitEndpointAnswer {
        const state = replica.state();
        const object = lookUp(state, "endpoint", name);
        const others = dependencies.localEntries().slice(0, entryUrlsForAgents);
        return {
            revision: state.revision,
            version: object?.version ?? 0,
            endpoint: object?.value as Endpoint | undefined,
            entryUrls: [...others],
        };
    }

    async function waitForEndpoint(name: string, afterVersion: number, timeoutMs: number): Promise<WaitEndpointAnswer> {
        const untilMs = clock.monotonicMs() + timeoutMs;
        let remainingMs = timeoutMs;
        while (answerEndpoint(name).version === afterVersion && remainingMs > 0) {
            await replica.waitBeyond(replica.state().revision, remainingMs);
            remainingMs = untilMs - clock.monotonicMs();
        }
        return answerEndpoint(name);
    }

    async function readStore(): Promise<boolean> {
        counters.add("configuration.storeReads");
        const revisions = await readRevisions(platform.tables, replica.state().revision);
        if (revisions.isErr) {
            return false;
        }
        const first = revisions.value[0];
        if (first !== undefined && first.revision > replica.state().revision + 1) {
            // The log no longer reaches back to this state.
            const state = await loadFromStore(platform, replica.state());
            if (state === undefined) {
                return false;
            }
            replica.adopt(state);
        }
        replica.applyRevisions(revisions.value);
        noteConfirmed(0);
        return true;
    }

    async function askPeer(url: string, timeoutMs: number): Promise<WaitAnswer | undefined> {
        const params = { afterRevision: replica.state().revision, timeoutMs, host: settings.host };
        const answer = await rpc.call(url, configurationMethods.wait, params, {
            timeoutMs: timeoutMs + longPollMarginMs,
        });
        const checked = answer.isOk ? checkValue(waitAnswerSchema, answer.value) : undefined;
        if (checked === undefined || checked.isErr) {
            dependencies.reportFailure(url);
            return undefined;
        }
        dependencies.reportSuccess(url);
        noteContact();
        return checked.value;
    }

    function takeAnswer(answer: WaitAnswer): void {
        if (answer.snapshot !== undefined) {
            replica.adopt(fromSnapshot(answer.snapshot));
        }
        replica.applyRevisions(answer.revisions ?? []);
        if (answer.revision >= replica.state().revision) {
            noteConfirmed(answer.ageMs);
        }
    }

    async function followPeer(url: string): Promise<boolean> {
        const answer = await askPeer(url, longPollMs);
        if (answer === undefined) {
            return false;
        }
        takeAnswer(answer);
        return answer.ageMs < staleAgeMs;
    }

    async function followOnce(source: ConfigurationSource, stopped: AbortSignal): Promise<boolean> {
        if (source.kind === "peer") {
            return followPeer(source.url);
        }
        const read = await readStore();
        const poke = new AbortController();
        poked.add(poke);
        const spreadMs = settings.pollMs * (0.75 + random() / 2);
        await clock.sleep(spreadMs, AbortSignal.any([poke.signal, stopped]));
        poked.delete(poke);
        return read;
    }

    async function follow(stopped: AbortSignal): Promise<void> {
        let skipped = 0;
        while (!stopped.aborted) {
            const sources = sourcesFor(settings.dataCentre, settings.url, dependencies.localEntries());
            const source = sources[Math.min(skipped, sources.length - 1)] ?? { kind: "store" };
            const followed = await followOnce(source, stopped);
            if (followed) {
                // After a while on the store, the peers are tried again.
                skipped = source.kind === "store" ? 0 : skipped;
                continue;
            }
            skipped = (skipped + 1) % sources.length;
            counters.add("configuration.sourceFailures");
            await clock.sleep(retryMs * random(), stopped);
        }
    }

    async function loadInitial(): Promise<boolean> {
        const peers = pickSome(random, dependencies.knownEntries(), initialPeers);
        const fromStore = loadFromStore(platform, replica.state());
        const answers = await Promise.all(peers.map(url => askPeer(url, 0)));
        const answered = answers.filter(answer => answer !== undefined);
        answered.forEach(takeAnswer);
        const stored = await Promise.race([fromStore, clock.sleep(initialAnswerMs).then(() => undefined)]);
        if (stored !== undefined) {
            replica.adopt(stored);
            noteConfirmed(0);
            return true;
        }
        // Few answers might all come from entries that lag behind what this host served before.
        return answered.length * 2 > peers.length;
    }

    async function announce(revision: number): Promise<void> {
        const peers = dependencies.allEntries().filter(url => url !== settings.url).slice(0, announcedPeers);
        await Promise.all(
            peers.map(url => rpc.call(url, configurationMethods.poke, { revision }, { timeoutMs: announceTimeoutMs })),
        );
    }

    const methods: RpcMethods = {
        [configurationMethods.wait]: rpcMethod(waitSchema, async (params, { signal }) => {
            noteHost(params.host, params.afterRevision);
            await replica.waitBeyond(params.afterRevision, params.timeoutMs, signal);
            return answerWait(params.afterRevision);
        }),
        [configurationMethods.waitEndpoint]: rpcMethod(waitEndpointSchema, async params => {
            noteHost(params.host, replica.state().revision);
            return waitForEndpoint(params.endpoint, params.afterVersion, params.timeoutMs);
        }),
        [configurationMethods.poke]: rpcMethod(pokeSchema, async ({ revision }) => {
            if (revision > replica.state().revision) {
                poked.forEach(controller => controller.abort());
            }
            return {};
        }),
    };

    return {
        methods,
        loadInitial,
        follow,
        ageMs,
        silenceMs: () => clock.monotonicMs() - contactAtMs,
        noteContact,
        readNow: async written => {
            await readStore();
            replica.adopt(written);
        },
        announce,
        hostRevisions: () => [...hostRevisions.values()],
    };
}
