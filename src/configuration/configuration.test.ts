/**
 * The configuration log under lost responses, outages and concurrent operators; validation rules; replicas and the
 * distribution tree.
 */

import fc from "fast-check";
import { Result } from "true-myth";
import { describe, expect, test } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { MemoryPlatform } from "../platform/memoryPlatform.js";
import type { Platform, TableService } from "../platform/ports.js";
import { sourcesFor, storeReaders } from "./distributionTree.js";
import { appendChanges, readRevisions } from "./log.js";
import type { AppendError } from "./log.js";
import { createReplica } from "./replica.js";
import { fromSnapshot, loadFromStore, toSnapshot, writeSnapshot } from "./snapshot.js";
import { applyRevision, checkChanges, emptyState, listObjects, lookUp } from "./state.js";
import type { Change, ConfigurationState } from "./state.js";

const seed = 20_261_204;
const template: Change = { kind: "template", name: "t", value: { ratePerSecond: 5, burstRequests: 5 } };
const account: Change = { kind: "account", name: "a", value: { template: "t" } };
const digestHex = "ab".repeat(32);
const key: Change = { kind: "key", name: "k", value: { clientAccount: "a", digestHex } };

type CommitFault = "none" | "lost" | "unavailable";

/** Each commit takes the next fault; commits after the last one succeed normally. */
function faultyTables(platform: MemoryPlatform, faults: readonly CommitFault[]): TableService {
    const rest = [...faults];
    return {
        ...platform.tables,
        commit: async transaction => {
            const fault = rest.shift() ?? "none";
            if (fault === "unavailable") {
                return Result.err({ kind: "unavailable", cause: "down" });
            }
            const outcome = await platform.tables.commit(transaction);
            return fault === "lost" ? Result.err({ kind: "unknown", cause: "lost" }) : outcome;
        },
    };
}

async function append(
    tables: TableService,
    changes: readonly Change[],
    changeId: string,
    known: ConfigurationState = emptyState,
): Promise<Result<ConfigurationState, AppendError>> {
    const clock = { ...createVirtualClock(), sleep: async () => undefined };
    return appendChanges({ tables, clock, random: createRandom(seed) }, known, { changeId, operator: "test", changes });
}

const faultCases: readonly { readonly name: string; readonly faults: readonly CommitFault[]; }[] = [
    { name: "no fault", faults: [] },
    { name: "a lost response", faults: ["lost"] },
    { name: "an outage before the write", faults: ["unavailable"] },
    { name: "an outage, then a lost response", faults: ["unavailable", "lost"] },
];

describe("appending to the log", () => {
    test.each(faultCases)("applies a change exactly once with $name", async ({ faults }) => {
        const platform = createMemoryPlatform();
        const appended = await append(faultyTables(platform, faults), [template], "c1");
        expect(appended.isOk && appended.value.revision).toBe(1);
        expect((await readRevisions(platform.tables, 0)).unwrapOr([]).length).toBe(1);
        const repeated = await append(platform.tables, [template], "c1");
        expect(repeated.isOk && repeated.value.revision).toBe(1);
    });

    test("a repeat with the same change id has no effect, even after later changes", async () => {
        const { tables } = createMemoryPlatform();
        await append(tables, [template], "c1");
        await append(tables, [{ ...template, value: { ratePerSecond: 9, burstRequests: 9 } }], "c2");
        const repeated = await append(tables, [template], "c1");
        const current = repeated.isOk ? lookUp(repeated.value, "template", "t") : undefined;
        expect(current).toMatchObject({ version: 2, value: { ratePerSecond: 9 } });
    });

    test("of two operators that change the same version, one gets a conflict with the current value", async () => {
        const { tables } = createMemoryPlatform();
        await append(tables, [template], "c1");
        const changeTo = (ratePerSecond: number): Change => ({
            ...template,
            value: { ratePerSecond, burstRequests: 1 },
            expectedVersion: 1,
        });
        const outcomes = await Promise.all([append(tables, [changeTo(7)], "c2"), append(tables, [changeTo(8)], "c3")]);
        const refused = outcomes.filter(outcome => outcome.isErr).map(outcome => outcome.isErr && outcome.error);
        const accepted = outcomes.find(outcome => outcome.isOk);
        const value = accepted?.isOk ? lookUp(accepted.value, "template", "t")?.value : undefined;
        expect(refused).toEqual([{ kind: "conflict", object: "template/t", currentVersion: 2, currentValue: value }]);
    });

    test("concurrent operators on different objects all succeed, and the log has one total order", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.constantFrom<CommitFault>("none", "lost", "unavailable"), { maxLength: 12 }),
                async faults => {
                    const platform = createMemoryPlatform();
                    const tables = faultyTables(platform, faults);
                    const names = ["x", "y", "z"];
                    await Promise.all(names.map(name => append(tables, [{ ...template, name }], `c-${name}`)));
                    // Repeats each change with the same change id, as the operator's tool does if unconfirmed.
                    for (const name of names) {
                        await append(platform.tables, [{ ...template, name }], `c-${name}`);
                    }
                    const revisions = (await readRevisions(platform.tables, 0)).unwrapOr([]);
                    expect(revisions.map(each => each.revision)).toEqual([1, 2, 3]);
                    expect(revisions.map(each => each.changeId).sort()).toEqual(names.map(name => `c-${name}`));
                },
            ),
            { seed, numRuns: 100 },
        );
    });

    test("retries end with storeUnavailable when no commit reaches the store", async () => {
        const platform = createMemoryPlatform();
        const down = faultyTables(platform, Array.from({ length: 20 }, () => "unavailable" as const));
        const refused = await append(down, [template], "c1");
        expect(refused.isErr && refused.error.kind).toBe("storeUnavailable");
    });
});

