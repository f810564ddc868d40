/**
 * Which requests are refused after engines ended under them; what refutes the evidence, and how entries share it.
 */

import { describe, expect, it } from "vitest";
import { errorOf } from "../../fakes/forwardingHarness.js";
import { createQuarantineEntry } from "../../fakes/quarantineHarness.js";
import type { QuarantineEntry } from "../../fakes/quarantineHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { fingerprintOf } from "./requestFingerprint.js";
import type { RequestContent } from "./requestFingerprint.js";

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
        const entry = createQuarantineEntry(clock);
        for (const run of runs) {
            const [engine = "", ...parts] = run.replace("+", "").split(" ");
            await entry.run(engine, parts.join(" "), run.startsWith("+") ? "completed" : "broken");
        }
        expect(refusedParts.filter(parts => !entry.isRefused(parts))).toEqual([]);
        expect(served.filter(entry.isRefused)).toEqual([]);
    });

    // Nothing could show any more that the shared part is sound: all requests with it were refused for minutes.
    it.each([
        { name: "an engine that ended by itself", runs: ["e1 s d", "e2 s d", "e3 s x"], refused: ["s d"] },
        {
            name: "the engines of two deadly parts",
            runs: ["e1 s d1", "e2 s d2", "e3 s d1", "e4 s d2"],
            refused: ["s d1", "s d2"],
        },
        {
            name: "engines of a deadly part and others",
            runs: ["e1 s d a", "e2 s d a", "e3 s d b", "e4 s d b", "e5 s x"],
            refused: ["s d a", "s d b", "s d c"],
        },
        {
            name: "an engine of a second deadly part",
            runs: ["e1 s d1", "e2 s d1", "e3 s d1", "e4 s d2"],
            refused: ["s d1"],
        },
    ])("is blamed for a moment only for $name", async ({ runs, refused: refusedParts }) => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
        for (const run of runs) {
            const [engine = "", ...parts] = run.split(" ");
            await entry.run(engine, parts.join(" "), "broken");
        }
        expect(entry.isRefused("s y")).toBe(true);
        await clock.advance(2_000);
        expect(entry.isRefused("s y")).toBe(false);
        await clock.advance(60_000);
        expect(refusedParts.filter(parts => !entry.isRefused(parts))).toEqual([]);
    });

    // Sound parts that were at all engines with the deadly one excused it, and while engines ended they could not run.
    it("is not excused without end by others that were at all of its engines", async () => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
        for (const engine of ["e1", "e2", "e3", "e4"]) {
            await entry.run(engine, "s d a", "broken");
            await entry.run(engine, "s b", "broken");
        }
        expect(["s d c", "s d a", "s a"].map(entry.isRefused)).toEqual([true, true, true]);
        // Requests with fewer of these parts are tried sooner; the first of them shows which are sound.
        await clock.advance(2_000);
        expect(["s d a", "s a", "s c"].map(entry.isRefused)).toEqual([true, false, false]);
        await entry.run("e5", "s a", "completed");
        await entry.run("e5", "s b", "completed");
        await clock.advance(60_000);
        expect(["s d c", "s d a", "s a"].map(entry.isRefused)).toEqual([true, true, false]);
    });

    it("is blamed for long once it has ended two engines for which no other part accounts", async () => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
        await entry.run("e1", "s x", "broken");
        await entry.run("e2", "s x", "broken");
        await entry.run("e3", "s y", "broken");
        await clock.advance(2_000);
        await entry.run("e4", "s z", "broken");
        await clock.advance(60_000);
        expect(entry.isRefused("s")).toBe(true);
    });

    it("is named in the reason, with those that were always together with it", async () => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
        await entry.run("e1", "s x d", "broken");
        await entry.run("e2", "s d", "broken");
        expect(entry.quarantine.find(["s", "x", "d"])).toMatchObject({ blamedParts: ["s", "d"], crashes: 2 });
        await entry.run("e9", "s", "completed");
        expect(entry.quarantine.find(["s", "x", "d"])).toMatchObject({ blamedParts: ["d"], crashes: 2 });
    });

    it("that was sound is suspected again once no request with it has run for some time", async () => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
        await entry.run("e0", "p", "completed");
        await clock.advance(20_000);
        await entry.run("e1", "p", "broken");
        await entry.run("e2", "p", "broken");
        expect(entry.isRefused("p")).toBe(true);
    });

    it("is tried again after a time that doubles with each further engine", async () => {
        const clock = createVirtualClock();
        const entry = createQuarantineEntry(clock);
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
        const entry = createQuarantineEntry(clock);
        const many = Array.from({ length: 1_000 }, (none, index) => `p${index}`).join(" ");
        await entry.run("e1", `${"x".repeat(10_000)} ${many}`, "broken");
        expect(JSON.stringify(entry.quarantine.evidence()).length).toBeLessThan(5_000);
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
        const entry = createQuarantineEntry(createVirtualClock(), [errorOf("timeout")]);
        const fingerprint = fingerprintOf(content);
        entry.quarantine.recordEngineEnd({ id: "e1", bornMs: 1 }, [fingerprint, "p"], 0);
        await entry.run("e2", `${fingerprint} p`, "broken", 2_000);
        expect(entry.quarantine.isSuspected([fingerprint])).toBe(true);
        expect(entry.quarantine.isSuspected(["p"])).toBe(false);
    });

    // Calls that were repeated at the same two engines hid the one that had ended them, until it ended a third.
    it("are refused although other requests were at the same engines", () => {
        const { quarantine } = createQuarantineEntry(createVirtualClock());
        const [deadly, other] = [fingerprintOf(content), fingerprintOf({ ...content, target: "/other" })];
        ["e1", "e2"].forEach(id => quarantine.recordEngineEnd({ id, bornMs: 1 }, [deadly], 0));
        ["e1", "e2"].forEach(id => quarantine.recordEngineEnd({ id, bornMs: 1 }, [other], 0));
        expect(quarantine.find([deadly])?.crashes).toBe(2);
        quarantine.recordSound([other]);
        expect(quarantine.find([other])).toBeUndefined();
        expect(quarantine.find([deadly])?.crashes).toBe(2);
    });

    it("keep the evidence of several engines when hundreds of others were there by chance", async () => {
        const { quarantine } = createQuarantineEntry(createVirtualClock());
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
        const entry = createQuarantineEntry(clock);
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
        const entry = createQuarantineEntry(clock);
        await entry.run("e1", "d", "broken");
        await entry.run("e2", "d", "broken");
        await entry.run("e3", "d", "broken", 3_000, outputs);
        expect(entry.isRefused("d")).toBe(isRefusedAfter);
    });
});

