/**
 * Runs of requests at engines, from which the quarantine learns: which engines ended under them, and which requests ran.
 *
 * An engine that broke off a response has ended if nothing listens at its address any more, or if another start of an
 * engine does. If it can't be asked, it has ended once another start is registered at its address. The same decides
 * whether a response that ended with its connection is complete.
 */

import type { Clock } from "../common/clock.js";
import { startKey } from "../engines/engineNotices.js";
import { isConnectionRefused } from "../engines/enginePort.js";
import type { EnginePort, EngineRecord } from "../engines/enginePort.js";
import { isFingerprint } from "./requestFingerprint.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

/**
 * How a run ended. `closed` is a response that ended with its connection: its engine has written all of it or has ended.
 * `abandoned` proves nothing: the run was cancelled, or its engine did not accept it.
 */
export type RunEnd = "completed" | "closed" | "broken" | "abandoned";

/** A request, or the prefill of one, that was sent to an engine. */
export interface EngineRun {
    /** Records that the engine has written something. */
    readonly recordOutput: () => void;
    /** Ends the run; resolves to whether its engine is known to have ended with it, so that its parts are suspected. */
    readonly end: (how: RunEnd) => Promise<boolean>;
}

export interface EngineRuns {
    /** `parts` are what may be to blame if the engine ends under the request. */
    readonly start: (engine: EngineRecord, parts: readonly string[]) => EngineRun;
}

export interface EngineRunsDependencies {
    readonly clock: Clock;
    readonly quarantine: Pick<RequestQuarantine, "suspectable" | "recordEngineEnd" | "recordSound">;
    readonly report: EnginePort["report"];
    /** Whether another start of an engine is registered at the engine's address. */
    readonly isReplaced: (engine: EngineRecord) => boolean;
}

/** What is known of an engine that broke off a response. */
type EngineCheck = "ended" | "running" | "unknown";

/**
 * A run that has written for this long, and this often, did not crash its engine by starting. The time alone does not
 * tell: a slow engine may end late, and this process may see the end late.
 */
const startPhaseMs = 1_000;
const minOutputs = 3;
const reportTimeoutMs = 300;
/** An engine that is ending may still accept a connection and reset it. */
const maxReports = 3;
const reportPauseMs = 100;
/** An engine that ended silently is replaced by another start within this time, or found at its next report. */
const replacementTimeoutMs = 6_000;
const replacementPollMs = 500;

/** Whether a run that has written for some time, and some times, did not crash its engine by starting. */
export function isPastStart(writtenForMs: number, outputs: number): boolean {
    return writtenForMs >= startPhaseMs && outputs >= minOutputs;
}

export function createEngineRuns(dependencies: EngineRunsDependencies): EngineRuns {
    const { clock, quarantine, report, isReplaced } = dependencies;
    const checksByStart = new Map<string, Promise<EngineCheck>>();

    async function check(engine: EngineRecord): Promise<EngineCheck> {
        for (let attempt = 1; attempt <= maxReports; attempt++) {
            const reported = await report(engine, reportTimeoutMs);
            if (reported.isOk) {
                const { bornMs } = reported.value;
                return bornMs > 0 && engine.bornMs > 0 && bornMs !== engine.bornMs ? "ended" : "running";
            }
            if (reported.error.kind === "notExecuted") {
                return "running";
            }
            if (reported.error.kind !== "interrupted") {
                return isConnectionRefused(reported.error) ? "ended" : "unknown";
            }
            await clock.sleep(reportPauseMs);
        }
        return "unknown";
    }

    /** Streams of one engine break off together, so they share one check. */
    function checkOnce(engine: EngineRecord): Promise<EngineCheck> {
        const key = startKey(engine);
        const running = checksByStart.get(key) ?? check(engine).finally(() => checksByStart.delete(key));
        checksByStart.set(key, running);
        return running;
    }

    async function awaitReplacement(engine: EngineRecord): Promise<boolean> {
        for (let waitedMs = 0; waitedMs < replacementTimeoutMs; waitedMs += replacementPollMs) {
            if (isReplaced(engine)) {
                return true;
            }
            await clock.sleep(replacementPollMs);
        }
        return false;
    }

    /** Finds out whether an engine has ended, and if so, records that it did under these parts. */
    async function recordIfEnded(engine: EngineRecord, suspected: readonly string[]): Promise<EngineCheck> {
        const brokenAtMs = clock.monotonicMs();
        const result = await checkOnce(engine);
        if (result === "unknown") {
            void awaitReplacement(engine).then(isEnded =>
                isEnded && quarantine.recordEngineEnd(engine, suspected, brokenAtMs)
            );
        }
        if (result === "ended") {
            quarantine.recordEngineEnd(engine, suspected, brokenAtMs);
        }
        return result;
    }

    /** Returns whether the engine has ended and there are parts to suspect. */
    async function recordBreak(engine: EngineRecord, parts: readonly string[]): Promise<boolean> {
        const suspected = quarantine.suspectable(parts);
        return suspected.length > 0 && await recordIfEnded(engine, suspected) === "ended";
    }

    /** The engine is not asked if other requests have just run with all parts of the prompt. */
    async function recordClose(engine: EngineRecord, parts: readonly string[]): Promise<void> {
        const suspected = quarantine.suspectable(parts);
        if (suspected.every(isFingerprint) || await recordIfEnded(engine, suspected) === "running") {
            quarantine.recordSound(parts);
        }
    }

    return {
        start: (engine, parts) => {
            let outputAtMs: number | undefined;
            let outputs = 0;
            let hasPassedStart = false;
            return {
                recordOutput: () => {
                    outputAtMs ??= clock.monotonicMs();
                    outputs += 1;
                    if (!hasPassedStart && isPastStart(clock.monotonicMs() - outputAtMs, outputs)) {
                        hasPassedStart = true;
                        quarantine.recordSound(parts.filter(part => !isFingerprint(part)));
                    }
                },
                end: async how => {
                    const writtenForMs = outputAtMs === undefined ? 0 : clock.monotonicMs() - outputAtMs;
                    if (how === "completed" || (how === "closed" && isPastStart(writtenForMs, outputs))) {
                        quarantine.recordSound(parts);
                        return false;
                    }
                    if (how === "closed") {
                        await recordClose(engine, parts);
                        return false;
                    }
                    if (how === "broken" && isPastStart(writtenForMs, outputs)) {
                        // Its prompt is sound; the request as a whole has not run to its end.
                        quarantine.recordSound(parts.filter(part => !isFingerprint(part)));
                        return false;
                    }
                    const isStarting = writtenForMs < startPhaseMs || outputs < 2;
                    return how === "broken" && isStarting && recordBreak(engine, parts);
                },
            };
        },
    };
}
