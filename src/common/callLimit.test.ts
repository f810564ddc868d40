/**
 * A limit aborts its call by time or by a cancellation, once, and holds nothing after the call has ended.
 */

import { getEventListeners } from "node:events";
import { PassThrough } from "node:stream";
import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { bytesPerTimeout, limitCall } from "./callLimit.js";
import type { CallLimit } from "./callLimit.js";

const timeoutMs = 1_000;

interface LimitCase {
    readonly name: string;
    readonly run: (limit: CallLimit, caller: AbortController, clock: VirtualClock) => Promise<void> | void;
    /** Name of the reason with which the call was aborted; `undefined` if it was not. */
    readonly reason: string | undefined;
}

const cases: readonly LimitCase[] = [
    { name: "its time is over", run: (limit, caller, clock) => clock.advance(timeoutMs), reason: "TimeoutError" },
    { name: "it is cancelled", run: (limit, caller) => caller.abort(), reason: "AbortError" },
    {
        name: "it is cancelled after its time was over",
        run: async (limit, caller, clock) => {
            await clock.advance(timeoutMs);
            caller.abort();
        },
        reason: "TimeoutError",
    },
    {
        name: "it is cancelled before its time is over",
        run: async (limit, caller, clock) => {
            caller.abort();
            await clock.advance(timeoutMs);
        },
        reason: "AbortError",
    },
    {
        name: "it has ended",
        run: async (limit, caller, clock) => {
            limit.end();
            caller.abort();
            await clock.advance(timeoutMs);
        },
        reason: undefined,
    },
    {
        name: "its response has begun, and then it is cancelled",
        run: async (limit, caller, clock) => {
            limit.liftTimeout();
            await clock.advance(timeoutMs);
            caller.abort();
        },
        reason: "AbortError",
    },
    {
        name: "its body has been read",
        run: async (limit, caller, clock) => {
            const body = new PassThrough();
            limit.endWith(body);
            body.end();
            body.resume();
            await clock.advance(timeoutMs);
            caller.abort();
        },
        reason: undefined,
    },
    {
        name: "its body has not been read to its end",
        run: async (limit, caller, clock) => {
            limit.endWith(new PassThrough());
            await clock.advance(timeoutMs);
        },
        reason: "TimeoutError",
    },
    {
        name: "its response keeps arriving, and then stalls",
        run: async (limit, caller, clock) => {
            for (let part = 0; part < 4; part++) {
                await clock.advance(timeoutMs - 1);
                limit.recordBytes(bytesPerTimeout);
            }
            expect(limit.signal.aborted).toBe(false);
            await clock.advance(timeoutMs);
            // The cause of a failed call names all that had arrived, also before the time limit was last started anew.
            expect(limit.receivedBytes()).toBe(4 * bytesPerTimeout);
        },
        reason: "TimeoutError",
    },
    {
        name: "its response arrives too slowly",
        run: async (limit, caller, clock) => {
            await clock.advance(timeoutMs - 1);
            limit.recordBytes(bytesPerTimeout - 1);
            await clock.advance(1);
        },
        reason: "TimeoutError",
    },
    {
        name: "bytes arrive after it has ended",
        run: async (limit, caller, clock) => {
            limit.end();
            limit.recordBytes(bytesPerTimeout);
            await clock.advance(timeoutMs);
        },
        reason: undefined,
    },
];

describe("the limit of a call", () => {
    it.each(cases)("$name: $reason", async ({ run, reason }) => {
        const clock = createVirtualClock();
        const caller = new AbortController();
        const limit = limitCall({ clock, timeoutMs, cancelledBy: [caller.signal] });
        await run(limit, caller, clock);
        expect((limit.signal.reason as Error | undefined)?.name).toBe(reason);
        expect(limit.isTimedOut()).toBe(reason === "TimeoutError");
        expect(getEventListeners(caller.signal, "abort")).toHaveLength(0);
    });

    it("aborts at once if it is cancelled before it begins", () => {
        const limit = limitCall({ timeoutMs, cancelledBy: [AbortSignal.abort()] });
        expect(limit.signal.aborted).toBe(true);
    });

    // Each limited call left a timer until its time was over.
    it("leaves no timers after many calls", () => {
        const timers = (): number => process.getActiveResourcesInfo().filter(name => name === "Timeout").length;
        const before = timers();
        Array.from({ length: 1_000 }, () => limitCall({ timeoutMs })).forEach(limit => limit.end());
        expect(timers()).toBe(before);
    });
});
