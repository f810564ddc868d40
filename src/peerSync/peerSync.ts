/**
 * Peer synchronization: periodic push-pull of state between entries, and the membership of entries derived from it.
 *
 * In each round, at a fixed interval, an entry calls a bounded number of peers: those without contact for the longest
 * time, so that the age of every peer's state is bounded. Each side of a call receives the other's state, so a peer that
 * has just called is not called back. With more than a few peers, those of other data centres are called less often. A
 * message carries what has changed since the state that the receiver says it holds, or the whole state. Entries send only
 * their own state and the URLs of the peers they have seen; they do not relay the states of others, except what all entries
 * must learn: leaving engines, the rates that engines name, verdicts on ejected instances and evidence against requests.
 * Peers are found through the seeds in the settings, the list in the store and other peers. A
 * peer that was seen once remains a member until it announces its shutdown or has not been seen for `memberTimeoutMs`,
 * because it may be cut off and still admit requests. On the wire, the methods are named `exchange.*`.
 */

import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { InvalidInput } from "../common/json.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Log } from "../telemetry/telemetry.js";
import { receiveMessage } from "./heldState.js";
import type { HeldState } from "./heldState.js";
import {
    copyRequestSchema,
    encodeTableCopy,
    leaveSchema,
    peerSyncMethods,
    positionOf,
    stateMessageSchema,
    tableCopySchema,
    usageReportSchema,
} from "./messages.js";
import type { EntryState, StateMessage, UsageReport } from "./messages.js";
import { createStateHistory } from "./stateHistory.js";
import { comparePositions, isLater, unknownPosition } from "./storePosition.js";
import type { StorePosition } from "./storePosition.js";
import type { TableReplica } from "./tableReplica.js";

export interface PeerSyncSettings {
    /** Base URL of this entry. */
    readonly url: string;
    /** Identifier of this start of the process. */
    readonly start: string;
    /** Base URLs of entries that are added again as peers in every round. */
    readonly seeds: readonly string[];
    /** Data centre of this entry; without one, all peers count as near. */
    readonly dataCentre?: string;
}

/** The part of an entry's state that other modules supply. */
export type LocalState = Pick<
    EntryState,
    | "usage"
    | "work"
    | "reconfiguring"
    | "fencingToken"
    | "desiredStateVersion"
    | "leaving"
    | "crashEvidence"
    | "engineRates"
    | "ejections"
    | "coldEngines"
>;

export interface PeerSyncDependencies {
    readonly clock: Clock;
    readonly rpc: RpcClient;
    readonly log: Log;
    /** Replicas of the store's tables, by table name. */
    readonly replicas: Readonly<Record<string, TableReplica>>;
    readonly localState: () => LocalState;
    /**
     * Called with the state of a peer after each message that is not late. Of `leaving`, `crashEvidence`, `engineRates`,
     * `ejections`, `coldEngines`, `reconfiguring` and `entries` it has what is new since the previous one, or more.
     */
    readonly onState: (state: EntryState) => void;
    readonly onUsageReport: (report: UsageReport) => void;
    /** Called when a peer has been removed. */
    readonly onPeerRemoved: (url: string) => void;
}

export interface PeerSync {
    readonly methods: RpcMethods;
    /** Number of entries that may be admitting requests, including this one. */
    readonly members: () => number;
    /** Fraction of the members, including this one, that were seen recently; in (0, 1]. */
    readonly liveFraction: () => number;
    /**
     * Base URLs of the live entries that have been running long enough for all others to know them, this one included;
     * of all live entries if there is none.
     */
    readonly stableEntries: () => readonly string[];
    /** Tells the live peers the usage of an account now, ahead of the next round. Not in fleets of many entries. */
    readonly reportUsage: (clientAccount: string, admittedCost: number) => void;
    /** Sends this entry's state to its live peers now, ahead of the next round; in fleets of many entries, to some. */
    readonly syncNow: () => void;
    /** Bytes of states sent and received since the start, without the envelope of the calls. */
    readonly traffic: () => PeerSyncTraffic;
    /** Time since the live peer that was seen longest ago was seen; 0 without live peers. */
    readonly oldestStateMs: () => number;
    /** Adds peers found elsewhere, such as in the store's list. */
    readonly addPeers: (urls: readonly string[]) => void;
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Asks the peers that have one for a copy of each table of which this entry has none, the newest copy first. */
    readonly fetchMissingCopies: () => Promise<void>;
    /** Whether a copy of a table is arriving from a peer. */
    readonly isCopying: (table: string) => boolean;
    /** Announces to all peers that this entry is shutting down. */
    readonly leave: () => Promise<void>;
}

