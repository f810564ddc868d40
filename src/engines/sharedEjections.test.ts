/**
 * Verdicts on instances that entries share: what another entry saw counts with its age, and not beyond what that entry's
 * own network may have caused.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { engineRecord, errorOf, silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { createPrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import { createEngineHealth } from "./engineHealth.js";
import type { AttemptOutcome, EngineHealth } from "./engineHealth.js";
import type { EnginePort } from "./enginePort.js";
import { createSharedEjections } from "./sharedEjections.js";
import type { EjectionNotice, SharedEjections } from "./sharedEjections.js";
import { createStatusChecks } from "./statusChecks.js";

const instances = ["a", "b", "c"].map(id => engineRecord(id));

interface Entry {
    readonly health: EngineHealth;
    readonly ejections: SharedEjections;
    /** How often it told the others ahead of the rounds. */
    readonly announced: () => number;
}

function createEntry(clock: VirtualClock, engines = instances): Entry {
    const health = createEngineHealth(clock);
    const metrics = createPrometheusMetrics();
    const ejections = createSharedEjections({ clock, log: silentDecisionLog, metrics, health });
    let announcements = 0;
    ejections.onChange(() => announcements++);
    health.keepOnly(engines);
    ejections.keepOnly(engines);
    return { health, ejections, announced: () => announcements };
}

const used = ({ health }: Entry): readonly string[] => health.withoutEjected(instances).map(({ id }) => id);
const trusted = ({ health }: Entry): readonly string[] => health.withoutDoubtful(instances).map(({ id }) => id);

interface SharingCase {
    readonly name: string;
    /** Outcomes at the entry that tells, in order. */
    readonly outcomes: readonly (readonly [string, AttemptOutcome])[];
    /** Outcomes at the entry that hears, afterwards. */
    readonly ownOutcomes?: readonly (readonly [string, AttemptOutcome])[];
    /** Time until the other entry hears of it. */
    readonly delayMs?: number;
    readonly used: readonly string[];
    readonly trusted: readonly string[];
}

const success = (id: string): readonly [string, AttemptOutcome] => [id, "succeeded"];
const reset = (id: string): readonly [string, AttemptOutcome] => [id, "interrupted"];
const silence = (id: string): readonly [string, AttemptOutcome] => [id, "unresponsive"];

const all = ["a", "b", "c"];
const cases: readonly SharingCase[] = [
    {
        name: "an instance that broke off two requests is ejected",
        outcomes: [success("b"), reset("a"), reset("a")],
        used: ["b", "c"],
        trusted: ["b", "c"],
    },
    { name: "one broken request shows nothing", outcomes: [success("b"), reset("a")], used: all, trusted: all },
    { name: "nothing succeeds at that entry", outcomes: [reset("a"), reset("a")], used: all, trusted: all },
    {
        name: "an instance that is silent to one entry is only in doubt",
        outcomes: [success("b"), silence("a")],
        used: all,
        trusted: ["b", "c"],
    },
    {
        name: "an entry that is cut off from most instances does not empty the service",
        outcomes: [success("c"), reset("a"), reset("a"), reset("b"), reset("b")],
        used: all,
        trusted: all,
    },
    {
        name: "a later success here counts more",
        outcomes: [success("b"), reset("a"), reset("a")],
        ownOutcomes: [success("a")],
        delayMs: 100,
        used: all,
        trusted: all,
    },
    {
        name: "an old verdict has ended the ejection, not the doubt",
        outcomes: [success("b"), reset("a"), reset("a")],
        delayMs: 1_500,
        used: all,
        trusted: ["b", "c"],
    },
    {
        name: "a verdict ends by age",
        outcomes: [success("b"), reset("a"), reset("a")],
        delayMs: 6_500,
        used: all,
        trusted: all,
    },
];

