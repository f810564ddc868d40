/**
 * Calls with an idempotency key run at most once, whatever the store does, and repeats get the recorded outcome.
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
const dayMs = 86_400_000;

let deskCount = 0;

interface Desk {
    readonly calls: IdempotentCalls;
    readonly advance: (durationMs: number) => void;
}

/** An entry on a shared table; each commit consumes one fault. */
function createDesk(tables: TableService, faults: readonly Fault[], readFaults: readonly Fault[] = []): Desk {
    const rest = [...faults];
    const restReads = [...readFaults];
    const clock = createVirtualClock();
    let extraMs = 0;
    let ids = 0;
    const down: PlatformError = { kind: "unavailable", cause: "down" };
    const faulty: TableService = {
        ...tables,
        read: async keys => (restReads.shift() ?? "none") === "none" ? tables.read(keys) : Result.err(down),
        commit: async transaction => {
            const fault = rest.shift() ?? "none";
            if (fault === "unavailable") {
                return Result.err(down);
            }
            const outcome = await tables.commit(transaction);
            return fault === "lost" ? Result.err({ kind: "unknown", cause: "lost" }) : outcome;
        },
    };
    const name = deskCount++;
    return {
        calls: createIdempotentCalls({
            tables: faulty,
            clock: { ...clock, wallMs: () => clock.wallMs() + extraMs, sleep: async () => undefined },
            newId: () => `${name}-${ids++}`,
            count: () => undefined,
        }),
        advance: durationMs => {
            extraMs += durationMs;
        },
    };
}

function kindOf(outcome: Awaited<ReturnType<IdempotentCalls["runOnce"]>>): string {
    return outcome.isOk ? outcome.value.kind : outcome.error.kind;
}

interface Case {
    readonly name: string;
    readonly faults: readonly Fault[];
    readonly outcome: ServiceOutcome;
    /** What the first caller gets, how often the call ran, and what a repeat at another entry gets. */
    readonly first: string;
    readonly runs: number;
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
        name: "the insert's answer is lost",
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
        name: "the outcome can't be recorded",
        faults: ["none", ...always("unavailable")],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "unknown",
        runsAfterRepeat: 1,
    },
    {
        name: "the answer to the record is lost",
        faults: ["none", "lost"],
        outcome: paid,
        first: "answered",
        runs: 1,
        repeat: "answered",
        runsAfterRepeat: 1,
    },
    {
        name: "the call's end is unclear",
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
        name: "the answer is too large to be kept",
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
    let count = 0;
    const run = async (): Promise<ServiceOutcome> => {
        count += 1;
        return outcome;
    };
    expect(kindOf(await createDesk(tables, faults).calls.runOnce(call, run))).toBe(first);
    expect(count).toBe(runs);
    expect(kindOf(await createDesk(tables, []).calls.runOnce(call, run))).toBe(repeat);
    expect(count).toBe(runsAfterRepeat);
});

test("two entries that get the same key at once run it once", async () => {
    const { tables } = createMemoryPlatform();
    let count = 0;
    const run = async (): Promise<ServiceOutcome> => {
        count += 1;
        return paid;
    };
    const outcomes = await Promise.all(
        [createDesk(tables, []), createDesk(tables, [])].map(desk => desk.calls.runOnce(call, run)),
    );
    expect(count).toBe(1);
    expect(outcomes.map(kindOf).every(kind => kind === "answered" || kind === "unknown")).toBe(true);
});

test("a key can't be used for another request, belongs to its account, and is free again after a day", async () => {
    const { tables } = createMemoryPlatform();
    const desk = createDesk(tables, []);
    const run = async (): Promise<ServiceOutcome> => paid;
    await desk.calls.runOnce(call, run);
    expect(kindOf(await desk.calls.runOnce({ ...call, fingerprint: "f2" }, run))).toBe("keyReused");
    expect(kindOf(await desk.calls.runOnce({ ...call, clientAccount: "walkers", fingerprint: "f2" }, run))).toBe(
        "answered",
    );
    desk.advance(dayMs + 1);
    expect(kindOf(await desk.calls.runOnce({ ...call, fingerprint: "f2" }, run))).toBe("answered");
});

test("an entry that dies while the call runs leaves a key that is never run again", async () => {
    const { tables } = createMemoryPlatform();
    void createDesk(tables, []).calls.runOnce(call, () => new Promise<never>(() => undefined));
    await new Promise(resolve => setTimeout(resolve, 5));
    let count = 0;
    const repeat = await createDesk(tables, []).calls.runOnce(call, async () => {
        count += 1;
        return paid;
    });
    expect([kindOf(repeat), count]).toEqual(["unknown", 0]);
});

test("never two runs, and a refusal means that there was none, under any faults and repeats", async () => {
    const fault = fc.constantFrom<Fault>("none", "none", "lost", "unavailable");
    const attempt = fc.record({ faults: fc.array(fault, { maxLength: 12 }), reads: fc.array(fault, { maxLength: 8 }) });
    await fc.assert(
        fc.asyncProperty(
            fc.array(attempt, { minLength: 1, maxLength: 6 }),
            fc.boolean(),
            async (attempts, together) => {
                const { tables } = createMemoryPlatform();
                let count = 0;
                const send = async (
                    { faults, reads }: { readonly faults: readonly Fault[]; readonly reads: readonly Fault[]; },
                ) => {
                    let ran = false;
                    const outcome = await createDesk(tables, faults, reads).calls.runOnce(call, async () => {
                        count += 1;
                        ran = true;
                        return paid;
                    });
                    expect(outcome.isErr && ran).toBe(false);
                    return outcome;
                };
                if (together) {
                    await Promise.all(attempts.map(send));
                }
                else {
                    for (const each of attempts) {
                        await send(each);
                    }
                }
                expect(count).toBeLessThanOrEqual(1);
            },
        ),
        { seed, numRuns: 400 },
    );
});
