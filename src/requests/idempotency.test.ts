/**
 * Calls with an idempotency key run at most once despite faults of the store; repeats get the recorded outcome.
 */

import fc from "fast-check";
import { Result } from "true-myth";
import { expect, test } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { PlatformError, TableService } from "../platform/ports.js";
import type { ServiceOutcome } from "./callService.js";
import { createIdempotentCalls } from "./idempotency.js";
import type { IdempotentCalls } from "./idempotency.js";

type Fault = "none" | "lost" | "unavailable";

const seed = 20_261_204;
const paid: ServiceOutcome = { kind: "answered", status: 201, headers: {}, body: Buffer.from("paid") };
const call = { clientAccount: "desk", key: "k1", fingerprint: "f1" };
const admitted = async (): Promise<Result<undefined, string>> => Result.ok(undefined);
const overRate = async (): Promise<Result<undefined, string>> => Result.err("over the rate");
const dayMs = 86_400_000;

let entryCount = 0;

interface TestEntry {
    readonly calls: IdempotentCalls;
    readonly advance: (durationMs: number) => void;
}

/** Creates an entry on a shared table; each commit takes the next of `faults`, each read the next of `readFaults`. */
function createTestEntry(tables: TableService, faults: readonly Fault[], readFaults: readonly Fault[] = []): TestEntry {
    const remainingFaults = [...faults];
    const remainingReadFaults = [...readFaults];
    const clock = createVirtualClock();
    let wallOffsetMs = 0;
    let idCount = 0;
    const unavailable: PlatformError = { kind: "unavailable", cause: "down" };
    const faultyTables: TableService = {
        ...tables,
        read: async keys =>
            (remainingReadFaults.shift() ?? "none") === "none" ? tables.read(keys) : Result.err(unavailable),
        commit: async transaction => {
            const fault = remainingFaults.shift() ?? "none";
            if (fault === "unavailable") {
                return Result.err(unavailable);
            }
            const outcome = await tables.commit(transaction);
            return fault === "lost" ? Result.err({ kind: "unknown", cause: "lost" }) : outcome;
        },
    };
    const name = entryCount++;
    return {
        calls: createIdempotentCalls({
            tables: faultyTables,
            clock: { ...clock, wallMs: () => clock.wallMs() + wallOffsetMs, sleep: async () => undefined },
            newId: () => `${name}-${idCount++}`,
            count: () => undefined,
        }),
        advance: durationMs => {
            wallOffsetMs += durationMs;
        },
    };
}

function kindOf(outcome: Result<ServiceOutcome, { readonly kind: string; }>): string {
    return outcome.isOk ? outcome.value.kind : outcome.error.kind;
}

interface Case {
    readonly name: string;
    readonly faults: readonly Fault[];
    readonly outcome: ServiceOutcome;
    /** Kind of the outcome or error that the first request gets. */
    readonly first: string;
    /** How often the call has run after the first request. */
    readonly runs: number;
    /** Kind of the outcome or error that a repeat at another entry gets. */
    readonly repeat: string;
    readonly runsAfterRepeat: number;
}

const notRun: ServiceOutcome = { kind: "notRun", cause: "draining", retryAfterMs: 1 };
const unknown: ServiceOutcome = { kind: "unknown", cause: "connection lost" };
const large: ServiceOutcome = { ...paid, body: Buffer.alloc(100_000) } as ServiceOutcome;
const always = (fault: Fault): readonly Fault[] => Array.from({ length: 30 }, () => fault);

const cases: readonly Case[] = [
    { name: "no fault", faults: [], outcome: paid, first: "answered", runs: 1, repeat: "answered", runsAfterRepeat: 1 },
    {
        name: "the response to the insert is lost",
        faults: ["lost"],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "answered",
        runsAfterRepeat: 1,
    },
    {
        name: "the store is down at first",
        faults: ["unavailable", "unavailable"],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "answered",
        runsAfterRepeat: 1,
    },
    {
        name: "the store is down throughout",
        faults: always("unavailable"),
        outcome: paid,
        first: "storeUnavailable",
        runs: 0,
        repeat: "answered",
        runsAfterRepeat: 1,
    },
    {
        name: "the outcome cannot be recorded",
        faults: ["none", ...always("unavailable")],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "unknown",
        runsAfterRepeat: 1,
    },
    {
        name: "the response to the recording of the outcome is lost",
        faults: ["none", "lost"],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "answered",
        runsAfterRepeat: 1,
    },
    {
        name: "the outcome of the call is unknown",
        faults: [],
        outcome: unknown,
        first: "unknown",
        runs: 1,
        repeat: "unknown",
        runsAfterRepeat: 1,
    },
    {
        name: "the call was not run",
        faults: [],
        outcome: notRun,
        first: "notRun",
        runs: 1,
        repeat: "notRun",
        runsAfterRepeat: 2,
    },
    {
        name: "the response is too large to record",
        faults: [],
        outcome: large,
        first: "answered",
        runs: 1,
        repeat: "unknown",
        runsAfterRepeat: 1,
    },
];

