/**
 * The soak's check of the rates that engines name: which requests count, and that too many of them are found.
 */

import { describe, expect, it } from "vitest";
import { checkDeadlyParts, checkRates } from "../fakes/soakChecks.js";
import type { Generation, PassedOnResponse } from "../fakes/soakChecks.js";
import { checkTakenUp } from "../fakes/soakStreams.js";

const limit = { value: "2", fromMs: 1_000, untilMs: undefined };
/** Requests in 4 s; 17 are allowed. */
const many = 20;
const arrivals = (fromMs: number): readonly number[] =>
    Array.from({ length: many }, (unused, index) => fromMs + index * 100);

interface RateCase {
    readonly name: string;
    readonly stage: "prefill" | "decode" | undefined;
    readonly arrivedAtMs: readonly number[];
    readonly passedOn: readonly PassedOnResponse[];
    readonly isBroken: boolean;
}

const told: PassedOnResponse = { engine: "e-1", sentAtMs: 1_100, endedAtMs: 1_300 };
const cases: readonly RateCase[] = [
    {
        name: "too many after a response with the limit was passed on",
        stage: undefined,
        arrivedAtMs: arrivals(2_500),
        passedOn: [told],
        isBroken: true,
    },
    // Thirty entries asked an engine for reservations that it answered too late: none of them had been told of a limit.
    {
        name: "too many before any response with the limit was passed on",
        stage: "decode",
        arrivedAtMs: arrivals(2_500),
        passedOn: [{ ...told, sentAtMs: 900 }, { ...told, engine: "e-2" }, { ...told, endedAtMs: 4_500 }],
        isBroken: false,
    },
    {
        name: "too many at an engine whose responses are not passed on to callers",
        stage: "prefill",
        arrivedAtMs: arrivals(2_500),
        passedOn: [],
        isBroken: true,
    },
    { name: "few", stage: "decode", arrivedAtMs: arrivals(2_500).slice(0, 15), passedOn: [told], isBroken: false },
];

it.each(cases)("$name: broken $isBroken", ({ stage, arrivedAtMs, passedOn, isBroken }) => {
    const engine = { id: "e-1", stage, limits: [limit], arrivedAtMs: [...arrivedAtMs] };
    expect(checkRates([engine], passedOn)).toHaveLength(isBroken ? 1 : 0);
});

interface TakenUpCase {
    readonly name: string;
    /** Software versions of the events before and after the take-up. */
    readonly versions: readonly [string, string | undefined];
    readonly status: number;
    readonly hasRun: boolean;
    readonly violations: number;
}

const takenUpCases: readonly TakenUpCase[] = [
    { name: "one version", versions: ["v1", "v1"], status: 200, hasRun: true, violations: 0 },
    { name: "two versions", versions: ["v1", "v2"], status: 200, hasRun: true, violations: 1 },
    { name: "refused", versions: ["v1", undefined], status: 503, hasRun: false, violations: 0 },
    { name: "refused, but run", versions: ["v1", undefined], status: 503, hasRun: true, violations: 1 },
];

describe("the soak's check of streams that are taken up", () => {
    it.each(takenUpCases)(
        "$name: $violations violations",
        ({ versions: [began, resumed], status, hasRun, violations }) => {
            const requestId = "r-2";
            const parts = [{ requestId: "r-1", engine: "m-1", lastEventId: "3", softwareVersions: [began] }];
            const softwareVersions = resumed === undefined ? [] : [resumed];
            const response = { requestId, status, body: "", softwareVersions, retryAfter: null, engine: "m-1" };
            const run = { requestId, headers: {}, target: "/long/x", body: "", atMs: 0 };
            const found = checkTakenUp([{ parts, resumed: response }], [{ runs: hasRun ? [run] : [] }]);
            expect(found).toHaveLength(violations);
        },
    );
});

const sent = (hasSharedPart: boolean, hasBegun: boolean): readonly Generation[] =>
    Array.from({ length: many }, (unused, index) => ({ hasSharedPart, hasBegun, sentAtMs: 10_000 + index }));

it.each([
    { name: "all others are served", runsAtMs: [0, 100], generations: [...sent(true, true), ...sent(false, true)] },
    { name: "none with the first part", runsAtMs: [0], generations: [...sent(true, false), ...sent(false, true)] },
    { name: "none at all", runsAtMs: [0], generations: [...sent(true, false), ...sent(false, false)] },
    { name: "too many late runs", runsAtMs: [0, 1, 2, 3, 4, 4_000, 5_000, 6_000, 7_000], generations: [] },
    { name: "few late runs", runsAtMs: [0, 1, 2, 3, 4, 2_000, 5_000, 6_000, 7_000], generations: [] },
])("a part of a prompt that ends engines: $name", ({ name, runsAtMs, generations }) => {
    const isBroken = name === "none with the first part" || name === "too many late runs";
    expect(checkDeadlyParts(runsAtMs, generations)).toHaveLength(isBroken ? 1 : 0);
});
