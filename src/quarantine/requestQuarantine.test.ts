/**
 * Which requests are refused, and which are not repeated, after engines ended under them; what refutes the evidence, and
 * how entries share it.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, errorOf, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { EngineError, EngineReport } from "../engines/enginePort.js";
import { createEngineRuns } from "./engineRuns.js";
import type { RunEnd } from "./engineRuns.js";
import { fingerprintOf } from "./requestFingerprint.js";
import type { RequestContent } from "./requestFingerprint.js";
import { createRequestQuarantine } from "./requestQuarantine.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

type Reported = Result<EngineReport, EngineError>;

const refused: Reported = Result.err({ kind: "unreachable", cause: "refused", isConnectionRefused: true });

function reportOf(bornMs: number): Reported {
    return Result.ok({
        stage: "decode",
        bornMs,
        isReconfiguring: false,
        orderSequence: 0,
        running: 0,
        queued: 0,
        kvUsedTokens: 0,
        kvTotalTokens: 0,
    });
}

interface Entry {
    readonly quarantine: RequestQuarantine;
    /** Runs a request with these parts at an engine; it writes for `outputMs`, if at all, and ends. */
    readonly run: (
        engine: string,
        parts: string,
        how: RunEnd,
        outputMs?: number,
        outputs?: number,
    ) => Promise<boolean>;
    readonly isRefused: (parts: string) => boolean;
}

const split = (parts: string): readonly string[] => parts.split(" ");

function createEntry(clock: VirtualClock, reports: readonly Reported[] = [refused]): Entry {
    let next = 0;
    const quarantine = createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined });
    const runs = createEngineRuns({
        clock,
        quarantine,
        report: async () => reports[Math.min(next++, reports.length - 1)] ?? refused,
        isReplaced: () => false,
    });
    return {
        quarantine,
        run: async (engine, parts, how, outputMs, outputs = 5) => {
            const run = runs.start(engineRecord(engine, "decode"), split(parts));
            if (outputMs !== undefined) {
                Array.from({ length: outputs }, run.recordOutput);
                await clock.advance(outputMs);
            }
            const ended = run.end(how);
            await clock.advance(500);
            return ended;
        },
        isRefused: parts => quarantine.find(split(parts)) !== undefined,
    };
}

interface BlameCase {
    readonly name: string;
    /** Runs as `ENGINE PART...`; `+` marks a complete one, any other ends its engine. */
    readonly runs: readonly string[];
    readonly refused: readonly string[];
    readonly served: readonly string[];
}

const blameCases: readonly BlameCase[] = [
    { name: "one engine", runs: ["e1 s d"], refused: [], served: ["s d", "s", "d"] },
    { name: "two engines", runs: ["e1 s d", "e2 s d"], refused: ["s d", "s d x"], served: ["s", "s x", "d x"] },
    { name: "two breaks of one engine", runs: ["e1 s d", "e1 s d"], refused: [], served: ["s d"] },
    {
        name: "two engines, and a sound request with a part of both",
        runs: ["e1 s d", "+e9 s", "e2 s d"],
        refused: ["s d", "d", "d x"],
        served: ["s", "s x"],
    },
    {
        name: "requests that have one part in common",
        runs: ["e1 a d", "e2 b d"],
        refused: ["a d", "d", "c d"],
        served: ["a", "b", "a b"],
    },
    {
        name: "a part that was with the deadly one by chance",
        runs: ["e1 x d", "e2 x d", "e3 d"],
        refused: ["d", "x d"],
        served: ["x"],
    },
    {
        name: "two deadly parts",
        runs: ["e1 s d1", "e2 s d2", "+e9 s", "e3 s d1", "e4 s d2"],
        refused: ["s d1", "s d2"],
        served: ["s", "s x"],
    },
    { name: "a part with which a request has run since", runs: ["e1 d", "e2 d", "+e9 d"], refused: [], served: ["d"] },
    { name: "a part with which a request has just run", runs: ["+e9 p", "e1 p", "e2 p"], refused: [], served: ["p"] },
];

