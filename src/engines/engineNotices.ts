/**
 * What engines announce about themselves in their responses: that they are leaving, and that they accept nothing from
 * this host for some time.
 *
 * Both hold for one start of an engine, identified by its id and birth time, not for its address. Leaving lasts until
 * the engine restarts and is shared with the other entries; a rest concerns this entry only.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineRecord } from "./enginePort.js";

/** One start of an engine. */
export type EngineStart = Pick<EngineRecord, "id" | "bornMs">;

export interface EngineNotices {
    readonly recordLeaving: (engine: EngineStart) => void;
    /** Records that an engine wants nothing from this host for `restMs`; see `parseRestMs`. */
    readonly recordRest: (engine: EngineStart, restMs: number) => void;
    readonly isLeaving: (engine: EngineStart) => boolean;
    /** Remaining rest of an engine; 0 if it accepts requests. */
    readonly restRemainingMs: (engine: EngineStart) => number;
    /** Whether nothing more may be sent to an engine now. */
    readonly isClosed: (engine: EngineStart) => boolean;
    /** Starts that are known to be leaving, the latest ones last. */
    readonly leaving: () => readonly EngineStart[];
    /** Calls `listener` after each new announcement. */
    readonly onChange: (listener: () => void) => void;
}

/** A rest is at most this long, so that an absurd value does not exclude an engine until it restarts. */
const maxRestMs = 300_000;
/** Starts that are remembered as leaving; the oldest are forgotten first. */
const maxLeaving = 200;
const msPerSecond = 1_000;

/** Identifies one start of an engine. */
export function startKey({ id, bornMs }: EngineStart): string {
    return `${bornMs} ${id}`;
}

/** Decodes `Retry-After` in seconds, which may have a fraction; `undefined` if it is not a positive number. */
export function parseRestMs(retryAfter: string | undefined): number | undefined {
    const seconds = retryAfter === undefined || retryAfter.trim() === "" ? Number.NaN : Number(retryAfter);
    return Number.isNaN(seconds) || seconds <= 0 ? undefined : Math.min(maxRestMs, seconds * msPerSecond);
}

export function createEngineNotices(clock: Clock, log: Log): EngineNotices {
    const leavingByKey = new Map<string, EngineStart>();
    const restUntilMs = new Map<string, number>();
    const listeners: (() => void)[] = [];

    const isLeaving = (engine: EngineStart): boolean => leavingByKey.has(startKey(engine));
    const restRemainingMs = (engine: EngineStart): number =>
        Math.max(0, (restUntilMs.get(startKey(engine)) ?? 0) - clock.monotonicMs());

    function removeExpiredRests(): void {
        const nowMs = clock.monotonicMs();
        [...restUntilMs].filter(([, untilMs]) => untilMs <= nowMs).forEach(([key]) => restUntilMs.delete(key));
    }

    function notify(): void {
        listeners.forEach(listener => listener());
    }

    return {
        recordLeaving: engine => {
            if (isLeaving(engine)) {
                return;
            }
            const { id, bornMs } = engine;
            leavingByKey.set(startKey(engine), { id, bornMs });
            const oldest = leavingByKey.size > maxLeaving ? leavingByKey.keys().next().value : undefined;
            if (oldest !== undefined) {
                leavingByKey.delete(oldest);
            }
            log.info("an engine announced that it is leaving", { engine: id, bornMs });
            notify();
        },
        recordRest: (engine, restMs) => {
            const untilMs = clock.monotonicMs() + restMs;
            if (untilMs <= (restUntilMs.get(startKey(engine)) ?? 0)) {
                return;
            }
            removeExpiredRests();
            const isNew = !restUntilMs.has(startKey(engine));
            restUntilMs.set(startKey(engine), untilMs);
            if (isNew) {
                log.info("an engine accepts nothing from this host for some time", { engine: engine.id, restMs });
            }
            notify();
        },
        isLeaving,
        restRemainingMs,
        isClosed: engine => isLeaving(engine) || restRemainingMs(engine) > 0,
        leaving: () => [...leavingByKey.values()],
        onChange: listener => void listeners.push(listener),
    };
}
