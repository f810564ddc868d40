/**
 * Contract of the platform interfaces for the in-memory and the HTTP adapter, and the HTTP adapter's behaviour during
 * faults of the platform.
 */

import { afterAll, beforeAll, describe, expect, test } from "vitest";
import { startScriptedServer, wholeResponses } from "../../fakes/cutResponses.js";
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
    { name: "in-memory", create: (): Platform => createMemoryPlatform() },
    { name: "HTTP", create: (): Platform => createHttpPlatform({ url: fake.url, timeoutMs: 2_000 }) },
];

function rowKey(key: string): RowKey {
    return { table: "contract", key };
}

interface CommitCase {
    readonly name: string;
    readonly transaction: Transaction;
    readonly outcome: "committed" | "conflict";
    /** Version and value of row "a" afterwards. */
    readonly after: readonly [number, unknown] | undefined;
}

// Run in this order; each case starts with the rows that the previous case left.
const commitCases: readonly CommitCase[] = [
    {
        name: "inserts an absent row",
        transaction: { conditions: [{ ...rowKey("a"), version: 0 }], writes: [{ ...rowKey("a"), value: { n: 1 } }] },
        outcome: "committed",
        after: [1, { n: 1 }],
    },
    {
        name: "does not insert an existing row",
        transaction: { conditions: [{ ...rowKey("a"), version: 0 }], writes: [{ ...rowKey("a"), value: { n: 2 } }] },
        outcome: "conflict",
        after: [1, { n: 1 }],
    },
    {
        name: "replaces a row at its version",
        transaction: { conditions: [{ ...rowKey("a"), version: 1 }], writes: [{ ...rowKey("a"), value: { n: 3 } }] },
        outcome: "committed",
        after: [2, { n: 3 }],
    },
    {
        name: "writes nothing if one of several conditions fails",
        transaction: {
            conditions: [{ ...rowKey("a"), version: 2 }, { ...rowKey("b"), version: 7 }],
            writes: [{ ...rowKey("a"), value: 4 }, { ...rowKey("b"), value: 4 }],
        },
        outcome: "conflict",
        after: [2, { n: 3 }],
    },
    {
        name: "deletes a row",
        transaction: { conditions: [{ ...rowKey("a"), version: 2 }], writes: [{ ...rowKey("a"), value: undefined }] },
        outcome: "committed",
        after: undefined,
    },
    {
        name: "gives a reinserted row a version that no earlier transaction can match",
        transaction: { conditions: [{ ...rowKey("a"), version: 0 }], writes: [{ ...rowKey("a"), value: 5 }] },
        outcome: "committed",
        after: [4, 5],
    },
];

describe.each(adapters)("the $name platform", ({ create }) => {
    test("commits a transaction only if its conditions hold", async () => {
        const { tables } = create();
        for (const { name, transaction, outcome, after } of commitCases) {
            const committed = await tables.commit(transaction);
            const read = (await tables.read([rowKey("a")])).unwrapOr([])[0];
            expect({ name, outcome: committed.isOk && committed.value.kind }).toEqual({ name, outcome });
            expect(read === undefined ? undefined : [read.version, read.value]).toEqual(after);
        }
    });

    test("scans in key order from the given key", async () => {
        const { tables } = create();
        const writes = ["s3", "s1", "s2"].map(key => ({ table: "scan", key, value: key }));
        await tables.commit({ conditions: [], writes });
        const rows = (await tables.scan("scan", "s2", 10)).unwrapOr([]);
        expect(rows.map(row => row.key)).toEqual(["s2", "s3"]);
        expect((await tables.scan("scan", "", 1)).unwrapOr([]).map(row => row.key)).toEqual(["s1"]);
    });

    test("stores objects and finds none under an unused name", async () => {
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
    { name: "losing its responses", faults: { loseCommitAnswers: true }, written: true },
    { name: "slower than the time limit", faults: { delayMs: 400 }, written: true },
    { name: "down right after a write", faults: { downAfterCommit: true }, written: true },
];

test.each(faultCases)(
    "a commit is never reported as committed while the platform is $name",
    async ({ faults, written }) => {
        const { tables } = createHttpPlatform({ url: fake.url, timeoutMs: 100 });
        const key = rowKey(`fault-${JSON.stringify(faults)}`);
        fake.setFaults(faults);
        const outcome = await tables.commit({ conditions: [], writes: [{ ...key, value: 1 }] });
        expect(outcome.isErr && outcome.error.kind).toBe("unknown");
        await expect.poll(async () => (await fake.memory.tables.read([key])).unwrapOr([])[0] !== undefined).toBe(
            written,
        );
        fake.setFaults({});
    },
);

test("a platform that refuses connections is unavailable, since nothing was done", async () => {
    const { tables } = createHttpPlatform({ url: "http://127.0.0.1:1", timeoutMs: 1_000 });
    const outcome = await tables.commit({ conditions: [], writes: [{ ...rowKey("x"), value: 1 }] });
    expect(outcome.isErr && outcome.error.kind).toBe("unavailable");
});

const statusCases = [
    ["404 Not Found", "unavailable"],
    ["503 Service Unavailable", "unavailable"],
    ["500 Internal Server Error", "unknown"],
    ["504 Gateway Timeout", "unknown"],
] as const;

// A commit after which the platform failed was reported as not performed.
test.each(statusCases)("a commit with status %s: %s", async (status, kind) => {
    const [response] = wholeResponses({ status, headers: [], body: "{}" });
    const server = await startScriptedServer(response === undefined ? [] : [response]);
    const { tables } = createHttpPlatform({ url: `http://${server.address}`, timeoutMs: 1_000 });
    const outcome = await tables.commit({ conditions: [], writes: [{ ...rowKey("x"), value: 1 }] });
    expect(outcome.isErr && outcome.error.kind).toBe(kind);
    server.close();
});
