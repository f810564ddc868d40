/**
 * The lease under which a process holds shares of the accounts' limits.
 *
 * Each start of a process makes a new holder id, which begins with the process's URL. A process that listens on a
 * URL knows that no earlier process on it is alive, so it ends that one's lease at once. Validity counts from before the renewal was sent, on both clocks.
 * Another process may end the lease after it has seen the same sequence number for longer than the lease lasts, by
 * its own clock, so that no two clocks are compared.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RowKey, TableService } from "../platform/ports.js";

export const limitsTable = "limits";

export interface LeaseSettings {
    /** How long a confirmed renewal is valid. */
    readonly leaseMs: number;
    /** Added to the time after which others may end the lease: loans in flight and clock drift. */
    readonly marginMs: number;
}

export interface HolderLease {
    /** Changes when a lease was lost and taken anew. */
    readonly holderId: () => string;
    readonly isValid: () => boolean;
    /** Sends one renewal; a lost lease is replaced by a new one under a new holder id. */
    readonly renew: () => Promise<void>;
    /** Tells whether another holder's lease has ended; may end it if it has run out. */
    readonly hasEnded: (holderId: string) => Promise<boolean>;
    /** Ends the leases of earlier processes on this process's URL. Must be called while listening on it. */
    readonly endPredecessors: () => Promise<void>;
    /** Ends this lease; it can't be renewed afterwards. */
    readonly release: () => Promise<void>;
}

interface Validity {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

interface Observation {
    readonly version: number;
    readonly sinceMs: number;
    readonly readAtMs: number;
}

const scanLimit = 100;
/** Another holder's row is read again only after this part of a lease's length. */
const observationsPerLease = 20;

const leaseRowSchema = z.object({ sequence: z.number().int(), nonce: z.string() });

function leaseKey(holderId: string): RowKey {
    return { table: limitsTable, key: `holder/${holderId}` };
}

/** The URL of the process that a holder id was made by. */
export function urlOfHolder(holderId: string): string {
    return holderId.slice(0, holderId.lastIndexOf("/"));
}

/** Creates a lease for the process at `url`; it is not valid until the first `renew`. */
export function createLease(
    tables: TableService,
    clock: Clock,
    settings: LeaseSettings,
    url: string,
    newId: () => string,
    onLost: () => void,
): HolderLease {
    const observations = new Map<string, Observation>();
    let holderId = newHolderId();
    let version = 0;
    let sequence = 0;
    let released = false;
    let validUntil: Validity = { monotonicMs: -1, wallMs: -1 };
    let unconfirmed: { readonly sequence: number; readonly nonce: string; readonly until: Validity; } | undefined;

    function newHolderId(): string {
        return `${url}/${newId()}`;
    }

    function validityFromNow(): Validity {
        return {
            monotonicMs: clock.monotonicMs() + settings.leaseMs,
            wallMs: clock.wallMs() + settings.leaseMs,
        };
    }

    function isValid(): boolean {
        return clock.monotonicMs() < validUntil.monotonicMs && clock.wallMs() < validUntil.wallMs;
    }

    function restart(): void {
        holderId = newHolderId();
        version = 0;
        sequence = 0;
        unconfirmed = undefined;
        validUntil = { monotonicMs: -1, wallMs: -1 };
        onLost();
    }

    async function settleUnconfirmed(): Promise<boolean> {
        if (unconfirmed === undefined) {
            return true;
        }
        const rows = await tables.read([leaseKey(holderId)]);
        if (rows.isErr) {
            return false;
        }
        const row = rows.value[0];
        const stored = row === undefined ? undefined : leaseRowSchema.parse(row.value);
        if (row !== undefined && stored?.nonce === unconfirmed.nonce) {
            version = row.version;
            sequence = stored.sequence;
            validUntil = unconfirmed.until;
            unconfirmed = undefined;
            return true;
        }
        if (row === undefined || row.version !== version) {
            // Either the lease was ended, or a first write never arrived: both need a new id.
            restart();
        }
        unconfirmed = undefined;
        return true;
    }

    async function renew(): Promise<void> {
        if (released || !await settleUnconfirmed()) {
            return;
        }
        if (version > 0 && !isValid()) {
            restart();
        }
        const until = validityFromNow();
        const next = { sequence: sequence + 1, nonce: newId() };
        const key = leaseKey(holderId);
        const outcome = await tables.commit({ conditions: [{ ...key, version }], writes: [{ ...key, value: next }] });
        if (outcome.isErr) {
            unconfirmed = outcome.error.kind === "unknown" ? { ...next, until } : undefined;
            return;
        }
        if (outcome.value.kind === "conflict") {
            restart();
            return;
        }
        version += 1;
        sequence = next.sequence;
        validUntil = until;
    }

    async function end(key: RowKey, rowVersion: number): Promise<boolean> {
        const outcome = await tables.commit({
            conditions: [{ ...key, version: rowVersion }],
            writes: [{ ...key, value: undefined }],
        });
        return outcome.isOk && outcome.value.kind === "committed";
    }

    async function hasEnded(other: string): Promise<boolean> {
        const seen = observations.get(other);
        const nowMs = clock.monotonicMs();
        if (seen !== undefined && nowMs - seen.readAtMs < settings.leaseMs / observationsPerLease) {
            return false;
        }
        const key = leaseKey(other);
        const rows = await tables.read([key]);
        if (rows.isErr) {
            return false;
        }
        const row = rows.value[0];
        if (row === undefined) {
            observations.delete(other);
            return true;
        }
        const unchanged = seen !== undefined && seen.version === row.version;
        const readAtMs = clock.monotonicMs();
        const sinceMs = unchanged ? seen.sinceMs : readAtMs;
        observations.set(other, { version: row.version, sinceMs, readAtMs });
        if (nowMs - sinceMs <= settings.leaseMs + settings.marginMs) {
            return false;
        }
        return end(key, row.version);
    }

    async function endPredecessors(): Promise<void> {
        const prefix = `holder/${url}/`;
        const rows = await tables.scan(limitsTable, prefix, scanLimit);
        const earlier = rows.unwrapOr([]).filter(row => row.key.startsWith(prefix) && row.key !== `holder/${holderId}`);
        for (const row of earlier) {
            await end({ table: row.table, key: row.key }, row.version);
        }
    }

    return {
        holderId: () => holderId,
        isValid,
        renew,
        hasEnded,
        endPredecessors,
        release: async () => {
            released = true;
            validUntil = { monotonicMs: -1, wallMs: -1 };
            const key = leaseKey(holderId);
            await tables.commit({ conditions: [], writes: [{ ...key, value: undefined }] });
        },
    };
}