/** Bytes exchanged with peers of the same data centre and of others. */
export interface PeerSyncTraffic {
    readonly near: DirectedBytes;
    readonly far: DirectedBytes;
}

export interface DirectedBytes {
    readonly sent: number;
    readonly received: number;
}

interface Peer {
    /** Identifier of the peer's last known start; `undefined` until it has been seen. */
    start: string | undefined;
    held: HeldState | undefined;
    /** Number of this entry's state that the peer said it holds; `undefined` if the whole state must be sent. */
    confirmedNumber: number | undefined;
    /** Monotonic time of that start. */
    startedAtMs: number;
    lastSeenAtMs: number | undefined;
    readonly addedAtMs: number;
    calledAtMs: number | undefined;
    isCallPending: boolean;
}

/** Interval between rounds; the possible overshoot of rate limits grows with it. */
export const peerSyncIntervalMs = 400;
/** Seen peers named in a message besides new ones, so that an entry which has removed one of them hears of it again. */
const entryReminders = 2;
/** Less than the number of any state. */
const unconfirmed = -1;
/** Peers called per round, so that the total cost grows linearly, not quadratically, with the number of entries. */
const callsPerRound = 6;
const callTimeoutMs = 700;
/**
 * A peer that was seen within this time is not called. Three quarters of the interval, so that the next call of that
 * peer arrives before this entry's next round.
 */
const skipRecentlySeenMs = 300;
/** With at most this many peers, those of other data centres are called as often as those of the same one. */
const maxPeersCalledAlike = 8;
/** With more, a peer of another data centre that was seen within this time is not called. */
const skipFarSeenMs = 1_500;
/** By then, a new entry has called all others, directly or after they heard of it from those that it called first. */
const stableAfterMs = 5_000;
/** A peer counts as live if it was seen within this many of the intervals at which it is expected to be seen. */
const liveWindowIntervals = 3;
/** With more live peers than this, usage is not reported ahead of the rounds, so that the cost stays bounded. */
const maxUsageReportPeers = 40;
/** Peers that get a state ahead of the rounds; they pass on what all entries must learn. */
const maxEarlySyncPeers = 20;
const usageReportTimeoutMs = 400;
/**
 * A member that was not seen for this long is removed, or for as long as it may be live in a large fleet; longer than a
 * network partition on the platform may last.
 */
const memberTimeoutMs = 30_000;
/** A peer that has never been seen, such as a seed that does not respond, is removed after this shorter time. */
const unseenPeerTimeoutMs = 4_000;
/** A change that a peer has seen arrives from the store within this time, unless the connection to the store is dead. */
const refreshAfterMs = 1_000;
/** If the store has not responded by then, the copy of the peer is fetched. */
const copyFromPeerAfterMs = 2_000;

/** How a replica is behind the copies of its peers. */
interface Lag {
    /** Latest position of a peer about which the store was asked, with the result that nothing is missing. */
    checked: StorePosition;
    /** Later position of a peer, and since when it has been known; `undefined` if the replica is not behind. */
    target: { readonly position: StorePosition; readonly sinceMs: number; } | undefined;
    isRefreshed: boolean;
}

