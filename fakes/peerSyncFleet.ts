/**
 * Entries in several data centres that synchronize their states in memory, without latency, under a steady load that
 * changes the states, with counts of the bytes and calls between them.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { WorkByEngine } from "../src/engines/engineLoads.js";
import type { Usage } from "../src/limits/fleetQuota.js";
import { entryStateSchema, peerSyncMethods } from "../src/peerSync/messages.js";
import { createPeerSync, peerSyncIntervalMs } from "../src/peerSync/peerSync.js";
import type { LocalState, PeerSync } from "../src/peerSync/peerSync.js";
import type { RpcClient } from "../src/rpc/rpcClient.js";
import { silentDecisionLog } from "./forwardingHarness.js";
import { createVirtualClock } from "./virtualClock.js";
import type { VirtualClock } from "./virtualClock.js";

/** Load of each entry. */
export interface PeerSyncLoad {
    readonly requestsPerSecond: number;
    readonly requestMs: number;
    readonly clientAccounts: number;
    /** Engines to which an entry sends requests. */
    readonly engines: number;
}

export interface PeerSyncFleetOptions {
    readonly entries: number;
    readonly dataCentres: number;
    readonly load: PeerSyncLoad;
    /** Whether all entries are of the version that sends whole states only. */
    readonly isEarlierVersion: boolean;
}

export interface PeerSyncFleet {
    readonly clock: VirtualClock;
    readonly peerSyncs: readonly PeerSync[];
    readonly dataCentreOf: (index: number) => number;
    /** Data centres without links to others. */
    readonly cutOff: Set<number>;
    /** Bytes of states, and calls, within and between data centres so far. */
    readonly counts: { nearBytes: number; farBytes: number; nearCalls: number; farCalls: number; };
}

/** The changing state of an entry under a load, as of the time of each call. */
export function createLoadedState(clock: VirtualClock, load: PeerSyncLoad, random: () => number): () => LocalState {
    const usage = new Map<string, number>();
    let running: readonly { readonly engine: string; readonly tokens: number; readonly endMs: number; }[] = [];
    let nextArrivalMs = clock.monotonicMs();

    function work(): WorkByEngine {
        const byEngine = new Map<string, WorkByEngine[string]>();
        for (const { engine, tokens } of running) {
            const { requests, kvTokens, prefillTokens } = byEngine.get(engine)
                ?? { requests: 0, kvTokens: 0, prefillTokens: 0 };
            byEngine.set(engine, { requests: requests + 1, kvTokens: kvTokens + tokens, prefillTokens });
        }
        return Object.fromEntries(byEngine);
    }

    return () => {
        const nowMs = clock.monotonicMs();
        while (nextArrivalMs <= nowMs) {
            const account = `account-${Math.floor(random() * load.clientAccounts)}`;
            const tokens = 200 + Math.floor(random() * 3_000);
            usage.set(account, (usage.get(account) ?? 0) + tokens);
            const engine = `i-${Math.floor(random() * load.engines).toString(16).padStart(10, "0")}`;
            running = [...running, { engine, tokens, endMs: nextArrivalMs + load.requestMs }];
            nextArrivalMs += -Math.log(1 - random()) * 1_000 / load.requestsPerSecond;
        }
        running = running.filter(({ endMs }) => endMs > nowMs);
        return {
            usage: Object.fromEntries(usage) satisfies Usage,
            work: work(),
            reconfiguring: {},
            fencingToken: 1,
            desiredStateVersion: 1,
            leaving: [],
            crashEvidence: [],
            engineRates: [],
            ejections: [],
            coldEngines: [],
        };
    };
}

export function createPeerSyncFleet(options: PeerSyncFleetOptions): PeerSyncFleet {
    const { entries, dataCentres, load, isEarlierVersion } = options;
    const clock = createVirtualClock();
    const random = createRandom(entries);
    const cutOff = new Set<number>();
    const counts = { nearBytes: 0, farBytes: 0, nearCalls: 0, farCalls: 0 };
    const dataCentreOf = (index: number): number => index % dataCentres;
    const urlOf = (index: number): string => `http://10.0.${index >> 8}.${index & 255}:7001`;
    const indexes = Array.from({ length: entries }, (unused, index) => index);
    const indexByUrl = new Map(indexes.map(index => [urlOf(index), index]));

    /** The message as it is read at the other end; counts its bytes. */
    function carry(from: number, to: number, body: unknown): unknown {
        const sent = isEarlierVersion ? { ...entryStateSchema.parse(body), dataCentre: undefined } : body;
        const text = JSON.stringify(sent);
        counts[dataCentreOf(from) === dataCentreOf(to) ? "nearBytes" : "farBytes"] += Buffer.byteLength(text);
        return JSON.parse(text);
    }

    function rpcOf(from: number): RpcClient {
        return {
            call: async (url, method, params) => {
                const to = indexByUrl.get(url) ?? from;
                const isFar = dataCentreOf(from) !== dataCentreOf(to);
                const target = peerSyncs[to]?.methods[method];
                if (
                    target === undefined || method !== peerSyncMethods.state
                    || (isFar && [from, to].some(index => cutOff.has(dataCentreOf(index))))
                ) {
                    return Result.err({ kind: "timeout", delivered: "maybe", cause: "cut" });
                }
                counts[isFar ? "farCalls" : "nearCalls"] += 1;
                const request = carry(from, to, params);
                return Result.ok(
                    carry(to, from, await target.invoke(request, { signal: new AbortController().signal })),
                );
            },
            stream: () => Promise.reject(new Error("not used")),
            close: async () => undefined,
        };
    }

    const peerSyncs = indexes.map(index =>
        createPeerSync({
            url: urlOf(index),
            start: `00000000-0000-4000-8000-${index.toString().padStart(12, "0")}`,
            seeds: [urlOf(0)],
            dataCentre: `dc-${dataCentreOf(index)}`,
        }, {
            clock,
            rpc: rpcOf(index),
            log: silentDecisionLog,
            replicas: {},
            localState: createLoadedState(clock, load, createRandom(1_000 + index)),
            onState: () => undefined,
            onUsageReport: () => undefined,
            onPeerRemoved: () => undefined,
        })
    );
    peerSyncs.forEach(peerSync => {
        clock.startTimer(random() * peerSyncIntervalMs, () => void peerSync.run(new AbortController().signal));
    });
    return { clock, peerSyncs, dataCentreOf, cutOff, counts };
}
