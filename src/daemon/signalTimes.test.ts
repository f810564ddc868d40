/**
 * The time at which a signal was sent is known within a short time, also if the process handles it late.
 */

import { setTimeout as delay } from "node:timers/promises";
import { expect, it } from "vitest";
import { systemClock } from "../common/clock.js";
import { trackSignalTimes } from "./signalTimes.js";

/** Longer than the interval of the checks, with room for a slow host. */
const uncertaintyMs = 500;

interface Case {
    readonly name: string;
    /** How long a turn of the event loop takes in which the signal is sent. */
    readonly heldUpMs: number;
}

const cases: readonly Case[] = [
    { name: "handled at once", heldUpMs: 0 },
    { name: "handled after a turn that took 0.8 s", heldUpMs: 800 },
];

// A signal counted as sent when it was handled.
it.each(cases)("a signal $name", async ({ heldUpMs }) => {
    const earliestMs = trackSignalTimes(systemClock);
    await delay(uncertaintyMs);
    const handled = new Promise<number>(resolve => process.once("SIGUSR2", () => resolve(earliestMs())));
    const sentAtMs = systemClock.monotonicMs();
    process.kill(process.pid, "SIGUSR2");
    while (systemClock.monotonicMs() - sentAtMs < heldUpMs) {
        // The event loop is held up.
    }
    const knownMs = await handled;
    expect(knownMs).toBeLessThanOrEqual(sentAtMs);
    expect(knownMs).toBeGreaterThan(sentAtMs - uncertaintyMs);
});
