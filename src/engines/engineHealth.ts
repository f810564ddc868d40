/**
 * Health of engines by the outcomes of real requests, whatever they say of themselves.
 *
 * An engine that fails to connect or to answer is passed over for a pause that doubles with each failure in a row; one
 * that answers but fails clearly more of its requests than its peers do is passed over for a fixed pause. After the
 * pause the next real request decides. If most engines of a service look bad, none is passed over: then the cause is
 * more likely this host's own network.
 */

import type { Clock } from "../common/clock.js";
import type { EngineRecord } from "./enginePort.js";

/** How an attempt at an engine ended: `failed` is an answer that tells of a failure, `unresponsive` no answer. */
export type AttemptOutcome = "succeeded" | "failed" | "unresponsive";

export interface EngineHealth {
    readonly note: (engineId: string, outcome: AttemptOutcome) => void;
    /** The engines of one service that are not passed over; all of them if that would leave under half. */
    readonly withoutAvoided: (engines: readonly EngineRecord[]) => readonly EngineRecord[];
    readonly isAvoided: (engineId: string) => boolean;
    readonly keepOnly: (engineIds: ReadonlySet<string>) => void;
}

interface Entry {
    /** Moving average of failures, from 0 to 1. */
    failureRate: number;
    samples: number;
    unresponsiveInARow: number;
    avoidUntilMs: number;
}

/** First pause after an engine did not respond; as long as a crashed process needs to come back. */
const firstPauseMs = 500;
/** Longest pause, so that a healed engine is back in use within seconds. */
const maxPauseMs = 4_000;
/** Weight of the newest outcome in the failure rate: about the last ten requests count. */
const failureWeight = 0.12;
/** An engine is passed over when its failure rate exceeds its peers' by this much. */
const failureMargin = 0.22;
/** Pause for an engine that answers with failures. */
const failingPauseMs = 1_500;
/** Outcomes needed before a failure rate counts. */
const minimumSamples = 6;

export function createEngineHealth(clock: Clock): EngineHealth {
    const entries = new Map<string, Entry>();

    function entryOf(engineId: string): Entry {
        const existing = entries.get(engineId);
        if (existing !== undefined) {
            return existing;
        }
        const created = { failureRate: 0, samples: 0, unresponsiveInARow: 0, avoidUntilMs: 0 };
        entries.set(engineId, created);
        return created;
    }

    function isAvoided(engineId: string): boolean {
        return (entries.get(engineId)?.avoidUntilMs ?? 0) > clock.monotonicMs();
    }

    /** Passes over engines that fail more than the median of the others does. */
    function avoidOutliers(engines: readonly EngineRecord[]): void {
        const rates = engines.map(engine => entries.get(engine.id)?.failureRate ?? 0).sort((a, b) => a - b);
        const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
        for (const engine of engines) {
            const entry = entries.get(engine.id);
            if (
                entry !== undefined && entry.samples >= minimumSamples && entry.failureRate > median + failureMargin
                && entry.avoidUntilMs <= clock.monotonicMs()
            ) {
                entry.avoidUntilMs = clock.monotonicMs() + failingPauseMs;
                // The next requests decide anew, from just above the threshold's other side.
                entry.failureRate = median + failureMargin / 2;
            }
        }
    }

    return {
        note: (engineId, outcome) => {
            const entry = entryOf(engineId);
            const failed = outcome === "succeeded" ? 0 : 1;
            entry.failureRate += failureWeight * (failed - entry.failureRate);
            entry.samples += 1;
            if (outcome !== "unresponsive") {
                entry.unresponsiveInARow = 0;
                return;
            }
            entry.unresponsiveInARow += 1;
            const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (entry.unresponsiveInARow - 1));
            entry.avoidUntilMs = clock.monotonicMs() + pauseMs;
        },
        isAvoided,
        withoutAvoided: engines => {
            if (engines.length > 2) {
                avoidOutliers(engines);
            }
            const good = engines.filter(engine => !isAvoided(engine.id));
            return good.length * 2 < engines.length ? engines : good;
        },
        keepOnly: engineIds => {
            [...entries.keys()].filter(id => !engineIds.has(id)).forEach(id => entries.delete(id));
        },
    };
}
