/**
 * Passive health checks: judges engines by the outcomes of real requests, not by the state that they report.
 *
 * An engine that fails to connect or to respond is ejected for a time that doubles with each consecutive failure. An
 * engine that responds but fails clearly more of its requests than its peers is ejected for a fixed time. After the
 * ejection the next real requests decide. If more than half of a service's engines are ejected, all of them are used,
 * because the cause is then more likely this host's own network. That does not hold for engines that refuse connections:
 * their hosts respond, so they are left out as long as there is any other engine.
 */

import type { Clock } from "../common/clock.js";
import type { EngineStart } from "./engineNotices.js";
import { isConnectionRefused, isWithdrawn } from "./enginePort.js";
import type { EngineError, EngineRecord } from "./enginePort.js";

/**
 * Outcome of an attempt at an engine: `failed` is a response that reports a failure, `unresponsive` is no response, and
 * `ended` means that nothing listens at the engine's address.
 */
export type AttemptOutcome = "succeeded" | "failed" | "unresponsive" | "ended";

export interface EngineHealth {
    readonly recordOutcome: (engineId: string, outcome: AttemptOutcome) => void;
    /** Records the outcome of an attempt that got no response. */
    readonly recordNoResponse: (engineId: string, error: EngineError) => void;
    /**
     * The engines of one service that are not ejected; all that have not ended if fewer than half of those would be left;
     * all if all have ended.
     */
    readonly withoutEjected: (engines: readonly EngineRecord[]) => readonly EngineRecord[];
    readonly isEjected: (engineId: string) => boolean;
    /** Forgets the outcomes of all other engines, and of earlier starts of these. */
    readonly keepOnly: (engines: readonly EngineStart[]) => void;
}

interface HealthRecord {
    /** Exponential moving average of failures, from 0 to 1. */
    failureRate: number;
    samples: number;
    consecutiveUnresponsive: number;
    ejectedUntilMs: number;
    hasEnded: boolean;
}

/** First ejection of an unresponsive engine: the time that a crashed process needs to restart. */
const baseEjectionMs = 500;
/** Longest ejection, so that a recovered engine is in use again within seconds. */
const maxEjectionMs = 4_000;
/** Weight of the newest outcome in the failure rate, which covers about the last ten requests. */
const failureWeight = 0.12;
/** An engine is ejected when its failure rate exceeds the median of its service by this much. */
const outlierMargin = 0.22;
/** Ejection of an engine that responds with failures. */
const outlierEjectionMs = 1_500;
/** Number of outcomes below which the failure rate is ignored. */
const minimumSamples = 6;

export function createEngineHealth(clock: Clock): EngineHealth {
    const recordsById = new Map<string, HealthRecord>();
    let bornMsById: ReadonlyMap<string, number> = new Map();

    function recordOf(engineId: string): HealthRecord {
        const existing = recordsById.get(engineId);
        if (existing !== undefined) {
            return existing;
        }
        const created = { failureRate: 0, samples: 0, consecutiveUnresponsive: 0, ejectedUntilMs: 0, hasEnded: false };
        recordsById.set(engineId, created);
        return created;
    }

    function isEjected(engineId: string): boolean {
        return (recordsById.get(engineId)?.ejectedUntilMs ?? 0) > clock.monotonicMs();
    }

    /** Ejects engines whose failure rate is too far above the median. */
    function ejectOutliers(engines: readonly EngineRecord[]): void {
        const rates = engines.map(engine => recordsById.get(engine.id)?.failureRate ?? 0).sort((a, b) => a - b);
        const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
        for (const engine of engines) {
            const record = recordsById.get(engine.id);
            if (
                record !== undefined && record.samples >= minimumSamples && record.failureRate > median + outlierMargin
                && record.ejectedUntilMs <= clock.monotonicMs()
            ) {
                record.ejectedUntilMs = clock.monotonicMs() + outlierEjectionMs;
                // Resets the rate to half the margin, so that outcomes after the ejection decide on the next one.
                record.failureRate = median + outlierMargin / 2;
            }
        }
    }

    function recordOutcome(engineId: string, outcome: AttemptOutcome): void {
        const record = recordOf(engineId);
        const failed = outcome === "succeeded" ? 0 : 1;
        record.failureRate += failureWeight * (failed - record.failureRate);
        record.samples += 1;
        record.hasEnded = outcome === "ended";
        if (outcome === "succeeded" || outcome === "failed") {
            record.consecutiveUnresponsive = 0;
            return;
        }
        record.consecutiveUnresponsive += 1;
        const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** (record.consecutiveUnresponsive - 1));
        record.ejectedUntilMs = clock.monotonicMs() + ejectionMs;
    }

    return {
        recordOutcome,
        recordNoResponse: (engineId, error) => {
            if (!isWithdrawn(error)) {
                recordOutcome(engineId, isConnectionRefused(error) ? "ended" : "unresponsive");
            }
        },
        isEjected,
        withoutEjected: engines => {
            if (engines.length > 2) {
                ejectOutliers(engines);
            }
            const healthy = engines.filter(engine => !isEjected(engine.id));
            const listening = engines.filter(engine =>
                !(isEjected(engine.id) && recordsById.get(engine.id)?.hasEnded === true)
            );
            if (listening.length === 0) {
                return engines;
            }
            return healthy.length * 2 < listening.length ? listening : healthy;
        },
        keepOnly: engines => {
            const previousBornMsById = bornMsById;
            bornMsById = new Map(engines.map(({ id, bornMs }) => [id, bornMs]));
            [...recordsById.keys()]
                .filter(id => bornMsById.get(id) === undefined || bornMsById.get(id) !== previousBornMsById.get(id))
                .forEach(id => recordsById.delete(id));
        },
    };
}
