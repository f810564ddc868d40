/**
 * The rate that an engine names holds over all entries together, while entries come, go, freeze and are cut off, and it
 * is used wherever requests arrive.
 */

import { describe, expect, it } from "vitest";
import { coldTolerance, createEngineRateFleet } from "../../fakes/engineRateFleet.js";
import type { EngineRateFleet } from "../../fakes/engineRateFleet.js";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom, pickOne } from "../common/random.js";
import { createColdEngines } from "../engines/coldEngines.js";
import { createEngineRates } from "../engines/engineRates.js";
import { createRpcClient } from "../rpc/rpcClient.js";
import { createEngineRateLimiter } from "./engineRateLimiter.js";
import { engineRateMethods } from "./messages.js";
import { createRetryPacing } from "./retryPacing.js";

/** Limits of the platform for what an engine may get from all entries, from some time after it named its rate. */
const windowMs = 4_000;
const windowFactor = 1.5;
const windowSlack = 5;
const graceMs = 500;
const stepMs = 25;
const warmUpMs = 6_500;

/** What happens at a time in ms after the engine first named its rate. */
interface Event {
    readonly atMs: number;
    readonly run: (fleet: EngineRateFleet) => void;
}

interface FleetCase {
    readonly name: string;
    readonly entries: number;
    readonly ratePerSecond: number;
    /** Entries at which requests arrive, by index; all by default. */
    readonly demandAt?: readonly number[];
    readonly events?: readonly Event[];
    readonly durationMs?: number;
    /** Least fraction of the rate that is used. */
    readonly minUse: number;
}

const at = (atMs: number, run: Event["run"]): Event => ({ atMs, run });
const inTurn = (
    entries: number,
    startMs: number,
    gapMs: number,
    run: (fleet: EngineRateFleet, index: number) => void,
) => Array.from({ length: entries }, (unused, index) => at(startMs + index * gapMs, fleet => run(fleet, index)));

const cases: readonly FleetCase[] = [
    { name: "one entry", entries: 1, ratePerSecond: 2, minUse: 0.9 },
    { name: "ten entries, each with requests", entries: 10, ratePerSecond: 1.5, minUse: 0.9 },
    { name: "ten entries, requests at one", entries: 10, ratePerSecond: 1.5, demandAt: [7], minUse: 0.9 },
    { name: "a high rate", entries: 4, ratePerSecond: 20, minUse: 0.8 },
    { name: "a low rate", entries: 4, ratePerSecond: 0.4, minUse: 0.8 },
    { name: "no rate at all", entries: 4, ratePerSecond: 0, minUse: 0 },
    { name: "a hundred entries", entries: 100, ratePerSecond: 1.5, durationMs: 5_000, minUse: 0.8 },
    {
        name: "a hundred entries, requests at one",
        entries: 100,
        ratePerSecond: 3,
        demandAt: [42],
        durationMs: 5_000,
        minUse: 0.8,
    },
    {
        name: "the counting entry is killed",
        entries: 4,
        ratePerSecond: 4,
        events: [at(5_000, fleet => fleet.kill(fleet.counter()))],
        minUse: 0.6,
    },
    {
        name: "the counting entry freezes again and again",
        entries: 4,
        ratePerSecond: 4,
        events: [2_000, 7_000, 12_000].flatMap(atMs => {
            let frozen = 0;
            return [
                at(atMs, fleet => {
                    frozen = fleet.counter();
                    fleet.freeze(frozen);
                }),
                at(atMs + 3_000, fleet => fleet.thaw(frozen)),
            ];
        }),
        minUse: 0.5,
    },
    {
        name: "all entries are restarted in turn",
        entries: 4,
        ratePerSecond: 4,
        events: inTurn(4, 1_000, 4_000, (fleet, index) => {
            void fleet.leave(index).then(() => fleet.start(index));
        }),
        minUse: 0.7,
    },
    {
        name: "all entries are killed at once and start again",
        entries: 4,
        ratePerSecond: 4,
        events: inTurn(4, 6_000, 0, (fleet, index) => fleet.kill(index))
            .concat(inTurn(4, 6_500, 100, (fleet, index) => fleet.start(index))),
        minUse: 0.7,
    },
    {
        name: "twelve entries join",
        entries: 4,
        ratePerSecond: 4,
        events: inTurn(12, 1_000, 300, (fleet, index) => fleet.start(4 + index)),
        minUse: 0.8,
    },
    {
        name: "half of the entries are cut off from the others",
        entries: 4,
        ratePerSecond: 8,
        events: [
            at(3_000, fleet => ["0 2", "0 3", "1 2", "1 3"].forEach(link => fleet.cut.add(link))),
            at(15_000, fleet => fleet.cut.clear()),
        ],
        minUse: 0.6,
    },
    {
        name: "one entry is cut off from the counting one only",
        entries: 4,
        ratePerSecond: 8,
        events: [at(3_000, fleet => fleet.cut.add(`${fleet.counter()} ${(fleet.counter() + 1) % 4}`))],
        minUse: 0.6,
    },
];

