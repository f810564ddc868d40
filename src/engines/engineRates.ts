/**
 * Rates that engines name for themselves: how many requests a second one start of an engine accepts from all entries
 * together, for as long as its responses say so.
 *
 * What a later response says replaces what an earlier one said, also when it comes from another entry. A response that
 * names no rate ends the limit only if its request was sent after the limit was last named, since responses may overtake
 * each other.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import { startKey } from "./engineNotices.js";
import type { EngineStart } from "./engineNotices.js";

/** What an engine said last, to be shared with other entries. */
export interface RateNotice {
    readonly engine: string;
    readonly bornMs: number;
    /** Requests a second; `undefined` if the engine names no limit any more. */
    readonly ratePerSecond?: number | undefined;
    /** Time since the engine said so. */
    readonly agoMs: number;
}

export interface EngineRates {
    /** Records the value of the response header with the rate. An invalid value changes nothing. */
    readonly recordNamed: (engine: EngineStart, value: string) => void;
    /** Records a response without a rate to a request that was sent at `sentAtMs`, a monotonic time. */
    readonly recordUnnamed: (engine: EngineStart, sentAtMs: number) => void;
    /** Requests a second; `undefined` if the engine names no limit. */
    readonly rateOf: (engine: EngineStart) => number | undefined;
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
        const oldest = known.size > maxKnownStarts ? known.keys().next().value : undefined;
        if (oldest !== undefined) {
            known.delete(oldest);
        }
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

    function recordOwn(start: EngineStart, ratePerSecond: number | undefined): void {
        if (replace(start, ratePerSecond, clock.monotonicMs())) {
            logChange(start, ratePerSecond, "response");
            listeners.forEach(listener => listener());
        }
    }

    return {
        recordNamed: (engine, value) => {
            const ratePerSecond = parseRate(value);
            if (ratePerSecond === undefined) {
                log.warn("an engine names a limit on its requests that is not a number", { engine: engine.id, value });
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
        rateOf: engine => known.get(startKey(engine))?.ratePerSecond,
        notices: () => {
            const nowMs = clock.monotonicMs();
            return [...known.values()]
                .filter(({ ratePerSecond, atMs }) => ratePerSecond !== undefined || nowMs - atMs < endSharingMs)
                .sort((left, right) => right.atMs - left.atMs)
                .slice(0, maxSharedNotices)
                .map(({ start, ratePerSecond, atMs }) => ({
                    engine: start.id,
                    bornMs: start.bornMs,
                    ratePerSecond,
                    agoMs: nowMs - atMs,
                }));
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
