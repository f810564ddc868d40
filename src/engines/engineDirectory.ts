/**
 * Engines that are known from the registry and from their own announcements. Those of evacuated data centres stay known,
 * but accept no work.
 *
 * An engine that has started to drain stays draining until it restarts, and a record of an earlier start never replaces
 * one of a later start. A record that disappeared while the registry was unavailable, or because the registry was
 * restored from an older copy, is kept for a short time, since live engines are listed again within seconds. A record
 * that had been removed and is listed again only because of such a restoration is not used until its engine has written
 * it again or the platform has had the time to remove it again.
 */

import type { Clock } from "../common/clock.js";
import type { CopyOrigin } from "../peerSync/tableReplica.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineNotices, EngineStart } from "./engineNotices.js";
import type { EngineRecord, Stage } from "./enginePort.js";
import type { Evacuations } from "./evacuations.js";

/** Within two seconds of the end of a registry outage, live engines are listed again (platform); others have ended. */
export const missingRecordGraceMs = 2_000;

/** The platform removes the record of an engine that has ended within three heartbeats; this is longer. */
const restoredRecordDoubtMs = 6_000;
/** How long removed records are remembered: longer than a restoration of the registry may go back. */
const removedRecordRetentionMs = 60_000;

export interface EngineDirectory {
    /** Engines of a service that accept work now. */
    readonly usable: (service: string) => readonly EngineRecord[];
    /** Whether this start of an engine accepts work now. */
    readonly isUsable: (engine: EngineStart) => boolean;
    /**
     * Time until the first resting engine of a service and stage accepts work; `undefined` if none of them rests, or if
     * another one is usable.
     */
    readonly allRestingMs: (service: string, stage: Stage | undefined) => number | undefined;
    /** All engines that may still run requests, including draining ones. */
    readonly known: () => readonly EngineRecord[];
    /** Record of an engine, also if it is draining or missing from the list. */
    readonly get: (id: string) => EngineRecord | undefined;
    /** Replaces the list. Unless `origin` is `current`, missing engines are kept for `missingRecordGraceMs`. */
    readonly load: (records: readonly EngineRecord[], origin: CopyOrigin) => void;
    /** Calls `listener` after each change. */
    readonly onChange: (listener: () => void) => void;
}

interface KnownEngine {
    readonly record: EngineRecord;
    /** Monotonic time at which a record that is missing from the list is removed; `undefined` while it is listed. */
    readonly expiresAtMs: number | undefined;
    /** Monotonic time until which a record is not used that only a restoration has listed again. */
    readonly doubtfulUntilMs: number | undefined;
}

interface RemovedRecord {
    readonly bornMs: number;
    readonly removedAtMs: number;
}

