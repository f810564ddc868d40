/**
 * Keeps requests from engines that would crash on them ("queries of death").
 *
 * When an engine ends while a request has just started on it, that request is suspected, by its fingerprint, and so are
 * the shared parts of its prompt, if it has one; parts with which other requests have run lately are not. Once a second
 * engine has ended under the same part, requests with it are refused as not run. The quarantine of a part lasts longer
 * with each further engine, then requests with it are tried again. It is short while other parts may be to blame instead.
 * Entries share their evidence.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import type { EngineStart } from "../engines/engineNotices.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import { createEvidenceTable } from "./crashEvidence.js";
import type { CrashEvidence } from "./crashEvidence.js";

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
    /** Whether an engine has ended under a request with one of these parts, to blame or not. */
    readonly isSuspected: (parts: readonly string[]) => boolean;
    /** Those of the parts that would be suspected if an engine ended now under a request with them. */
    readonly suspectable: (parts: readonly string[]) => readonly string[];
    /** Records that an engine ended, at a monotonic time, under a request with these parts. */
    readonly recordEngineEnd: (engine: EngineStart, parts: readonly string[], endedAtMs: number) => void;
    /** Records that a request with these parts has run. */
    readonly recordSound: (parts: readonly string[]) => void;
    /** Evidence to share with other entries. */
    readonly evidence: () => readonly CrashEvidence[];
    /** Whether an engine ended under a request of this entry with the part. */
    readonly hasOwnEvidence: (part: string) => boolean;
    /** Merges the evidence of another entry. */
    readonly applyEvidence: (evidence: readonly CrashEvidence[]) => void;
}

export interface RequestQuarantineDependencies {
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "info" | "decision">;
    /** Called when this entry has new evidence, which other entries should learn soon. */
    readonly onEvidence: () => void;
}

/** An engine may end for another reason while a request starts; two by chance with the same part are unlikely. */
const minCrashesToRefuse = 2;
/** Duration of a quarantine after the second engine; it doubles with each further one. */
const baseQuarantineMs = 120_000;
const maxQuarantineMs = 1_800_000;
/**
 * Half of the duration of a quarantine whose only uncertain part may be sound; it doubles with each such part. Six seconds
 * after the last end sound requests must be served again. They have fewer of these parts than deadly ones, so they are
 * tried first, and run long enough before the others are tried to refute the evidence against all of their parts.
 */
const uncertainQuarantineMs = 500;
/** A part is not suspected if another request with it has run within this time before an engine's end. */
const soundWindowMs = 10_000;
const maxTrackedParts = 5_000;
/** Longer ids are not tracked, so that callers cannot fill the memory or the messages between entries. */
const maxPartLength = 64;
const maxPartsPerRequest = 32;

export function createRequestQuarantine(dependencies: RequestQuarantineDependencies): RequestQuarantine {
    const { clock, log, onEvidence } = dependencies;
    const table = createEvidenceTable(clock);
    /** When a request with a part was last seen running, the latest ones last. */
    const soundAtMs = new Map<string, number>();
    const ownParts = new Set<string>();

    const trackedParts = (parts: readonly string[]): readonly string[] =>
        [...new Set(parts)].filter(part => part.length <= maxPartLength).slice(0, maxPartsPerRequest);

    function wasSound(part: string, atMs: number): boolean {
        return (soundAtMs.get(part) ?? Number.NEGATIVE_INFINITY) > atMs - soundWindowMs;
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
            const { blamedParts, crashes, sinceLastMs, uncertainParts } = blame;
            const durationMs = uncertainParts > 0
                ? Math.min(baseQuarantineMs, uncertainQuarantineMs * 2 ** uncertainParts)
                : Math.min(maxQuarantineMs, baseQuarantineMs * 2 ** (crashes - minCrashesToRefuse));
            return sinceLastMs < durationMs
                ? { blamedParts, crashes, remainingMs: durationMs - sinceLastMs }
                : undefined;
        },
        isSuspected: parts => parts.some(table.isSuspected),
        suspectable: parts => trackedParts(parts).filter(part => !wasSound(part, clock.monotonicMs())),
        recordEngineEnd: ({ id, bornMs }, parts, endedAtMs) => {
            const suspected = trackedParts(parts);
            log.decision("an engine ended while a request had just started", { engine: id, bornMs, suspected });
            addEvidence(suspected.map(part => ({
                part,
                engine: id,
                bornMs,
                agoMs: clock.monotonicMs() - endedAtMs,
                isRefuted: false,
            })));
            suspected.forEach(part => ownParts.add(part));
            removeOldest(ownParts, maxTrackedParts);
            onEvidence();
        },
        recordSound: parts => {
            for (const part of trackedParts(parts)) {
                soundAtMs.delete(part);
                soundAtMs.set(part, clock.monotonicMs());
                if (table.refute(part)) {
                    log.info("a request with a suspected part of a prompt has run", { part });
                }
            }
            removeExpired(soundAtMs, clock.monotonicMs() - soundWindowMs);
            removeOldest(soundAtMs, maxTrackedParts);
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
