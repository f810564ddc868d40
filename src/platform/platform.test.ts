/**
 * Contract of the platform ports, for the adapter in memory and the one over HTTP, and the latter's faults.
 */

import { afterAll, beforeAll, describe, expect, test } from "vitest";
import { startFakePlatform } from "../../fakes/platform.js";
import type { FakePlatform, PlatformFaults } from "../../fakes/platform.js";
import { createHttpPlatform } from "./httpPlatform.js";
import { createMemoryPlatform } from "./memoryPlatform.js";
import type { Platform, RowKey, Transaction } from "./ports.js";

let fake: FakePlatform;

beforeAll(async () => {
    fake = await startFakePlatform();
});

afterAll(() => fake.close());

const adapters = [
    { name: "memory", create: (): Platform => createMemoryPlatform() },
    { name: "HTTP", create: (): Platform => createHttpPlatform({ url: fake.url, timeoutMs: 2_000 }) },
];

function row(key: string): RowKey {
    return { table: "contract", key };
}

interface CommitCase {
    readonly name: string;
    readonly transaction: Transaction;
    readonly outcome: "committed" | "conflict";
    /** Version and value of row "a" afterwards. */
    readonly after: readonly [number, unknown] | undefined;
}

// The cases follow each other on the same rows.
const commitCases: readonly CommitCase[] = [
    {
        name: "inserts an absent row",
        transaction: { conditions: [{ ...row("a"), version: 0 }], writes: [{ ...row("a"), value: { n: 1 } }] },
        outcome: "committed",
        after: [1, { n: 1 }],
    },
    {
        name: "refuses to insert it again",
        transaction: { conditions: [{ ...row("a"), version: 0 }], writes: [{ ...row("a"), value: { n: 2 } }] },
        outcome: "conflict",
        after: [1, { n: 1 }],
    },
    {
        name: "replaces it at its version",
        transaction: { conditions: [{ ...row("a"), version: 1 }], writes: [{ ...row("a"), value: { n: 3 } }] },
        outcome: "committed",
        after: [2, { n: 3 }],
    },
    {
        name: "writes nothing if one of several conditions fails",
        transaction: {
            conditions: [{ ...row("a"), version: 2 }, { ...row("b"), version: 7 }],
            writes: [{ ...row("a"), value: 4 }, { ...row("b"), value: 4 }],
        },
        outcome: "conflict",
        after: [2, { n: 3 }],
    },
    {
        name: "deletes a row",
        transaction: { conditions: [{ ...row("a"), version: 2 }], writes: [{ ...row("a"), value: undefined }] },
        outcome: "committed",
        after: undefined,
    },
    {
        name: "gives a row written anew a version that no old transaction can match",
        transaction: { conditions: [{ ...row("a"), version: 0 }], writes: [{ ...row("a"), value: 5 }] },
        outcome: "committed",
        after: [4, 5],
    },
];

describe.each(adapters)("the platform in $name", ({ create }) => {
    test("commits transactions under their conditions", async () => {
        const { tables } = create();
        for (const { name, transaction, outcome, after } of commitCases) {
            const committed = await tables.commit(transaction);
            const read = (await tables.read([row("a")])).unwrapOr([])[0];
            expect({ name, outcome: committed.isOk && committed.value.kind }).toEqual({ name, outcome });
            expect(read === undefined ? undefined : [read.version, read.value]).toEqual(after);
        }
    });

    test("scans in key order from a key on", async () => {
        const { tables } = create();
        const writes = ["s3", "s1", "s2"].map(key => ({ table: "scan", key, value: key }));
        await tables.commit({ conditions: [], writes });
        const rows = (await tables.scan("scan", "s2", 10)).unwrapOr([]);
        expect(rows.map(each => each.key)).toEqual(["s2", "s3"]);
        expect((await tables.scan("scan", "", 1)).unwrapOr([]).map(each => each.key)).toEqual(["s1"]);
    });

    test("stores objects", async () => {
        const { objects } = create();
        expect((await objects.get("none")).unwrapOr("failed")).toBeUndefined();
        await objects.put("one", "body");
        expect((await objects.get("one")).unwrapOr("failed")).toBe("body");
    });
});

interface FaultCase {
    readonly name: string;
    readonly faults: PlatformFaults;
    /** Whether the write has taken effect although it was not confirmed. */
    readonly written: boolean;
}

const faultCases: readonly FaultCase[] = [
    { name: "down", faults: { down: true }, written: false },
    { name: "losing answers", faults: { loseCommitAnswers: true }, written: true },
    { name: "slower than the time limit", faults: { delayMs: 400 }, written: true },
    { name: "down right after a write", faults: { downAfterCommit: true }, written: true },
];

test.each(faultCases)("a commit is never reported as done while the platform is $name", async ({ faults, written }) => {
    const { tables } = createHttpPlatform({ url: fake.url, timeoutMs: 100 });
    const key = row(`fault-${JSON.stringify(faults)}`);
    fake.setFaults(faults);
    const outcome = await tables.commit({ conditions: [], writes: [{ ...key, value: 1 }] });
    expect(outcome.isErr && outcome.error.kind).toBe("unknown");
    await expect.poll(async () => (await fake.memory.tables.read([key])).unwrapOr([])[0] !== undefined).toBe(written);
    fake.setFaults({});
});

test("a platform that nothing listens on is unavailable, so nothing was done", async () => {
    const { tables } = createHttpPlatform({ url: "http://127.0.0.1:1", timeoutMs: 1_000 });
    const outcome = await tables.commit({ conditions: [], writes: [{ ...row("x"), value: 1 }] });
    expect(outcome.isErr && outcome.error.kind).toBe("unavailable");
});
