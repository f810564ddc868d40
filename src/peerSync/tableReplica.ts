/**
 * A local replica of one table of the store. It follows the table's change feed and, while the store cannot be
 * reached, takes newer copies from other entries. Its revision never decreases.
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

/** All rows of a table at one revision of the store. */
export interface TableCopy {
    readonly revision: number;
    readonly rows: readonly TableRow[];
}

/** Changes after a revision; a row whose value is `undefined` was deleted. */
export interface TableChanges {
    /** Revision of the last listed change; if there are no changes, the revision in the request. */
    readonly revision: number;
    readonly changed: readonly { readonly key: string; readonly value: JsonValue | undefined; }[];
}

export type FeedError = PlatformError | { readonly kind: "historyGone"; readonly cause: string; };

/** The change feed of one table. */
export interface TableFeed {
    readonly readAll: () => Promise<Result<TableCopy, PlatformError>>;
    /** Long poll: resolves as soon as there are changes after `revision`, or without changes after `waitMs`. */
    readonly changesAfter: (revision: number, waitMs: number) => Promise<Result<TableChanges, FeedError>>;
}

export interface TableReplica {
    readonly copy: () => TableCopy;
    /** Time since the store last confirmed the copy; infinite until the first confirmation. */
    readonly stalenessMs: () => number;
    /** Replaces the copy by that of another entry if it is newer; returns whether it did. */
    readonly adoptIfNewer: (copy: TableCopy) => boolean;
    /** Follows the feed until `signal` aborts. */
    readonly follow: (signal: AbortSignal) => Promise<void>;
}

export interface ReplicaSettings {
    readonly table: string;
    /** Longest time that the store may hold a long poll for changes. */
    readonly waitMs: number;
    /** Delay after each successful call, so that many small changes arrive in one call. */
    readonly pauseMs: number;
    /** Delay after a failed call. */
    readonly retryMs: number;
}

/**
 * Called with each new copy. `afterOutage` is true for the first copy after calls to the store had failed, and for
 * copies from other entries while they fail: rows may be missing from these only because their writers could not reach
 * the store either.
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
    let isStoreUnreachable = false;

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
        // A newer copy from another entry may have been taken while the call was pending.
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

    function recordConfirmation(askedAtMs: number): void {
        confirmedAtMs = askedAtMs;
        if (isStoreUnreachable) {
            isStoreUnreachable = false;
            log.info("the store answers again", { table: settings.table, revision });
        }
    }

    function recordFailure(cause: string): void {
        if (!isStoreUnreachable) {
            isStoreUnreachable = true;
            log.warn("the store does not answer", { table: settings.table, revision, cause });
        }
    }

    async function readAll(): Promise<Result<undefined, FeedError>> {
        const askedAtMs = clock.monotonicMs();
        const all = await feed.readAll();
        if (all.isErr) {
            return Result.err(all.error);
        }
        const afterOutage = isStoreUnreachable;
        recordConfirmation(askedAtMs);
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
        recordConfirmation(askedAtMs);
        if (revision === before) {
            apply(changes.value);
        }
        return Result.ok(undefined);
    }

    return {
        copy,
        stalenessMs: () => clock.monotonicMs() - confirmedAtMs,
        adoptIfNewer: next => next.revision > revision && replaceAll(next, isStoreUnreachable),
        follow: async signal => {
            let needsFullRead = true;
            while (!signal.aborted) {
                const read = needsFullRead || revision < 0 ? await readAll() : await readChanges();
                if (read.isOk) {
                    needsFullRead = false;
                    await clock.sleep(settings.pauseMs, signal);
                    continue;
                }
                // After a failure the whole table is read, because the feed may have missed changes in the meantime.
                needsFullRead = true;
                if (read.error.kind === "historyGone") {
                    log.info("the store no longer has the change history; reading the whole table", {
                        table: settings.table,
                    });
                    continue;
                }
                recordFailure(read.error.cause);
                await clock.sleep(settings.retryMs, signal);
            }
        },
    };
}
