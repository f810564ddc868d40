/**
 * Cold engines: for some time after its start, and perhaps again later, an engine bears only a few requests a second from
 * all entries together.
 *
 * Records and responses say how long an engine stays cold; the remaining time counts down here. What a response says is
 * shared with the other entries, since a record may take seconds to show it. An engine is suspected to be cold for a short
 * time if it starts while this entry runs, or if its data centre is taken back, unless it says how long.
 */

import { z } from "zod";
import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import type { Service } from "../routes/desiredState.js";
import type { Log } from "../telemetry/telemetry.js";
import { startKey } from "./engineNotices.js";
import type { EngineStart } from "./engineNotices.js";
import type { EngineRecord } from "./enginePort.js";

/** How long an engine said that it stays cold, to be shared with other entries. */
export const coldNoticeSchema = z.object({
    engine: z.string(),
    /** Start of the engine in Unix milliseconds, see `EngineRecord`. */
    bornMs: z.number(),
    remainingMs: z.number().min(0),
    /** Time since the engine said so. */
    agoMs: z.number().min(0),
});

export type ColdNotice = Readonly<z.output<typeof coldNoticeSchema>>;

export interface ColdEngines {
    /** Records the value of the response header with the remaining time. An invalid value changes nothing. */
    readonly recordNamed: (engine: EngineStart, value: string) => void;
    /** Applies a copy of the registry. */
    readonly load: (records: readonly EngineRecord[]) => void;
    /** Sets the services, which name the rates of their cold engines. */
    readonly setServices: (services: readonly Service[]) => void;
    /** Treats an engine as cold for `durationMs` from now, unless it says otherwise meanwhile. */
    readonly suspect: (engine: EngineStart, durationMs?: number) => void;
    /** Time for which an engine stays cold, or is suspected to; 0 if it is not cold. */
    readonly remainingMs: (engine: EngineStart) => number;
    /** Requests a second that an engine bears now; `undefined` if it is not cold, or its service names no rate. */
    readonly rateOf: (engine: EngineStart) => number | undefined;
    /** Number of engines that say that they are cold and for which `rateOf` names a rate. */
    readonly count: () => number;
    /** Notices to share. */
    readonly notices: () => readonly ColdNotice[];
    /** Merges the notices of another entry. */
    readonly apply: (notices: readonly ColdNotice[]) => void;
    /** Calls `listener` when a response to this entry says that an engine is cold which was not known to be. */
    readonly onChange: (listener: () => void) => void;
}

/** What an engine said last of its remaining time. */
interface Statement {
    readonly start: EngineStart;
    readonly untilMs: number;
    readonly saidAtMs: number;
    /** Said in a response, to this entry or to another. */
    readonly isShared: boolean;
}

interface ListedStart {
    readonly service: string;
    /** Changes with each record that says something new. */
    readonly mark: string;
}

/** By then, the record of an engine that has become cold says so to all entries. */
const suspicionMs = 3_000;
/** Longest time from a statement in a response until the records of earlier statements have arrived. */
const recordLagMs = 2_000;
const maxStarts = 20_000;
/** Notices in one message to another entry. */
const maxSharedNotices = 100;
const durationPattern = /^\d+(?:\.\d+)?$/;

