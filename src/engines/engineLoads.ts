/**
 * Work that this entry and the other entries have in flight at each engine.
 *
 * Engines report their own load with a lag of up to a second, so counting the work that was sent is more accurate. The
 * work of other entries is as of the last round of peer synchronization with each of them.
 */

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

export function createEngineLoads(): EngineLoads {
    const own = new Map<string, EngineWork>();
    const peers = new Map<string, WorkByEngine>();
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
        ownAt: engineId => own.get(engineId) ?? noWork,
        setPeer: (peer, work) => void peers.set(peer, work),
        forgetPeer: peer => void peers.delete(peer),
        total: engineId => {
            let total = own.get(engineId) ?? noWork;
            for (const work of peers.values()) {
                const peerWork = work[engineId];
                total = peerWork === undefined ? total : add(total, peerWork);
            }
            return total;
        },
        onEnd: listener => void listeners.push(listener),
    };
}
