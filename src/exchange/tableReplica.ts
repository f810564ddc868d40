/**
 * A local copy of one table of the store, kept by its change feed; where the store can't be reached, by copies from
 * other entries. The copy never goes back to an older revision of the table.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { PlatformError } from "../platform/ports.js";
import type { Log } from "../telemetry/telemetry.js";

export interface TableRow {
    readonly key: string;
    readonly value: JsonValue;
}

/** All rows of a table as of one revision of the store. */
export interface TableCopy {
    readonly revision: number;
    readonly rows: readonly TableRow[];
}

/** Changes after a revision; a row without a value was removed. */
export interface TableChanges {
    /** Of the last change that is listed; where there is none, the revision that was asked for. */
    readonly revision: number;
    readonly changed: readonly { readonly key: string; readonly value: JsonValue | undefined; }[];
}

export type FeedError = PlatformError | { readonly kind: "historyGone"; readonly cause: string; };

/** The feed of one table. */
export interface TableFeed {
    readonly readAll: () => Promise<Result<TableCopy, PlatformError>>;
    /** Resolves as soon as something has changed after `revision`, or without changes after `waitMs`. */
    readonly changesAfter: (revision: number, waitMs: number) => Promise<Result<TableChanges, FeedError>>;
}

export interface TableReplica {
    readonly copy: () => TableCopy;
    /** Time since the store last confirmed the copy. */
    readonly silenceMs: () => number;
    /** Takes up another entry's copy if it is newer; tells whether it was. */
    readonly offer: (copy: TableCopy) => boolean;
    readonly follow: (signal: AbortSignal) => Promise<void>;
}

export interface ReplicaSettings {
    readonly table: string;
    /** How long the store may hold a call for changes. */
    readonly waitMs: number;
    /** Pause after changes, so that many small ones come in one call. */
    readonly pauseMs: number;
    /** Pause after a failed call. */
    readonly retryMs: number;
}

/**
 * Called with each new copy; `afterOutage` if it is the first one after calls to the store had failed, or another
 * entry's while they fail: records may be missing from it only because their writers could not reach the store either.
 */
export type CopyListener = (copy: TableCopy, afterOutage: boolean) => void;

export function createTableReplica(
    feed: TableFeed,
    clock: Clock,
    log: Log,
    settings: ReplicaSettings,
    onCopy: CopyListener,
): TableReplica {
    const rows = new Map<string, JsonValue>();
    let revision = -1;
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let isLost = false;

    function copy(): TableCopy {
        return { revision, rows: [...rows].map(([key, value]) => ({ key, value })) };
    }

    function replaceAll(next: TableCopy, afterOutage: boolean): boolean {
        const isSame = next.revision === revision && JSON.stringify(next.rows) === JSON.stringify(copy().rows);
        if (next.revision < revision || isSame) {
            return false;
        }
        rows.clear();
        next.rows.forEach(row => rows.set(row.key, row.value));
        revision = next.revision;
        onCopy(copy(), afterOutage);
        return true;
    }

    function apply(changes: TableChanges): void {
        // Another entry's copy may have come in while the call was waiting.
        if (changes.revision <= revision) {
            return;
        }
        for (const { key, value } of changes.changed) {
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, value);
            }
        }
        revision = changes.revision;
        if (changes.changed.length > 0) {
            onCopy(copy(), false);
        }
    }

    function noteConfirmed(sinceMs: number): void {
        confirmedAtMs = sinceMs;
        if (isLost) {
            isLost = false;
            log.info("the store answers again", { table: settings.table, revision });
        }
    }

    function noteFailure(cause: string): void {
        if (!isLost) {
            isLost = true;
            log.warn("the store does not answer", { table: settings.table, revision, cause });
        }
    }

    async function readAll(): Promise<Result<undefined, FeedError>> {
        const askedAtMs = clock.monotonicMs();
        const all = await feed.readAll();
        if (all.isErr) {
            return Result.err(all.error);
        }
        const afterOutage = isLost;
        noteConfirmed(askedAtMs);
        replaceAll(all.value, afterOutage);
        return Result.ok(undefined);
    }

    async function readChanges(): Promise<Result<undefined, FeedError>> {
        const askedAtMs = clock.monotonicMs();
        const before = revision;
        const changes = await feed.changesAfter(before, settings.waitMs);
        if (changes.isErr) {
            return Result.err(changes.error);
        }
        noteConfirmed(askedAtMs);
        if (revision === before) {
            apply(changes.value);
        }
        return Result.ok(undefined);
    }

    return {
        copy,
        silenceMs: () => clock.monotonicMs() - confirmedAtMs,
        offer: next => next.revision > revision && replaceAll(next, isLost),
        follow: async signal => {
            let needsAll = true;
            while (!signal.aborted) {
                const read = needsAll || revision < 0 ? await readAll() : await readChanges();
                if (read.isOk) {
                    needsAll = false;
                    await clock.sleep(settings.pauseMs, signal);
                    continue;
                }
                // After a failure the whole table is read: a feed may have lost what changed meanwhile.
                needsAll = true;
                if (read.error.kind === "historyGone") {
                    log.info("the store has dropped its history; reading the whole table", { table: settings.table });
                    continue;
                }
                noteFailure(read.error.cause);
                await clock.sleep(settings.retryMs, signal);
            }
        },
    };
}
