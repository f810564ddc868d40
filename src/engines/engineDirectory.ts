/**
 * Engines that are known from the registry.
 *
 * An engine that has started to drain stays draining until it restarts, and a record of an earlier start never replaces
 * one of a later start. A record that disappeared while the registry was unavailable is kept for a short time, since
 * live engines are listed again within seconds.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineRecord } from "./enginePort.js";

/** Within two seconds of the end of a registry outage, live engines are listed again (platform); others have ended. */
export const missingRecordGraceMs = 2_000;

export interface EngineDirectory {
    /** Engines of a service that are ready for work. */
    readonly usable: (service: string) => readonly EngineRecord[];
    /** All engines that may still run requests, including draining ones. */
    readonly known: () => readonly EngineRecord[];
    /** Record of an engine, also if it is draining or missing from the list. */
    readonly get: (id: string) => EngineRecord | undefined;
    /** Replaces the list. With `afterOutage`, missing engines are kept for `missingRecordGraceMs`. */
    readonly load: (records: readonly EngineRecord[], afterOutage: boolean) => void;
    /** Calls `listener` after each change. */
    readonly onChange: (listener: () => void) => void;
}

interface KnownEngine {
    readonly record: EngineRecord;
    /** Monotonic time at which a record that is missing from the list is removed; `undefined` while it is listed. */
    readonly expiresAtMs: number | undefined;
}

export function createEngineDirectory(clock: Clock, log: Log): EngineDirectory {
    let enginesById = new Map<string, KnownEngine>();
    let usableByService = new Map<string, readonly EngineRecord[]>();
    let nextExpiryMs = Number.POSITIVE_INFINITY;
    const listeners: (() => void)[] = [];

    /** The newer of two records of an engine, by start and sequence; it stays draining within one start. */
    function merge(previous: EngineRecord | undefined, next: EngineRecord): EngineRecord {
        if (previous === undefined || next.bornMs > previous.bornMs) {
            return next;
        }
        if (next.bornMs < previous.bornMs || next.recordSequence < previous.recordSequence) {
            return previous;
        }
        return previous.state === "draining" ? { ...next, state: "draining" } : next;
    }

    function rebuildIndex(): void {
        usableByService = new Map();
        nextExpiryMs = Number.POSITIVE_INFINITY;
        for (const { record, expiresAtMs } of enginesById.values()) {
            nextExpiryMs = Math.min(nextExpiryMs, expiresAtMs ?? Number.POSITIVE_INFINITY);
            if (record.state === "ready") {
                usableByService.set(record.service, [...usableByService.get(record.service) ?? [], record]);
            }
        }
        listeners.forEach(listener => listener());
    }

    function removeExpired(): void {
        const nowMs = clock.monotonicMs();
        if (nowMs < nextExpiryMs) {
            return;
        }
        for (const [id, { expiresAtMs }] of enginesById) {
            if (expiresAtMs !== undefined && expiresAtMs <= nowMs) {
                enginesById.delete(id);
                log.info("engine is gone: its record did not come back after the store's outage", { engine: id });
            }
        }
        rebuildIndex();
    }

    function logChange(previous: EngineRecord | undefined, next: EngineRecord): void {
        if (previous?.state !== next.state || previous.bornMs !== next.bornMs || previous.stage !== next.stage) {
            const { id, service, address, state, stage, bornMs } = next;
            log.info("engine record changed", { engine: id, service, address, state, stage, bornMs });
        }
    }

    return {
        usable: service => {
            removeExpired();
            return usableByService.get(service) ?? [];
        },
        known: () => {
            removeExpired();
            return [...enginesById.values()].map(knownEngine => knownEngine.record);
        },
        get: id => enginesById.get(id)?.record,
        load: (records, afterOutage) => {
            const next = new Map<string, KnownEngine>();
            for (const record of records) {
                const previous = enginesById.get(record.id)?.record;
                const merged = merge(previous, record);
                logChange(previous, merged);
                next.set(record.id, { record: merged, expiresAtMs: undefined });
            }
            for (const [id, knownEngine] of enginesById) {
                if (next.has(id)) {
                    continue;
                }
                const expiresAtMs = knownEngine.expiresAtMs
                    ?? (afterOutage ? clock.monotonicMs() + missingRecordGraceMs : undefined);
                if (expiresAtMs !== undefined && expiresAtMs > clock.monotonicMs()) {
                    next.set(id, { record: knownEngine.record, expiresAtMs });
                }
                else {
                    log.info("engine is gone: its record was removed", { engine: id });
                }
            }
            enginesById = next;
            rebuildIndex();
        },
        onChange: listener => void listeners.push(listener),
    };
}