function allowedInWindow(ratePerSecond: number): number {
    return windowFactor * ratePerSecond * windowMs / 1_000 + windowSlack;
}

function maxInWindow(sentAtMs: readonly number[], fromMs: number): number {
    const counted = sentAtMs.filter(atMs => atMs >= fromMs);
    return Math.max(
        0,
        ...counted.map(start => counted.filter(atMs => atMs >= start && atMs <= start + windowMs).length),
    );
}

interface FleetRun {
    readonly fleet: EngineRateFleet;
    readonly namedAtMs: number;
}

async function runFleet(fleetCase: FleetCase, seed: number): Promise<FleetRun> {
    const { entries, ratePerSecond, demandAt, events = [], durationMs = 18_000 } = fleetCase;
    const clock = createVirtualClock();
    const fleet = createEngineRateFleet(clock, entries, seed);
    const random = createRandom(seed);
    const allEntries = Array.from({ length: entries }, (unused, index) => index);
    await clock.advance(warmUpMs);
    fleet.nameRate(String(ratePerSecond));
    const namedAtMs = clock.monotonicMs();
    let remaining = [...events].sort((left, right) => left.atMs - right.atMs);
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        const due = remaining.filter(({ atMs }) => atMs <= elapsedMs);
        remaining = remaining.filter(({ atMs }) => atMs > elapsedMs);
        due.forEach(({ run }) => run(fleet));
        for (let request = 0; request < 2; request++) {
            void fleet.request(pickOne(random, demandAt ?? allEntries) ?? 0);
        }
        await clock.advance(stepMs);
    }
    return { fleet, namedAtMs };
}

describe("an engine's own rate, over all entries", () => {
    // Entries that each kept to the rate by themselves, or to a part of it with a burst of their own, exceeded it.
    it.each(cases)("holds and is used: $name", async fleetCase => {
        const { ratePerSecond, durationMs = 18_000, minUse } = fleetCase;
        for (const seed of fleetCase.entries > 20 ? [1] : [1, 2, 3]) {
            const { fleet, namedAtMs } = await runFleet(fleetCase, seed);
            expect(maxInWindow(fleet.sentAtMs, namedAtMs + graceMs)).toBeLessThanOrEqual(
                allowedInWindow(ratePerSecond),
            );
            const used = fleet.sentAtMs.filter(atMs => atMs >= namedAtMs + graceMs).length;
            expect(used).toBeGreaterThanOrEqual(Math.floor(minUse * ratePerSecond * (durationMs - graceMs) / 1_000));
        }
    });

    it("follows a changed rate, and ends when a later response names none", async () => {
        const clock = createVirtualClock();
        const fleet = createEngineRateFleet(clock, 3, 1);
        const sendFor = async (durationMs: number): Promise<number> => {
            const before = fleet.sentAtMs.length;
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
                [0, 1, 2].forEach(index => void fleet.request(index));
                await clock.advance(stepMs);
            }
            return fleet.sentAtMs.length - before;
        };
        await clock.advance(warmUpMs);
        fleet.nameRate("2");
        await sendFor(1_000);
        expect(await sendFor(10_000)).toBeLessThanOrEqual(22);
        fleet.nameRate("10");
        await sendFor(1_500);
        const atHigherRate = await sendFor(10_000);
        expect(atHigherRate).toBeGreaterThan(80);
        expect(atHigherRate).toBeLessThanOrEqual(110);
        fleet.nameRate("not a number");
        expect(await sendFor(10_000)).toBeLessThanOrEqual(110);
        fleet.nameRate(undefined);
        await sendFor(1_500);
        expect(await sendFor(1_000)).toBe(3 * 1_000 / stepMs);
    });
});

interface ColdFleetCase {
    readonly name: string;
    readonly entries: number;
    readonly ratePerSecond: number;
    readonly events?: readonly Event[];
    readonly minUse: number;
}

