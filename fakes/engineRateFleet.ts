/**
 * Simulated entries that send requests to one engine with a named rate, on a virtual clock: the product's peer
 * synchronization and rate limiter, over an in-memory RPC with faults.
 */

import { Result } from "true-myth";
import type { Clock } from "../src/common/clock.js";
import { createRandom } from "../src/common/random.js";
import { createColdEngines } from "../src/engines/coldEngines.js";
import type { ColdEngines } from "../src/engines/coldEngines.js";
import type { EngineStart } from "../src/engines/engineNotices.js";
import { createEngineRates } from "../src/engines/engineRates.js";
import type { EngineRates } from "../src/engines/engineRates.js";
import { createEngineRateLimiter } from "../src/limits/engineRateLimiter.js";
import type { EngineRateLimiter } from "../src/limits/engineRateLimiter.js";
import { createPeerSync } from "../src/peerSync/peerSync.js";
import type { PeerSync } from "../src/peerSync/peerSync.js";
import type { Service } from "../src/routes/desiredState.js";
import type { RpcClient } from "../src/rpc/rpcClient.js";
import type { RpcMethods } from "../src/rpc/rpcServer.js";
import { engineRecord, silentDecisionLog } from "./forwardingHarness.js";
import type { VirtualClock } from "./virtualClock.js";
import { createProcessGate } from "./virtualClock.js";
import type { ProcessGate } from "./virtualClock.js";

export const limitedEngine: EngineStart = { id: "i-1", bornMs: 1 };

interface SimulatedEntry {
    readonly url: string;
    readonly rates: EngineRates;
    readonly coldEngines: ColdEngines;
    readonly limiter: EngineRateLimiter;
    readonly peerSync: PeerSync;
    readonly methods: RpcMethods;
    readonly gate: ProcessGate;
    readonly stopping: AbortController;
}

export interface EngineRateFleet {
    /** Times at which requests were sent to the engine. */
    readonly sentAtMs: readonly number[];
    /** Pairs of entries that can't reach each other, by index. */
    readonly cut: Set<string>;
    /** Sets what the engine names in its responses; `undefined` for no limit. */
    readonly nameRate: (rate: string | undefined) => void;
    /** The engine becomes cold and names the remaining time in its responses. */
    readonly becomeCold: (forMs: number) => void;
    /** Lets one request arrive at an entry; resolves to whether it was sent to the engine. */
    readonly request: (index: number) => Promise<boolean>;
    readonly start: (index: number) => void;
    readonly kill: (index: number) => void;
    /** Stops an entry after it has told the others. */
    readonly leave: (index: number) => Promise<void>;
    readonly freeze: (index: number) => void;
    readonly thaw: (index: number) => void;
    /** Index of the entry that counts the requests, as most entries see it. */
    readonly counter: () => number;
}

const networkDelayMs = 2;
const coldService: Service = {
    name: "desk",
    maxConnections: 10,
    coldRequestsPerSecond: 0,
    coldStartMs: 20_000,
    engine: undefined,
};
export const coldTolerance = { overshoot: 1.5, slack: 5 };

