/**
 * The stored row that records how an account's limits are divided among holders.
 *
 * An account's limits are divided into 1000 units. The holders' units and the free units always add up to 1000. Tokens
 * that a holder returned together with its units stay in the row until another holder takes those units.
 */

import { z } from "zod";
import { checkValue } from "../common/json.js";

/** Units into which an account's limits are divided. */
export const unitsPerAccount = 1_000;

const shareRowSchema = z.object({
    /** Units by holder id. */
    units: z.record(z.string(), z.number().int().min(0)),
    /** Tokens that belong to the free units. */
    freeTokens: z.number().min(0),
});

export type ShareRow = Readonly<z.output<typeof shareRowSchema>>;

/** A changed row, with the holder's units in it and the tokens that move to or from the holder. */
export interface ShareChange {
    readonly row: ShareRow;
    /** Units of the holder after the change. */
    readonly units: number;
    readonly tokens: number;
}

/** Parses a stored row; `undefined` if the value does not match the schema. */
export function parseShareRow(value: unknown): ShareRow | undefined {
    return checkValue(shareRowSchema, value).unwrapOr(undefined as never);
}

/** The row of an account that never had a holder: nothing was admitted yet, so a full burst of tokens is free. */
export function newShareRow(burstRequests: number): ShareRow {
    return { units: {}, freeTokens: burstRequests };
}

export function unitsOf(row: ShareRow, holderId: string): number {
    return row.units[holderId] ?? 0;
}

export function freeUnits(row: ShareRow): number {
    return unitsPerAccount - Object.values(row.units).reduce((sum, units) => sum + units, 0);
}

/**
 * Caps the free tokens at the free units' part of the current burst, which may have been lowered. Must be applied
 * before further units become free: those raise the cap but bring no tokens.
 */
export function capFreeTokens(row: ShareRow, burstRequests: number): ShareRow {
    const capTokens = burstRequests * freeUnits(row) / unitsPerAccount;
    return { ...row, freeTokens: Math.min(row.freeTokens, capTokens) };
}

/** Moves up to `wanted` free units to a holder, with a proportional part of the free tokens. */
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
