/**
 * Keeps requests from engines that would crash on a part of their prompts ("queries of death").
 *
 * When an engine ends while a request has just started on it, the shared parts of that request's prompt are suspected,
 * except those with which other requests have run lately. The request is not repeated at another engine. Once a second
 * engine has ended under the same part, requests with it are refused as not run. The quarantine of a part lasts longer
 * with each further engine, then requests with it are tried again. Entries share their evidence.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import { startKey } from "../engines/engineNotices.js";
import type { EnginePort, EngineRecord } from "../engines/enginePort.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import { createEvidenceTable } from "./crashEvidence.js";
import type { CrashEvidence } from "./crashEvidence.js";

/** How a run ended. `abandoned` proves nothing: it was cancelled, or its engine did not accept it. */
export type RunEnd = "completed" | "broken" | "abandoned";

/** A request that was sent to an engine to be run. */
export interface PromptRun {
    /** Records that the engine has written something. */
    readonly recordOutput: () => void;
    /** Ends the run; resolves to whether its engine ended with it, so that its prompt is suspected. */
    readonly end: (how: RunEnd) => Promise<boolean>;
}

/** Why a request is refused. */
export interface QuarantineReason {
    /** Parts of its prompt under which engines ended: one, or several that were always together. */
    readonly blamedParts: readonly string[];
    /** Number of engines that ended. */
    readonly crashes: number;
    /** How long requests with these parts will be refused. */
    readonly remainingMs: number;
}

export interface PromptQuarantine {
    /** Why requests with these parts are refused; `undefined` if they may be sent to engines. */
    readonly find: (parts: readonly string[]) => QuarantineReason | undefined;
    readonly startRun: (engine: EngineRecord, parts: readonly string[]) => PromptRun;
    /** Evidence to share with other entries. */
    readonly evidence: () => readonly CrashEvidence[];
    /** Whether an engine ended under a request of this entry with the part. */
    readonly hasOwnEvidence: (part: string) => boolean;
    /** Merges the evidence of another entry. */
    readonly applyEvidence: (evidence: readonly CrashEvidence[]) => void;
}

export interface PromptQuarantineDependencies {
    readonly clock: Clock;
    readonly log: DecisionLog;
    readonly report: EnginePort["report"];
    /** Called when this entry has new evidence, which other entries should learn soon. */
    readonly onEvidence: () => void;
}

/** An engine may end for another reason while a request starts; two by chance with the same part are unlikely. */
const minCrashesToRefuse = 2;
/** Duration of a quarantine after the second engine; it doubles with each further one. */
const baseQuarantineMs = 120_000;
const maxQuarantineMs = 1_800_000;
/**
 * A run that has written for this long, and this often, did not crash its engine by starting. The time alone does not
 * tell: a slow engine may end late, and this process may see the end late.
 */
const startPhaseMs = 1_000;
const minOutputs = 3;
/** A part is not suspected if another request with it has run within this time before an engine's end. */
const soundWindowMs = 10_000;
const maxTrackedParts = 5_000;
/** Longer ids are not tracked, so that callers cannot fill the memory or the messages between entries. */
const maxPartLength = 64;
const maxPartsPerRequest = 32;
const reportTimeoutMs = 300;
/** An engine that is ending may still accept a connection and reset it. */
const maxReports = 3;
const reportPauseMs = 100;

