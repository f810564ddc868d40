/**
 * An entry that ends: what is running is finished, and nothing keeps the process beyond its grace time.
 */

import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingRig.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { shutDown } from "./shutDown.js";

const graceMs = 8_000;
const never = new Promise<void>(() => undefined);

interface Case {
    readonly name: string;
    /** When the last request ends. */
    readonly runningUntilMs: number;
    readonly leave: () => Promise<void>;
    readonly close: () => Promise<void>;
    /** Bounds of the end, in milliseconds after the signal. */
    readonly from: number;
    readonly to: number;
}

const done = async (): Promise<void> => undefined;
const cases: readonly Case[] = [
    { name: "idle", runningUntilMs: 0, leave: done, close: done, from: 2_500, to: 3_500 },
    { name: "a request ends at 5 s", runningUntilMs: 5_000, leave: done, close: done, from: 5_000, to: 5_500 },
    { name: "a request does not end", runningUntilMs: 60_000, leave: done, close: done, from: 7_000, to: 7_900 },
    { name: "another entry is dead", runningUntilMs: 60_000, leave: () => never, close: done, from: 7_000, to: 7_900 },
    { name: "a connection hangs", runningUntilMs: 60_000, leave: done, close: () => never, from: 7_000, to: 7_900 },
    { name: "both", runningUntilMs: 0, leave: () => never, close: () => never, from: 2_500, to: 3_900 },
];

describe("the end of an entry", () => {
    it.each(cases)(
        "$name: between $from and $to ms after the signal",
        async ({ runningUntilMs, leave, close, from, to }) => {
            const clock = createVirtualClock();
            const steps: string[] = [];
            let endedAtMs: number | undefined;
            const ended = shutDown({
                clock,
                log: silentDecisionLog,
                graceMs,
                entry: { announceEnd: atMs => void steps.push(`announceEnd ${atMs}`), leave, close },
                ingress: {
                    announceClose: () => void steps.push("announceClose"),
                    closeIdle: () => void steps.push("closeIdle"),
                    requestsRunning: () => clock.monotonicMs() < runningUntilMs ? 1 : 0,
                },
            }).then(() => {
                endedAtMs = clock.monotonicMs();
            });
            for (let elapsedMs = 0; elapsedMs < graceMs; elapsedMs += 100) {
                await clock.advance(100);
            }
            expect(endedAtMs ?? Number.POSITIVE_INFINITY).toBeGreaterThanOrEqual(from);
            expect(endedAtMs ?? Number.POSITIVE_INFINITY).toBeLessThanOrEqual(to);
            expect(steps.slice(0, 2)).toEqual(["announceClose", `announceEnd ${graceMs - 500}`]);
            await ended;
        },
    );
});
