/**
 * Rates that engines name for themselves: how many requests a second one start of an engine accepts from all entries
 * together, for as long as its responses say so.
 *
 * What a later response says replaces what an earlier one said, also when it comes from another entry. A response that
 * names no rate ends the limit only if its request was sent after the limit was last named, since responses may overtake
 * each other.
 */

import { z } from "zod";
import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import { startKey } from "./engineNotices.js";
import type { EngineStart } from "./engineNotices.js";

/** What an engine said last, to be shared with other entries. */
export const rateNoticeSchema = z.object({
    engine: z.string(),
    /** Start of the engine in Unix milliseconds, see `EngineRecord`. */
    bornMs: z.number(),
    /** Requests a second; absent if the engine names no limit any more. */
    ratePerSecond: z.number().min(0).optional(),
    /** Time since the engine said so. */
    agoMs: z.number().min(0),
});

export type RateNotice = Readonly<z.output<typeof rateNoticeSchema>>;

export interface EngineRates {
    /** Records the value of the response header with the rate. An invalid value changes nothing. */
    readonly recordNamed: (engine: EngineStart, value: string) => void;
    /** Records a response without a rate to a request that was sent at `sentAtMs`, a monotonic time. */
    readonly recordUnnamed: (engine: EngineStart, sentAtMs: number) => void;
    /** Requests a second; `undefined` if the engine names no limit. */
    readonly rateOf: (engine: EngineStart) => number | undefined;
    /** What is known of an engine's rate; nothing known counts as no limit, said long ago. */
    readonly noticeOf: (engine: EngineStart) => RateNotice;
    /** Notices to share, the latest ones first. */
    readonly notices: () => readonly RateNotice[];
    /** Merges the notices of another entry. */
    readonly apply: (notices: readonly RateNotice[]) => void;
    /** Calls `listener` when an engine of this entry's requests names another limit, or none any more. */
    readonly onChange: (listener: () => void) => void;
}

interface KnownRate {
    readonly start: EngineStart;
    readonly ratePerSecond: number | undefined;
    readonly atMs: number;
}

/** Starts whose notices are kept; those that were heard of longest ago are forgotten first. */
const maxKnownStarts = 2_000;
/** Notices in one message to another entry. */
const maxSharedNotices = 100;
/** A limit is shared for this long after it was last named; it is named again with each response. */
const limitSharingMs = 600_000;
/** The end of a limit is shared for this long: until all entries have heard of it. */
const endSharingMs = 60_000;
const decimalPattern = /^\d+(?:\.\d+)?$/;

/** Decodes a rate; `undefined` if it is not a decimal number. */
export function parseRate(value: string): number | undefined {
    const trimmed = value.trim();
    return decimalPattern.test(trimmed) ? Number(trimmed) : undefined;
}

export function createEngineRates(clock: Clock, log: Log): EngineRates {
    const known = new Map<string, KnownRate>();
    /** The last invalid value of each start, which is logged once. */
    const invalidValues = new Map<string, string>();
    const listeners: (() => void)[] = [];

    /** Replaces an older notice; returns whether the rate differs from the one known before. */
    function replace(start: EngineStart, ratePerSecond: number | undefined, atMs: number): boolean {
        const key = startKey(start);
        const previous = known.get(key);
        if (previous !== undefined && previous.atMs > atMs) {
            return false;
        }
        known.delete(key);
        known.set(key, { start: { id: start.id, bornMs: start.bornMs }, ratePerSecond, atMs });
        removeOldest(known, maxKnownStarts);
        return previous?.ratePerSecond !== ratePerSecond;
    }

    function logChange({ id, bornMs }: EngineStart, ratePerSecond: number | undefined, source: string): void {
        log.info(
            ratePerSecond === undefined
                ? "an engine names no limit on its requests any more"
                : "an engine names a limit on its requests",
            { engine: id, bornMs, ratePerSecond, source },
        );
    }

    function recordInvalid(start: EngineStart, value: string): void {
        const key = startKey(start);
        if (invalidValues.get(key) !== value) {
            invalidValues.set(key, value);
            removeOldest(invalidValues, maxKnownStarts);
            log.warn("an engine names a limit on its requests that is not a number", { engine: start.id, value });
        }
    }

    function recordOwn(start: EngineStart, ratePerSecond: number | undefined): void {
        if (replace(start, ratePerSecond, clock.monotonicMs())) {
            logChange(start, ratePerSecond, "response");
            listeners.forEach(listener => listener());
        }
    }

    function toNotice({ start, ratePerSecond, atMs }: KnownRate): RateNotice {
        const { id: engine, bornMs } = start;
        return { engine, bornMs, ratePerSecond, agoMs: clock.monotonicMs() - atMs };
    }

    return {
        recordNamed: (engine, value) => {
            const ratePerSecond = parseRate(value);
            if (ratePerSecond === undefined) {
                recordInvalid(engine, value);
                return;
            }
            recordOwn(engine, ratePerSecond);
        },
        recordUnnamed: (engine, sentAtMs) => {
            const current = known.get(startKey(engine));
            if (current?.ratePerSecond !== undefined && sentAtMs > current.atMs) {
                recordOwn(engine, undefined);
            }
        },
        noticeOf: engine =>
            toNotice(known.get(startKey(engine)) ?? { start: engine, ratePerSecond: undefined, atMs: 0 }),
        rateOf: engine => known.get(startKey(engine))?.ratePerSecond,
        notices: () => {
            const nowMs = clock.monotonicMs();
            return [...known.values()]
                .filter(({ ratePerSecond, atMs }) =>
                    nowMs - atMs < (ratePerSecond === undefined ? endSharingMs : limitSharingMs)
                )
                .sort((left, right) => right.atMs - left.atMs)
                .slice(0, maxSharedNotices)
                .map(toNotice);
        },
        apply: notices => {
            for (const { engine, bornMs, ratePerSecond, agoMs } of notices) {
                const start = { id: engine, bornMs };
                if (replace(start, ratePerSecond, clock.monotonicMs() - agoMs)) {
                    logChange(start, ratePerSecond, "entry");
                }
            }
        },
        onChange: listener => void listeners.push(listener),
    };
}