const coldForMs = 12_000;
const coldFleetCases: readonly ColdFleetCase[] = [
    { name: "one entry", entries: 1, ratePerSecond: 4, minUse: 0.9 },
    { name: "ten entries", entries: 10, ratePerSecond: 4, minUse: 0.9 },
    { name: "a high rate", entries: 10, ratePerSecond: 20, minUse: 0.8 },
    { name: "a low rate", entries: 4, ratePerSecond: 0.5, minUse: 0.7 },
    {
        name: "the counting entry is killed",
        entries: 4,
        ratePerSecond: 6,
        events: [at(4_000, fleet => fleet.kill(fleet.counter()))],
        minUse: 0.6,
    },
    {
        name: "half of the entries are cut off from the others",
        entries: 4,
        ratePerSecond: 8,
        events: [at(3_000, fleet => ["0 2", "0 3", "1 2", "1 3"].forEach(link => fleet.cut.add(link)))],
        minUse: 0.6,
    },
];

describe("the rate of a cold engine, over all entries", () => {
    it.each(coldFleetCases)("holds in every second, and ends with the cold: $name", async coldCase => {
        const { entries, ratePerSecond, events = [], minUse } = coldCase;
        const clock = createVirtualClock();
        const fleet = createEngineRateFleet(clock, entries, 1, ratePerSecond);
        const sendUntil = async (untilMs: number, perStep: number): Promise<void> => {
            let remaining = events;
            for (let elapsedMs = 0; elapsedMs < untilMs; elapsedMs += stepMs) {
                remaining.filter(({ atMs }) => atMs <= elapsedMs).forEach(({ run }) => run(fleet));
                remaining = remaining.filter(({ atMs }) => atMs > elapsedMs);
                Array.from(
                    { length: perStep },
                    (unused, index) => void fleet.request((elapsedMs / stepMs + index) % entries),
                );
                await clock.advance(stepMs);
            }
        };
        await clock.advance(warmUpMs);
        const fromMs = clock.monotonicMs() + graceMs;
        fleet.becomeCold(coldForMs);
        await sendUntil(coldForMs, 2);
        const sent = fleet.sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + coldForMs - graceMs);
        const inSecond = sent.map(start => sent.filter(atMs => atMs >= start && atMs < start + 1_000).length);
        expect(Math.max(0, ...inSecond)).toBeLessThanOrEqual(
            ratePerSecond * coldTolerance.overshoot + coldTolerance.slack,
        );
        expect(sent.length).toBeGreaterThanOrEqual(Math.floor(minUse * ratePerSecond * (coldForMs - graceMs) / 1_000));
        const before = fleet.sentAtMs.length;
        await clock.advance(1_000);
        await sendUntil(1_000, 1);
        expect(fleet.sentAtMs.length - before).toBeGreaterThan(0.6 * 1_000 / stepMs);
    });
});

describe("the counter of a cold engine", () => {
    const notLimited = { isGranted: true, waitMs: 0 };
    it.each([
        {
            name: "that is not listed here yet, of which the caller says that it is cold",
            coldRemainingMs: 900,
            isGranted: false,
        },
        { name: "that the caller does not know to be cold", coldRemainingMs: 0, isGranted: true },
    ])("one $name", async ({ coldRemainingMs, isGranted }) => {
        const clock = createVirtualClock();
        const limiter = createEngineRateLimiter({
            clock,
            random: createRandom(1),
            rpc: createRpcClient(),
            log: silentDecisionLog,
            rates: createEngineRates(clock, silentDecisionLog),
            coldEngines: createColdEngines(clock, silentDecisionLog),
            coldRate: coldTolerance,
            url: "http://a",
            stableEntries: () => ["http://a"],
            liveFraction: () => 1,
        });
        const params = { engine: "i-9", bornMs: 1, agoMs: 0, isForwarded: false, coldRemainingMs };
        const { signal } = new AbortController();
        const response = await limiter.methods[engineRateMethods.acquire]?.invoke(params, { signal });
        expect(response).toEqual(isGranted ? notLimited : { isGranted, waitMs: 100 });
    });
});

describe("retry delays of callers that are refused because engines are exhausted", () => {
    it("spreads callers at the rate at which requests are accepted, within a longest delay", () => {
        const clock = createVirtualClock();
        const pacing = createRetryPacing(clock, createRandom(1));
        const delaysMs = Array.from({ length: 8 }, () => pacing.nextDelayMs("desk", 300, 2));
        delaysMs.forEach((delayMs, index) => {
            expect(delayMs).toBeGreaterThanOrEqual(300 + index * 500);
            expect(delayMs).toBeLessThanOrEqual(300 + (index + 1) * 500);
        });
        const furtherMs = Array.from({ length: 50 }, () => pacing.nextDelayMs("desk", 300, 2));
        expect(Math.min(...furtherMs)).toBeGreaterThan(2_000);
        expect(Math.max(...furtherMs)).toBeLessThanOrEqual(5_000);
        expect(new Set(furtherMs).size).toBeGreaterThan(40);
    });
});