export function createPromptQuarantine(dependencies: PromptQuarantineDependencies): PromptQuarantine {
    const { clock, log, report, onEvidence } = dependencies;
    const table = createEvidenceTable(clock);
    /** When a request with a part was last seen running, the latest ones last. */
    const soundAtMs = new Map<string, number>();
    const ownParts = new Set<string>();
    const checksByStart = new Map<string, Promise<boolean>>();

    const trackedParts = (parts: readonly string[]): readonly string[] =>
        [...new Set(parts)].filter(part => part.length <= maxPartLength).slice(0, maxPartsPerRequest);

    function recordSound(parts: readonly string[]): void {
        for (const part of parts) {
            soundAtMs.delete(part);
            soundAtMs.set(part, clock.monotonicMs());
            if (table.refute(part)) {
                log.info("a request with a suspected part of a prompt has run", { part });
            }
        }
        removeOldest(soundAtMs, maxTrackedParts);
    }

    function wasSound(part: string, atMs: number): boolean {
        return (soundAtMs.get(part) ?? Number.NEGATIVE_INFINITY) > atMs - soundWindowMs;
    }

    /** Whether an engine that broke off a response has ended: nothing listens there, or another start of it does. */
    async function checkHasEnded(engine: EngineRecord): Promise<boolean> {
        for (let attempt = 1; attempt <= maxReports; attempt++) {
            const reported = await report(engine, reportTimeoutMs);
            if (reported.isOk) {
                const { bornMs } = reported.value;
                return bornMs > 0 && engine.bornMs > 0 && bornMs !== engine.bornMs;
            }
            if (reported.error.kind !== "interrupted") {
                return reported.error.kind === "unreachable" && reported.error.isConnectionRefused === true;
            }
            await clock.sleep(reportPauseMs);
        }
        return false;
    }

    /** Streams of one engine break off together, so they share one check. */
    function hasEnded(engine: EngineRecord): Promise<boolean> {
        const key = startKey(engine);
        const running = checksByStart.get(key) ?? checkHasEnded(engine).finally(() => checksByStart.delete(key));
        checksByStart.set(key, running);
        return running;
    }

    /** Returns whether the engine has ended and there are parts to suspect. */
    async function recordBreak(engine: EngineRecord, parts: readonly string[]): Promise<boolean> {
        const brokenAtMs = clock.monotonicMs();
        const suspected = parts.filter(part => !wasSound(part, brokenAtMs));
        if (suspected.length === 0 || !await hasEnded(engine)) {
            return false;
        }
        const { id, bornMs } = engine;
        log.decision("an engine ended while a request had just started", { engine: id, bornMs, suspected });
        addEvidence(suspected.map(part => ({
            part,
            engine: id,
            bornMs,
            agoMs: clock.monotonicMs() - brokenAtMs,
            isRefuted: false,
        })));
        suspected.forEach(part => ownParts.add(part));
        removeOldest(ownParts, maxTrackedParts);
        onEvidence();
        return true;
    }

    function addEvidence(items: readonly CrashEvidence[]): void {
        for (const item of items) {
            const isRefuted = item.isRefuted || wasSound(item.part, clock.monotonicMs() - item.agoMs);
            table.add({ ...item, isRefuted });
        }
    }

    return {
        find: parts => {
            const blame = table.blame(parts, minCrashesToRefuse);
            if (blame === undefined) {
                return undefined;
            }
            const { blamedParts, crashes, sinceLastMs } = blame;
            const durationMs = Math.min(maxQuarantineMs, baseQuarantineMs * 2 ** (crashes - minCrashesToRefuse));
            return sinceLastMs < durationMs
                ? { blamedParts, crashes, remainingMs: durationMs - sinceLastMs }
                : undefined;
        },
        startRun: (engine, allParts) => {
            const parts = trackedParts(allParts);
            let outputAtMs: number | undefined;
            let outputs = 0;
            return {
                recordOutput: () => {
                    outputAtMs ??= clock.monotonicMs();
                    outputs += 1;
                },
                end: async how => {
                    const writtenForMs = outputAtMs === undefined ? 0 : clock.monotonicMs() - outputAtMs;
                    if (how === "completed" || (how === "broken" && isPastStart(writtenForMs, outputs))) {
                        recordSound(parts);
                        return false;
                    }
                    const isStarting = writtenForMs < startPhaseMs || outputs < 2;
                    return how === "broken" && isStarting && recordBreak(engine, parts);
                },
            };
        },
        evidence: table.items,
        hasOwnEvidence: part => ownParts.has(part),
        applyEvidence: items => addEvidence(items.filter(({ part }) => part.length <= maxPartLength)),
    };
}

function isPastStart(writtenForMs: number, outputs: number): boolean {
    return writtenForMs >= startPhaseMs && outputs >= minOutputs;
}
