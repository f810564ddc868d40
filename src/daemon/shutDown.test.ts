/**
 * Graceful shutdown: running requests finish, and neither a stuck request, a dead entry nor a hanging connection keeps
 * the process beyond its grace period.
 */

import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { shutDown } from "./shutDown.js";

const graceMs = 8_000;
const never = new Promise<void>(() => undefined);

interface Case {
    readonly name: string;
    /** Time after the signal at which the last request ends. */
    readonly runningUntilMs: number;
    readonly leave: () => Promise<void>;
    readonly close: () => Promise<void>;
    /** Earliest and latest allowed end, in milliseconds after the signal. */
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
    {
        name: "another entry is dead and a connection hangs",
        runningUntilMs: 0,
        leave: () => never,
        close: () => never,
        from: 2_500,
        to: 3_900,
    },
];

describe("shutdown of an entry", () => {
    it.each(cases)(
        "$name: ends between $from and $to ms after the signal",
        async ({ runningUntilMs, leave, close, from, to }) => {
            const clock = createVirtualClock();
            const steps: string[] = [];
            let endedAtMs: number | undefined;
            const ended = shutDown({
                clock,
                log: silentDecisionLog,
                graceMs,
                entry: {
                    setShutdownDeadline: deadlineMs => void steps.push(`setShutdownDeadline ${deadlineMs}`),
                    leave,
                    close,
                },
                ingress: {
                    announceClose: () => void steps.push("announceClose"),
                    closeIdle: () => void steps.push("closeIdle"),
                    endRunning: () => void steps.push("endRunning"),
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
            expect(steps.slice(0, 2)).toEqual(["announceClose", `setShutdownDeadline ${graceMs - 500}`]);
            await ended;
        },
    );
});