interface RuleCase {
    readonly name: string;
    readonly before: readonly Change[];
    readonly change: Change;
    readonly error: string | undefined;
}

const withdrawn: Change = { ...key, value: { clientAccount: "a", digestHex, state: "withdrawn" } };
const ruleCases: readonly RuleCase[] = [
    { name: "an unknown field", before: [], change: { ...template, value: { speed: 1 } }, error: "ratePerSecond" },
    { name: "a missing reference", before: [], change: account, error: "refers to template \"t\"" },
    {
        name: "deleting an object that another one refers to",
        before: [template, account],
        change: { kind: "template", name: "t" },
        error: "refers",
    },
    {
        name: "deleting an object that does not exist",
        before: [],
        change: { kind: "template", name: "t" },
        error: "does not exist",
    },
    {
        name: "deleting a key",
        before: [template, account, key],
        change: { kind: "key", name: "k" },
        error: "withdrawn, not",
    },
    {
        name: "making a withdrawn key active again",
        before: [template, account, withdrawn],
        change: key,
        error: "can't be made active",
    },
    { name: "withdrawing a key", before: [template, account, key], change: withdrawn, error: undefined },
    {
        name: "deleting an account with only withdrawn keys",
        before: [template, account, withdrawn],
        change: { kind: "account", name: "a" },
        error: undefined,
    },
];

test.each(ruleCases)("rule: $name", ({ before, change, error }) => {
    const state = applyRevision(emptyState, { revision: 1, changeId: "", operator: "", changes: [...before] });
    const checked = checkChanges(state, [change]);
    if (error === undefined) {
        expect(checked.isOk).toBe(true);
        return;
    }
    expect(checked.isErr && checked.error.kind === "invalid" && checked.error.cause).toContain(error);
});

async function filledPlatform(revisions: number): Promise<MemoryPlatform> {
    const platform = createMemoryPlatform();
    for (let index = 1; index <= revisions; index++) {
        await append(platform.tables, [{ ...template, name: `t${index}` }], `c${index}`);
    }
    return platform;
}

describe("replicas", () => {
    test("never return to an older revision, whichever revision or snapshot arrives next", async () => {
        const platform = await filledPlatform(8);
        const revisions = (await readRevisions(platform.tables, 0)).unwrapOr([]);
        await fc.assert(
            fc.asyncProperty(fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 40 }), async order => {
                const replica = createReplica(createVirtualClock());
                let highest = 0;
                for (const index of order) {
                    const revision = revisions[index];
                    replica.applyRevisions(revision === undefined ? [] : [revision]);
                    if (index % 3 === 0) {
                        const stale = revisions.slice(0, index).reduce(applyRevision, emptyState);
                        replica.adoptIfNewer(fromSnapshot(toSnapshot(stale)));
                    }
                    expect(replica.state().revision).toBeGreaterThanOrEqual(highest);
                    highest = replica.state().revision;
                    expect(listObjects(replica.state(), "template").length).toBe(highest);
                }
            }),
            { seed, numRuns: 200 },
        );
    });

    test("return the revisions after a given one, or undefined if some are no longer kept", async () => {
        const platform = await filledPlatform(4);
        const replica = createReplica(createVirtualClock());
        const revisions = (await readRevisions(platform.tables, 0)).unwrapOr([]);
        replica.adoptIfNewer(revisions.slice(0, 2).reduce(applyRevision, emptyState));
        replica.applyRevisions(revisions.slice(2));
        expect(replica.revisionsAfter(1)).toBeUndefined();
        expect(replica.revisionsAfter(2)?.map(each => each.revision)).toEqual([3, 4]);
        expect(replica.revisionsAfter(4)).toEqual([]);
    });
});

test("a starting process reads the snapshot and only the part of the log after it", async () => {
    const platform: Platform = await filledPlatform(6);
    const full = await loadFromStore(platform, emptyState);
    await writeSnapshot(platform, full as ConfigurationState);
    await append(platform.tables, [{ ...template, name: "later" }], "c-later");
    const scans: string[] = [];
    const counted: Platform = {
        ...platform,
        tables: {
            ...platform.tables,
            scan: (table, fromKey, limit) => {
                scans.push(fromKey);
                return platform.tables.scan(table, fromKey, limit);
            },
        },
    };
    const loaded = await loadFromStore(counted, emptyState);
    expect(loaded?.revision).toBe(7);
    expect(scans[0]).toBe("log/000000000007");
});

test("the links between entries form no cycle, although they see different lists of entries", () => {
    const urls = Array.from({ length: 40 }, (unused, index) => `http://10.0.0.${index}:1`);
    fc.assert(
        fc.property(fc.array(fc.subarray(urls), { minLength: 40, maxLength: 40 }), lists => {
            const parents = new Map(urls.map((url, index) => {
                const first = sourcesFor("khomas-a", url, lists[index] ?? [])[0];
                return [url, first?.kind === "peer" ? first.url : undefined] as const;
            }));
            for (const url of urls) {
                const seen = new Set<string>();
                let current: string | undefined = url;
                while (current !== undefined) {
                    expect(seen.has(current)).toBe(false);
                    seen.add(current);
                    current = parents.get(current);
                }
            }
        }),
        { seed, numRuns: 50 },
    );
    const readers = urls.filter(url => sourcesFor("khomas-a", url, urls)[0]?.kind === "store");
    expect(readers.length).toBe(storeReaders);
});