export function createEngineDirectory(
    clock: Clock,
    log: Log,
    notices: EngineNotices,
    evacuations: Pick<Evacuations, "isEvacuated" | "onChange">,
): EngineDirectory {
    let enginesById = new Map<string, KnownEngine>();
    let usableByService = new Map<string, readonly EngineRecord[]>();
    let nextExpiryMs = Number.POSITIVE_INFINITY;
    const removedById = new Map<string, RemovedRecord>();
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

    function isUsable({ record, doubtfulUntilMs }: KnownEngine): boolean {
        return record.state === "ready" && !notices.isClosed(record) && !evacuations.isEvacuated(record.dataCentre)
            && (doubtfulUntilMs === undefined || doubtfulUntilMs <= clock.monotonicMs());
    }

    /** Monotonic time of the next change of an engine that no new record or announcement causes. */
    function nextChangeMs({ record, expiresAtMs, doubtfulUntilMs }: KnownEngine): number {
        const nowMs = clock.monotonicMs();
        const restMs = notices.restRemainingMs(record);
        const times = [expiresAtMs, doubtfulUntilMs, restMs > 0 ? nowMs + restMs : undefined];
        return Math.min(...times.map(timeMs => timeMs !== undefined && timeMs > nowMs ? timeMs : Infinity));
    }

    function rebuildIndex(): void {
        usableByService = new Map();
        nextExpiryMs = Number.POSITIVE_INFINITY;
        for (const engine of enginesById.values()) {
            nextExpiryMs = Math.min(nextExpiryMs, nextChangeMs(engine));
            const { record } = engine;
            if (isUsable(engine)) {
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
        for (const [id, { record, expiresAtMs }] of enginesById) {
            if (expiresAtMs !== undefined && expiresAtMs <= nowMs) {
                enginesById.delete(id);
                recordRemoval(record, "its record did not come back after the store's outage");
            }
        }
        rebuildIndex();
    }

    function recordRemoval({ id, bornMs }: EngineRecord, cause: string): void {
        const nowMs = clock.monotonicMs();
        for (const [removedId, { removedAtMs }] of removedById) {
            if (nowMs - removedAtMs > removedRecordRetentionMs) {
                removedById.delete(removedId);
            }
        }
        removedById.set(id, { bornMs, removedAtMs: nowMs });
        log.info("engine is gone", { engine: id, bornMs, cause });
    }

    /** Until when a listed record is not used, see `KnownEngine`. */
    function doubtOf(record: EngineRecord, origin: CopyOrigin): number | undefined {
        const known = enginesById.get(record.id);
        const hasNewRecord = known !== undefined
            && (record.bornMs !== known.record.bornMs || record.recordSequence > known.record.recordSequence);
        if (known !== undefined) {
            return hasNewRecord ? undefined : known.doubtfulUntilMs;
        }
        const isRestored = origin === "afterRestoration" && removedById.get(record.id)?.bornMs === record.bornMs;
        if (isRestored) {
            log.info("an engine that was gone is listed again by a restored registry", { engine: record.id });
        }
        return isRestored ? clock.monotonicMs() + restoredRecordDoubtMs : undefined;
    }

    function logChange(previous: EngineRecord | undefined, next: EngineRecord): void {
        if (previous?.state !== next.state || previous.bornMs !== next.bornMs || previous.stage !== next.stage) {
            const { id, service, softwareVersion, address, state, stage, bornMs } = next;
            log.info("engine record changed", { engine: id, service, softwareVersion, address, state, stage, bornMs });
        }
    }

    notices.onChange(rebuildIndex);
    evacuations.onChange(rebuildIndex);

    return {
        usable: service => {
            removeExpired();
            return usableByService.get(service) ?? [];
        },
        isUsable: ({ id, bornMs }) => {
            const engine = enginesById.get(id);
            return engine !== undefined && engine.record.bornMs === bornMs && isUsable(engine);
        },
        allRestingMs: (service, stage) => {
            removeExpired();
            if ((usableByService.get(service) ?? []).some(engine => engine.stage === stage)) {
                return undefined;
            }
            const restsMs = [...enginesById.values()]
                .filter(({ record }) => record.service === service && record.stage === stage)
                .filter(({ record }) => record.state === "ready" && !notices.isLeaving(record))
                .filter(({ record }) => !evacuations.isEvacuated(record.dataCentre))
                .map(({ record }) => notices.restRemainingMs(record))
                .filter(restMs => restMs > 0);
            return restsMs.length === 0 ? undefined : Math.min(...restsMs);
        },
        known: () => {
            removeExpired();
            return [...enginesById.values()].map(knownEngine => knownEngine.record);
        },
        get: id => enginesById.get(id)?.record,
        load: (records, origin) => {
            const next = new Map<string, KnownEngine>();
            for (const record of records) {
                const previous = enginesById.get(record.id)?.record;
                const merged = merge(previous, record);
                logChange(previous, merged);
                next.set(record.id, {
                    record: merged,
                    expiresAtMs: undefined,
                    doubtfulUntilMs: doubtOf(record, origin),
                });
            }
            for (const [id, knownEngine] of enginesById) {
                if (next.has(id)) {
                    continue;
                }
                const expiresAtMs = knownEngine.expiresAtMs
                    ?? (origin === "current" ? undefined : clock.monotonicMs() + missingRecordGraceMs);
                if (expiresAtMs !== undefined && expiresAtMs > clock.monotonicMs()) {
                    next.set(id, { ...knownEngine, expiresAtMs });
                }
                else {
                    recordRemoval(knownEngine.record, "its record was removed");
                }
            }
            enginesById = next;
            rebuildIndex();
        },
        onChange: listener => void listeners.push(listener),
    };
}
