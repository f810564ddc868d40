/**
 * Snapshots of the configuration. They limit how much of the log a starting process has to read and the store has to
 * keep.
 */

import { z } from "zod";
import { parseJson } from "../common/json.js";
import type { Platform, RowWrite } from "../platform/ports.js";
import { catchUp, readRevisions, revisionRows } from "./log.js";
import { emptyState, objectId } from "./state.js";
import type { ConfigurationState, VersionedObject } from "./state.js";

const snapshotName = "configuration/snapshot";
/** A snapshot is written every time the log has grown by this many revisions. */
export const revisionsPerSnapshot = 500;
/** Revisions kept in the log before the snapshot, for processes that lag behind and to detect repeated change ids. */
const retainedRevisions = 10_000;

export const snapshotSchema = z.object({
    revision: z.number().int().min(0),
    objects: z.array(z.object({
        kind: z.string(),
        name: z.string(),
        version: z.number().int(),
        value: z.unknown(),
    })),
});

export type Snapshot = Readonly<z.output<typeof snapshotSchema>>;

export function toSnapshot(state: ConfigurationState): Snapshot {
    return { revision: state.revision, objects: [...state.objects.values()] };
}

export function fromSnapshot(snapshot: Snapshot): ConfigurationState {
    const objects = snapshot.objects as readonly VersionedObject[];
    return {
        revision: snapshot.revision,
        objects: new Map(objects.map(object => [objectId(object.kind, object.name), object])),
    };
}

/**
 * Reads the newest state from the store: the snapshot, if it is newer than `known`, and the log after it. Returns
 * `undefined` if the log cannot be read.
 */
export async function loadFromStore(
    platform: Platform,
    known: ConfigurationState,
): Promise<ConfigurationState | undefined> {
    const stored = await platform.objects.get(snapshotName);
    let base = known;
    if (stored.isOk && stored.value !== undefined) {
        const snapshot = parseJson(snapshotSchema, stored.value).map(fromSnapshot).unwrapOr(emptyState);
        base = snapshot.revision > known.revision ? snapshot : known;
    }
    const latest = await catchUp(platform.tables, base);
    return latest.isOk ? latest.value : undefined;
}

/**
 * Writes a snapshot, then removes the oldest revisions from the log. Called by the process that appended a revision
 * divisible by `revisionsPerSnapshot`.
 */
export async function writeSnapshot(platform: Platform, state: ConfigurationState): Promise<void> {
    const written = await platform.objects.put(snapshotName, JSON.stringify(toSnapshot(state)));
    if (written.isErr) {
        return;
    }
    const oldest = await readRevisions(platform.tables, 0);
    const removable = oldest.unwrapOr([]).filter(each => each.revision <= state.revision - retainedRevisions);
    const writes: readonly RowWrite[] = removable.flatMap(revisionRows).map(key => ({ ...key, value: undefined }));
    if (writes.length > 0) {
        await platform.tables.commit({ conditions: [], writes });
    }
}