export function createEngineRateFleet(
    clock: VirtualClock,
    entries: number,
    seed: number,
    coldRequestsPerSecond = 0,
): EngineRateFleet {
    const sentAtMs: number[] = [];
    const cut = new Set<string>();
    const running = new Map<number, SimulatedEntry>();
    const random = createRandom(seed);
    let rate: string | undefined;
    let coldUntilMs = 0;
    let starts = 0;

    const urlOf = (index: number): string => `http://entry-${index}`;
    const indexOf = (url: string): number => Number(url.slice(urlOf(0).length - 1));

    async function deliver(from: number, to: number, method: string, params: unknown): Promise<unknown> {
        const target = running.get(to);
        if (target === undefined) {
            return undefined;
        }
        await target.gate.pass();
        const found = target.methods[method];
        // A cut link delivers nothing, and neither does a process that was killed meanwhile.
        if (cut.has(`${from} ${to}`) || cut.has(`${to} ${from}`) || running.get(to) !== target) {
            return new Promise(() => undefined);
        }
        return found?.invoke(JSON.parse(JSON.stringify(params)), { signal: new AbortController().signal });
    }

    function rpcOf(from: number, local: Clock): RpcClient {
        return {
            call: async (url, method, params, { timeoutMs }) => {
                const to = indexOf(url);
                await local.sleep(networkDelayMs);
                if (!running.has(to)) {
                    return Result.err({ kind: "unreachable", delivered: "no", cause: "connection refused" });
                }
                const timedOut = local.sleep(timeoutMs).then(() => undefined);
                const response = await Promise.race([deliver(from, to, method, params), timedOut]);
                await local.sleep(networkDelayMs);
                return response === undefined
                    ? Result.err({ kind: "timeout", delivered: "maybe", cause: "no response" })
                    : Result.ok(JSON.parse(JSON.stringify(response)) as unknown);
            },
            stream: async () => Result.err({ kind: "unreachable", delivered: "no", cause: "not simulated" }),
            close: async () => undefined,
        };
    }

    function start(index: number): void {
        const gate = createProcessGate(clock);
        const url = urlOf(index);
        const rpc = rpcOf(index, gate.clock);
        const rates = createEngineRates(gate.clock, silentDecisionLog);
        const coldEngines = createColdEngines(gate.clock, silentDecisionLog);
        coldEngines.setServices([{ ...coldService, coldRequestsPerSecond }]);
        coldEngines.load([engineRecord(limitedEngine.id)]);
        starts += 1;
        const peerSync: PeerSync = createPeerSync({ url, start: String(starts), seeds: [0, 1, 2].map(urlOf) }, {
            clock: gate.clock,
            rpc,
            log: silentDecisionLog,
            replicas: {},
            localState: () => ({
                usage: {},
                work: {},
                reconfiguring: {},
                fencingToken: 0,
                desiredStateVersion: 0,
                leaving: [],
                crashEvidence: [],
                engineRates: [...rates.notices()],
                ejections: [],
                coldEngines: [...coldEngines.notices()],
            }),
            onState: state => {
                rates.apply(state.engineRates);
                coldEngines.apply(state.coldEngines);
            },
            onUsageReport: () => undefined,
            onPeerRemoved: () => undefined,
        });
        const limiter = createEngineRateLimiter({
            clock: gate.clock,
            random,
            rpc,
            log: silentDecisionLog,
            rates,
            coldEngines,
            coldRate: coldTolerance,
            url,
            stableEntries: peerSync.stableEntries,
            liveFraction: peerSync.liveFraction,
        });
        const stopping = new AbortController();
        rates.onChange(() => peerSync.syncNow());
        coldEngines.onChange(() => peerSync.syncNow());
        const methods = { ...peerSync.methods, ...limiter.methods };
        running.set(index, { url, rates, coldEngines, limiter, peerSync, methods, gate, stopping });
        void peerSync.run(stopping.signal);
    }

    function kill(index: number): void {
        const entry = running.get(index);
        entry?.stopping.abort();
        entry?.gate.kill();
        running.delete(index);
    }

    Array.from({ length: entries }, (unused, index) => index).forEach(start);

    return {
        sentAtMs,
        cut,
        nameRate: next => {
            rate = next;
        },
        becomeCold: forMs => {
            coldUntilMs = clock.monotonicMs() + forMs;
        },
        request: async index => {
            const entry = running.get(index);
            if (entry === undefined) {
                return false;
            }
            await entry.gate.pass();
            if (!await entry.limiter.acquire(limitedEngine)) {
                return false;
            }
            await entry.gate.pass();
            if (running.get(index) !== entry) {
                return false;
            }
            const requestSentAtMs = clock.monotonicMs();
            sentAtMs.push(requestSentAtMs);
            const named = rate;
            const coldRemainingMs = coldUntilMs - requestSentAtMs;
            await entry.gate.clock.sleep(networkDelayMs);
            if (named === undefined) {
                entry.rates.recordUnnamed(limitedEngine, requestSentAtMs);
            }
            else {
                entry.rates.recordNamed(limitedEngine, named);
            }
            if (coldRemainingMs > 0) {
                entry.coldEngines.recordNamed(limitedEngine, String(coldRemainingMs));
            }
            return true;
        },
        start,
        kill,
        leave: async index => {
            await running.get(index)?.peerSync.leave();
            kill(index);
        },
        freeze: index => running.get(index)?.gate.pause(),
        thaw: index => running.get(index)?.gate.resume(),
        counter: () => {
            const votes = [...running.values()].map(({ limiter }) => indexOf(limiter.counterOf(limitedEngine)));
            const count = (index: number): number => votes.filter(vote => vote === index).length;
            return votes.reduce((best, vote) => count(vote) > count(best) ? vote : best, votes[0] ?? 0);
        },
    };
}
