/**
 * The log of revisions in the table service: reading it, and appending to it.
 *
 * An append is one transaction on the head row, the revision's row and a row for the change's id. A lost answer is
 * settled by reading the row of the change's id, so that a retry never applies a change twice.
 */

import { Result } from "true-myth";
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import { backoffMs } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { PlatformError, RowKey, TableService } from "../platform/ports.js";
import { applyRevision, checkChanges, revisionSchema } from "./state.js";
import type { Change, ChangeError, ConfigurationState, Revision } from "./state.js";

/** Why an append did not succeed; after `storeUnknown` repeating it with the same change id is safe. */
export type AppendError =
    | ChangeError
    | { readonly kind: "storeUnavailable"; readonly cause: string; }
    | { readonly kind: "storeUnknown"; readonly cause: string; };

export interface ProposedChanges {
    /** Chosen by the operator's tool; a repeat with the same id has no further effect. */
    readonly changeId: string;
    readonly operator: string;
    readonly changes: readonly Change[];
}

export interface LogDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: Random;
}

export const configurationTable = "configuration";
const headKey = "head";
const logPrefix = "log/";
const changePrefix = "change/";
const revisionDigits = 12;
const scanLimit = 200;
const maxAppendAttempts = 8;
const appendBackoffMs = 20;
const maxAppendBackoffMs = 1_000;

const headSchema = z.object({ revision: z.number().int() });

/** The number of the newest revision. */
export async function readHead(tables: TableService): Promise<Result<number, PlatformError>> {
    const rows = await tables.read([rowKey(headKey)]);
    return rows.map(([row]) => row === undefined ? 0 : headSchema.parse(row.value).revision);
}

/** Revisions after `revision`, in order, up to a page's size. */
export async function readRevisions(
    tables: TableService,
    revision: number,
): Promise<Result<readonly Revision[], PlatformError>> {
    const rows = await tables.scan(configurationTable, revisionKey(revision + 1), scanLimit);
    return rows.map(found =>
        found
            .filter(row => row.key.startsWith(logPrefix))
            .map(row => revisionSchema.parse(row.value))
    );
}

/** Applies all revisions that the store has beyond `state`. */
export async function catchUp(
    tables: TableService,
    state: ConfigurationState,
): Promise<Result<ConfigurationState, PlatformError>> {
    let current = state;
    while (true) {
        const revisions = await readRevisions(tables, current.revision);
        if (revisions.isErr) {
            return Result.err(revisions.error);
        }
        if (revisions.value.length === 0) {
            return Result.ok(current);
        }
        current = revisions.value.reduce(applyRevision, current);
    }
}

/**
 * Appends changes to the log and returns the state in which they are accepted. `known` is any earlier state.
 */
export async function appendChanges(
    dependencies: LogDependencies,
    known: ConfigurationState,
    proposed: ProposedChanges,
): Promise<Result<ConfigurationState, AppendError>> {
    const { tables, clock, random } = dependencies;
    let state = known;
    let mayHaveCommitted = false;
    for (let attempt = 0; attempt < maxAppendAttempts; attempt++) {
        if (attempt > 0) {
            await clock.sleep(backoffMs(random, attempt, appendBackoffMs, maxAppendBackoffMs));
        }
        const current = await readProgress(tables, state, proposed.changeId);
        if (current.isErr) {
            if (!mayHaveCommitted) {
                return Result.err({ kind: "storeUnavailable", cause: current.error.cause });
            }
            continue;
        }
        state = current.value.state;
        if (current.value.applied) {
            return Result.ok(state);
        }
        const checked = checkChanges(state, proposed.changes);
        if (checked.isErr) {
            return Result.err(checked.error);
        }
        const committed = await commitRevision(tables, state, { ...proposed, changes: checked.value });
        mayHaveCommitted ||= committed.isErr && committed.error.kind === "unknown";
    }
    const cause = "the change was neither confirmed nor refused; repeat it with the same change id";
    return Result.err(
        mayHaveCommitted ? { kind: "storeUnknown", cause } : { kind: "storeUnavailable", cause: "too many races" },
    );
}

interface Progress {
    readonly state: ConfigurationState;
    readonly applied: boolean;
}

async function readProgress(
    tables: TableService,
    state: ConfigurationState,
    changeId: string,
): Promise<Result<Progress, PlatformError>> {
    // The id's row is read first: if it is there, the log read afterwards holds the revision.
    const rows = await tables.read([rowKey(changePrefix + changeId)]);
    if (rows.isErr) {
        return Result.err(rows.error);
    }
    const latest = await catchUp(tables, state);
    return latest.map(next => ({ state: next, applied: rows.value[0] !== undefined }));
}

async function commitRevision(
    tables: TableService,
    state: ConfigurationState,
    proposed: ProposedChanges,
): Promise<Result<unknown, PlatformError>> {
    const revision = state.revision + 1;
    const value = { revision, ...proposed } as unknown as JsonValue;
    const logKey = rowKey(revisionKey(revision));
    const idKey = rowKey(changePrefix + proposed.changeId);
    return tables.commit({
        // The head is written once per revision, so its version is the revision's number.
        conditions: [
            { ...rowKey(headKey), version: state.revision },
            { ...logKey, version: 0 },
            { ...idKey, version: 0 },
        ],
        writes: [
            { ...rowKey(headKey), value: { revision } },
            { ...logKey, value },
            { ...idKey, value: { revision } },
        ],
    });
}

function rowKey(key: string): RowKey {
    return { table: configurationTable, key };
}

function revisionKey(revision: number): string {
    return logPrefix + String(revision).padStart(revisionDigits, "0");
}

/** The rows that belong to one revision. */
export function revisionRows(revision: Revision): readonly RowKey[] {
    return [rowKey(revisionKey(revision.revision)), rowKey(changePrefix + revision.changeId)];
}