test.each(cases)("at most one run when $name", async ({ faults, outcome, first, runs, repeat, runsAfterRepeat }) => {
    const { tables } = createMemoryPlatform();
    let runCount = 0;
    const run = async (): Promise<ServiceOutcome> => {
        runCount += 1;
        return outcome;
    };
    expect(kindOf(await createTestEntry(tables, faults).calls.runOnce(call, admitted, run))).toBe(first);
    expect(runCount).toBe(runs);
    expect(kindOf(await createTestEntry(tables, []).calls.runOnce(call, admitted, run))).toBe(repeat);
    expect(runCount).toBe(runsAfterRepeat);
});

test("two entries that receive the same key concurrently run the call once", async () => {
    const { tables } = createMemoryPlatform();
    let runCount = 0;
    const run = async (): Promise<ServiceOutcome> => {
        runCount += 1;
        return paid;
    };
    const outcomes = await Promise.all(
        [createTestEntry(tables, []), createTestEntry(tables, [])].map(entry =>
            entry.calls.runOnce(call, admitted, run)
        ),
    );
    expect(runCount).toBe(1);
    expect(outcomes.map(kindOf).every(kind => kind === "answered" || kind === "unknown")).toBe(true);
});

test("a key is rejected for a different request, scoped to its account, and free for reuse after a day", async () => {
    const { tables } = createMemoryPlatform();
    const entry = createTestEntry(tables, []);
    const run = async (): Promise<ServiceOutcome> => paid;
    await entry.calls.runOnce(call, admitted, run);
    expect(kindOf(await entry.calls.runOnce({ ...call, fingerprint: "f2" }, admitted, run))).toBe("keyReused");
    expect(kindOf(await entry.calls.runOnce({ ...call, clientAccount: "walkers", fingerprint: "f2" }, admitted, run)))
        .toBe(
            "answered",
        );
    entry.advance(dayMs + 1);
    expect(kindOf(await entry.calls.runOnce({ ...call, fingerprint: "f2" }, admitted, run))).toBe("answered");
});

interface AdmissionCase {
    readonly name: string;
    readonly isRepeat: boolean;
    readonly expected: string;
}

const admissionCases: readonly AdmissionCase[] = [
    { name: "a first call is refused and its key stays unused", isRepeat: false, expected: "notAdmitted" },
    {
        name: "a repeat gets the recorded outcome, not a refusal that says it has not run",
        isRepeat: true,
        expected: "unknown",
    },
];

test.each(admissionCases)("when the account is over its rate, $name", async ({ isRepeat, expected }) => {
    const { tables } = createMemoryPlatform();
    let runCount = 0;
    const run = async (): Promise<ServiceOutcome> => {
        runCount += 1;
        return isRepeat ? unknown : paid;
    };
    if (isRepeat) {
        await createTestEntry(tables, []).calls.runOnce(call, admitted, run);
    }
    expect(kindOf(await createTestEntry(tables, []).calls.runOnce(call, overRate, run))).toBe(expected);
    expect(runCount).toBe(isRepeat ? 1 : 0);
    expect(kindOf(await createTestEntry(tables, []).calls.runOnce(call, admitted, run))).toBe(
        isRepeat ? "unknown" : "answered",
    );
});

test("a call with a key is not run again after its entry crashed during the call", async () => {
    const { tables } = createMemoryPlatform();
    void createTestEntry(tables, []).calls.runOnce(call, admitted, () => new Promise<never>(() => undefined));
    await new Promise(resolve => setTimeout(resolve, 5));
    let runCount = 0;
    const repeat = await createTestEntry(tables, []).calls.runOnce(call, admitted, async () => {
        runCount += 1;
        return paid;
    });
    expect([kindOf(repeat), runCount]).toEqual(["unknown", 0]);
});

test("under any faults and repeats, there is at most one run, and none for a request that gets an error", async () => {
    const fault = fc.constantFrom<Fault>("none", "none", "lost", "unavailable");
    const attempt = fc.record({ faults: fc.array(fault, { maxLength: 12 }), reads: fc.array(fault, { maxLength: 8 }) });
    await fc.assert(
        fc.asyncProperty(
            fc.array(attempt, { minLength: 1, maxLength: 6 }),
            fc.boolean(),
            async (attempts, concurrently) => {
                const { tables } = createMemoryPlatform();
                let runCount = 0;
                const send = async (
                    { faults, reads }: { readonly faults: readonly Fault[]; readonly reads: readonly Fault[]; },
                ) => {
                    let ran = false;
                    const outcome = await createTestEntry(tables, faults, reads).calls.runOnce(
                        call,
                        admitted,
                        async () => {
                            runCount += 1;
                            ran = true;
                            return paid;
                        },
                    );
                    expect(outcome.isErr && ran).toBe(false);
                    return outcome;
                };
                if (concurrently) {
                    await Promise.all(attempts.map(send));
                }
                else {
                    for (const each of attempts) {
                        await send(each);
                    }
                }
                expect(runCount).toBeLessThanOrEqual(1);
            },
        ),
        { seed, numRuns: 400 },
    );
});
