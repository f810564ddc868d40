/**
 * Regular exchange of states between entries, and through it the membership of entries.
 *
 * Every entry calls a bounded number of others in turn at a fixed interval; both sides of a call learn the other's
 * state, so an entry that has just called is not called back. Entries are found through the settings' seeds, the store's
 * list and each other. An entry that has not been heard for a while still counts as a member until it says that it leaves
 * or a longer time has passed, because it may be cut off and go on admitting.
 */

import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Log } from "../telemetry/telemetry.js";
import { copyRequestSchema, entryStateSchema, exchangeMethods, leaveSchema, tableCopySchema } from "./messages.js";
import type { EntryState } from "./messages.js";
import type { TableReplica } from "./tableReplica.js";

export interface ExchangeSettings {
    /** Base URL of this entry. */
    readonly url: string;
    readonly start: string;
    readonly seeds: readonly string[];
}

/** The part of an entry's state that the exchange doesn't know itself. */
export type LocalState = Pick<EntryState, "usage" | "work" | "reconfiguring">;

export interface ExchangeDependencies {
    readonly clock: Clock;
    readonly rpc: RpcClient;
    readonly log: Log;
    readonly replicas: Readonly<Record<string, TableReplica>>;
    readonly localState: () => LocalState;
    /** Called with each state heard. */
    readonly onState: (state: EntryState) => void;
    /** Called when an entry is no longer a member. */
    readonly onGone: (url: string) => void;
}

export interface Exchange {
    readonly methods: RpcMethods;
    /** Entries that may be admitting, this one included. */
    readonly members: () => number;
    /** Part of the members, this one included, that were heard lately. */
    readonly heardShare: () => number;
    /** Adds entries found elsewhere. */
    readonly addEntries: (urls: readonly string[]) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Asks known entries for copies of tables that this one has none of. */
    readonly fetchMissingCopies: () => Promise<void>;
    /** Tells the others that this entry leaves. */
    readonly leave: () => Promise<void>;
}

interface Peer {
    start: string | undefined;
    heardAtMs: number | undefined;
    readonly addedAtMs: number;
    isCalled: boolean;
    revisions: Readonly<Record<string, number>>;
}

/** Interval of the calls; the quota's overshoot grows with it. */
export const exchangeIntervalMs = 400;
/** Entries called in one interval, so that cost grows with the number of entries and not with its square. */
const callsPerInterval = 6;
const callTimeoutMs = 700;
/** An entry that was heard this lately is not called: three quarters of the interval, so that its next call is earlier. */
const skipHeardMs = 300;
/** An entry heard within this time counts as heard: two intervals and a call's time. */
const heardForMs = 1_200;
/** An entry that was not heard for this long is no member any more: longer than a cut may last (platform). */
const goneAfterMs = 30_000;
/** A seed or listed entry that never answered is forgotten sooner. */
const neverHeardMs = 4_000;
/** A copy is taken from another entry when the store has not confirmed the own one for longer than a feed call takes. */
const copyAfterSilenceMs = 2_400;

