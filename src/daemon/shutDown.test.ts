/**
 * Graceful shutdown: running requests finish, also those that were still arriving when no other was running, and neither
 * a stuck request, a dead entry nor a hanging connection keeps the process beyond its grace period.
 */

import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { shutDown } from "./shutDown.js";

const graceMs = 8_000;
const never = new Promise<void>(() => undefined);

interface Case {
    readonly name: string;
    /** Time after the signal at which it is handled, at once by default. */
    readonly handledAfterMs?: number;
    /** Time after the signal at which the last request begins, at once by default. */
    readonly runningFromMs?: number;
    /** Time after the signal at which it ends; its connection is open until then. */
    readonly runningUntilMs: number;
    /** Time after the signal at which the listener closes, at once by default. */
    readonly acceptingUntilMs?: number;
    readonly leave: () => Promise<void>;
    readonly close: () => Promise<void>;
    /** Earliest and latest allowed end, in milliseconds after the signal. */
    readonly from: number;
    readonly to: number;
}

const done = async (): Promise<void> => undefined;
const fail = async (): Promise<void> => {
    throw new Error("failed");
};
const cases: readonly Case[] = [
    { name: "idle", runningUntilMs: 0, leave: done, close: done, from: 2_500, to: 3_500 },
    { name: "a request ends at 5 s", runningUntilMs: 5_000, leave: done, close: done, from: 5_000, to: 5_500 },
    // Such a request was passed on, and its engine's connection closed 250 ms later at most.
    {
        name: "a request arrives when no other is running",
        runningFromMs: 2_700,
        runningUntilMs: 4_000,
        leave: done,
        close: done,
        from: 4_000,
        to: 4_500,
    },
    // The process ended while connections waited to be accepted.
    {
        name: "connections come until 4 s",
        runningUntilMs: 0,
        acceptingUntilMs: 4_000,
        leave: done,
        close: done,
        from: 4_000,
        to: 4_500,
    },
    { name: "a request does not end", runningUntilMs: 60_000, leave: done, close: done, from: 7_000, to: 7_900 },
    { name: "another entry is dead", runningUntilMs: 60_000, leave: () => never, close: done, from: 7_000, to: 7_900 },
    // The process went on until it was killed.
    {
        name: "the signal is handled late, and a request does not end",
        handledAfterMs: 700,
        runningUntilMs: 60_000,
        leave: () => never,
        close: done,
        from: 7_000,
        to: 7_900,
    },
    // Would be ended before the last sixth of the grace period if the signal was sent just before it was handled.
    {
        name: "the signal is handled very late, and a request does not end",
        handledAfterMs: 1_200,
        runningUntilMs: 60_000,
        leave: done,
        close: done,
        from: 7_800,
        to: 7_950,
    },
    // The process went on until it was killed.
    { name: "notifying the others fails", runningUntilMs: 0, leave: fail, close: done, from: 2_500, to: 3_500 },
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
        async (
            { handledAfterMs = 0, runningFromMs = 0, runningUntilMs, acceptingUntilMs = 0, leave, close, from, to },
        ) => {
            const clock = createVirtualClock();
            const signalledAtMs = clock.monotonicMs();
            await clock.advance(handledAfterMs);
            const countUntilEnd = (fromMs: number): number =>
                clock.monotonicMs() >= fromMs && clock.monotonicMs() < runningUntilMs ? 1 : 0;
            const steps: string[] = [];
            let leftAtMs = 0;
            let endedAtMs: number | undefined;
            const ended = shutDown({
                clock,
                log: silentDecisionLog,
                signalledAtMs,
                graceMs,
                entry: {
                    beginShutdown: ({ startedAtMs, deadlineMs }) =>
                        void steps.push(`beginShutdown ${startedAtMs} ${deadlineMs}`),
                    leave: () => {
                        leftAtMs = clock.monotonicMs();
                        return leave();
                    },
                    close,
                },
                ingress: {
                    announceClose: () => void steps.push("announceClose"),
                    closeIdle: () => void steps.push("closeIdle"),
                    endRunning: () => void steps.push("endRunning"),
                    isAccepting: () => clock.monotonicMs() < acceptingUntilMs,
                    requestsRunning: () => countUntilEnd(runningFromMs),
                    connectionsOpen: () => countUntilEnd(0),
                },
            }).then(() => {
                endedAtMs = clock.monotonicMs();
            });
            for (let elapsedMs = handledAfterMs; elapsedMs < graceMs; elapsedMs += 100) {
                await clock.advance(100);
            }
            expect(endedAtMs ?? Number.POSITIVE_INFINITY).toBeGreaterThanOrEqual(from);
            expect(endedAtMs ?? Number.POSITIVE_INFINITY).toBeLessThanOrEqual(to);
            expect(leftAtMs).toBeGreaterThanOrEqual(Math.min(runningUntilMs, graceMs - 1_000));
            expect(steps.slice(0, 2)).toEqual(["announceClose", `beginShutdown 0 ${graceMs - 500}`]);
            await ended;
        },
    );
});
