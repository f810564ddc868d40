import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { Clock } from "../common/clock.js";
import { createLoopDelays } from "./loopDelays.js";

const sleepMs = 300;

const cases = [
    { heldUpMs: 0, logged: [] },
    { heldUpMs: 199, logged: [] },
    { heldUpMs: 200, logged: [200] },
    { heldUpMs: 2_500, logged: [2_500] },
];

describe("a process that is held up", () => {
    // A stop or a request that came while an entry was held up could not be told from one that the entry mishandled.
    it.each(cases)("for $heldUpMs ms logs $logged", async ({ heldUpMs, logged }) => {
        const virtual = createVirtualClock();
        const clock: Clock = {
            ...virtual,
            sleep: async (durationMs, signal) => {
                await virtual.sleep(durationMs, signal);
                await virtual.sleep(heldUpMs);
            },
        };
        const lines: unknown[] = [];
        const delays = createLoopDelays(clock, { warn: (message, fields) => void lines.push(fields?.["delayMs"]) });
        const slept = delays.sleep(sleepMs, new AbortController().signal);
        await virtual.advance(sleepMs);
        await virtual.advance(heldUpMs);
        await slept;
        expect(lines).toEqual(logged);
        expect([delays.takeLongestMs(), delays.takeLongestMs()]).toEqual([heldUpMs, 0]);
    });
});
