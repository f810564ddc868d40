/**
 * Keeps requests from engines that would crash on them ("queries of death").
 *
 * When an engine ends while a request has just started on it, that request is suspected, by its fingerprint, and so are
 * the shared parts of its prompt, if it has one; parts with which other requests have run lately are not. Once a second
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

/** A request, or the prefill of one, that was sent to an engine. */
export interface EngineRun {
    /** Records that the engine has written something. */
    readonly recordOutput: () => void;
    /** Ends the run; resolves to whether its engine is known to have ended with it, so that its parts are suspected. */
    readonly end: (how: RunEnd) => Promise<boolean>;
}

/** What is known of an engine that broke off a response. */
type EngineCheck = "ended" | "running" | "unknown";

/** Why a request is refused. */
export interface QuarantineReason {
    /** Its parts under which engines ended: one, or several that were always together. */
    readonly blamedParts: readonly string[];
    /** Number of engines that ended. */
    readonly crashes: number;
    /** How long requests with these parts will be refused. */
    readonly remainingMs: number;
}

export interface RequestQuarantine {
    /** Why requests with these parts are refused; `undefined` if they may be sent to engines. */
    readonly find: (parts: readonly string[]) => QuarantineReason | undefined;
    /** Whether an engine has ended under one of these parts. */
    readonly isSuspected: (parts: readonly string[]) => boolean;
    readonly startRun: (engine: EngineRecord, parts: readonly string[]) => EngineRun;
    /** Evidence to share with other entries. */
    readonly evidence: () => readonly CrashEvidence[];
    /** Whether an engine ended under a request of this entry with the part. */
    readonly hasOwnEvidence: (part: string) => boolean;
    /** Merges the evidence of another entry. */
    readonly applyEvidence: (evidence: readonly CrashEvidence[]) => void;
}

export interface RequestQuarantineDependencies {
    readonly clock: Clock;
    readonly log: DecisionLog;
    readonly report: EnginePort["report"];
    /** Whether another start of an engine is registered at the engine's address. */
    readonly isReplaced: (engine: EngineRecord) => boolean;
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
/** An engine that ended silently is replaced by another start within this time, or found at its next report. */
const replacementTimeoutMs = 6_000;
const replacementPollMs = 500;

export function createRequestQuarantine(dependencies: RequestQuarantineDependencies): RequestQuarantine {
    const { clock, log, report, onEvidence } = dependencies;
    const table = createEvidenceTable(clock);
    /** When a request with a part was last seen running, the latest ones last. */
    const soundAtMs = new Map<string, number>();
    const ownParts = new Set<string>();
    const checksByStart = new Map<string, Promise<EngineCheck>>();

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
        removeExpired(soundAtMs, clock.monotonicMs() - soundWindowMs);
        removeOldest(soundAtMs, maxTrackedParts);
    }

    function wasSound(part: string, atMs: number): boolean {
        return (soundAtMs.get(part) ?? Number.NEGATIVE_INFINITY) > atMs - soundWindowMs;
    }

    /** Checks an engine that broke off a response: it has ended if nothing listens there, or another start of it does. */
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
                const isRefused = reported.error.kind === "unreachable" && reported.error.isConnectionRefused === true;
                return isRefused ? "ended" : "unknown";
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

    /** Returns whether the engine has ended and there are parts to suspect. */
    async function recordBreak(engine: EngineRecord, parts: readonly string[]): Promise<boolean> {
        const brokenAtMs = clock.monotonicMs();
        const suspected = parts.filter(part => !wasSound(part, brokenAtMs));
        if (suspected.length === 0) {
            return false;
        }
        const result = await checkOnce(engine);
        if (result === "unknown") {
            void awaitReplacement(engine).then(isReplaced => isReplaced && recordEnd(engine, suspected, brokenAtMs));
        }
        if (result === "ended") {
            recordEnd(engine, suspected, brokenAtMs);
        }
        return result === "ended";
    }

    async function awaitReplacement(engine: EngineRecord): Promise<boolean> {
        for (let waitedMs = 0; waitedMs < replacementTimeoutMs; waitedMs += replacementPollMs) {
            if (dependencies.isReplaced(engine)) {
                return true;
            }
            await clock.sleep(replacementPollMs);
        }
        return false;
    }

    function recordEnd({ id, bornMs }: EngineRecord, suspected: readonly string[], brokenAtMs: number): void {
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
        isSuspected: parts => table.blame(parts, 1) !== undefined,
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

/** Removes times up to `untilMs` from a map in the order of its times. */
function removeExpired(times: Map<string, number>, untilMs: number): void {
    for (const [key, atMs] of times) {
        if (atMs > untilMs) {
            return;
        }
        times.delete(key);
    }
}

function isPastStart(writtenForMs: number, outputs: number): boolean {
    return writtenForMs >= startPhaseMs && outputs >= minOutputs;
}
