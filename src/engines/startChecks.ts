/**
 * Checks that the process at an engine's address is still the start that the registry names. An engine may start again at
 * its address and under its id, also with another software version, and the registry's copy may not show that yet: for
 * seconds, or throughout an outage of the store.
 *
 * A connection leads to one process, so a start that has been confirmed holds until another connection is opened. A later
 * report proves it as well: a process that still runs is the one to which all earlier connections lead, since the record
 * that names it was read before they were opened. So one check serves all streams of an engine, and a report that is late,
 * fails or can't be sent is followed by another one.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import { startKey } from "./engineNotices.js";
import type { EnginePort, EngineRecord } from "./enginePort.js";

export interface StartChecks {
    /**
     * Whether all connections that are open now lead to this start of the engine. Resolves once that is confirmed or
     * refuted, or the engine is gone; to false if neither happens within two minutes.
     */
    readonly isConfirmed: (engine: EngineRecord) => Promise<boolean>;
    /** Forgets the starts that are not in `engines`. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
}

export interface CheckedEngines extends Pick<EnginePort, "report" | "connectedAtMs"> {
    /** Whether nothing may be sent to an engine now. */
    readonly isClosed: (engine: EngineRecord) => boolean;
}

/** A longer time limit for each report in a row: an engine may be slow, but a lost report should not hold up the check. */
const minReportTimeoutMs = 500;
const maxReportTimeoutMs = 4_000;
const minPauseMs = 100;
const maxPauseMs = 2_000;
/** A process that was alive is not replaced by another start within this time. */
const minRestartMs = 300;
const maxCheckMs = 120_000;
/** Streams that wait for the check of one start; the oldest are given up first. */
const maxWaiting = 2_000;

interface WaitingStream {
    /** Monotonic time at which the start must be known to have run. */
    readonly neededAtMs: number;
    readonly untilMs: number;
    readonly resolve: (isConfirmed: boolean) => void;
}

/** What is known of one start of an engine. */
interface KnownStart {
    /** Monotonic time at which the start is known to have run. */
    confirmedAtMs: number;
    /** Whether a later start was found at its address. */
    isRefuted: boolean;
    isChecking: boolean;
    waiting: readonly WaitingStream[];
}

export function createStartChecks(
    { report, connectedAtMs, isClosed }: CheckedEngines,
    clock: Clock,
    log: Log,
): StartChecks {
    const starts = new Map<string, KnownStart>();

    function startOf(engine: EngineRecord): KnownStart {
        const key = startKey(engine);
        const known = starts.get(key)
            ?? { confirmedAtMs: Number.NEGATIVE_INFINITY, isRefuted: false, isChecking: false, waiting: [] };
        starts.set(key, known);
        return known;
    }

    function settle(start: KnownStart, outcomeOf: (stream: WaitingStream) => boolean | undefined): void {
        const outcomes = start.waiting.map(stream => ({ stream, outcome: outcomeOf(stream) }));
        start.waiting = outcomes.filter(({ outcome }) => outcome === undefined).map(({ stream }) => stream);
        outcomes.forEach(({ stream, outcome }) => outcome !== undefined && stream.resolve(outcome));
    }

    /** Asks the engine once; returns why that showed nothing. */
    async function ask(engine: EngineRecord, start: KnownStart, timeoutMs: number): Promise<string | undefined> {
        const askedAtMs = clock.monotonicMs();
        const reported = await report(engine, timeoutMs);
        if (reported.isErr) {
            return reported.error.cause;
        }
        const { bornMs } = reported.value;
        if (bornMs < engine.bornMs) {
            return bornMs === 0 ? "it does not report its start" : `it reports an earlier start: ${bornMs}`;
        }
        if (bornMs > engine.bornMs) {
            start.isRefuted = true;
            settle(start, () => false);
            return `it started at ${bornMs}`;
        }
        start.confirmedAtMs = Math.min(clock.monotonicMs(), askedAtMs + minRestartMs);
        settle(start, ({ neededAtMs }) => neededAtMs <= start.confirmedAtMs ? true : undefined);
        return undefined;
    }

    async function check(engine: EngineRecord, start: KnownStart): Promise<void> {
        const { id, bornMs } = engine;
        let timeoutMs = minReportTimeoutMs;
        let pauseMs = minPauseMs;
        while (start.waiting.length > 0) {
            const cause = isClosed(engine) ? "it accepts nothing now" : await ask(engine, start, timeoutMs);
            if (cause !== undefined) {
                log.info("an engine could not be confirmed to be the start that its record names", {
                    engine: id,
                    bornMs,
                    streams: start.waiting.length,
                    cause,
                });
                timeoutMs = Math.min(maxReportTimeoutMs, 2 * timeoutMs);
                await clock.sleep(pauseMs);
                pauseMs = Math.min(maxPauseMs, 2 * pauseMs);
            }
            const nowMs = clock.monotonicMs();
            settle(start, ({ untilMs }) => untilMs <= nowMs ? false : undefined);
        }
        start.isChecking = false;
    }

    function wait(engine: EngineRecord, start: KnownStart, neededAtMs: number): Promise<boolean> {
        return new Promise(resolve => {
            const stream: WaitingStream = { neededAtMs, untilMs: clock.monotonicMs() + maxCheckMs, resolve };
            start.waiting = [...start.waiting, stream];
            if (start.waiting.length > maxWaiting) {
                const [oldest] = start.waiting;
                settle(start, waiting => waiting === oldest ? false : undefined);
            }
            if (!start.isChecking) {
                start.isChecking = true;
                void check(engine, start);
            }
        });
    }

    return {
        isConfirmed: async engine => {
            const start = startOf(engine);
            const neededAtMs = Math.min(clock.monotonicMs(), connectedAtMs(engine));
            return !start.isRefuted && (start.confirmedAtMs >= neededAtMs || wait(engine, start, neededAtMs));
        },
        keepOnly: engines => {
            const kept = new Set(engines.map(startKey));
            for (const [key, start] of starts) {
                if (!kept.has(key)) {
                    starts.delete(key);
                    settle(start, () => false);
                }
            }
        },
    };
}
