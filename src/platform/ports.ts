/**
 * What the system needs from the platform: a transactional table service, an object store, a rate-limited weight
 * store and a lagging list of hosts. Adapters implement these ports; everything else sees only them.
 */

import type { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";

export interface RowKey {
    readonly table: string;
    readonly key: string;
}

/** A row; `version` grows by one with each write and is 0 for a row that does not exist. */
export interface Row extends RowKey {
    readonly version: number;
    readonly value: JsonValue;
}

/** Requires that the row is at exactly this version when the transaction commits; 0 requires its absence. */
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

/** How a transaction ended. */
export type CommitOutcome =
    | { readonly kind: "committed"; }
    | { readonly kind: "conflict"; readonly key: RowKey; };

/**
 * Errors of the platform. After `unavailable` nothing was done; after `unknown` a write may have taken effect, or
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
    /** Applies all writes if all conditions hold, else none. */
    readonly commit: (transaction: Transaction) => Promise<Result<CommitOutcome, PlatformError>>;
}

export interface ObjectStore {
    readonly put: (name: string, body: string) => Promise<Result<undefined, PlatformError>>;
    /** Resolves to `undefined` when there is no such object. */
    readonly get: (name: string) => Promise<Result<string | undefined, PlatformError>>;
}

/** What a host runs, and where its process answers. */
export interface HostRecord {
    readonly host: string;
    readonly role: "entry" | "agent";
    readonly url: string;
    readonly dataCentre: string;
    readonly region: string;
    /** The endpoint that an agent stands beside. */
    readonly endpoint?: string;
    readonly state: "live" | "leaving";
}

export interface HostList {
    /** The hosts as the platform knows them; may lag behind by seconds. */
    readonly list: () => Promise<Result<readonly HostRecord[], PlatformError>>;
}

export interface Platform {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly hosts: HostList;
}
