/**
 * The engines that may get work, as the registry tells.
 *
 * A draining engine stays draining for its whole life, and a record of an earlier start never replaces that of a
 * later one. A record that vanished while the registry was away is kept for a short time, since live engines come
 * back to the list within seconds.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineRecord } from "./enginePort.js";

/** Records that lapsed during an outage are back within two seconds of its end, or their engines are gone (platform). */
export const lapsedEngineGraceMs = 2_000;

export interface EngineDirectory {
    /** Engines of a service that are ready for work. */
    readonly usable: (service: string) => readonly EngineRecord[];
    /** All engines that may still run something, draining ones included. */
    readonly known: () => readonly EngineRecord[];
    readonly get: (id: string) => EngineRecord | undefined;
    /**
     * Replaces the list. With `afterOutage`, engines that are missing are kept until `lapsedEngineGraceMs` have
     * passed.
     */
    readonly load: (records: readonly EngineRecord[], afterOutage: boolean) => void;
    /** Calls `listener` after each change. */
    readonly onChange: (listener: () => void) => void;
}

interface Entry {
    readonly record: EngineRecord;
    /** Set while the record is missing from the list. */
    readonly lapsesAtMs: number | undefined;
}

export function createEngineDirectory(clock: Clock, log: Log): EngineDirectory {
    let entries = new Map<string, Entry>();
    let usableByService = new Map<string, readonly EngineRecord[]>();
    let nextLapseMs = Number.POSITIVE_INFINITY;
    const listeners: (() => void)[] = [];

    function merge(previous: EngineRecord | undefined, next: EngineRecord): EngineRecord {
        if (previous === undefined || next.bornMs > previous.bornMs) {
            return next;
        }
        if (next.bornMs < previous.bornMs || next.recordSequence < previous.recordSequence) {
            return previous;
        }
        return previous.state === "draining" ? { ...next, state: "draining" } : next;
    }

    function index(): void {
        usableByService = new Map();
        nextLapseMs = Number.POSITIVE_INFINITY;
        for (const { record, lapsesAtMs } of entries.values()) {
            nextLapseMs = Math.min(nextLapseMs, lapsesAtMs ?? Number.POSITIVE_INFINITY);
            if (record.state === "ready") {
                usableByService.set(record.service, [...usableByService.get(record.service) ?? [], record]);
            }
        }
        listeners.forEach(listener => listener());
    }

    function dropLapsed(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs < nextLapseMs) {
            return;
        }
        for (const [id, { lapsesAtMs }] of entries) {
            if (lapsesAtMs !== undefined && lapsesAtMs <= nowMs) {
                entries.delete(id);
                log.info("engine is gone: its record did not come back after the store's outage", { engine: id });
            }
        }
        index();
    }

    function logChange(previous: EngineRecord | undefined, next: EngineRecord): void {
        if (previous?.state !== next.state || previous.bornMs !== next.bornMs || previous.stage !== next.stage) {
            const { id, service, address, state, stage, bornMs } = next;
            log.info("engine record changed", { engine: id, service, address, state, stage, bornMs });
        }
    }

    return {
        usable: service => {
            dropLapsed();
            return usableByService.get(service) ?? [];
        },
        known: () => {
            dropLapsed();
            return [...entries.values()].map(entry => entry.record);
        },
        get: id => entries.get(id)?.record,
        load: (records, afterOutage) => {
            const next = new Map<string, Entry>();
            for (const record of records) {
                const previous = entries.get(record.id)?.record;
                const merged = merge(previous, record);
                logChange(previous, merged);
                next.set(record.id, { record: merged, lapsesAtMs: undefined });
            }
            for (const [id, entry] of entries) {
                if (next.has(id)) {
                    continue;
                }
                const lapsesAtMs = entry.lapsesAtMs
                    ?? (afterOutage ? clock.monotonicMs() + lapsedEngineGraceMs : undefined);
                if (lapsesAtMs !== undefined && lapsesAtMs > clock.monotonicMs()) {
                    next.set(id, { record: entry.record, lapsesAtMs });
                }
                else {
                    log.info("engine is gone: its record was removed", { engine: id });
                }
            }
            entries = next;
            index();
        },
        onChange: listener => void listeners.push(listener),
    };
}
