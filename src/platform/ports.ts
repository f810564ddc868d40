/**
 * Interfaces to the platform: a transactional table service, an object store and a list of hosts that may be out of
 * date. Adapters implement them; all other code depends on these interfaces only.
 */

import type { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";

export interface RowKey {
    readonly table: string;
    readonly key: string;
}

/** A row; `version` increases by one with each write and is 0 for a row that does not exist. */
export interface Row extends RowKey {
    readonly version: number;
    readonly value: JsonValue;
}

/** Requires that the row has exactly this version when the transaction commits; 0 requires that it does not exist. */
export interface RowCondition extends RowKey {
    readonly version: number;
}

/** Writes a row, or deletes it when `value` is `undefined`. */
export interface RowWrite extends RowKey {
    readonly value: JsonValue | undefined;
}

export interface Transaction {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Result of a transaction; `key` is the row of a condition that did not hold. */
export type CommitOutcome =
    | { readonly kind: "committed"; }
    | { readonly kind: "conflict"; readonly key: RowKey; };

/**
 * Errors of the platform. `unavailable` means that nothing was done; after `unknown` a write may have taken effect, or
 * may still do so.
 */
export type PlatformError =
    | { readonly kind: "unavailable"; readonly cause: string; }
    | { readonly kind: "unknown"; readonly cause: string; };

export interface TableService {
    /** Reads rows; an absent row is `undefined` at its position. */
    readonly read: (keys: readonly RowKey[]) => Promise<Result<readonly (Row | undefined)[], PlatformError>>;
    /** Reads up to `limit` rows of a table with keys from `fromKey` on, in key order. */
    readonly scan: (table: string, fromKey: string, limit: number) => Promise<Result<readonly Row[], PlatformError>>;
    /** Applies all writes if all conditions hold, otherwise none. */
    readonly commit: (transaction: Transaction) => Promise<Result<CommitOutcome, PlatformError>>;
    /**
     * Highest era that a response has reported so far: how often the service was restored from an older copy. Row
     * versions are assigned again after that, so a version is valid only in the era in which it was read.
     */
    readonly era: () => number;
    /** Whether the era has increased since the first response that this process received. */
    readonly wasRestored: () => boolean;
}

export interface ObjectStore {
    readonly put: (name: string, body: string) => Promise<Result<undefined, PlatformError>>;
    /** Resolves to `undefined` if the object does not exist. */
    readonly get: (name: string) => Promise<Result<string | undefined, PlatformError>>;
}

/** A host with the role and the URL of the process that it runs. */
export interface HostRecord {
    readonly host: string;
    readonly role: "entry" | "agent";
    readonly url: string;
    readonly dataCentre: string;
    readonly region: string;
    /** For agents: the endpoint that the agent serves. */
    readonly endpoint?: string;
    readonly state: "live" | "leaving";
}

export interface HostList {
    /** The hosts as the platform knows them; may be out of date by seconds. */
    readonly list: () => Promise<Result<readonly HostRecord[], PlatformError>>;
}

export interface Platform {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly hosts: HostList;
}
