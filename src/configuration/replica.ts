/**
 * A process's copy of the configuration. It only moves forward, and tells its listeners when it has.
 */

import type { Clock } from "../common/clock.js";
import { applyRevision, emptyState } from "./state.js";
import type { ConfigurationState, Revision } from "./state.js";

export interface ConfigurationReplica {
    readonly state: () => ConfigurationState;
    /** Applies revisions in order; those already known and those after a gap are passed over. */
    readonly applyRevisions: (revisions: readonly Revision[]) => void;
    /** Takes a whole state if it is newer than this one. */
    readonly adopt: (state: ConfigurationState) => void;
    /** The revisions after `revision`, or `undefined` if they are no longer all kept. */
    readonly revisionsAfter: (revision: number) => readonly Revision[] | undefined;
    /** Resolves once the state is beyond `revision`, the time is over or the signal aborts. */
    readonly waitBeyond: (revision: number, timeoutMs: number, signal?: AbortSignal) => Promise<void>;
    /** Calls `listener` after each move forward. */
    readonly onChange: (listener: (state: ConfigurationState) => void) => void;
}

const keptRevisions = 1_024;

export function createReplica(clock: Clock): ConfigurationReplica {
    let state = emptyState;
    let recent: readonly Revision[] = [];
    const listeners = new Set<(state: ConfigurationState) => void>();
    const waiters = new Set<AbortController>();

    function moveTo(next: ConfigurationState): void {
        if (next.revision <= state.revision) {
            return;
        }
        state = next;
        listeners.forEach(listener => listener(state));
        waiters.forEach(waiter => waiter.abort());
    }

    return {
        state: () => state,
        applyRevisions: revisions => {
            let next = state;
            const applied: Revision[] = [];
            for (const revision of revisions) {
                if (revision.revision === next.revision + 1) {
                    next = applyRevision(next, revision);
                    applied.push(revision);
                }
            }
            recent = [...recent, ...applied].slice(-keptRevisions);
            moveTo(next);
        },
        adopt: next => {
            if (next.revision > state.revision) {
                recent = [];
                moveTo(next);
            }
        },
        revisionsAfter: revision => {
            if (revision >= state.revision) {
                return [];
            }
            const oldestKept = recent[0]?.revision ?? Number.POSITIVE_INFINITY;
            if (revision + 1 < oldestKept) {
                return undefined;
            }
            return recent.filter(entry => entry.revision > revision);
        },
        waitBeyond: async (revision, timeoutMs, signal) => {
            if (state.revision > revision || signal?.aborted === true) {
                return;
            }
            const waiter = new AbortController();
            waiters.add(waiter);
            const abort = (): void => waiter.abort();
            signal?.addEventListener("abort", abort);
            await clock.sleep(timeoutMs, waiter.signal);
            signal?.removeEventListener("abort", abort);
            waiters.delete(waiter);
        },
        onChange: listener => void listeners.add(listener),
    };
}
