/**
 * Keeps the origins of streams in the store's tables, so that they are known after all entries were killed together.
 *
 * The origins of an interval are written in one transaction, and a row never changes: a write that takes effect late does
 * no harm. A row that could not be written is tried again. After a restoration of the store, which may have lost rows,
 * all origins that this entry wrote and still remembers are written again. One entry at a time removes the rows that are
 * older than `originRetentionMs`.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { Row, TableService } from "../platform/ports.js";
import type { Log } from "../telemetry/telemetry.js";
import { originRowSchema } from "./messages.js";
import type { StreamOrigin } from "./messages.js";

export interface OriginStore {
    /** Writes an origin soon. */
    readonly write: (key: string, origin: StreamOrigin) => void;
    /** Reads the row of a stream. */
    readonly read: (key: string) => Promise<StoredOrigin>;
    /** Writes what is pending now, once. */
    readonly flush: () => Promise<void>;
    /** Writes and removes rows until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

export type StoredOrigin =
    | { readonly kind: "found"; readonly origin: StreamOrigin; }
    | { readonly kind: "absent"; }
    /** The store did not answer, so it may have the row. */
    | { readonly kind: "unavailable"; readonly cause: string; };

/** How long after its beginning a stream may be taken up, at least. */
export const originRetentionMs = 600_000;
const table = "streams";
const writeIntervalMs = 150;
const retryMs = 1_000;
/** Rows of one transaction. */
const rowsPerWrite = 100;
/** Rows that wait for the store; the oldest are given up first. */
const maxPendingRows = 10_000;
/** Rows that are written again after a restoration of the store. */
const maxWrittenRows = 10_000;
const rowsPerSweep = 500;
const sweepIntervalMs = 60_000;
/** Pause between two pages of a sweep. */
const sweepPageIntervalMs = 1_000;

interface PendingRow {
    readonly origin: StreamOrigin;
    readonly atWallMs: number;
}

export function createOriginStore(
    tables: TableService,
    clock: Clock,
    log: Log,
    /** Whether this entry is the one that removes old rows. */
    isSweeper: () => boolean,
): OriginStore {
    const pending = new Map<string, PendingRow>();
    const written = new Map<string, PendingRow>();
    let writtenInEra = tables.era();
    let nextWriteAtMs = 0;
    let nextSweepAtMs = clock.monotonicMs() + sweepIntervalMs;
    let sweepFromKey = "";

    function writeAgainAfterRestoration(): void {
        if (tables.era() === writtenInEra) {
            return;
        }
        writtenInEra = tables.era();
        [...written].reverse().forEach(([key, row]) => void pending.set(key, row));
        written.clear();
        removeOldest(pending, maxPendingRows);
    }

    async function writePending(): Promise<void> {
        const rows = [...pending].slice(0, rowsPerWrite);
        if (rows.length === 0) {
            return;
        }
        const era = writtenInEra;
        const outcome = await tables.commit({
            conditions: [],
            writes: rows.map(([key, { origin, atWallMs }]) => ({ table, key, value: { ...origin, atWallMs } })),
        });
        if (outcome.isErr) {
            nextWriteAtMs = clock.monotonicMs() + retryMs;
            log.info("the origins of streams could not be saved", { rows: pending.size, cause: outcome.error.cause });
            return;
        }
        for (const [key, row] of rows) {
            // Recorded again meanwhile, with another version.
            if (pending.get(key) === row) {
                pending.delete(key);
            }
            if (era === writtenInEra) {
                written.set(key, row);
            }
        }
        removeOldest(written, maxWrittenRows);
    }

    async function sweepPage(): Promise<void> {
        const nowMs = clock.monotonicMs();
        if (nowMs < nextSweepAtMs || !isSweeper()) {
            return;
        }
        const rows = await tables.scan(table, sweepFromKey, rowsPerSweep);
        const page: readonly Row[] = rows.unwrapOr([]);
        const hasMore = page.length === rowsPerSweep;
        sweepFromKey = hasMore ? page.at(-1)?.key ?? "" : "";
        nextSweepAtMs = nowMs + (hasMore ? sweepPageIntervalMs : sweepIntervalMs);
        const expired = page.filter(({ value }) => {
            const row = checkValue(originRowSchema, value);
            return row.isErr || clock.wallMs() - row.value.atWallMs > originRetentionMs;
        });
        for (let first = 0; first < expired.length; first += rowsPerWrite) {
            const writes = expired.slice(first, first + rowsPerWrite).map(({ key }) => ({
                table,
                key,
                value: undefined,
            }));
            const outcome = await tables.commit({ conditions: [], writes });
            if (outcome.isErr) {
                log.info("old origins of streams could not be removed", { cause: outcome.error.cause });
                return;
            }
        }
    }

    return {
        write: (key, origin) => {
            pending.set(key, { origin, atWallMs: Math.round(clock.wallMs()) });
            removeOldest(pending, maxPendingRows);
        },
        read: async key => {
            const rows = await tables.read([{ table, key }]);
            if (rows.isErr) {
                return { kind: "unavailable", cause: rows.error.cause };
            }
            const [row] = rows.value;
            if (row === undefined) {
                return { kind: "absent" };
            }
            const checked = checkValue(originRowSchema, row.value);
            if (checked.isErr) {
                log.warn("a row with the origin of a stream is invalid", { key, field: checked.error.path });
                return { kind: "absent" };
            }
            const { service, softwareVersion } = checked.value;
            return { kind: "found", origin: { service, softwareVersion } };
        },
        flush: writePending,
        run: async signal => {
            while (!signal.aborted) {
                writeAgainAfterRestoration();
                if (clock.monotonicMs() >= nextWriteAtMs) {
                    await writePending();
                }
                await sweepPage();
                await clock.sleep(writeIntervalMs, signal);
            }
        },
    };
}
