/**
 * Replicas of three entries under random writes, deletions, compactions, outages and restorations of a model store: no
 * replica's position goes back, and all of them agree with the store once it responds.
 */

import fc from "fast-check";
import { Result } from "true-myth";
import { expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { JsonValue } from "../common/json.js";
import { comparePositions } from "./storePosition.js";
import type { StorePosition } from "./storePosition.js";
import { createTableReplica } from "./tableReplica.js";
import type { FeedError, TableChanges, TableCopy, TableFeed } from "./tableReplica.js";

const seed = 20_261_204;
const entries = 3;
const keys = ["a", "b", "c"];

interface Change {
    readonly revision: number;
    readonly key: string;
    readonly value: JsonValue | undefined;
}

interface ModelStore {
    readonly feed: (entry: number) => TableFeed;
    readonly write: (key: string, value: JsonValue | undefined) => void;
    readonly compact: () => void;
    /** Returns to the state before the last `lost` changes, in a new era. */
    readonly restore: (lost: number) => void;
    readonly setReachable: (entry: number, reachable: boolean) => void;
    readonly rows: () => TableCopy["rows"];
}

function createModelStore(clock: VirtualClock): ModelStore {
    let changes: readonly Change[] = [];
    let compactedRevision = 0;
    let era = 1;
    const unreachable = new Set<number>();
    const revision = (): number => changes.at(-1)?.revision ?? 0;

    function rows(): TableCopy["rows"] {
        const values = new Map(changes.map(({ key, value }) => [key, value]));
        return [...values].flatMap(([key, value]) => value === undefined ? [] : [{ key, value }])
            .sort((left, right) => left.key.localeCompare(right.key));
    }

    function changesAfter(position: StorePosition): Result<TableChanges, FeedError> {
        if (position.revision < compactedRevision || position.revision > revision()) {
            return Result.err({ kind: "historyGone", cause: "410" });
        }
        const listed = changes.filter(change => change.revision > position.revision);
        return Result.ok({ position: { era, revision: Math.max(position.revision, revision()) }, changed: listed });
    }

    return {
        feed: entry => ({
            readAll: async () =>
                unreachable.has(entry)
                    ? Result.err({ kind: "unknown", cause: "cut off" })
                    : Result.ok({ position: { era, revision: revision() }, rows: rows() }),
            changesAfter: async (position, waitMs, signal) => {
                const eraAtCall = era;
                while (revision() === position.revision && era === eraAtCall && !signal.aborted && waitMs > 0) {
                    await clock.sleep(waitMs / 10, signal);
                    waitMs -= waitMs / 10 + 1;
                }
                return unreachable.has(entry)
                    ? Result.err({ kind: "unknown", cause: "cut off" })
                    : changesAfter(position);
            },
        }),
        write: (key, value) => {
            changes = [...changes, { revision: revision() + 1, key, value }];
        },
        compact: () => {
            compactedRevision = revision();
        },
        restore: lost => {
            changes = changes.slice(0, Math.max(0, changes.length - lost));
            compactedRevision = Math.min(compactedRevision, revision());
            era += 1;
        },
        setReachable: (entry, reachable) => void (reachable ? unreachable.delete(entry) : unreachable.add(entry)),
        rows,
    };
}

const entryIndex = fc.integer({ min: 0, max: entries - 1 });
const step = fc.oneof(
    fc.record({ kind: fc.constant("write" as const), key: fc.constantFrom(...keys), value: fc.nat(9) }),
    fc.record({ kind: fc.constant("remove" as const), key: fc.constantFrom(...keys) }),
    fc.record({ kind: fc.constant("restore" as const), lost: fc.integer({ min: 0, max: 5 }) }),
    fc.record({ kind: fc.constant("compact" as const) }),
    fc.record({ kind: fc.constant("cut" as const), entry: entryIndex }),
    fc.record({ kind: fc.constant("heal" as const), entry: entryIndex }),
    fc.record({ kind: fc.constant("refresh" as const), entry: entryIndex }),
    fc.record({ kind: fc.constant("adopt" as const), from: entryIndex, to: entryIndex }),
    fc.record({ kind: fc.constant("wait" as const), waitMs: fc.integer({ min: 1, max: 900 }) }),
);

it("replicas never go back and end up as the store, under any order of events", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
            const clock = createVirtualClock();
            const store = createModelStore(clock);
            const stopped = new AbortController();
            const settings = { table: "t", waitMs: () => 1_000, pauseMs: () => 20, retryMs: 100 };
            const replicas = Array.from(
                { length: entries },
                (unused, entry) =>
                    createTableReplica(store.feed(entry), clock, silentDecisionLog, settings, () => undefined),
            );
            replicas.forEach(replica => void replica.follow(stopped.signal));
            const highest = replicas.map(replica => replica.position());
            for (const each of steps) {
                if (each.kind === "write" || each.kind === "remove") {
                    store.write(each.key, each.kind === "write" ? each.value : undefined);
                }
                else if (each.kind === "restore") {
                    store.restore(each.lost);
                }
                else if (each.kind === "compact") {
                    store.compact();
                }
                else if (each.kind === "cut" || each.kind === "heal") {
                    store.setReachable(each.entry, each.kind === "heal");
                }
                else if (each.kind === "refresh") {
                    replicas[each.entry]?.refresh();
                }
                else if (each.kind === "adopt") {
                    const copy = replicas[each.from]?.copy();
                    if (copy !== undefined) {
                        replicas[each.to]?.adoptIfNewer(copy);
                    }
                }
                else {
                    await clock.advance(each.waitMs);
                }
                replicas.forEach((replica, entry) => {
                    const position = replica.position();
                    expect(comparePositions(position, highest[entry] ?? position)).toBeGreaterThanOrEqual(0);
                    highest[entry] = position;
                });
            }
            replicas.forEach((replica, entry) => store.setReachable(entry, true));
            await clock.advance(4_000);
            for (const replica of replicas) {
                const rows = [...replica.copy().rows].sort((left, right) => left.key.localeCompare(right.key));
                expect(rows).toEqual(store.rows());
            }
            stopped.abort();
            await clock.advance(2_000);
        }),
        { seed, numRuns: 150 },
    );
});
