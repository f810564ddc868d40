/**
 * Work that this entry and the other entries have in flight at each engine.
 *
 * Engines report their own load with a lag of up to a second, so counting the work that was sent is more accurate. The
 * work of other entries is as of the last round of peer synchronization with each of them. A prefill takes less time than
 * the rounds of many entries, so the prompts that others reported count less with the age of the report: by what the
 * engine has prefilled since then.
 */

import type { Clock } from "../common/clock.js";

/** Work in flight at one engine. */
export interface EngineWork {
    /** Running and queued requests. */
    readonly requests: number;
    /** Estimated KV memory that these need at their end, in tokens. */
    readonly kvTokens: number;
    /** Prompt tokens whose prefill has not finished. */
    readonly prefillTokens: number;
}

/** Work in flight, by engine id. */
export type WorkByEngine = Readonly<Record<string, EngineWork>>;

export interface EngineLoads {
    /** Counts work until the returned function is called; further calls of it do nothing. */
    readonly start: (engineId: string, work: EngineWork) => () => void;
    /** This entry's work. */
    readonly own: () => WorkByEngine;
    /** This entry's work at an engine. */
    readonly ownAt: (engineId: string) => EngineWork;
    /** Replaces the work of another entry. */
    readonly setPeer: (peer: string, work: WorkByEngine) => void;
    readonly forgetPeer: (peer: string) => void;
    /** Work of all entries at an engine. */
    readonly total: (engineId: string) => EngineWork;
    /** Work of all entries at an engine as they reported it, whatever the age of the reports. */
    readonly reported: (engineId: string) => EngineWork;
    /** Calls `listener` whenever work of this entry ends. */
    readonly onEnd: (listener: () => void) => void;
}

const noWork: EngineWork = { requests: 0, kvTokens: 0, prefillTokens: 0 };

function add(left: EngineWork, right: EngineWork, sign: 1 | -1 = 1): EngineWork {
    return {
        requests: left.requests + sign * right.requests,
        kvTokens: left.kvTokens + sign * right.kvTokens,
        prefillTokens: left.prefillTokens + sign * right.prefillTokens,
    };
}

/** Work of another entry, and the monotonic time at which it was reported. */
interface ReportedWork {
    readonly work: WorkByEngine;
    readonly atMs: number;
}

/** `prefillTokensPerMs` is the rate at which an engine prefills the prompts of all entries. */
export function createEngineLoads(clock: Clock, prefillTokensPerMs: number): EngineLoads {
    const own = new Map<string, EngineWork>();
    const peers = new Map<string, ReportedWork>();
    const listeners: (() => void)[] = [];

    return {
        start: (engineId, work) => {
            own.set(engineId, add(own.get(engineId) ?? noWork, work));
            let ended = false;
            return () => {
                if (ended) {
                    return;
                }
                ended = true;
                const remaining = add(own.get(engineId) ?? noWork, work, -1);
                if (remaining.requests === 0 && remaining.kvTokens === 0 && remaining.prefillTokens === 0) {
                    own.delete(engineId);
                }
                else {
                    own.set(engineId, remaining);
                }
                listeners.forEach(listener => listener());
            };
        },
        own: () => Object.fromEntries(own),
        setPeer: (peer, work) => void peers.set(peer, { work, atMs: clock.monotonicMs() }),
        ownAt: engineId => own.get(engineId) ?? noWork,
        forgetPeer: peer => void peers.delete(peer),
        total: engineId => {
            const nowMs = clock.monotonicMs();
            let reported = noWork;
            let tokenAgesMs = 0;
            for (const { work, atMs } of peers.values()) {
                const peerWork = work[engineId];
                if (peerWork !== undefined) {
                    reported = add(reported, peerWork);
                    tokenAgesMs += peerWork.prefillTokens * (nowMs - atMs);
                }
            }
            const meanAgeMs = tokenAgesMs / Math.max(1, reported.prefillTokens);
            const prefillTokens = Math.max(0, reported.prefillTokens - prefillTokensPerMs * meanAgeMs);
            return add(own.get(engineId) ?? noWork, { ...reported, prefillTokens });
        },
        reported: engineId =>
            [...peers.values()].reduce(
                (sum, { work }) => add(sum, work[engineId] ?? noWork),
                own.get(engineId) ?? noWork,
            ),
        onEnd: listener => void listeners.push(listener),
    };
}
