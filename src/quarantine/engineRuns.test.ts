/**
 * When an engine that broke off a request is taken for ended, so that the request is suspected.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, errorOf, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createQuarantineEntry, refused } from "../../fakes/quarantineHarness.js";
import type { Reported } from "../../fakes/quarantineHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { EngineError } from "../engines/enginePort.js";
import { createEngineRuns } from "./engineRuns.js";
import type { RunEnd } from "./engineRuns.js";
import { createRequestQuarantine } from "./requestQuarantine.js";

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
    { name: "it wrote a little and closed the connection", how: "closed", reports: [refused], isSuspected: true },
    { name: "it wrote for long, then closed", how: "closed", outputMs: 3_000, reports: [refused], isSuspected: false },
    { name: "it closed the connection and runs on", how: "closed", reports: [reportOf(1)], isSuspected: false },
];

describe("an engine breaks off a request", () => {
    it.each(endCases)("$name: suspected $isSuspected", async ({ how, outputMs, outputs, reports, isSuspected }) => {
        const entry = createQuarantineEntry(createVirtualClock(), reports);
        // The caller of a response that closed has had its end, so nothing depends on what is found out.
        expect(await entry.run("e1", "p", how, outputMs, outputs)).toBe(isSuspected && how === "broken");
        expect(entry.quarantine.evidence().map(({ part }) => part)).toEqual(isSuspected ? ["p"] : []);
    });

    // A deadly part counted as sound each time when the response had ended in order with its engine.
    it.each([
        { check: "runs on", reports: [reportOf(1)], isRefuted: true },
        { check: "has ended", reports: [refused], isRefuted: false },
        { check: "can't be asked", reports: [errorOf("timeout")], isRefuted: false },
    ])("a response that ended with its connection refutes evidence: engine $check", async ({ reports, isRefuted }) => {
        const entry = createQuarantineEntry(createVirtualClock(), reports);
        ["e1", "e2"].forEach(id => entry.quarantine.recordEngineEnd({ id, bornMs: 1 }, ["p"], 0));
        await entry.run("e3", "p", "closed");
        expect(entry.isRefused("p")).toBe(!isRefuted);
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
