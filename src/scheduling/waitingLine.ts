/**
 * Requests that wait at this entry for KV memory, in the order in which they are to be tried.
 *
 * Requests that can still meet their objective go first, those with the earlier moment first; among these, client
 * accounts take turns by the tokens that they were granted lately. Requests that have missed their objective are served
 * behind them while their callers still wait. The largest requests would never find room if smaller ones always
 * overtook them, so an entry stops overtaking once the head of the line has waited for a while.
 */

export interface Waiter {
    readonly clientAccount: string;
    readonly tokens: number;
    readonly arrivedAtMs: number;
    /** When the first token must be on its way to count as on time. */
    readonly onTimeUntilMs: number;
    /** When waiting becomes pointless. */
    readonly givenUpAtMs: number;
}

export interface WaitingLine<Item extends Waiter> {
    readonly add: (item: Item) => void;
    readonly remove: (item: Item) => void;
    readonly size: () => number;
    /** Sum of the tokens that wait. */
    readonly tokens: () => number;
    /** The items to try now, first choice first. Requests that must not be overtaken end the list. */
    readonly candidates: (nowMs: number) => readonly Item[];
    /** Items whose waiting has become pointless; they leave the line. */
    readonly takeExpired: (nowMs: number) => readonly Item[];
    /** Notes tokens granted to an account, for taking turns. */
    readonly noteGranted: (clientAccount: string, tokens: number, nowMs: number) => void;
}

/** How many waiting requests are tried at one time: each try is a call to an engine. */
const maxCandidates = 4;
/** A request that has waited this long is no longer overtaken by smaller ones. */
const overtakeForMs = 350;
/** Grants to an account are forgotten with this time constant; about as long as an answer takes. */
const grantMemoryMs = 4_000;
/** Tokens granted lately count as this much lateness: one average request more puts an account back by 20 ms. */
const lateMsPerGrantedToken = 0.004;

interface Granted {
    readonly tokens: number;
    readonly atMs: number;
}

export function createWaitingLine<Item extends Waiter>(): WaitingLine<Item> {
    const items = new Set<Item>();
    const grantedByAccount = new Map<string, Granted>();

    function grantedLately(clientAccount: string, nowMs: number): number {
        const granted = grantedByAccount.get(clientAccount);
        return granted === undefined ? 0 : granted.tokens * Math.exp((granted.atMs - nowMs) / grantMemoryMs);
    }

    function rank(item: Item, nowMs: number): number {
        const isLate = nowMs > item.onTimeUntilMs;
        const turnMs = grantedLately(item.clientAccount, nowMs) * lateMsPerGrantedToken;
        return (isLate ? 1e9 : 0) + item.onTimeUntilMs + turnMs;
    }

    return {
        add: item => void items.add(item),
        remove: item => void items.delete(item),
        size: () => items.size,
        tokens: () => [...items].reduce((sum, item) => sum + item.tokens, 0),
        candidates: nowMs => {
            const ordered = [...items]
                .map(item => ({ item, rank: rank(item, nowMs) }))
                .sort((a, b) => a.rank - b.rank)
                .slice(0, maxCandidates)
                .map(({ item }) => item);
            const blocking = ordered.findIndex(item => nowMs - item.arrivedAtMs > overtakeForMs);
            return blocking < 0 ? ordered : ordered.slice(0, blocking + 1);
        },
        takeExpired: nowMs => {
            const expired = [...items].filter(item => nowMs >= item.givenUpAtMs);
            expired.forEach(item => items.delete(item));
            return expired;
        },
        noteGranted: (clientAccount, tokens, nowMs) =>
            void grantedByAccount.set(clientAccount, {
                tokens: grantedLately(clientAccount, nowMs) + tokens,
                atMs: nowMs,
            }),
    };
}
