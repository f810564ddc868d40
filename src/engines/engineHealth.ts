/**
 * Passive health checks: judges engines by the outcomes of real requests, not by the state that they report.
 *
 * An engine that fails to connect or to respond is ejected for a time that doubles with each consecutive failure. An
 * engine that responds but fails clearly more of its requests than its peers is ejected for a fixed time. After the
 * ejection the next real requests decide. If more than half of a service's engines are ejected, all of them are used,
 * because the cause is then more likely this host's own network. That does not hold for engines that refuse connections:
 * their hosts respond, so they are left out as long as there is any other engine.
 *
 * An engine that broke requests off or did not respond stays in doubt after its ejection, until a request succeeds there
 * or a status check does. Requests that may run only once are kept from it for that time, while others try it. Another
 * entry's verdict on an engine counts like this entry's own if it is newer, except that silence there only raises doubt,
 * since its cause may be that entry's network.
 */

import type { Clock } from "../common/clock.js";
import type { EngineStart } from "./engineNotices.js";
import { isConnectionRefused, isWithdrawn } from "./enginePort.js";
import type { EngineError, EngineRecord } from "./enginePort.js";

/**
 * Outcome of an attempt at an engine: `failed` is a response that reports a failure, `notServed` one that proves that the
 * request did not run, or none before the attempt was overtaken by another, `interrupted` is a response that broke off,
 * `unresponsive` is no response, and `ended` means that nothing listens at the engine's address.
 */
export type AttemptOutcome = "succeeded" | "failed" | "notServed" | "interrupted" | "unresponsive" | "ended";

/** What an entry's own requests have shown of an engine. */
export interface EjectionVerdict {
    readonly engineId: string;
    /** The last failure; `undefined` if the engine is in use again without doubt. */
    readonly failure: "interrupted" | "unresponsive" | "ended" | undefined;
    /** Consecutive failures, on which the duration of the ejection depends. */
    readonly failures: number;
    /** Monotonic time of the outcome that decided. */
    readonly atMs: number;
}

export interface EngineHealth {
    /** `sentAtMs` is the monotonic time at which the attempt was sent, by default now. */
    readonly recordOutcome: (engineId: string, outcome: AttemptOutcome, sentAtMs?: number) => void;
    /** Records the outcome of an attempt that got no response. */
    readonly recordNoResponse: (engineId: string, error: EngineError) => void;
    /**
     * The engines of one service that are not ejected; all that have not ended if fewer than half of those would be left;
     * all if all have ended.
     */
    readonly withoutEjected: (engines: readonly EngineRecord[]) => readonly EngineRecord[];
    /**
     * The engines that `withoutEjected` returns, less those in doubt; all that it returns if fewer than half of them would
     * be left.
     */
    readonly withoutDoubtful: (engines: readonly EngineRecord[]) => readonly EngineRecord[];
    readonly isEjected: (engineId: string) => boolean;
    /** Whether an engine has been ejected and no request has succeeded there since. */
    readonly isDoubtful: (engineId: string) => boolean;
    /** Time since an engine's ejection ended; `undefined` unless it is in doubt and not ejected. */
    readonly probationMs: (engineId: string) => number | undefined;
    /** Records the result of a status check during the probation. */
    readonly recordStatusCheck: (engineId: string, isHealthy: boolean) => void;
    /** Whether a request succeeded at another engine at `sinceMs`, a monotonic time, or later. */
    readonly hasSucceededElsewhere: (engineId: string, sinceMs: number) => boolean;
    /** Applies the verdict of another entry; returns whether it changed anything. */
    readonly applyVerdict: (verdict: EjectionVerdict) => boolean;
    /** Calls `listener` with each verdict of this entry's own requests and status checks. */
    readonly onVerdict: (listener: (verdict: EjectionVerdict) => void) => void;
    /** Forgets the outcomes of all other engines, and of earlier starts of these. */
    readonly keepOnly: (engines: readonly EngineStart[]) => void;
}

