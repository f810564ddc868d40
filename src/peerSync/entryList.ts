/**
 * The list of entries in the store, through which entries find each other when no seed responds. Each entry writes a row
 * for itself at its start, writes it again if a restoration of the store has lost it, and removes it when it shuts down.
 */

import type { Clock } from "../common/clock.js";
import type { TableService } from "../platform/ports.js";
import type { Log } from "../telemetry/telemetry.js";

export interface EntryList {
    readonly run: (signal: AbortSignal) => Promise<void>;
    readonly remove: () => Promise<void>;
}

const table = "entries";
/** Interval between reads of the list; new entries become known through peer synchronization much sooner. */
const readIntervalMs = 30_000;
const retryMs = 1_000;
const scanLimit = 500;

export function createEntryList(
    tables: TableService,
    clock: Clock,
    log: Log,
    own: { readonly url: string; readonly start: string; },
    onEntries: (urls: readonly string[]) => void,
): EntryList {
    const key = { table, key: own.url };

    async function write(): Promise<boolean> {
        const outcome = await tables.commit({ conditions: [], writes: [{ ...key, value: { start: own.start } }] });
        return outcome.isOk;
    }

    /** Reads the list; returns whether the store responded. */
    async function read(): Promise<boolean> {
        const rows = await tables.scan(table, "", scanLimit);
        if (rows.isErr) {
            return false;
        }
        const urls = rows.value.map(row => row.key);
        onEntries(urls);
        if (!urls.includes(own.url) && rows.value.length < scanLimit) {
            log.info("the row of this entry is missing from the store and is written again", { entry: own.url });
            await write();
        }
        return true;
    }

    return {
        run: async signal => {
            while (!signal.aborted && !await write()) {
                await clock.sleep(retryMs, signal);
            }
            while (!signal.aborted) {
                const isRead = await read();
                await clock.sleep(isRead ? readIntervalMs : retryMs, signal);
            }
        },
        remove: async () => {
            const outcome = await tables.commit({ conditions: [], writes: [{ ...key, value: undefined }] });
            if (outcome.isErr) {
                log.info("the row of this entry could not be removed from the store", { cause: outcome.error.cause });
            }
        },
    };
}
