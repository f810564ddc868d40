/**
 * Access to the stored rows that divide accounts' limits among holders. Rows are changed by compare-and-set. A holder
 * changes only its own share and frees the shares of holders whose leases have ended.
 */

import { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";
import type { RowKey, TableService } from "../platform/ports.js";
import { limitsTable, urlOfHolder } from "./lease.js";
import type { HolderLease } from "./lease.js";
import {
    capFreeTokens,
    freeUnits,
    growShare,
    newShareRow,
    parseShareRow,
    reclaimShares,
    shrinkShare,
} from "./shareRow.js";
import type { ShareChange, ShareRow } from "./shareRow.js";

/** `unchanged`: nothing was written. `unknown`: the write may have taken effect or may still take effect. */
export type LedgerError = "unchanged" | "unknown";

export interface GrowOptions {
    readonly wantedUnits: number;
    /** Takes at least half of the free units, since free units admit no requests. */
    readonly takeHalfOfFree: boolean;
    /** Takes none if fewer units than this are free. */
    readonly minimumUnits: number;
}

export interface ShareLedger {
    /** Takes free units; if fewer than the minimum are free, first frees those of holders whose leases have ended. */
    readonly grow: (
        clientAccount: string,
        burstRequests: number,
        options: GrowOptions,
    ) => Promise<Result<ShareChange, LedgerError>>;
    /** Returns all but `kept` units, with `tokens` that the caller has already debited from its bucket. */
    readonly shrink: (
        clientAccount: string,
        burstRequests: number,
        kept: number,
        tokens: number,
    ) => Promise<Result<ShareChange, LedgerError>>;
    /**
     * Resolves an earlier write with an unknown outcome: writes the row again with unchanged units, so that its version
     * increases and the earlier write can no longer take effect. The result has the units that the row records.
     */
    readonly resolveUnknownWrite: (
        clientAccount: string,
        burstRequests: number,
    ) => Promise<Result<ShareChange, LedgerError>>;
    /** Reads the rows of several accounts in one call, to update `holdersOf` and `freeUnitsOf`. */
    readonly refresh: (clientAccounts: readonly string[]) => Promise<void>;
    /** URLs of the other holders of an account, according to the row as last read. */
    readonly holdersOf: (clientAccount: string) => readonly string[];
    /** Units of an account that no holder had, according to the row as last read; 0 if it was never read. */
    readonly freeUnitsOf: (clientAccount: string) => number;
}

/** Computes the changed row; `undefined` writes nothing. */
type RowChange = (row: ShareRow) => Promise<ShareChange | undefined>;

const maxWriteAttempts = 4;

export function createShareLedger(
    tables: TableService,
    lease: HolderLease,
    count: (name: string) => void,
): ShareLedger {
    const lastRows = new Map<string, ShareRow>();

    function rowKey(clientAccount: string): RowKey {
        return { table: limitsTable, key: `account/${clientAccount}` };
    }

    async function tryChange(
        clientAccount: string,
        burstRequests: number,
        change: RowChange,
    ): Promise<Result<ShareChange, LedgerError | "conflict">> {
        const key = rowKey(clientAccount);
        const rows = await tables.read([key]);
        if (rows.isErr) {
            return Result.err("unchanged");
        }
        const stored = rows.value[0];
        const row = stored === undefined ? newShareRow(burstRequests) : parseShareRow(stored.value);
        if (row === undefined) {
            count("limits.rowInvalid");
            return Result.err("unchanged");
        }
        lastRows.set(clientAccount, row);
        const changed = await change(capFreeTokens(row, burstRequests));
        if (changed === undefined) {
            return Result.err("unchanged");
        }
        const outcome = await tables.commit({
            conditions: [{ ...key, version: stored?.version ?? 0 }],
            writes: [{ ...key, value: changed.row as unknown as JsonValue }],
        });
        if (outcome.isErr) {
            count(`limits.row.${outcome.error.kind}`);
            return Result.err(outcome.error.kind === "unknown" ? "unknown" : "unchanged");
        }
        return outcome.value.kind === "committed" ? Result.ok(changed) : Result.err("conflict");
    }

    async function change(
        clientAccount: string,
        burstRequests: number,
        rowChange: RowChange,
    ): Promise<Result<ShareChange, LedgerError>> {
        for (let attempt = 0; attempt < maxWriteAttempts; attempt++) {
            const changed = await tryChange(clientAccount, burstRequests, rowChange);
            if (changed.isOk) {
                return Result.ok(changed.value);
            }
            if (changed.error !== "conflict") {
                return Result.err(changed.error);
            }
        }
        return Result.err("unchanged");
    }

    async function withoutEndedHolders(row: ShareRow): Promise<ShareRow> {
        const ended = new Set<string>();
        for (const holderId of Object.keys(row.units)) {
            if (holderId !== lease.holderId() && await lease.hasEnded(holderId)) {
                ended.add(holderId);
            }
        }
        return reclaimShares(row, ended);
    }

    return {
        grow: (clientAccount, burstRequests, { wantedUnits, takeHalfOfFree, minimumUnits }) => {
            const holderId = lease.holderId();
            return change(clientAccount, burstRequests, async row => {
                const reclaimed = freeUnits(row) < minimumUnits ? await withoutEndedHolders(row) : row;
                const free = freeUnits(reclaimed);
                if (free < minimumUnits) {
                    return undefined;
                }
                return growShare(reclaimed, holderId, Math.max(wantedUnits, takeHalfOfFree ? Math.ceil(free / 2) : 0));
            });
        },
        shrink: (clientAccount, burstRequests, kept, tokens) => {
            const holderId = lease.holderId();
            return change(clientAccount, burstRequests, async row => shrinkShare(row, holderId, kept, tokens));
        },
        resolveUnknownWrite: (clientAccount, burstRequests) => {
            const holderId = lease.holderId();
            return change(clientAccount, burstRequests, async row => growShare(row, holderId, 0));
        },
        refresh: async clientAccounts => {
            const rows = await tables.read(clientAccounts.map(rowKey));
            clientAccounts.forEach((clientAccount, index) => {
                const row = parseShareRow(rows.unwrapOr([])[index]?.value);
                if (row !== undefined) {
                    lastRows.set(clientAccount, row);
                }
            });
        },
        holdersOf: clientAccount =>
            Object.keys(lastRows.get(clientAccount)?.units ?? {})
                .filter(holderId => holderId !== lease.holderId())
                .map(urlOfHolder),
        freeUnitsOf: clientAccount => {
            const row = lastRows.get(clientAccount);
            return row === undefined ? 0 : freeUnits(row);
        },
    };
}