describe("a part of a prompt", () => {
    it.each(blameCases)("after $name", async ({ runs, refused: refusedParts, served }) => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        for (const run of runs) {
            const [engine = "", ...parts] = run.replace("+", "").split(" ");
            await entry.run(engine, parts.join(" "), run.startsWith("+") ? "completed" : "broken");
        }
        expect(refusedParts.filter(parts => !entry.isRefused(parts))).toEqual([]);
        expect(served.filter(entry.isRefused)).toEqual([]);
    });

    it("is named in the reason, with those that were always together with it", async () => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        await entry.run("e1", "s x d", "broken");
        await entry.run("e2", "s d", "broken");
        expect(entry.quarantine.find(["s", "x", "d"])).toMatchObject({ blamedParts: ["s", "d"], crashes: 2 });
        await entry.run("e9", "s", "completed");
        expect(entry.quarantine.find(["s", "x", "d"])).toMatchObject({ blamedParts: ["d"], crashes: 2 });
    });

    it("that was sound is suspected again once no request with it has run for some time", async () => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        await entry.run("e0", "p", "completed");
        await clock.advance(20_000);
        await entry.run("e1", "p", "broken");
        await entry.run("e2", "p", "broken");
        expect(entry.isRefused("p")).toBe(true);
    });

    it("is tried again after a time that doubles with each further engine", async () => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        await entry.run("e1", "d", "broken");
        await entry.run("e2", "d", "broken");
        expect(entry.quarantine.find(["d"])).toMatchObject({ blamedParts: ["d"], crashes: 2 });
        await clock.advance(118_000);
        expect(entry.isRefused("d")).toBe(true);
        await clock.advance(2_000);
        expect(entry.isRefused("d")).toBe(false);
        await entry.run("e3", "d", "broken");
        await clock.advance(230_000);
        expect(entry.isRefused("d")).toBe(true);
        await clock.advance(10_000);
        expect(entry.isRefused("d")).toBe(false);
    });

    it("has ids of bounded length and number", async () => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        const many = Array.from({ length: 1_000 }, (none, index) => `p${index}`).join(" ");
        await entry.run("e1", `${"x".repeat(10_000)} ${many}`, "broken");
        expect(JSON.stringify(entry.quarantine.evidence()).length).toBeLessThan(5_000);
    });
});

interface EndCase {
    readonly name: string;
    readonly how: RunEnd;
    readonly outputMs?: number;
    readonly outputs?: number;
    readonly reports: readonly Reported[];
    readonly isSuspected: boolean;
}

const endCases: readonly EndCase[] = [
    { name: "nothing listens", how: "broken", reports: [refused], isSuspected: true },
    {
        name: "nothing listens soon after",
        how: "broken",
        reports: [errorOf("interrupted"), refused],
        isSuspected: true,
    },
    { name: "it has started anew", how: "broken", reports: [reportOf(2)], isSuspected: true },
    { name: "it wrote a little", how: "broken", outputMs: 200, reports: [refused], isSuspected: true },
    { name: "it wrote for long", how: "broken", outputMs: 3_000, reports: [refused], isSuspected: false },
    {
        name: "it wrote once, and its end was seen late",
        how: "broken",
        outputMs: 3_000,
        outputs: 1,
        reports: [refused],
        isSuspected: true,
    },
    { name: "it wrote twice", how: "broken", outputMs: 3_000, outputs: 2, reports: [refused], isSuspected: false },
    { name: "it runs on", how: "broken", reports: [reportOf(1)], isSuspected: false },
    { name: "it can't be reached", how: "broken", reports: [errorOf("unreachable")], isSuspected: false },
    { name: "it doesn't respond", how: "broken", reports: [errorOf("timeout")], isSuspected: false },
    { name: "the request was abandoned", how: "abandoned", reports: [refused], isSuspected: false },
    { name: "the request was complete", how: "completed", reports: [refused], isSuspected: false },
];

describe("an engine breaks off a request", () => {
    it.each(endCases)("$name: suspected $isSuspected", async ({ how, outputMs, outputs, reports, isSuspected }) => {
        const entry = createEntry(createVirtualClock(), reports);
        expect(await entry.run("e1", "p", how, outputMs, outputs)).toBe(isSuspected);
        expect(entry.quarantine.evidence().map(({ part }) => part)).toEqual(isSuspected ? ["p"] : []);
    });
});

describe("an engine that does not respond to the question whether it has ended", () => {
    // A stream that may be resumed waits for the answer.
    it("is asked once", async () => {
        const clock = createVirtualClock();
        let asked = 0;
        const runs = createEngineRuns({
            clock,
            quarantine: createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined }),
            report: async () => {
                asked += 1;
                return errorOf("timeout");
            },
            isReplaced: () => false,
        });
        expect(await runs.start(engineRecord("e1", "decode"), ["p"]).end("broken")).toBe(false);
        expect(asked).toBe(1);
    });
});