export function createExchange(settings: ExchangeSettings, dependencies: ExchangeDependencies): Exchange {
    const { clock, rpc, log, replicas } = dependencies;
    const peers = new Map<string, Peer>();
    let turn = 0;

    function addPeer(url: string): void {
        if (url !== settings.url && !peers.has(url)) {
            peers.set(url, {
                start: undefined,
                heardAtMs: undefined,
                addedAtMs: clock.monotonicMs(),
                isCalled: false,
                revisions: {},
            });
        }
    }

    function ownState(): EntryState {
        const revisions = Object.entries(replicas).map(([table, replica]) => [table, replica.copy().revision] as const);
        const heard = [...peers].filter(([, peer]) => peer.heardAtMs !== undefined).map(([url]) => url);
        return {
            url: settings.url,
            start: settings.start,
            revisions: Object.fromEntries(revisions),
            entries: heard,
            ...dependencies.localState(),
        };
    }

    function hear(state: EntryState): void {
        addPeer(state.url);
        const peer = peers.get(state.url);
        if (peer === undefined) {
            return;
        }
        if (peer.start !== state.start) {
            log.info("heard a new start of an entry", { entry: state.url, members: members() });
        }
        peer.start = state.start;
        peer.heardAtMs = clock.monotonicMs();
        peer.revisions = state.revisions;
        state.entries.forEach(addPeer);
        dependencies.onState(state);
        void takeNewerCopies(state.url, state.revisions);
    }

    function forget(url: string, cause: string): void {
        peers.delete(url);
        log.info("an entry is no longer a member", { entry: url, cause, members: members() });
        dependencies.onGone(url);
    }

    function dropSilent(): void {
        const nowMs = clock.monotonicMs();
        for (const [url, peer] of peers) {
            const limitMs = peer.heardAtMs === undefined ? neverHeardMs : goneAfterMs;
            if (nowMs - (peer.heardAtMs ?? peer.addedAtMs) > limitMs) {
                forget(url, "it was not heard for too long");
            }
        }
    }

    function isHeard(peer: Peer): boolean {
        return peer.heardAtMs !== undefined && clock.monotonicMs() - peer.heardAtMs < heardForMs;
    }

    function members(): number {
        return 1 + [...peers.values()].filter(peer => peer.heardAtMs !== undefined).length;
    }

    async function callPeer(url: string, peer: Peer): Promise<void> {
        peer.isCalled = true;
        const answer = await rpc.call(url, exchangeMethods.state, ownState(), { timeoutMs: callTimeoutMs });
        peer.isCalled = false;
        const state = answer.isOk ? checkValue(entryStateSchema, answer.value) : undefined;
        if (state?.isOk) {
            hear(state.value);
        }
        else if (state?.isErr) {
            log.warn("an entry answered with an invalid state", { entry: url, field: state.error.path });
        }
    }

    async function takeNewerCopies(url: string, revisions: Readonly<Record<string, number>>): Promise<void> {
        for (const [table, replica] of Object.entries(replicas)) {
            const isNewer = (revisions[table] ?? -1) > replica.copy().revision;
            if (isNewer && replica.silenceMs() > copyAfterSilenceMs) {
                await takeCopy(url, table, replica);
            }
        }
    }

    async function takeCopy(url: string, table: string, replica: TableReplica): Promise<void> {
        const answer = await rpc.call(url, exchangeMethods.copy, { table }, { timeoutMs: callTimeoutMs });
        const copy = answer.isOk ? checkValue(tableCopySchema, answer.value) : undefined;
        if (copy?.isOk && replica.offer(copy.value)) {
            log.info("took a newer copy of a table from another entry", {
                entry: url,
                table,
                revision: copy.value.revision,
            });
        }
    }

    function nextPeers(): readonly [string, Peer][] {
        const nowMs = clock.monotonicMs();
        const idle = [...peers].filter(([, { isCalled, heardAtMs }]) =>
            !isCalled && (heardAtMs === undefined || nowMs - heardAtMs >= skipHeardMs)
        );
        const first = idle.length <= callsPerInterval ? 0 : turn % idle.length;
        turn += callsPerInterval;
        return [...idle.slice(first), ...idle.slice(0, first)].slice(0, callsPerInterval);
    }

    return {
        methods: {
            [exchangeMethods.state]: rpcMethod(entryStateSchema, async state => {
                hear(state);
                return ownState();
            }),
            [exchangeMethods.leave]: rpcMethod(leaveSchema, async ({ url, start }) => {
                if (peers.get(url)?.start === start) {
                    forget(url, "it is shutting down");
                }
                return {};
            }),
            [exchangeMethods.copy]: rpcMethod(
                copyRequestSchema,
                async ({ table }) => replicas[table]?.copy() ?? { revision: -1, rows: [] },
            ),
        },
        members,
        heardShare: () => (1 + [...peers.values()].filter(isHeard).length) / members(),
        addEntries: urls => urls.forEach(addPeer),
        run: async signal => {
            while (!signal.aborted) {
                settings.seeds.forEach(addPeer);
                dropSilent();
                nextPeers().forEach(([url, peer]) => void callPeer(url, peer));
                await clock.sleep(exchangeIntervalMs, signal);
            }
        },
        fetchMissingCopies: async () => {
            settings.seeds.forEach(addPeer);
            for (const [table, replica] of Object.entries(replicas)) {
                if (replica.copy().revision < 0) {
                    await Promise.all([...peers.keys()].map(url => takeCopy(url, table, replica)));
                }
            }
        },
        leave: async () => {
            const message = { url: settings.url, start: settings.start };
            const calls = [...peers.keys()].map(url =>
                rpc.call(url, exchangeMethods.leave, message, { timeoutMs: callTimeoutMs })
            );
            await Promise.all(calls);
        },
    };
}
