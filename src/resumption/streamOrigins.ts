/**
 * With which software version each resumable stream began, wherever its caller takes it up.
 *
 * An entry records the origin of a stream when its engine is confirmed to be the start that the registry names, usually
 * before the first event. It sends it to two other entries, the stream's holders, one of which writes it to the store. So it
 * is known when the entry has ended, when all entries have ended, and in an outage of the store. In a fleet of many entries
 * the holders are chosen from a few of them, the recorders: their number bounds the writes to the store, since each recorder
 * writes the origins of an interval in one transaction, and the calls with which an entry asks for an origin.
 *
 * The origin of a stream never changes. If a request id is used for streams of different versions nevertheless, its
 * origin is unknown.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import { sha256Hex } from "../common/digest.js";
import { checkValue } from "../common/json.js";
import { rankByRendezvous } from "../common/rendezvous.js";
import type { TableService } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Log } from "../telemetry/telemetry.js";
import { findOriginResponseSchema, findOriginSchema, recordOriginsSchema, resumptionMethods } from "./messages.js";
import type { RecordOrigins, StreamOrigin } from "./messages.js";
import { createOriginStore } from "./originStore.js";
import type { StoredOrigin } from "./originStore.js";

/** An origin whose version is known. */
export type KnownOrigin = StreamOrigin & { readonly softwareVersion: string; };

export type FoundOrigin =
    | { readonly kind: "found"; readonly origin: KnownOrigin; }
    /** Nothing shows with which version the stream began; `isFinal` if asking again would not help. */
    | { readonly kind: "unknown"; readonly isFinal: boolean; readonly cause: string; };

export interface StreamOrigins {
    /** Records with which version a stream began; its engine must be known to have this version. */
    readonly record: (requestId: string, origin: KnownOrigin) => void;
    /**
     * Records with which version a stream began once its engine is known to have this version. Until then, whoever looks
     * the stream up finds that it may become known.
     */
    readonly recordOnceKnown: (requestId: string, origin: KnownOrigin, isKnown: Promise<boolean>) => Promise<void>;
    /** Looks up with which version the stream of a request began. */
    readonly find: (requestId: string) => Promise<FoundOrigin>;
    /** Methods that other entries call. */
    readonly methods: RpcMethods;
    readonly run: (signal: AbortSignal) => Promise<void>;
    /** Passes on what is not passed on yet, before this entry ends. */
    readonly flush: () => Promise<void>;
}

export interface StreamOriginsDependencies {
    readonly clock: Clock;
    readonly rpc: RpcClient;
    readonly tables: TableService;
    readonly log: Log;
    /** Base URL of this entry. */
    readonly url: string;
    /** Base URLs of the entries that may be recorders, see `PeerSync`. */
    readonly stableEntries: () => readonly string[];
}

const maxRecorders = 8;
const holdersPerStream = 2;
/** Origins that are remembered; the oldest are forgotten first. */
const maxRemembered = 10_000;
/** Streams whose versions are not known yet; the oldest are forgotten first. */
const maxPending = 10_000;
/** Time for which origins are collected before they are sent to their holders together. */
const sendDelayMs = 30;
const callTimeoutMs = 300;
/** Interval at which origins are passed on again that have too few holders, and how many of them are kept. */
const passOnAgainMs = 500;
const maxUnderheld = 1_000;
/** Identifies the recorders and the entry that removes old rows. */
const recordersKey = "stream origins";
const keyLength = 32;

type Message = RecordOrigins["origins"][number];

/**
 * What one place knows; `pending` if the entry at which the stream began does not know its version yet, `silent` if an
 * entry that may know the stream did not answer.
 */
type LookedUp = StoredOrigin | { readonly kind: "pending"; } | { readonly kind: "silent"; readonly cause: string; };

/** Identifies a stream by the id of the request with which it began; callers choose these ids. */
export function streamKey(requestId: string): string {
    return sha256Hex(requestId).slice(0, keyLength);
}

