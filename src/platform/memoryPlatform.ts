/**
 * Platform adapter that keeps all data in memory, for a deployment on a single machine. Data is lost when the process
 * ends.
 */

import { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";
import type { CommitOutcome, HostRecord, Platform, Row, RowKey, Transaction } from "./ports.js";

/** An in-memory platform whose host list can be set. */
export interface MemoryPlatform extends Platform {
    readonly setHosts: (hosts: readonly HostRecord[]) => void;
    readonly rowCount: () => number;
    /** Copies all rows. The returned function restores that copy and increments the era, as a restored store does. */
    readonly snapshot: () => () => void;
}

interface StoredRow {
    readonly version: number;
    readonly value: JsonValue | undefined;
}

export function createMemoryPlatform(): MemoryPlatform {
    // A deleted row keeps its version, so that a delayed transaction cannot match a row that was inserted again.
    let tables = new Map<string, Map<string, StoredRow>>();
    let era = 0;
    const objects = new Map<string, string>();
    let hosts: readonly HostRecord[] = [];

    function getOrCreateTable(name: string): Map<string, StoredRow> {
        const table = tables.get(name) ?? new Map<string, StoredRow>();
        tables.set(name, table);
        return table;
    }

    function readRow(key: RowKey): Row | undefined {
        const stored = getOrCreateTable(key.table).get(key.key);
        if (stored === undefined || stored.value === undefined) {
            return undefined;
        }
        return { table: key.table, key: key.key, version: stored.version, value: stored.value };
    }

    function commit(transaction: Transaction): CommitOutcome {
        for (const condition of transaction.conditions) {
            const version = readRow(condition)?.version ?? 0;
            if (version !== condition.version) {
                return { kind: "conflict", key: { table: condition.table, key: condition.key } };
            }
        }
        for (const write of transaction.writes) {
            const table = getOrCreateTable(write.table);
            const version = (table.get(write.key)?.version ?? 0) + 1;
            table.set(write.key, { version, value: write.value });
        }
        return { kind: "committed" };
    }

    function scan(tableName: string, fromKey: string, limit: number): readonly Row[] {
        return [...getOrCreateTable(tableName).keys()]
            .filter(key => key >= fromKey)
            .sort()
            .map(key => readRow({ table: tableName, key }))
            .filter(row => row !== undefined)
            .slice(0, limit);
    }

    return {
        tables: {
            read: async keys => Result.ok(keys.map(readRow)),
            scan: async (table, fromKey, limit) => Result.ok(scan(table, fromKey, limit)),
            commit: async transaction => Result.ok(commit(transaction)),
            era: () => era,
            wasRestored: () => era > 0,
        },
        objects: {
            put: async (name, body) => {
                objects.set(name, body);
                return Result.ok(undefined);
            },
            get: async name => Result.ok(objects.get(name)),
        },
        hosts: { list: async () => Result.ok(hosts) },
        setHosts: next => {
            hosts = next;
        },
        snapshot: () => {
            const saved = [...tables].map(([name, rows]) => [name, new Map(rows)] as const);
            return () => {
                tables = new Map(saved.map(([name, rows]) => [name, new Map(rows)]));
                era += 1;
            };
        },
        rowCount: () => [...tables.values()].reduce((count, table) => count + table.size, 0),
    };
}
