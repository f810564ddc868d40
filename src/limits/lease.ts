/**
 * The lease under which a process holds shares of the accounts' limits.
 *
 * Each start of a process creates a new holder id, which begins with the process's URL. A process that listens on a
 * URL knows that no earlier process on this URL is alive, so it ends the earlier leases at once. The validity period
 * starts before the renewal is sent and is checked on the monotonic and the wall clock. Another process may end the
 * lease after it has seen the row at the same version for longer than the lease and its margin, measured on that
 * process's own clock, so that no two processes' clocks are compared.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RowKey, TableService } from "../platform/ports.js";

export const limitsTable = "limits";

export interface LeaseSettings {
    /** Validity of a confirmed renewal, from before it was sent. */
    readonly leaseMs: number;
    /** Added to the time after which others may end the lease; covers borrowed tokens in flight and clock drift. */
    readonly marginMs: number;
}

export interface HolderLease {
    /** Changes when a lost lease is replaced by a new one. */
    readonly holderId: () => string;
    readonly isValid: () => boolean;
    /** Renews the lease once; replaces a lost lease by a new one under a new holder id. */
    readonly renew: () => Promise<void>;
    /** Returns whether another holder's lease has ended; ends it if it has expired. */
    readonly hasEnded: (holderId: string) => Promise<boolean>;
    /** Ends the leases of earlier processes on this process's URL. Must be called while this process listens on it. */
    readonly endPredecessors: () => Promise<void>;
    /** Ends this lease; it cannot be renewed afterwards. */
    readonly release: () => Promise<void>;
}

/** End of a lease's validity, on both clocks. */
interface Validity {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Another holder's lease row as last read; times are monotonic. */
interface Observation {
    readonly version: number;
    /** When this version was first read. */
    readonly sinceMs: number;
    readonly readAtMs: number;
}

const scanLimit = 100;
/** Limits reads of another holder's row: at most this many per lease duration. */
const observationsPerLease = 20;

/** `nonce` tells a renewal with an unknown outcome from other writes. */
const leaseRowSchema = z.object({ sequence: z.number().int(), nonce: z.string() });

function leaseKey(holderId: string): RowKey {
    return { table: limitsTable, key: `holder/${holderId}` };
}

/** URL of the process that created a holder id. */
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
    let unknownRenewal: { readonly sequence: number; readonly nonce: string; readonly until: Validity; } | undefined;

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

    function startNewLease(): void {
        holderId = newHolderId();
        version = 0;
        sequence = 0;
        unknownRenewal = undefined;
        validUntil = { monotonicMs: -1, wallMs: -1 };
        onLost();
    }

    /**
     * Reads the row after a renewal with an unknown outcome. Returns whether the next renewal may be sent, which needs
     * a successful read.
     */
    async function resolveUnknownRenewal(): Promise<boolean> {
        if (unknownRenewal === undefined) {
            return true;
        }
        const rows = await tables.read([leaseKey(holderId)]);
        if (rows.isErr) {
            return false;
        }
        const row = rows.value[0];
        const stored = row === undefined ? undefined : leaseRowSchema.parse(row.value);
        if (row !== undefined && stored?.nonce === unknownRenewal.nonce) {
            version = row.version;
            sequence = stored.sequence;
            validUntil = unknownRenewal.until;
            unknownRenewal = undefined;
            return true;
        }
        if (row === undefined || row.version !== version) {
            // Either another process ended the lease or the first write never arrived; both need a new holder id.
            startNewLease();
        }
        unknownRenewal = undefined;
        return true;
    }

    async function renew(): Promise<void> {
        if (released || !await resolveUnknownRenewal()) {
            return;
        }
        if (version > 0 && !isValid()) {
            startNewLease();
        }
        const until = validityFromNow();
        const next = { sequence: sequence + 1, nonce: newId() };
        const key = leaseKey(holderId);
        const outcome = await tables.commit({ conditions: [{ ...key, version }], writes: [{ ...key, value: next }] });
        if (outcome.isErr) {
            unknownRenewal = outcome.error.kind === "unknown" ? { ...next, until } : undefined;
            return;
        }
        if (outcome.value.kind === "conflict") {
            startNewLease();
            return;
        }
        version += 1;
        sequence = next.sequence;
        validUntil = until;
    }

    async function endLease(key: RowKey, rowVersion: number): Promise<boolean> {
        const outcome = await tables.commit({
            conditions: [{ ...key, version: rowVersion }],
            writes: [{ ...key, value: undefined }],
        });
        return outcome.isOk && outcome.value.kind === "committed";
    }

    async function hasEnded(otherHolderId: string): Promise<boolean> {
        const seen = observations.get(otherHolderId);
        const nowMs = clock.monotonicMs();
        if (seen !== undefined && nowMs - seen.readAtMs < settings.leaseMs / observationsPerLease) {
            return false;
        }
        const key = leaseKey(otherHolderId);
        const rows = await tables.read([key]);
        if (rows.isErr) {
            return false;
        }
        const row = rows.value[0];
        if (row === undefined) {
            observations.delete(otherHolderId);
            return true;
        }
        const unchanged = seen !== undefined && seen.version === row.version;
        const readAtMs = clock.monotonicMs();
        const sinceMs = unchanged ? seen.sinceMs : readAtMs;
        observations.set(otherHolderId, { version: row.version, sinceMs, readAtMs });
        if (nowMs - sinceMs <= settings.leaseMs + settings.marginMs) {
            return false;
        }
        return endLease(key, row.version);
    }

    async function endPredecessors(): Promise<void> {
        const prefix = `holder/${url}/`;
        const rows = await tables.scan(limitsTable, prefix, scanLimit);
        const earlier = rows.unwrapOr([]).filter(row => row.key.startsWith(prefix) && row.key !== `holder/${holderId}`);
        for (const row of earlier) {
            await endLease({ table: row.table, key: row.key }, row.version);
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
