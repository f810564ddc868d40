/**
 * Work that this entry and, as far as they have told, the other entries have in flight at each engine.
 *
 * Engines report their own load with a lag of up to a second, so the count of what was sent is the better view. Work of
 * other entries arrives with the periodic exchange between entries.
 */

/** Work of one entry at one engine. */
export interface EngineWork {
    /** Requests that run or wait. */
    readonly requests: number;
    /** KV memory that these will need at most by estimate, in tokens. */
    readonly kvTokens: number;
    /** Prompt tokens that are still to be read. */
    readonly prefillTokens: number;
}

export type WorkByEngine = Readonly<Record<string, EngineWork>>;

export interface EngineLoads {
    /** Counts work until the returned function is called; a second call of it does nothing. */
    readonly start: (engineId: string, work: EngineWork) => () => void;
    readonly own: () => WorkByEngine;
    /** Replaces what one other entry has in flight. */
    readonly setPeer: (peer: string, work: WorkByEngine) => void;
    readonly forgetPeer: (peer: string) => void;
    /** All entries' work at an engine. */
    readonly total: (engineId: string) => EngineWork;
    /** Calls `listener` whenever own work ends. */
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
                const rest = add(own.get(engineId) ?? noWork, work, -1);
                if (rest.requests === 0 && rest.kvTokens === 0 && rest.prefillTokens === 0) {
                    own.delete(engineId);
                }
                else {
                    own.set(engineId, rest);
                }
                listeners.forEach(listener => listener());
            };
        },
        own: () => Object.fromEntries(own),
        setPeer: (peer, work) => void peers.set(peer, work),
        forgetPeer: peer => void peers.delete(peer),
        total: engineId => {
            let total = own.get(engineId) ?? noWork;
            for (const work of peers.values()) {
                const ofPeer = work[engineId];
                total = ofPeer === undefined ? total : add(total, ofPeer);
            }
            return total;
        },
        onEnd: listener => void listeners.push(listener),
    };
}