interface SilentEndCase {
    readonly name: string;
    readonly report: EngineError;
    readonly isReplaced: boolean;
    readonly evidence: number;
}

const silentEndCases: readonly SilentEndCase[] = [
    { name: "is replaced", report: { kind: "timeout", cause: "dark" }, isReplaced: true, evidence: 1 },
    { name: "is not replaced", report: { kind: "timeout", cause: "dark" }, isReplaced: false, evidence: 0 },
    { name: "resets and is replaced", report: { kind: "interrupted", cause: "reset" }, isReplaced: true, evidence: 1 },
    {
        name: "may not be asked, by the rate that it names, and is replaced",
        report: { kind: "unreachable", cause: "rate" },
        isReplaced: true,
        evidence: 1,
    },
    {
        name: "responds, and another engine is registered at its address",
        report: { kind: "notExecuted", status: 404, cause: "no report" },
        isReplaced: true,
        evidence: 0,
    },
];

describe("an engine that broke off a request and can't be reached", () => {
    // Engines whose hosts were gone as well left no evidence.
    it.each(silentEndCases)("$name: $evidence items of evidence", async ({ report, isReplaced, evidence }) => {
        const clock = createVirtualClock();
        let isNewStartKnown = false;
        const quarantine = createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined });
        const runs = createEngineRuns({
            clock,
            quarantine,
            report: async () => Result.err(report),
            isReplaced: () => isNewStartKnown,
        });
        const ended = runs.start(engineRecord("e1"), ["request:1"]).end("broken");
        await clock.advance(2_000);
        isNewStartKnown = isReplaced;
        await clock.advance(8_000);
        expect(await ended).toBe(false);
        expect(quarantine.evidence()).toHaveLength(evidence);
    });
});

describe("whole requests", () => {
    const content: RequestContent = {
        method: "GET",
        host: "caller.example",
        target: "/x?y=z",
        clientAccount: "account",
        body: Buffer.from("body"),
    };

    it.each<[string, Partial<RequestContent>, boolean]>([
        ["nothing", {}, true],
        ["the case of the host", { host: "Caller.Example" }, true],
        ["the method", { method: "POST" }, false],
        ["the path", { target: "/x/?y=z" }, false],
        ["the query", { target: "/x?y=zz" }, false],
        ["the account", { clientAccount: undefined }, false],
        ["the body", { body: Buffer.from("body2") }, false],
    ])("that differ in %s have the same fingerprint: %3$s", (name, difference, isSame) => {
        expect(fingerprintOf({ ...content, ...difference }) === fingerprintOf(content)).toBe(isSame);
    });

    it("are still suspected after a run that broke off late, unlike the parts of its prompt", async () => {
        const entry = createEntry(createVirtualClock(), [errorOf("timeout")]);
        const fingerprint = fingerprintOf(content);
        entry.quarantine.recordEngineEnd({ id: "e1", bornMs: 1 }, [fingerprint, "p"], 0);
        await entry.run("e2", `${fingerprint} p`, "broken", 2_000);
        expect(entry.quarantine.isSuspected([fingerprint])).toBe(true);
        expect(entry.quarantine.isSuspected(["p"])).toBe(false);
    });

    // Calls that were repeated at the same two engines hid the one that had ended them, until it ended a third.
    it("are refused although other requests were at the same engines", () => {
        const { quarantine } = createEntry(createVirtualClock());
        const [deadly, other] = [fingerprintOf(content), fingerprintOf({ ...content, target: "/other" })];
        ["e1", "e2"].forEach(id => quarantine.recordEngineEnd({ id, bornMs: 1 }, [deadly], 0));
        ["e1", "e2"].forEach(id => quarantine.recordEngineEnd({ id, bornMs: 1 }, [other], 0));
        expect(quarantine.find([deadly])?.crashes).toBe(2);
        quarantine.recordSound([other]);
        expect(quarantine.find([other])).toBeUndefined();
        expect(quarantine.find([deadly])?.crashes).toBe(2);
    });

    it("keep the evidence of several engines when hundreds of others were there by chance", async () => {
        const { quarantine } = createEntry(createVirtualClock());
        const fingerprint = fingerprintOf(content);
        ["e1", "e2"].forEach(id => quarantine.recordEngineEnd({ id, bornMs: 1 }, [fingerprint], 0));
        for (let engine = 0; engine < 60; engine++) {
            const bystanders = Array.from({ length: 10 }, (unused, index) => `request:${engine}-${index}`);
            quarantine.recordEngineEnd({ id: `b${engine}`, bornMs: 1 }, bystanders, 0);
        }
        expect(quarantine.find([fingerprint])?.crashes).toBe(2);
    });

    it("are suspected after one engine, refused after two, and served again once one has run", async () => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        const fingerprint = fingerprintOf(content);
        await entry.run("e1", fingerprint, "broken");
        expect([entry.quarantine.isSuspected([fingerprint]), entry.isRefused(fingerprint)]).toEqual([true, false]);
        await entry.run("e2", fingerprint, "broken");
        expect(entry.isRefused(fingerprint)).toBe(true);
        expect(entry.isRefused(fingerprintOf({ ...content, target: "/y" }))).toBe(false);
        await entry.run("e3", fingerprint, "completed");
        expect(entry.isRefused(fingerprint)).toBe(false);
    });
});

