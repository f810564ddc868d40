/**
 * The row that records how an account's limits are divided among holders.
 *
 * Shares are counted in units of a thousandth; the holders' units and the free ones always add up to a thousand.
 * Tokens that a holder gave back with its units wait in the row for whoever takes those units.
 */

import { z } from "zod";
import { checkValue } from "../common/json.js";

export const shareUnits = 1_000;

const shareRowSchema = z.object({
    units: z.record(z.string(), z.number().int().min(0)),
    freeTokens: z.number().min(0),
});

export type ShareRow = Readonly<z.output<typeof shareRowSchema>>;

/** A change of one holder's part and the tokens that move with it. */
export interface ShareChange {
    readonly row: ShareRow;
    readonly units: number;
    readonly tokens: number;
}

/** Reads a stored row; `undefined` if its shape is not known. */
export function parseShareRow(value: unknown): ShareRow | undefined {
    return checkValue(shareRowSchema, value).unwrapOr(undefined as never);
}

/** The row of an account that never had a holder: nothing was admitted, so a whole burst is free. */
export function newShareRow(burstRequests: number): ShareRow {
    return { units: {}, freeTokens: burstRequests };
}

export function unitsOf(row: ShareRow, holderId: string): number {
    return row.units[holderId] ?? 0;
}

export function freeUnits(row: ShareRow): number {
    return shareUnits - Object.values(row.units).reduce((sum, units) => sum + units, 0);
}

/**
 * The row under the burst that is in force now. Tokens above what the free units may hold are dropped; this must
 * happen before further units become free, since they bring no tokens.
 */
export function underBurst(row: ShareRow, burstRequests: number): ShareRow {
    const capTokens = burstRequests * freeUnits(row) / shareUnits;
    return { ...row, freeTokens: Math.min(row.freeTokens, capTokens) };
}

/** Moves up to `wanted` free units to a holder, with their part of the free tokens. */
export function growShare(row: ShareRow, holderId: string, wanted: number): ShareChange {
    const free = freeUnits(row);
    const added = Math.min(free, wanted);
    const units = unitsOf(row, holderId) + added;
    const tokens = free === 0 ? 0 : row.freeTokens * added / free;
    return {
        row: { units: { ...row.units, [holderId]: units }, freeTokens: Math.max(0, row.freeTokens - tokens) },
        units,
        tokens,
    };
}

/** Returns a holder's units above `kept`, with `tokens` that the holder has already debited. */
export function shrinkShare(row: ShareRow, holderId: string, kept: number, tokens: number): ShareChange {
    const units = Math.min(kept, unitsOf(row, holderId));
    const { [holderId]: removed, ...others } = row.units;
    const next = units === 0 ? others : { ...others, [holderId]: units };
    return { row: { units: next, freeTokens: row.freeTokens + tokens }, units, tokens };
}

/** Frees the units of holders whose leases have ended; their tokens are lost. */
export function reclaimShares(row: ShareRow, endedHolderIds: ReadonlySet<string>): ShareRow {
    const kept = Object.entries(row.units).filter(([holderId]) => !endedHolderIds.has(holderId));
    return { ...row, units: Object.fromEntries(kept) };
}
