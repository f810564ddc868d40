/**
 * Divides the time for parsing between connections: what they have sent is parsed in shares of a bounded time, in turns.
 *
 * What one read brings may take tens of milliseconds to parse, since each chunk of a body and each request calls back. All
 * connections together get a bounded time in each turn of the event loop, so that other work, timers and signals are
 * handled in between. A connection whose bytes have just been read comes before those that have used a share of theirs:
 * an ordinary request waits for no body that takes long.
 */

/**
 * Parses at least one piece of what waits, and further ones while `mayGoOn` returns true. Returns whether it could go on
 * with what is left.
 */
export type Feeder = (mayGoOn: () => boolean) => boolean;

export interface FeedTurns {
    /** Runs the feeder now if the turn has time left, and otherwise, or for the rest, in later turns. */
    readonly feed: (feeder: Feeder) => void;
    /** Forgets what the feeder has left. */
    readonly leave: (feeder: Feeder) => void;
}

export interface FeedTurnsDependencies {
    readonly nowMs: () => number;
    /** Calls `run` once the event loop has polled. */
    readonly nextTurn: (run: () => void) => void;
}

/** Time of one connection before the others have theirs; a read of an ordinary body takes less. */
const shareMs = 1;
/** The same for bytes that had to wait for their first share: many connections may bring some at once. */
const firstShareMs = 0.25;
/** Time of all connections in one turn of the event loop, which accepts as little as one new connection. */
const turnMs = 3;

export function createFeedTurns({ nowMs, nextTurn }: FeedTurnsDependencies): FeedTurns {
    const fresh = new Set<Feeder>();
    const resumed = new Set<Feeder>();
    let spentMs = 0;
    let isScheduled = false;

    function schedule(): void {
        if (!isScheduled) {
            isScheduled = true;
            nextTurn(runTurn);
        }
    }

    function runShare(feeder: Feeder, limitMs: number): void {
        const startedAtMs = nowMs();
        let hasMore = false;
        try {
            hasMore = feeder(() => nowMs() - startedAtMs < limitMs);
        }
        finally {
            // A feeder that fails must not end the turns of the others, since the process goes on.
            spentMs += nowMs() - startedAtMs;
            if (hasMore) {
                resumed.add(feeder);
            }
            // Without this bound, each ordinary request would cost a turn of the event loop.
            if (fresh.size + resumed.size > 0 || spentMs >= turnMs / 2) {
                schedule();
            }
        }
    }

    function runTurn(): void {
        isScheduled = false;
        spentMs = 0;
        for (const feeder of fresh) {
            if (spentMs >= turnMs) {
                break;
            }
            fresh.delete(feeder);
            runShare(feeder, firstShareMs);
        }
        let isFirst = true;
        // A feeder that has more is added at the end again and comes in this turn too if there is time.
        for (const feeder of resumed) {
            if (!isFirst && spentMs >= turnMs) {
                break;
            }
            isFirst = false;
            resumed.delete(feeder);
            runShare(feeder, shareMs);
        }
        if (fresh.size + resumed.size > 0) {
            schedule();
        }
    }

    return {
        feed: feeder => {
            if (fresh.has(feeder) || resumed.has(feeder)) {
                return;
            }
            if (spentMs < turnMs) {
                runShare(feeder, shareMs);
                return;
            }
            fresh.add(feeder);
            schedule();
        },
        leave: feeder => {
            fresh.delete(feeder);
            resumed.delete(feeder);
        },
    };
}

/** For all listeners of a process, since they share its event loop. */
export const processFeedTurns: FeedTurns = createFeedTurns({
    nowMs: () => performance.now(),
    nextTurn: run => void setImmediate(run),
});