export function createColdEngines(clock: Clock, log: Log): ColdEngines {
    const statements = new Map<string, Statement>();
    const suspectedUntilMs = new Map<string, number>();
    const listed = new Map<string, ListedStart>();
    const listeners: (() => void)[] = [];
    let ratesByService: ReadonlyMap<string, number> = new Map();
    let isLoaded = false;

    function remainingMs(engine: EngineStart): number {
        const key = startKey(engine);
        const untilMs = Math.max(statements.get(key)?.untilMs ?? 0, suspectedUntilMs.get(key) ?? 0);
        return Math.max(0, untilMs - clock.monotonicMs());
    }

    function rateOf(engine: EngineStart): number | undefined {
        if (remainingMs(engine) === 0) {
            return undefined;
        }
        const service = listed.get(startKey(engine))?.service;
        return service === undefined ? undefined : ratesByService.get(service);
    }

    /** Replaces an older statement; returns whether the engine is found to be cold that was not known to be. */
    function replace({ id, bornMs }: EngineStart, forMs: number, saidAtMs: number, isShared: boolean): boolean {
        const start = { id, bornMs };
        const key = startKey(start);
        const previous = statements.get(key);
        if (previous !== undefined && previous.saidAtMs > saidAtMs) {
            return false;
        }
        const wasCold = (previous?.untilMs ?? 0) > clock.monotonicMs();
        statements.delete(key);
        statements.set(key, { start, untilMs: saidAtMs + forMs, saidAtMs, isShared });
        removeOldest(statements, maxStarts);
        suspectedUntilMs.delete(key);
        const isCold = saidAtMs + forMs > clock.monotonicMs();
        if (isCold && !wasCold) {
            log.info("an engine is cold", { engine: id, bornMs, remainingMs: forMs, isShared });
        }
        return isCold && !wasCold;
    }

    function suspect(engine: EngineStart, durationMs = suspicionMs): void {
        const key = startKey(engine);
        const untilMs = Math.max(suspectedUntilMs.get(key) ?? 0, clock.monotonicMs() + durationMs);
        suspectedUntilMs.delete(key);
        suspectedUntilMs.set(key, untilMs);
        removeOldest(suspectedUntilMs, maxStarts);
    }

    function loadRecord(record: EngineRecord): void {
        const key = startKey(record);
        const mark = `${record.recordSequence} ${record.coldRemainingMs}`;
        const previous = listed.get(key);
        if (previous?.mark === mark) {
            return;
        }
        listed.delete(key);
        listed.set(key, { service: record.service, mark });
        const nowMs = clock.monotonicMs();
        const said = statements.get(key);
        // A record may have been written before the engine said in a response that it stays cold for longer.
        const isOutdated = said?.isShared === true && nowMs - said.saidAtMs < recordLagMs
            && said.untilMs > nowMs + record.coldRemainingMs;
        if (isOutdated) {
            return;
        }
        if (record.coldRemainingMs > 0) {
            replace(record, record.coldRemainingMs, nowMs, false);
        }
        else if (previous === undefined) {
            if (isLoaded) {
                suspect(record);
            }
        }
        else if (nowMs - (said?.saidAtMs ?? nowMs) >= recordLagMs) {
            replace(record, 0, nowMs, false);
        }
    }

    return {
        recordNamed: (engine, value) => {
            const isValid = durationPattern.test(value.trim());
            if (!isValid) {
                log.warn("an engine names a time to stay cold that is not a number", { engine: engine.id, value });
                return;
            }
            // Most engines name 0 throughout, which needs no memory.
            if (Number(value) === 0 && remainingMs(engine) === 0) {
                return;
            }
            if (replace(engine, Number(value), clock.monotonicMs(), true)) {
                listeners.forEach(listener => listener());
            }
        },
        load: records => {
            records.forEach(loadRecord);
            removeOldest(listed, maxStarts);
            isLoaded = true;
        },
        setServices: services => {
            ratesByService = new Map(
                services.filter(({ coldRequestsPerSecond }) => coldRequestsPerSecond > 0)
                    .map(({ name, coldRequestsPerSecond }) => [name, coldRequestsPerSecond]),
            );
        },
        suspect,
        remainingMs,
        rateOf,
        count: () =>
            [...statements.values()].filter(({ start, untilMs }) =>
                untilMs > clock.monotonicMs() && rateOf(start) !== undefined
            ).length,
        notices: () => {
            const nowMs = clock.monotonicMs();
            return [...statements.values()]
                .filter(({ isShared, untilMs }) => isShared && untilMs > nowMs)
                .slice(-maxSharedNotices)
                .map(({ start: { id: engine, bornMs }, untilMs, saidAtMs }) => ({
                    engine,
                    bornMs,
                    remainingMs: untilMs - saidAtMs,
                    agoMs: nowMs - saidAtMs,
                }));
        },
        apply: notices => {
            for (const { engine, bornMs, remainingMs: forMs, agoMs } of notices) {
                replace({ id: engine, bornMs }, forMs, clock.monotonicMs() - agoMs, true);
            }
        },
        onChange: listener => void listeners.push(listener),
    };
}