describe("a run that broke off", () => {
    // A machine that froze just after the first event took the deadly part for a sound one.
    it.each([
        ["refutes the evidence against its part after several writes", 5, false],
        ["proves nothing if it wrote once and its end was seen late", 1, true],
        ["proves nothing if it wrote twice", 2, true],
    ])("%s", async (name, outputs, isRefusedAfter) => {
        const clock = createVirtualClock();
        const entry = createEntry(clock);
        await entry.run("e1", "d", "broken");
        await entry.run("e2", "d", "broken");
        await entry.run("e3", "d", "broken", 3_000, outputs);
        expect(entry.isRefused("d")).toBe(isRefusedAfter);
    });
});

describe("entries that share their evidence", () => {
    async function shareAll(entries: readonly Entry[]): Promise<void> {
        for (const from of entries) {
            entries.forEach(to => to.quarantine.applyEvidence(from.quarantine.evidence()));
        }
    }

    it("refuse a part under which each of them has lost one engine", async () => {
        const clock = createVirtualClock();
        const entries = [createEntry(clock), createEntry(clock), createEntry(clock)];
        await entries[0]?.run("e1", "s d", "broken");
        await entries[1]?.run("e2", "s d", "broken");
        await shareAll(entries);
        expect(entries.map(entry => entry.isRefused("s d"))).toEqual([true, true, true]);
    });

    it("count an engine that ended under requests of several entries once", async () => {
        const clock = createVirtualClock();
        const entries = [createEntry(clock), createEntry(clock)];
        await entries[0]?.run("e1", "d", "broken");
        await entries[1]?.run("e1", "d", "broken");
        await shareAll(entries);
        expect(entries.map(entry => entry.isRefused("d"))).toEqual([false, false]);
    });

    it("learn that a request has run with the part, also where older evidence comes in later", async () => {
        const clock = createVirtualClock();
        const [first, second, cutOff] = [createEntry(clock), createEntry(clock), createEntry(clock)];
        await first.run("e1", "p", "broken");
        await first.run("e2", "p", "broken");
        await shareAll([first, second, cutOff]);
        expect(cutOff.isRefused("p")).toBe(true);
        await second.run("e3", "p", "completed");
        await shareAll([first, second]);
        expect(first.isRefused("p")).toBe(false);
        await shareAll([cutOff, first, second, cutOff]);
        expect([first, second, cutOff].map(entry => entry.isRefused("p"))).toEqual([false, false, false]);
    });

    it("forget evidence at the same time, however often they have passed it on", async () => {
        const clock = createVirtualClock();
        const entries = [createEntry(clock), createEntry(clock)];
        await entries[0]?.run("e1", "d", "broken");
        await entries[0]?.run("e2", "d", "broken");
        for (let round = 0; round < 300; round++) {
            await clock.advance(400);
            // A message takes some time, by which the age that it states is too low.
            const evidence = entries[round % 2]?.quarantine.evidence() ?? [];
            await clock.advance(20);
            entries[(round + 1) % 2]?.quarantine.applyEvidence(evidence);
        }
        expect(entries.map(entry => entry.isRefused("d"))).toEqual([false, false]);
    });
});
