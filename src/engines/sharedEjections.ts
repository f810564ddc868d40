/**
 * Shares the verdicts of this entry on instances of plain services with the other entries, at once and with their age:
 * that an instance was ejected, and that it serves requests again. Each entry relays the newest verdict on each start of
 * an instance for a short time, so that all hear of it.
 *
 * A verdict is shared only if requests of this entry succeeded at other engines meanwhile. Otherwise the cause may be this
 * entry's own network, as for an entry that is cut off.
 */

import { z } from "zod";
import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EjectionVerdict, EngineHealth } from "./engineHealth.js";
import { startKey } from "./engineNotices.js";
import type { EngineStart } from "./engineNotices.js";
import type { EngineRecord } from "./enginePort.js";

/** The newest verdict on one start of an instance, to be shared with other entries. */
export const ejectionNoticeSchema = z.object({
    engine: z.string(),
    /** Start of the instance in Unix milliseconds, see `EngineRecord`. */
    bornMs: z.number(),
    /** How its last request failed; absent if it is in use again. */
    failure: z.enum(["interrupted", "unresponsive", "ended"]).optional(),
    /** Consecutive failures. */
    failures: z.number().int().min(0),
    /** Time since the outcome that decided. */
    agoMs: z.number().min(0),
});

export type EjectionNotice = Readonly<z.output<typeof ejectionNoticeSchema>>;

export interface SharedEjections {
    /** Notices to share, the latest ones first. */
    readonly notices: () => readonly EjectionNotice[];
    /** Merges the notices of another entry. */
    readonly apply: (notices: readonly EjectionNotice[]) => void;
    /** Calls `listener` when this entry has a verdict of its own that the others should hear at once. */
    readonly onChange: (listener: () => void) => void;
    /** Forgets all other engines. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
}

export interface SharedEjectionsDependencies {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Pick<PrometheusMetrics, "count">;
    readonly health: EngineHealth;
}

interface KnownVerdict {
    readonly start: EngineStart;
    readonly verdict: EjectionVerdict;
    readonly isOwn: boolean;
}

/** Time in which all entries hear of a verdict; later ones decide by their own requests. */
const sharingMs = 6_000;
const maxKnownVerdicts = 200;
const maxSharedNotices = 50;
/** A success at another engine this long before the verdict still shows that this entry's network works. */
const evidenceWindowMs = 1_000;
/** A verdict relayed by several entries seems newer by the differences of their delays, up to this much. */
const clockToleranceMs = 20;
/** A verdict that only repeats what all know is not sent ahead of the rounds. */
const repeatMs = 1_000;

export function createSharedEjections(dependencies: SharedEjectionsDependencies): SharedEjections {
    const { clock, log, metrics, health } = dependencies;
    const known = new Map<string, KnownVerdict>();
    const listeners: (() => void)[] = [];
    let instances: ReadonlyMap<string, EngineRecord> = new Map();

    function isCredible({ engineId, atMs }: EjectionVerdict): boolean {
        return health.hasSucceededElsewhere(engineId, atMs - evidenceWindowMs);
    }

    /** Replaces an older verdict; returns the one known before. */
    function replace(start: EngineStart, verdict: EjectionVerdict, isOwn: boolean): KnownVerdict | undefined {
        const key = startKey(start);
        const previous = known.get(key);
        known.delete(key);
        known.set(key, { start: { id: start.id, bornMs: start.bornMs }, verdict, isOwn });
        removeOldest(known, maxKnownVerdicts);
        return previous;
    }

    health.onVerdict(verdict => {
        const instance = instances.get(verdict.engineId);
        if (instance === undefined || instance.stage !== undefined) {
            return;
        }
        const previous = replace(instance, verdict, true)?.verdict;
        const { engineId: engine, failure, failures } = verdict;
        log.info(
            failure === undefined ? "an instance is in use again" : "an instance was ejected",
            { engine, bornMs: instance.bornMs, failure, failures },
        );
        metrics.count("ejections", instance.service, failure ?? "cleared");
        const isRepeated = previous?.failure === failure && verdict.atMs - (previous?.atMs ?? -Infinity) < repeatMs;
        if (!isRepeated && isCredible(verdict)) {
            listeners.forEach(listener => listener());
        }
    });

    return {
        notices: () => {
            const nowMs = clock.monotonicMs();
            return [...known.values()]
                .filter(({ verdict, isOwn }) => nowMs - verdict.atMs < sharingMs && (!isOwn || isCredible(verdict)))
                .sort((left, right) => right.verdict.atMs - left.verdict.atMs)
                .slice(0, maxSharedNotices)
                .map(({ start, verdict: { failure, failures, atMs } }): EjectionNotice => ({
                    engine: start.id,
                    bornMs: start.bornMs,
                    failures,
                    agoMs: nowMs - atMs,
                    ...failure === undefined ? {} : { failure },
                }));
        },
        apply: notices => {
            for (const { engine, bornMs, failure, failures, agoMs } of notices) {
                const instance = instances.get(engine);
                const verdict: EjectionVerdict = {
                    engineId: engine,
                    failure,
                    failures,
                    atMs: clock.monotonicMs() - agoMs,
                };
                const previous = instance === undefined ? undefined : known.get(startKey(instance));
                const isNewer = previous === undefined || verdict.atMs > previous.verdict.atMs + clockToleranceMs;
                if (instance?.bornMs !== bornMs || instance.stage !== undefined || agoMs >= sharingMs || !isNewer) {
                    continue;
                }
                replace(instance, verdict, false);
                if (health.applyVerdict(verdict)) {
                    metrics.count("ejectionsHeard", instance.service, failure ?? "cleared");
                    log.info("heard another entry's verdict on an instance", {
                        engine,
                        bornMs,
                        failure,
                        failures,
                        agoMs,
                    });
                }
            }
        },
        onChange: listener => void listeners.push(listener),
        keepOnly: engines => {
            instances = new Map(engines.map(engine => [engine.id, engine]));
            const kept = new Set(engines.map(startKey));
            [...known.keys()].filter(key => !kept.has(key)).forEach(key => known.delete(key));
        },
    };
}
