/**
 * Checks of engines' starts, with reports that come late, fail or are not sent, on a virtual clock.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, errorOf, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineError, EngineRecord, EngineReport } from "./enginePort.js";
import { createStartChecks } from "./startChecks.js";
import type { StartChecks } from "./startChecks.js";

const engine = engineRecord("m-1", "decode");

function reportOf(bornMs: number): Result<EngineReport, EngineError> {
    return Result.ok({
        stage: "decode",
        bornMs,
        isReconfiguring: false,
        orderSequence: 0,
        running: 0,
        queued: 0,
        kvUsedTokens: 0,
        kvTotalTokens: 1,
    });
}

/** What becomes of a report that is asked for at `atMs`: its response, and how long that takes. */
type Script = (atMs: number) => { readonly takesMs: number; readonly response: Result<EngineReport, EngineError>; };

interface Checks {
    readonly checks: StartChecks;
    /** Times at which the engine was asked. */
    readonly askedAtMs: readonly number[];
    readonly advance: (durationMs: number) => Promise<void>;
    /** Most reports that were asked for at the same time. */
    readonly mostAtOnce: () => number;
}

function createChecks(script: Script, isClosed: (atMs: number) => boolean = () => false): Checks {
    const clock = createVirtualClock();
    const askedAtMs: number[] = [];
    let running = 0;
    let mostAtOnce = 0;
    const engines = {
        isClosed: () => isClosed(clock.monotonicMs()),
        connectedAtMs: () => 0,
        report: async (asked: EngineRecord, timeoutMs: number): Promise<Result<EngineReport, EngineError>> => {
            askedAtMs.push(clock.monotonicMs());
            running += 1;
            mostAtOnce = Math.max(mostAtOnce, running);
            const { takesMs, response } = script(clock.monotonicMs());
            await clock.sleep(Math.min(takesMs, timeoutMs));
            running -= 1;
            return takesMs > timeoutMs ? errorOf("timeout") : response;
        },
    };
    const checks = createStartChecks(engines, clock, silentDecisionLog);
    return { checks, askedAtMs, advance: clock.advance, mostAtOnce: () => mostAtOnce };
}

const same = reportOf(engine.bornMs);
const [lateMs, endsAtMs] = [1_500, 1_000];
const failsWith = (kind: EngineError["kind"]): Script => atMs => ({
    takesMs: 0,
    response: atMs < endsAtMs ? errorOf(kind) : same,
});

interface CheckCase {
    readonly name: string;
    readonly script: Script;
    readonly isClosed?: (atMs: number) => boolean;
    readonly outcome: boolean | undefined;
}

const cases: readonly CheckCase[] = [
    { name: "the report is late", script: () => ({ takesMs: lateMs, response: same }), outcome: true },
    { name: "the engine refuses the connection for a while", script: failsWith("unreachable"), outcome: true },
    { name: "reports break off for a while", script: failsWith("interrupted"), outcome: true },
    { name: "the engine or its rate rejects reports for a while", script: failsWith("notExecuted"), outcome: true },
    {
        name: "the engine rests for a while",
        script: () => ({ takesMs: 0, response: same }),
        isClosed: atMs => atMs < endsAtMs,
        outcome: true,
    },
    {
        name: "the engine leaves",
        script: () => ({ takesMs: 0, response: same }),
        isClosed: () => true,
        outcome: undefined,
    },
    {
        name: "the report does not name a start",
        script: atMs => ({ takesMs: 0, response: atMs < endsAtMs ? reportOf(0) : same }),
        outcome: true,
    },
    {
        name: "the engine has started again",
        script: () => ({ takesMs: 0, response: reportOf(engine.bornMs + 1) }),
        outcome: false,
    },
    { name: "the engine never answers", script: () => ({ takesMs: Infinity, response: same }), outcome: undefined },
];

describe("the check of an engine's start", () => {
    // One report that was late, failed or was not sent decided for good that a stream could not be taken up.
    it.each(cases)("ends as it should if $name", async ({ script, isClosed = () => false, outcome }) => {
        const { checks, askedAtMs, advance } = createChecks(script, isClosed);
        const outcomes: boolean[] = [];
        void checks.isConfirmed(engine).then(isConfirmed => outcomes.push(isConfirmed));
        await advance(10_000);
        expect(outcomes).toEqual(outcome === undefined ? [] : [outcome]);
        expect(askedAtMs.filter(isClosed)).toEqual([]);
        checks.keepOnly([]);
        await advance(10_000);
        expect(outcomes).toEqual([outcome ?? false]);
        expect(askedAtMs.length).toBeLessThan(12);
    });

    // Each stream asked by itself, on a connection of its own, which made earlier confirmations void.
    it("is shared by all streams of the engine", async () => {
        const { checks, askedAtMs, advance, mostAtOnce } = createChecks(() => ({ takesMs: 200, response: same }));
        const all = Array.from({ length: 50 }, () => checks.isConfirmed(engine));
        await advance(1_000);
        expect(new Set(await Promise.all(all))).toEqual(new Set([true]));
        expect([askedAtMs.length, mostAtOnce()]).toEqual([1, 1]);
    });

    it("does not prove a start by a report that was asked for before the response arrived", async () => {
        let started = engine.bornMs;
        const { checks, advance } = createChecks(() => ({ takesMs: lateMs, response: reportOf(started) }));
        const before = checks.isConfirmed(engine);
        await advance(100);
        const after = checks.isConfirmed({ ...engine });
        started += 1;
        await advance(10_000);
        expect([await before, await after]).toEqual([false, false]);
    });
});
