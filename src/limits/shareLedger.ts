/**
 * The rows that divide accounts' limits among holders, changed by compare-and-set. Each holder changes its own part
 * only, and frees the parts of holders whose leases have ended.
 */

import { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";
import type { RowKey, TableService } from "../platform/ports.js";
import { limitsTable, urlOfHolder } from "./lease.js";
import type { HolderLease } from "./lease.js";
import {
    freeUnits,
    growShare,
    newShareRow,
    parseShareRow,
    reclaimShares,
    shrinkShare,
    underBurst,
} from "./shareRow.js";
import type { ShareChange, ShareRow } from "./shareRow.js";

/** `unchanged`: nothing was written. `unknown`: the write may have taken effect, or may still do so. */
export type LedgerError = "unchanged" | "unknown";

export interface GrowOrder {
    readonly wantedUnits: number;
    /** Takes more than wanted, up to half of the free units, which admit nothing while they are free. */
    readonly takeHalf: boolean;
    /** Takes nothing if fewer units than this are free. */
    readonly minimumUnits: number;
}

export interface ShareLedger {
    /** Takes free units; if they are scarce, first frees those of holders whose leases have ended. */
    readonly grow: (
        clientAccount: string,
        burstRequests: number,
        order: GrowOrder,
    ) => Promise<Result<ShareChange, LedgerError>>;
    /** Gives back all but `kept` units, with tokens that the caller has already debited. */
    readonly shrink: (
        clientAccount: string,
        burstRequests: number,
        kept: number,
        tokens: number,
    ) => Promise<Result<ShareChange, LedgerError>>;
    /** Writes the row once more; an earlier write without an answer can't take effect afterwards. */
    readonly settle: (clientAccount: string, burstRequests: number) => Promise<Result<ShareChange, LedgerError>>;
    /** Reads the rows of some accounts in one call, for `holdersOf`. */
    readonly refresh: (clientAccounts: readonly string[]) => Promise<void>;
    /** URLs of the other holders of an account, as last read. */
    readonly holdersOf: (clientAccount: string) => readonly string[];
    /** Units of an account that no holder had, as last read. */
    readonly freeUnitsOf: (clientAccount: string) => number;
}

type RowChange = (row: ShareRow) => Promise<ShareChange | undefined>;

const writeAttempts = 4;

export function createShareLedger(
    tables: TableService,
    lease: HolderLease,
    count: (name: string) => void,
): ShareLedger {
    const lastRows = new Map<string, ShareRow>();

    function rowKey(clientAccount: string): RowKey {
        return { table: limitsTable, key: `account/${clientAccount}` };
    }

    async function changeOnce(
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
        const changed = await change(underBurst(row, burstRequests));
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
        for (let attempt = 0; attempt < writeAttempts; attempt++) {
            const changed = await changeOnce(clientAccount, burstRequests, rowChange);
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
        grow: (clientAccount, burstRequests, { wantedUnits, takeHalf, minimumUnits }) => {
            const holderId = lease.holderId();
            return change(clientAccount, burstRequests, async row => {
                const live = freeUnits(row) < minimumUnits ? await withoutEndedHolders(row) : row;
                const free = freeUnits(live);
                if (free < minimumUnits) {
                    return undefined;
                }
                return growShare(live, holderId, Math.max(wantedUnits, takeHalf ? Math.ceil(free / 2) : 0));
            });
        },
        shrink: (clientAccount, burstRequests, kept, tokens) => {
            const holderId = lease.holderId();
            return change(clientAccount, burstRequests, async row => shrinkShare(row, holderId, kept, tokens));
        },
        settle: (clientAccount, burstRequests) => {
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