describe("shared ejections", () => {
    it.each(cases)("$name", async ({ outcomes, ownOutcomes = [], delayMs = 1, ...expected }) => {
        const clock = createVirtualClock();
        const [teller, hearer] = [createEntry(clock), createEntry(clock)];
        await clock.advance(1_000);
        outcomes.forEach(([id, outcome]) => teller.health.recordOutcome(id, outcome));
        const sent = teller.ejections.notices();
        await clock.advance(delayMs);
        ownOutcomes.forEach(([id, outcome]) => hearer.health.recordOutcome(id, outcome));
        hearer.ejections.apply(sent.map((notice): EjectionNotice => ({ ...notice, agoMs: notice.agoMs + delayMs })));
        expect({ used: used(hearer), trusted: trusted(hearer) }).toEqual({
            used: expected.used,
            trusted: expected.trusted,
        });
    });

    it("are told at once, relayed, and end with a success elsewhere", async () => {
        const clock = createVirtualClock();
        const [first, second, third] = [createEntry(clock), createEntry(clock), createEntry(clock)];
        await clock.advance(1_000);
        [success("b"), reset("a"), reset("a")].forEach(([id, outcome]) => first.health.recordOutcome(id, outcome));
        expect(first.announced()).toBe(1);
        second.ejections.apply(first.ejections.notices());
        third.ejections.apply(second.ejections.notices());
        expect([second.announced(), third.announced(), used(third)]).toEqual([0, 0, ["b", "c"]]);
        await clock.advance(1_500);
        second.health.recordOutcome("b", "succeeded");
        second.health.recordOutcome("a", "succeeded");
        expect(second.announced()).toBe(1);
        third.ejections.apply(second.ejections.notices());
        first.ejections.apply(third.ejections.notices());
        expect([trusted(first), trusted(third)]).toEqual([all, all]);
    });

    it("concern one start of an instance, and no model engines", async () => {
        const clock = createVirtualClock();
        const teller = createEntry(clock, [...instances, engineRecord("m", "decode")]);
        const hearer = createEntry(clock, instances.map(engine => ({ ...engine, bornMs: 2 })));
        [success("b"), reset("a"), reset("a"), silence("m")].forEach(([id, outcome]) =>
            teller.health.recordOutcome(id, outcome)
        );
        expect(teller.ejections.notices().map(({ engine }) => engine)).toEqual(["a"]);
        hearer.ejections.apply(teller.ejections.notices());
        expect(used(hearer)).toEqual(all);
    });
});

interface CheckCase {
    readonly name: string;
    readonly status: Awaited<ReturnType<EnginePort["checkStatus"]>>;
    readonly isDoubtful: boolean;
    readonly isEjected: boolean;
}

const checkCases: readonly CheckCase[] = [
    { name: "a healthy instance is trusted", status: Result.ok(true), isDoubtful: false, isEjected: false },
    { name: "a failing instance is ejected", status: Result.ok(false), isDoubtful: true, isEjected: true },
    { name: "a silent instance is ejected", status: errorOf("timeout"), isDoubtful: true, isEjected: true },
    { name: "a full instance shows nothing", status: errorOf("notExecuted"), isDoubtful: true, isEjected: false },
];

describe("status checks", () => {
    it.each(checkCases)("$name, by one check", async ({ status, isDoubtful, isEjected }) => {
        const clock = createVirtualClock();
        const { health } = createEntry(clock);
        const paths: string[] = [];
        const checks = createStatusChecks({
            clock,
            random: () => 0,
            log: silentDecisionLog,
            metrics: createPrometheusMetrics(),
            health,
            engines: {
                checkStatus: async (engine, path) => {
                    paths.push(`${engine.id} ${path}`);
                    return status;
                },
            },
        });
        health.recordOutcome("a", "unresponsive");
        for (let elapsedMs = 0; elapsedMs < 1_100; elapsedMs += 50) {
            instances.forEach(engine => checks.checkIfDue(engine, "/health"));
            await clock.advance(50);
        }
        expect(paths).toEqual(["a /health"]);
        expect([health.isDoubtful("a"), health.isEjected("a")]).toEqual([isDoubtful, isEjected]);
    });
});