export function createStreamOrigins(dependencies: StreamOriginsDependencies): StreamOrigins {
    const { clock, rpc, tables, log, url, stableEntries } = dependencies;
    const remembered = new Map<string, StreamOrigin>();
    const outbox = new Map<string, Message[]>();
    const underheld = new Map<string, StreamOrigin>();
    /** The number of runs whose engines are not confirmed yet, by stream: a request may be sent more than once. */
    const pending = new Map<string, number>();
    let isSendScheduled = false;
    let recorders: { readonly entryList: string; readonly urls: readonly string[]; } = { entryList: "", urls: [] };
    const store = createOriginStore(tables, clock, log, () => currentRecorders()[0] === url);

    /** Hashing hundreds of entries takes time, so the choice is kept while the list of entries stays the same. */
    function currentRecorders(): readonly string[] {
        const entries = [...stableEntries()].sort();
        const entryList = entries.join(" ");
        if (recorders.entryList !== entryList) {
            recorders = { entryList, urls: rankByRendezvous(recordersKey, entries).slice(0, maxRecorders) };
        }
        return recorders.urls;
    }

    /** Remembers an origin; returns what is known now, or `undefined` if that has not changed. */
    function remember(key: string, origin: StreamOrigin): StreamOrigin | undefined {
        const known = remembered.get(key);
        if (known === undefined) {
            remembered.set(key, origin);
            removeOldest(remembered, maxRemembered);
            return origin;
        }
        if (known.service === origin.service && known.softwareVersion === origin.softwareVersion) {
            return undefined;
        }
        const conflicting: StreamOrigin = { service: origin.service };
        remembered.set(key, conflicting);
        return known.softwareVersion === undefined ? undefined : conflicting;
    }

    function recordKey(key: string, origin: StreamOrigin): void {
        const changed = remember(key, origin);
        if (changed !== undefined) {
            passOn(key, changed);
        }
    }

    /** Remembers that an origin has fewer holders than it should, so that it is passed on again. */
    function passOnLater(key: string, origin: StreamOrigin): void {
        underheld.set(key, origin);
        removeOldest(underheld, maxUnderheld);
    }

    function passOn(key: string, origin: StreamOrigin): void {
        const holders = rankByRendezvous(key, currentRecorders()).slice(0, holdersPerStream);
        if (holders.length < holdersPerStream) {
            passOnLater(key, origin);
        }
        holders.forEach((holder, index) => {
            const isWritten = index === 0;
            if (holder !== url) {
                outbox.set(holder, [...outbox.get(holder) ?? [], { ...origin, key, isWritten }]);
            }
            else if (isWritten) {
                store.write(key, origin);
            }
        });
        if (!isSendScheduled && outbox.size > 0) {
            isSendScheduled = true;
            void clock.sleep(sendDelayMs).then(sendOutbox);
        }
    }

    async function sendOutbox(): Promise<void> {
        isSendScheduled = false;
        const messages = [...outbox];
        outbox.clear();
        await Promise.all(messages.map(([entry, origins]) => sendTo(entry, origins)));
    }

    async function sendTo(entry: string, origins: readonly Message[]): Promise<void> {
        const response = await rpc.call(entry, resumptionMethods.record, { origins }, { timeoutMs: callTimeoutMs });
        if (response.isErr) {
            log.info("an entry did not take the origins of streams", { entry, cause: response.error.cause });
            for (const { key, isWritten, ...origin } of origins) {
                passOnLater(key, origin);
                if (isWritten) {
                    store.write(key, origin);
                }
            }
        }
    }

    async function passOnAgain(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await clock.sleep(passOnAgainMs, signal);
            if (currentRecorders().length >= holdersPerStream) {
                const again = [...underheld];
                underheld.clear();
                again.forEach(([key, origin]) => passOn(key, origin));
            }
        }
    }

    function receive({ key, service, softwareVersion, isWritten }: Message): void {
        const changed = remember(key, { service, softwareVersion });
        if (isWritten) {
            store.write(key, changed ?? { service, softwareVersion });
        }
    }

    async function ask(entry: string, key: string): Promise<LookedUp> {
        const response = await rpc.call(entry, resumptionMethods.find, { key }, { timeoutMs: callTimeoutMs });
        if (response.isErr) {
            return { kind: "silent", cause: response.error.cause };
        }
        const found = checkValue(findOriginResponseSchema, response.value);
        if (found.isErr) {
            return { kind: "absent" };
        }
        const { origin, isPending } = found.value;
        return origin === undefined ? { kind: isPending ? "pending" : "absent" } : { kind: "found", origin };
    }

    /** Asks the recorders and the store at the same time; the first that knows the stream decides. */
    async function look(key: string): Promise<LookedUp> {
        const answers = [
            ...currentRecorders().filter(entry => entry !== url).map(entry => ask(entry, key)),
            store.read(key),
        ];
        return new Promise(resolve => {
            answers.forEach(answer =>
                void answer.then(found => {
                    if (found.kind === "found") {
                        resolve(found);
                    }
                })
            );
            void Promise.all(answers).then(all =>
                resolve(
                    all.find(({ kind }) => kind === "pending") ?? all.find(({ kind }) => kind === "unavailable")
                        ?? all.find(({ kind }) => kind === "silent") ?? { kind: "absent" },
                )
            );
        });
    }

    async function find(requestId: string): Promise<FoundOrigin> {
        const key = streamKey(requestId);
        if (!remembered.has(key)) {
            const found: LookedUp = pending.has(key) ? { kind: "pending" } : await look(key);
            if (found.kind === "pending") {
                return { kind: "unknown", isFinal: false, cause: "its engine is not confirmed yet" };
            }
            if (found.kind === "unavailable") {
                return { kind: "unknown", isFinal: false, cause: `the store does not answer: ${found.cause}` };
            }
            if (found.kind === "silent") {
                return { kind: "unknown", isFinal: false, cause: `another entry does not answer: ${found.cause}` };
            }
            if (found.kind === "found") {
                remember(key, found.origin);
            }
        }
        const origin = remembered.get(key);
        if (origin === undefined) {
            return { kind: "unknown", isFinal: true, cause: "no entry and no row of the store knows the stream" };
        }
        const { service, softwareVersion } = origin;
        return softwareVersion === undefined
            ? { kind: "unknown", isFinal: true, cause: "requests with its id began with different versions" }
            : { kind: "found", origin: { service, softwareVersion } };
    }

    return {
        record: (requestId, origin) => recordKey(streamKey(requestId), origin),
        recordOnceKnown: async (requestId, origin, isKnown) => {
            const key = streamKey(requestId);
            pending.set(key, (pending.get(key) ?? 0) + 1);
            removeOldest(pending, maxPending);
            const mayRecord = await isKnown;
            const others = (pending.get(key) ?? 0) - 1;
            if (others > 0) {
                pending.set(key, others);
            }
            else {
                pending.delete(key);
            }
            if (mayRecord) {
                recordKey(key, origin);
            }
        },
        find,
        methods: {
            [resumptionMethods.record]: rpcMethod(recordOriginsSchema, async ({ origins }) => {
                origins.forEach(receive);
                return {};
            }),
            [resumptionMethods.find]: rpcMethod(findOriginSchema, async ({ key }) => {
                const origin = remembered.get(key);
                return origin === undefined ? { isPending: pending.has(key) } : { origin };
            }),
        },
        run: async signal => {
            await Promise.all([store.run(signal), passOnAgain(signal)]);
        },
        flush: async () => {
            await sendOutbox();
            await store.flush();
        },
    };
}
