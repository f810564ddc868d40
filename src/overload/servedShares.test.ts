/**
 * Which priorities and sizes are owed room, from what arrived and was served of each.
 */

import { describe, expect, it } from "vitest";
import { createServedShares } from "./servedShares.js";
import type { SharedRequest } from "./servedShares.js";

interface ShareCase {
    readonly name: string;
    /** One of each arrives in every interval for a minute. */
    readonly arrivals: readonly (SharedRequest & { readonly everyMs: number; readonly servedOneIn: number; })[];
    readonly asked: SharedRequest;
    readonly isOwed: boolean;
    /** Time after the last arrival at which the question is asked. */
    readonly afterMs?: number;
    readonly stepsBehind: number;
}

const urgent = { priority: 0, work: 100, everyMs: 250, servedOneIn: 1 };
const less = { priority: 2, work: 100 };

const shareCases: readonly ShareCase[] = [
    {
        name: "less urgent requests that are served half as often as the urgent ones are owed nothing",
        arrivals: [urgent, { ...less, everyMs: 1_000, servedOneIn: 2 }],
        asked: less,
        isOwed: false,
        stepsBehind: 2,
    },
    {
        name: "those that are served a fourth as often are owed room",
        arrivals: [urgent, { ...less, everyMs: 1_000, servedOneIn: 4 }],
        asked: less,
        isOwed: true,
        stepsBehind: 0,
    },
    {
        name: "rare requests that are never served are owed room",
        arrivals: [urgent, { ...less, everyMs: 10_000, servedOneIn: 100 }],
        asked: less,
        isOwed: true,
        stepsBehind: 0,
    },
    {
        name: "large requests are owed room if the small ones of their priority get it all",
        arrivals: [
            urgent,
            { ...less, everyMs: 500, servedOneIn: 1 },
            { ...less, work: 900, everyMs: 4_000, servedOneIn: 100 },
        ],
        asked: { ...less, work: 1_000 },
        isOwed: true,
        stepsBehind: 0,
    },
    {
        name: "nothing is kept from a request once nothing more urgent arrives any more",
        arrivals: [urgent],
        asked: less,
        isOwed: false,
        afterMs: 11_000,
        stepsBehind: 0,
    },
];

describe("served shares", () => {
    it.each(shareCases)("$name", ({ arrivals, asked, isOwed, afterMs = 0, stepsBehind }) => {
        const shares = createServedShares();
        const minuteMs = 60_000;
        for (let nowMs = 250; nowMs <= minuteMs; nowMs += 250) {
            for (const request of arrivals.filter(({ everyMs }) => nowMs % everyMs === 0)) {
                shares.recordArrival(request, nowMs);
                if (nowMs / request.everyMs % request.servedOneIn === 0) {
                    shares.recordServed(request, nowMs);
                }
            }
        }
        expect(shares.isOwed(asked, minuteMs + afterMs)).toBe(isOwed);
        expect(shares.stepsBehind(asked, minuteMs + afterMs)).toBe(stepsBehind);
    });
});