interface HealthRecord {
    /** Exponential moving average of failures, from 0 to 1. */
    failureRate: number;
    samples: number;
    /** Consecutive outcomes without a response, and interruptions, the latter within `interruptionWindowMs`. */
    consecutiveFailures: number;
    /** Monotonic times of the last interruption, the last success, and the last verdict, own or of another entry. */
    interruptedAtMs: number;
    succeededAtMs: number;
    decidedAtMs: number;
    ejectedUntilMs: number;
    hasEnded: boolean;
    /** Whether requests may have run whose failures count in `failureRate`. */
    hasFailedRuns: boolean;
    /** Its last doubt was ended by a status check or another entry, and no request has succeeded here since. */
    isUnproven: boolean;
    /** Monotonic time until which the engine is in doubt unless a success ends it; in the past if it is not in doubt. */
    doubtfulUntilMs: number;
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
/** This many consecutive interruptions eject an engine; a single one may be the fault of its request. */
const interruptionsToEject = 2;
const interruptionWindowMs = 2_000;
/** Longest doubt after an ejection without any request or status check that could end it. */
const maxDoubtMs = 6_000;

export function createEngineHealth(clock: Clock): EngineHealth {
    const recordsById = new Map<string, HealthRecord>();
    const listeners: ((verdict: EjectionVerdict) => void)[] = [];
    let bornMsById: ReadonlyMap<string, number> = new Map();

    function recordOf(engineId: string): HealthRecord {
        const existing = recordsById.get(engineId);
        if (existing !== undefined) {
            return existing;
        }
        const created: HealthRecord = {
            failureRate: 0,
            samples: 0,
            consecutiveFailures: 0,
            interruptedAtMs: Number.NEGATIVE_INFINITY,
            succeededAtMs: Number.NEGATIVE_INFINITY,
            decidedAtMs: Number.NEGATIVE_INFINITY,
            ejectedUntilMs: 0,
            hasEnded: false,
            hasFailedRuns: false,
            isUnproven: false,
            doubtfulUntilMs: 0,
        };
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
                record.doubtfulUntilMs = record.hasFailedRuns ? record.ejectedUntilMs + maxDoubtMs : 0;
                // Resets the rate to half the margin, so that outcomes after the ejection decide on the next one.
                record.failureRate = median + outlierMargin / 2;
            }
        }
    }

    function isDoubtful(engineId: string): boolean {
        return (recordsById.get(engineId)?.doubtfulUntilMs ?? 0) > clock.monotonicMs();
    }

    /** Ejects an engine for a time that doubles with each of its consecutive failures before `atMs`. */
    function eject(record: HealthRecord, atMs: number): void {
        const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** (record.consecutiveFailures - 1));
        record.ejectedUntilMs = Math.max(record.ejectedUntilMs, atMs + ejectionMs);
        record.doubtfulUntilMs = record.ejectedUntilMs + maxDoubtMs;
        record.decidedAtMs = atMs;
    }

    function announce(engineId: string, failure: EjectionVerdict["failure"], record: HealthRecord): void {
        const verdict = { engineId, failure, failures: record.consecutiveFailures, atMs: record.decidedAtMs };
        listeners.forEach(listener => listener(verdict));
    }

    function endDoubt(engineId: string, record: HealthRecord): void {
        if (isDoubtful(engineId)) {
            record.doubtfulUntilMs = 0;
            record.decidedAtMs = clock.monotonicMs();
            announce(engineId, undefined, record);
        }
    }

    /** Ejects the engine at the second interruption in a row, or at the first one if only a success could prove it sound. */
    function recordInterruption(engineId: string, record: HealthRecord): void {
        const nowMs = clock.monotonicMs();
        const isRepeated = nowMs - record.interruptedAtMs <= interruptionWindowMs;
        const isConsecutive = isRepeated || record.isUnproven || isDoubtful(engineId);
        record.consecutiveFailures = isConsecutive ? record.consecutiveFailures + 1 : 1;
        record.interruptedAtMs = nowMs;
        if (record.consecutiveFailures >= interruptionsToEject) {
            eject(record, nowMs);
            announce(engineId, "interrupted", record);
        }
    }

    function recordSuccess(engineId: string, record: HealthRecord): void {
        record.succeededAtMs = clock.monotonicMs();
        record.consecutiveFailures = 0;
        record.isUnproven = false;
        record.interruptedAtMs = Number.NEGATIVE_INFINITY;
        endDoubt(engineId, record);
    }

    function recordOutcome(engineId: string, outcome: AttemptOutcome, sentAtMs = clock.monotonicMs()): void {
        const record = recordOf(engineId);
        const failed = outcome === "succeeded" ? 0 : 1;
        record.failureRate += failureWeight * (failed - record.failureRate);
        record.samples += 1;
        record.hasEnded = outcome === "ended";
        record.hasFailedRuns = outcome === "failed" || outcome === "interrupted"
            || (record.hasFailedRuns && outcome !== "notServed");
        if (outcome === "succeeded") {
            // What was sent before an interruption shows nothing of the time after it.
            if (sentAtMs >= record.interruptedAtMs) {
                recordSuccess(engineId, record);
            }
        }
        else if (outcome === "interrupted") {
            recordInterruption(engineId, record);
        }
        else if (outcome === "unresponsive" || outcome === "ended") {
            record.consecutiveFailures += 1;
            eject(record, clock.monotonicMs());
            announce(engineId, outcome, record);
        }
        else {
            record.consecutiveFailures = 0;
        }
    }

    function withoutEjected(engines: readonly EngineRecord[]): readonly EngineRecord[] {
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
    }

    function applyVerdict({ engineId, failure, failures, atMs }: EjectionVerdict): boolean {
        const record = recordOf(engineId);
        const isKnown = atMs <= record.decidedAtMs;
        if (isKnown || (failure !== undefined && atMs <= record.succeededAtMs)) {
            return false;
        }
        if (failure === undefined) {
            const wasDoubtful = isDoubtful(engineId);
            record.doubtfulUntilMs = 0;
            record.decidedAtMs = atMs;
            record.isUnproven = true;
            return wasDoubtful;
        }
        if (failure === "unresponsive") {
            record.doubtfulUntilMs = Math.max(record.doubtfulUntilMs, atMs + maxDoubtMs);
            record.decidedAtMs = atMs;
            return true;
        }
        record.consecutiveFailures = Math.max(record.consecutiveFailures, Math.max(1, failures));
        record.interruptedAtMs = atMs;
        record.hasEnded = failure === "ended";
        eject(record, atMs);
        return true;
    }

    return {
        recordOutcome,
        recordNoResponse: (engineId, error) => {
            if (!isWithdrawn(error)) {
                recordOutcome(engineId, isConnectionRefused(error) ? "ended" : "unresponsive");
            }
        },
        isEjected,
        withoutEjected,
        withoutDoubtful: engines => {
            const used = withoutEjected(engines);
            const trusted = used.filter(engine => !isDoubtful(engine.id));
            return trusted.length * 2 < used.length ? used : trusted;
        },
        isDoubtful,
        probationMs: engineId => {
            const record = recordsById.get(engineId);
            return record !== undefined && isDoubtful(engineId) && !isEjected(engineId)
                ? clock.monotonicMs() - record.ejectedUntilMs
                : undefined;
        },
        recordStatusCheck: (engineId, isHealthy) => {
            const record = recordOf(engineId);
            if (isHealthy) {
                record.isUnproven = true;
                endDoubt(engineId, record);
                return;
            }
            record.consecutiveFailures += 1;
            eject(record, clock.monotonicMs());
            announce(engineId, "interrupted", record);
        },
        hasSucceededElsewhere: (engineId, sinceMs) =>
            [...recordsById].some(([id, record]) => id !== engineId && record.succeededAtMs >= sinceMs),
        applyVerdict,
        onVerdict: listener => void listeners.push(listener),
        keepOnly: engines => {
            const previousBornMsById = bornMsById;
            bornMsById = new Map(engines.map(({ id, bornMs }) => [id, bornMs]));
            [...recordsById.keys()]
                .filter(id => bornMsById.get(id) === undefined || bornMsById.get(id) !== previousBornMsById.get(id))
                .forEach(id => recordsById.delete(id));
        },
    };
}