export function createPeerSync(settings: PeerSyncSettings, dependencies: PeerSyncDependencies): PeerSync {
    const { clock, rpc, log, replicas } = dependencies;
    const startedAtMs = clock.monotonicMs();
    const peers = new Map<string, Peer>();
    const lags = new Map<string, Lag>();
    /** Tables of which a peer has been asked for a copy. Several copies at once would share this entry's link. */
    const copying = new Set<string>();
    const history = createStateHistory();
    const bytes = { near: { sent: 0, received: 0 }, far: { sent: 0, received: 0 } };
    let remindersSent = 0;

    function addPeer(url: string): void {
        if (url !== settings.url && !peers.has(url)) {
            peers.set(url, {
                start: undefined,
                held: undefined,
                confirmedNumber: undefined,
                startedAtMs: Number.NEGATIVE_INFINITY,
                lastSeenAtMs: undefined,
                addedAtMs: clock.monotonicMs(),
                calledAtMs: undefined,
                isCallPending: false,
            });
        }
    }

    function ownState(): Omit<EntryState, "url" | "start" | "uptimeMs"> {
        const positions = Object.entries(replicas).map(([table, replica]) => [table, replica.position()] as const);
        return {
            revisions: Object.fromEntries(positions.map(([table, { revision }]) => [table, revision])),
            eras: Object.fromEntries(positions.map(([table, { era }]) => [table, era])),
            entries: seenUrls(),
            dataCentre: settings.dataCentre,
            ...dependencies.localState(),
        };
    }

    function seenUrls(): string[] {
        return [...peers].filter(([, peer]) => peer.lastSeenAtMs !== undefined).map(([url]) => url);
    }

    /** The next of the peers that this entry has seen, in turn. */
    function nextReminders(): readonly string[] {
        const urls = seenUrls();
        const first = urls.length === 0 ? 0 : remindersSent % urls.length;
        remindersSent += entryReminders;
        return [...urls.slice(first), ...urls.slice(0, first)].slice(0, entryReminders);
    }

    /** This entry's state for a peer: what has changed since the state that the peer holds, or the whole. */
    function messageTo(peer: Peer | undefined): StateMessage {
        const nowMs = clock.monotonicMs();
        const state = ownState();
        const number = history.update(state, nowMs);
        const holds = peer?.held?.number;
        const head = { url: settings.url, start: settings.start, uptimeMs: Math.round(nowMs - startedAtMs) };
        const since = peer?.confirmedNumber;
        const changes = since === undefined ? undefined : history.changesSince(since);
        if (since === undefined || changes === undefined) {
            return { form: "whole", ...head, ...state, sync: { number, holds } };
        }
        const newEntries = changes.changed["entries"] as readonly string[] | undefined;
        const entries = [...new Set([...newEntries ?? [], ...nextReminders()])];
        return {
            form: "changes",
            ...head,
            sync: { number, since, holds },
            changed: { ...changes.changed, entries },
            removed: changes.removed,
        };
    }

    function handleMessage(message: StateMessage): void {
        addPeer(message.url);
        const peer = peers.get(message.url);
        if (peer === undefined) {
            return;
        }
        peer.confirmedNumber = message.sync?.holds;
        const reception = receiveMessage(peer.held, message);
        if (reception.isErr) {
            logInvalid(message.url, reception.error);
            peer.held = undefined;
        }
        else if (reception.value.kind === "received") {
            peer.held = reception.value.held;
            handleState(reception.value.state, peer);
        }
        else if (reception.value.kind === "unknownBase") {
            // The number that is held belongs to an earlier start, so the peer is told that nothing is held.
            peer.held = undefined;
        }
    }

    function logInvalid(url: string, { path }: InvalidInput): void {
        log.warn("an entry answered with an invalid state", { entry: url, field: path });
    }

    function handleState(state: EntryState, peer: Peer): void {
        if (peer.start !== state.start) {
            log.info("heard a new start of an entry", { entry: state.url, members: members() });
        }
        peer.start = state.start;
        peer.lastSeenAtMs = clock.monotonicMs();
        peer.startedAtMs = clock.monotonicMs() - (state.uptimeMs ?? Number.POSITIVE_INFINITY);
        state.entries.forEach(addPeer);
        dependencies.onState(state);
        void catchUp(state);
    }

    function removePeer(url: string, cause: string): void {
        peers.delete(url);
        log.info("an entry is no longer a member", { entry: url, cause, members: members() });
        dependencies.onPeerRemoved(url);
    }

    function removeExpiredPeers(): void {
        const nowMs = clock.monotonicMs();
        for (const [url, peer] of peers) {
            const limitMs = peer.lastSeenAtMs === undefined
                ? unseenPeerTimeoutMs
                : Math.max(memberTimeoutMs, liveWindowMs());
            if (nowMs - (peer.lastSeenAtMs ?? peer.addedAtMs) > limitMs) {
                removePeer(url, "it was not seen for too long");
            }
        }
    }

    /** In a round, an entry calls `callsPerRound` peers and is called by as many on average. */
    function liveWindowMs(): number {
        const roundsPerContact = Math.max(1, (members() - 1) / (2 * callsPerRound));
        return liveWindowIntervals * peerSyncIntervalMs * roundsPerContact;
    }

    function isLive(peer: Peer): boolean {
        const windowMs = isCalledSeldom(peer)
            ? Math.max(liveWindowMs(), skipFarSeenMs + liveWindowIntervals * peerSyncIntervalMs)
            : liveWindowMs();
        return peer.lastSeenAtMs !== undefined && clock.monotonicMs() - peer.lastSeenAtMs < windowMs;
    }

    function isCalledSeldom(peer: Peer): boolean {
        return peers.size > maxPeersCalledAlike && isInOtherDataCentre(peer);
    }

    function members(): number {
        return 1 + [...peers.values()].filter(peer => peer.lastSeenAtMs !== undefined).length;
    }

    async function callPeer(url: string, peer: Peer): Promise<void> {
        peer.isCallPending = true;
        try {
            const sent = await exchangeStates(url, peer);
            // A peer that lacks the state at which the changes start has said so, and gets the whole state.
            if (sent.form === "changes" && (peer.confirmedNumber ?? unconfirmed) < sent.sync.since) {
                await exchangeStates(url, peer);
            }
        }
        finally {
            peer.isCallPending = false;
        }
    }

    /** Sends this entry's state to a peer and handles the response; returns what was sent. */
    async function exchangeStates(url: string, peer: Peer): Promise<StateMessage> {
        peer.calledAtMs = clock.monotonicMs();
        const sent = messageTo(peer);
        countBytes(peer, "sent", sent);
        const response = await rpc.call(url, peerSyncMethods.state, sent, { timeoutMs: callTimeoutMs });
        if (response.isErr) {
            if (response.error.kind === "rejected") {
                // The URL may have passed to an entry of an earlier version, which understands only whole states.
                peer.confirmedNumber = undefined;
            }
            return sent;
        }
        countBytes(peer, "received", response.value);
        const message = checkValue(stateMessageSchema, response.value);
        if (message.isOk) {
            handleMessage(message.value);
        }
        else {
            logInvalid(url, message.error);
        }
        return sent;
    }

    function countBytes(peer: Peer | undefined, direction: keyof DirectedBytes, message: unknown): void {
        const isOther = peer !== undefined && isInOtherDataCentre(peer);
        bytes[isOther ? "far" : "near"][direction] += Buffer.byteLength(JSON.stringify(message));
    }

    function isInOtherDataCentre({ held }: Peer): boolean {
        const dataCentre = held?.state.dataCentre;
        return settings.dataCentre !== undefined && dataCentre !== undefined && dataCentre !== settings.dataCentre;
    }

    /** Catches up with a peer whose copy of a table is newer: from the store if it responds, else from the peer. */
    async function catchUp(state: EntryState): Promise<void> {
        for (const [table, replica] of Object.entries(replicas)) {
            const lag = lagOf(table);
            const position = positionOf(state, table);
            if (lag.target !== undefined && !isLater(lag.target.position, replica.position())) {
                resetLag(lag, lag.checked);
            }
            if (!isLater(position, replica.position())) {
                continue;
            }
            if (replica.isReceiving()) {
                resetLag(lag, lag.checked);
                continue;
            }
            if (!replica.isStoreReachable()) {
                await fetchCopy(state.url, table, replica);
                continue;
            }
            if (!isLater(position, lag.checked)) {
                continue;
            }
            const nowMs = clock.monotonicMs();
            lag.target ??= { position, sinceMs: nowMs };
            const behindMs = nowMs - lag.target.sinceMs;
            if (replica.stalenessMs() < behindMs) {
                // The store has confirmed the replica since then: the peer's revision concerns another table.
                resetLag(lag, lag.target.position);
            }
            else if (behindMs >= copyFromPeerAfterMs) {
                resetLag(lag, lag.checked);
                await fetchCopy(state.url, table, replica);
            }
            else if (behindMs >= refreshAfterMs && !lag.isRefreshed) {
                lag.isRefreshed = true;
                replica.refresh();
            }
        }
    }

    function lagOf(table: string): Lag {
        const lag = lags.get(table) ?? { checked: unknownPosition, target: undefined, isRefreshed: false };
        lags.set(table, lag);
        return lag;
    }

    function resetLag(lag: Lag, checked: StorePosition): void {
        lag.checked = checked;
        lag.target = undefined;
        lag.isRefreshed = false;
    }

    async function fetchCopy(url: string, table: string, replica: TableReplica): Promise<void> {
        if (copying.has(table)) {
            return;
        }
        copying.add(table);
        const response = await rpc.call(url, peerSyncMethods.copy, { table }, { timeoutMs: callTimeoutMs });
        copying.delete(table);
        if (response.isErr) {
            log.warn("a copy of a table did not arrive from another entry", {
                entry: url,
                table,
                cause: response.error.cause,
            });
        }
        const copy = response.isOk ? checkValue(tableCopySchema, response.value) : undefined;
        if (copy?.isOk && replica.adoptIfNewer(copy.value)) {
            log.info("took a newer copy of a table from another entry", {
                entry: url,
                table,
                position: copy.value.position,
            });
        }
    }

    async function fetchFirstCopy(table: string, replica: TableReplica): Promise<void> {
        const holders = [...peers]
            .flatMap(([url, { held }]) => held === undefined ? [] : [{ url, position: positionOf(held.state, table) }])
            .filter(({ position }) => isLater(position, unknownPosition))
            .sort((left, right) => comparePositions(right.position, left.position));
        for (const { url } of holders) {
            if (isLater(replica.position(), unknownPosition)) {
                return;
            }
            await fetchCopy(url, table, replica);
        }
    }

    /** The peers of a round: those with which there was no contact, by either side, for the longest time. */
    function nextPeers(): readonly [string, Peer][] {
        const nowMs = clock.monotonicMs();
        const lastContactMs = ({ lastSeenAtMs, calledAtMs }: Peer): number =>
            Math.max(lastSeenAtMs ?? Number.NEGATIVE_INFINITY, calledAtMs ?? Number.NEGATIVE_INFINITY);
        const isDue = (peer: Peer): boolean =>
            peer.lastSeenAtMs === undefined
            || nowMs - peer.lastSeenAtMs >= (isCalledSeldom(peer) ? skipFarSeenMs : skipRecentlySeenMs);
        return [...peers]
            .filter(([, peer]) => !peer.isCallPending && isDue(peer))
            .sort(([, left], [, right]) => lastContactMs(left) - lastContactMs(right))
            .slice(0, callsPerRound);
    }

    function reportUsage(clientAccount: string, admittedCost: number): void {
        const live = [...peers].filter(([, peer]) => isLive(peer));
        if (live.length > maxUsageReportPeers) {
            return;
        }
        const report: UsageReport = { start: settings.start, clientAccount, admittedCost };
        for (const [url] of live) {
            // A lost report is made up for by the next round.
            void rpc.call(url, peerSyncMethods.usage, report, { timeoutMs: usageReportTimeoutMs });
        }
    }

    function syncNow(): void {
        const live = [...peers].filter(([, peer]) => isLive(peer) && !peer.isCallPending);
        live.slice(0, maxEarlySyncPeers).forEach(([url, peer]) => void callPeer(url, peer));
    }

    return {
        reportUsage,
        syncNow,
        methods: {
            [peerSyncMethods.usage]: rpcMethod(usageReportSchema, async report => {
                dependencies.onUsageReport(report);
                return {};
            }),
            [peerSyncMethods.state]: rpcMethod(stateMessageSchema, async message => {
                handleMessage(message);
                const peer = peers.get(message.url);
                countBytes(peer, "received", message);
                const response = messageTo(peer);
                countBytes(peer, "sent", response);
                return response;
            }),
            [peerSyncMethods.leave]: rpcMethod(leaveSchema, async ({ url, start }) => {
                if (peers.get(url)?.start === start) {
                    removePeer(url, "it is shutting down");
                }
                return {};
            }),
            [peerSyncMethods.copy]: rpcMethod(
                copyRequestSchema,
                async ({ table }) =>
                    encodeTableCopy(replicas[table]?.copy() ?? { position: unknownPosition, rows: [] }),
            ),
        },
        members,
        liveFraction: () => (1 + [...peers.values()].filter(isLive).length) / members(),
        stableEntries: () => {
            const livePeers = [...peers].filter(([, peer]) => isLive(peer))
                .map(([url, peer]) => ({ url, startedAtMs: peer.startedAtMs }));
            const live = [{ url: settings.url, startedAtMs }, ...livePeers];
            const stable = live.filter(entry => clock.monotonicMs() - entry.startedAtMs >= stableAfterMs);
            return (stable.length > 0 ? stable : live).map(({ url }) => url);
        },
        traffic: () => bytes,
        oldestStateMs: () => {
            const nowMs = clock.monotonicMs();
            const agesMs = [...peers.values()].filter(isLive).map(({ lastSeenAtMs }) =>
                nowMs - (lastSeenAtMs ?? nowMs)
            );
            return Math.max(0, ...agesMs);
        },
        addPeers: urls => urls.forEach(addPeer),
        run: async signal => {
            while (!signal.aborted) {
                settings.seeds.forEach(addPeer);
                removeExpiredPeers();
                nextPeers().forEach(([url, peer]) => void callPeer(url, peer));
                await clock.sleep(peerSyncIntervalMs, signal);
            }
        },
        fetchMissingCopies: async () => {
            settings.seeds.forEach(addPeer);
            for (const [table, replica] of Object.entries(replicas)) {
                if (!replica.isReceiving()) {
                    await fetchFirstCopy(table, replica);
                }
            }
        },
        isCopying: table => copying.has(table),
        leave: async () => {
            const message = { url: settings.url, start: settings.start };
            const calls = [...peers.keys()].map(url =>
                rpc.call(url, peerSyncMethods.leave, message, { timeoutMs: callTimeoutMs })
            );
            await Promise.all(calls);
        },
    };
}
