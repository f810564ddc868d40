/**
 * A local replica of one table of the store. It follows the table's change feed and, while the store cannot be
 * reached, takes newer copies from other entries. Its position never goes back: after the store was restored from an
 * older copy, the restored table is at a later position although its revision may be lower.
 */

import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { BytesListener } from "../common/readText.js";
import type { PlatformError } from "../platform/ports.js";
import type { Log } from "../telemetry/telemetry.js";
import { comparePositions, isLater, unknownPosition } from "./storePosition.js";
import type { StorePosition } from "./storePosition.js";

export interface TableRow {
    readonly key: string;
    readonly value: JsonValue;
}

/** All rows of a table at one position in the history of the store. */
export interface TableCopy {
    readonly position: StorePosition;
    readonly rows: readonly TableRow[];
}

/** Changes after a position; a row whose value is `undefined` was deleted. */
export interface TableChanges {
    /**
     * Era of the response, and the revision of the last listed change; if there are no changes, the revision in the
     * request.
     */
    readonly position: StorePosition;
    readonly changed: readonly { readonly key: string; readonly value: JsonValue | undefined; }[];
}

export type FeedError = PlatformError | { readonly kind: "historyGone"; readonly cause: string; };

/** The change feed of one table. `onBytes` learns of what arrives of a response. */
export interface TableFeed {
    /**
     * Reads the whole table. The copy lacks no change up to its position; a row is never older in later changes than in
     * the copy, unless the store has discarded the history since its position.
     */
    readonly readAll: (onBytes?: BytesListener) => Promise<Result<TableCopy, PlatformError>>;
    /**
     * Long poll: resolves as soon as there are changes after `position`, or without changes after `waitMs`. Aborting
     * `signal` closes its connection.
     */
    readonly changesAfter: (
        position: StorePosition,
        waitMs: number,
        signal: AbortSignal,
        onBytes?: BytesListener,
    ) => Promise<Result<TableChanges, FeedError>>;
}

export interface TableReplica {
    readonly copy: () => TableCopy;
    /** Position of the copy; its revision is -1 before the first copy. */
    readonly position: () => StorePosition;
    /** Time since the store last confirmed the copy; infinite until the first confirmation. */
    readonly stalenessMs: () => number;
    /** Whether the last call to the store succeeded. */
    readonly isStoreReachable: () => boolean;
    /**
     * Whether a response of the store is arriving, so that another copy would only take its share of the link; false again
     * if that takes long.
     */
    readonly isReceiving: () => boolean;
    /**
     * Asks the store for changes now instead of waiting for the pending call, whose connection may be dead; does nothing
     * while a response is arriving.
     */
    readonly refresh: () => void;
    /** Replaces the copy by that of another entry if it is newer; returns whether it did. */
    readonly adoptIfNewer: (copy: TableCopy) => boolean;
    /** Follows the feed until `signal` aborts. */
    readonly follow: (signal: AbortSignal) => Promise<void>;
}

export interface ReplicaSettings {
    readonly table: string;
    /** Longest time that the store may hold the next long poll for changes. */
    readonly waitMs: () => number;
    /** Delay after each successful call, so that many small changes arrive in one call. */
    readonly pauseMs: () => number;
    /** Delay after a failed call. */
    readonly retryMs: number;
}

/**
 * Why rows may be missing from a copy, or be older than rows seen before. `afterOutage`: the first copy after calls to
 * the store had failed, or a copy from another entry while they fail; writers may not have reached the store either.
 * `afterRestoration`: the first copy of a new era; the writes of the last seconds are lost, and the operator and the
 * engines write theirs again.
 */
export type CopyOrigin = "current" | "afterOutage" | "afterRestoration";

/** Called with each new copy. */
export type CopyListener = (copy: TableCopy, origin: CopyOrigin) => void;

/** While a response takes longer than this, another entry may be faster. */
const maxReceivingMs = 3_000;