describe("entries that share their evidence", () => {
    async function shareAll(entries: readonly QuarantineEntry[]): Promise<void> {
        for (const from of entries) {
            entries.forEach(to => to.quarantine.applyEvidence(from.quarantine.evidence()));
        }
    }

    it("refuse a part under which each of them has lost one engine", async () => {
        const clock = createVirtualClock();
        const entries = [createQuarantineEntry(clock), createQuarantineEntry(clock), createQuarantineEntry(clock)];
        await entries[0]?.run("e1", "s d", "broken");
        await entries[1]?.run("e2", "s d", "broken");
        await shareAll(entries);
        expect(entries.map(entry => entry.isRefused("s d"))).toEqual([true, true, true]);
    });

    it("count an engine that ended under requests of several entries once", async () => {
        const clock = createVirtualClock();
        const entries = [createQuarantineEntry(clock), createQuarantineEntry(clock)];
        await entries[0]?.run("e1", "d", "broken");
        await entries[1]?.run("e1", "d", "broken");
        await shareAll(entries);
        expect(entries.map(entry => entry.isRefused("d"))).toEqual([false, false]);
    });

    it("learn that a request has run with the part, also where older evidence comes in later", async () => {
        const clock = createVirtualClock();
        const [first, second, cutOff] = [
            createQuarantineEntry(clock),
            createQuarantineEntry(clock),
            createQuarantineEntry(clock),
        ];
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
        const entries = [createQuarantineEntry(clock), createQuarantineEntry(clock)];
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
