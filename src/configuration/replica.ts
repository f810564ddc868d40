/**
 * A process's in-memory copy of the configuration. Its revision never decreases; listeners are called after each
 * change.
 */

import type { Clock } from "../common/clock.js";
import { applyRevision, emptyState } from "./state.js";
import type { ConfigurationState, Revision } from "./state.js";

export interface ConfigurationReplica {
    readonly state: () => ConfigurationState;
    /** Applies revisions in order; skips those that are already applied and those after a gap. */
    readonly applyRevisions: (revisions: readonly Revision[]) => void;
    /** Replaces the whole state if `state` is newer. */
    readonly adoptIfNewer: (state: ConfigurationState) => void;
    /** The revisions after `revision`, or `undefined` if some of them are no longer kept. */
    readonly revisionsAfter: (revision: number) => readonly Revision[] | undefined;
    /** Resolves when the state is newer than `revision`, after `timeoutMs`, or when the signal aborts. */
    readonly waitForRevisionAfter: (revision: number, timeoutMs: number, signal?: AbortSignal) => Promise<void>;
    /** Calls `listener` with each new state. */
    readonly onChange: (listener: (state: ConfigurationState) => void) => void;
}

const maxRecentRevisions = 1_024;

export function createReplica(clock: Clock): ConfigurationReplica {
    let state = emptyState;
    let recent: readonly Revision[] = [];
    const listeners = new Set<(state: ConfigurationState) => void>();
    const pendingWaits = new Set<AbortController>();

    function advanceTo(next: ConfigurationState): void {
        if (next.revision <= state.revision) {
            return;
        }
        state = next;
        listeners.forEach(listener => listener(state));
        pendingWaits.forEach(pendingWait => pendingWait.abort());
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
            recent = [...recent, ...applied].slice(-maxRecentRevisions);
            advanceTo(next);
        },
        adoptIfNewer: next => {
            if (next.revision > state.revision) {
                recent = [];
                advanceTo(next);
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
            return recent.filter(each => each.revision > revision);
        },
        waitForRevisionAfter: async (revision, timeoutMs, signal) => {
            if (state.revision > revision || signal?.aborted === true) {
                return;
            }
            const pendingWait = new AbortController();
            pendingWaits.add(pendingWait);
            const abort = (): void => pendingWait.abort();
            signal?.addEventListener("abort", abort);
            await clock.sleep(timeoutMs, pendingWait.signal);
            signal?.removeEventListener("abort", abort);
            pendingWaits.delete(pendingWait);
        },
        onChange: listener => void listeners.add(listener),
    };
}