export function createTableReplica(
    feed: TableFeed,
    clock: Clock,
    log: Log,
    settings: ReplicaSettings,
    onCopy: CopyListener,
): TableReplica {
    const rows = new Map<string, JsonValue>();
    let position = unknownPosition;
    let confirmedAtMs = Number.NEGATIVE_INFINITY;
    let isStoreUnreachable = false;
    let isRefreshRequested = false;
    let pendingPoll = new AbortController();
    /** Monotonic time at which the first bytes of the pending response arrived. */
    let receivingSinceMs: number | undefined;

    async function receive<Value>(call: (onBytes: BytesListener) => Promise<Value>): Promise<Value> {
        try {
            return await call(() => {
                receivingSinceMs ??= clock.monotonicMs();
            });
        }
        finally {
            receivingSinceMs = undefined;
        }
    }

    function copy(): TableCopy {
        return { position, rows: [...rows].map(([key, value]) => ({ key, value })) };
    }

    function originOf(next: StorePosition, afterOutage: boolean): CopyOrigin {
        const isFirst = position.revision === unknownPosition.revision;
        if (!isFirst && next.era > position.era) {
            log.warn("the store was restored from an older copy", { table: settings.table, before: position, next });
            return "afterRestoration";
        }
        return afterOutage ? "afterOutage" : "current";
    }

    function replaceAll(next: TableCopy, afterOutage: boolean): boolean {
        const order = comparePositions(next.position, position);
        const isSame = order === 0 && JSON.stringify(next.rows) === JSON.stringify(copy().rows);
        if (order < 0 || isSame) {
            return false;
        }
        const origin = originOf(next.position, afterOutage);
        rows.clear();
        next.rows.forEach(row => rows.set(row.key, row.value));
        position = next.position;
        onCopy(copy(), origin);
        return true;
    }

    function apply(changes: TableChanges): void {
        for (const { key, value } of changes.changed) {
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, value);
            }
        }
        position = changes.position;
        if (changes.changed.length > 0) {
            onCopy(copy(), "current");
        }
    }

    function recordConfirmation(askedAtMs: number): void {
        confirmedAtMs = askedAtMs;
        if (isStoreUnreachable) {
            isStoreUnreachable = false;
            log.info("the store answers again", { table: settings.table, position });
        }
    }

    function recordFailure(cause: string): void {
        if (!isStoreUnreachable) {
            isStoreUnreachable = true;
            log.warn("the store does not answer", { table: settings.table, position, cause });
        }
    }

    /** A row that no reader expects must not end the following of the whole table. */
    function recordUnexpected(error: unknown): Result<undefined, FeedError> {
        const cause = error instanceof Error ? String(error.stack) : String(error);
        log.warn("a copy of a table could not be read", { table: settings.table, position, cause });
        return Result.err({ kind: "unknown", cause });
    }

    async function readAll(): Promise<Result<undefined, FeedError>> {
        const askedAtMs = clock.monotonicMs();
        isRefreshRequested = false;
        const all = await receive(onBytes => feed.readAll(onBytes));
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
        const before = position;
        const waitMs = isRefreshRequested ? 0 : settings.waitMs();
        isRefreshRequested = false;
        pendingPoll = new AbortController();
        const { signal } = pendingPoll;
        const changes = await receive(onBytes => feed.changesAfter(before, waitMs, signal, onBytes));
        if (changes.isErr) {
            return Result.err(changes.error);
        }
        if (changes.value.position.era !== before.era) {
            // Changes of another era do not apply to this copy, even if their revisions continue it.
            return Result.err({ kind: "historyGone", cause: "the changes belong to another era of the store" });
        }
        recordConfirmation(askedAtMs);
        // A newer copy from another entry may have been taken while the call was pending.
        if (comparePositions(position, before) === 0 && isLater(changes.value.position, before)) {
            apply(changes.value);
        }
        return Result.ok(undefined);
    }

    return {
        copy,
        position: () => position,
        stalenessMs: () => clock.monotonicMs() - confirmedAtMs,
        isStoreReachable: () => !isStoreUnreachable,
        isReceiving: () => receivingSinceMs !== undefined && clock.monotonicMs() - receivingSinceMs < maxReceivingMs,
        refresh: () => {
            if (receivingSinceMs === undefined) {
                isRefreshRequested = true;
                pendingPoll.abort();
            }
        },
        adoptIfNewer: next => isLater(next.position, position) && replaceAll(next, isStoreUnreachable),
        follow: async signal => {
            let needsFullRead = true;
            let isHistoryUsable = false;
            while (!signal.aborted) {
                const isFullRead = needsFullRead || position.revision < 0;
                const read = await (isFullRead ? readAll() : readChanges()).catch(recordUnexpected);
                if (read.isOk) {
                    needsFullRead = false;
                    isHistoryUsable ||= !isFullRead;
                    await clock.sleep(settings.pauseMs(), signal);
                    continue;
                }
                if (isRefreshRequested && !isFullRead) {
                    continue;
                }
                // After a failure the whole table is read, because the feed may have missed changes in the meantime.
                needsFullRead = true;
                if (read.error.kind === "historyGone") {
                    log.info("the store no longer has the change history; reading the whole table", {
                        table: settings.table,
                        position,
                        cause: read.error.cause,
                    });
                    // A second loss right after a whole read is retried with a delay, to limit the load on the store.
                    await clock.sleep(isHistoryUsable ? 0 : settings.retryMs, signal);
                    isHistoryUsable = false;
                    continue;
                }
                recordFailure(read.error.cause);
                await clock.sleep(settings.retryMs, signal);
            }
        },
    };
}
