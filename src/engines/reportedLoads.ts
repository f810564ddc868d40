/**
 * Loads that engines report in their responses: running and waiting requests, slots and, on some services, how long work
 * takes there at this moment. The last report of each start of an engine counts.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import { startKey } from "./engineNotices.js";
import type { EngineStart } from "./engineNotices.js";

export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes now, as a multiple of the usual time; `undefined` if the engine does not say. */
    readonly slowdown: number | undefined;
    /** Monotonic time at which this entry received the report. */
    readonly atMs: number;
}

export interface ReportedLoads {
    /** Records the value of the response header with the load. An invalid value changes nothing. */
    readonly record: (engine: EngineStart, value: string) => void;
    readonly loadOf: (engine: EngineStart) => ReportedLoad | undefined;
    /** Calls `listener` after each report. */
    readonly onReport: (listener: (engine: EngineStart) => void) => void;
}

const maxKnownStarts = 2_000;
const usualFigure = 100;
const loadPattern = /^\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{1,6}(?:\.\d+)?)\s*)?$/u;

/** Decodes a reported load; `undefined` if it is invalid, or names no slots or no positive duration. */
export function parseLoad(value: string): Omit<ReportedLoad, "atMs"> | undefined {
    const [, running, waiting, slots, figure] = loadPattern.exec(value) ?? [];
    if (slots === undefined || Number(slots) === 0 || (figure !== undefined && Number(figure) === 0)) {
        return undefined;
    }
    return {
        running: Number(running),
        waiting: Number(waiting),
        slots: Number(slots),
        slowdown: figure === undefined ? undefined : Number(figure) / usualFigure,
    };
}

export function createReportedLoads(clock: Clock): ReportedLoads {
    const known = new Map<string, ReportedLoad>();
    const listeners: ((engine: EngineStart) => void)[] = [];

    return {
        record: (engine, value) => {
            const load = parseLoad(value);
            if (load === undefined) {
                return;
            }
            const key = startKey(engine);
            known.delete(key);
            known.set(key, { ...load, atMs: clock.monotonicMs() });
            removeOldest(known, maxKnownStarts);
            listeners.forEach(listener => listener(engine));
        },
        loadOf: engine => known.get(startKey(engine)),
        onReport: listener => void listeners.push(listener),
    };
}
