/**
 * Evidence against parts of requests: which engines ended while a request with the part had just started on them. A part
 * is a shared part of a prompt, or the whole request.
 *
 * Several parts may be in all requests under which engines ended. A part is blamed only together with every other part
 * that accounts for at least the same engines, so that a request with just one of them is still served and, if it runs,
 * refutes the evidence against that one. Once several engines have ended under it, or if the others account for most of
 * its engines only, it is blamed for a moment: it may be sound, but requests must not go on ending engines.
 *
 * A whole request is blamed by itself: other requests that were at the same engines don't explain why engines ended under
 * each copy of it. Evidence merges in any order: the oldest time of an item counts, and an item that is refuted stays so.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { startKey } from "../engines/engineNotices.js";
import type { EngineStart } from "../engines/engineNotices.js";
import { isFingerprint } from "./requestFingerprint.js";

/** One end of an engine under a request with a part, as entries send it to each other. */
export const crashEvidenceSchema = z.object({
    /** A shared part of a prompt, or the fingerprint of a whole request. */
    part: z.string(),
    engine: z.string(),
    bornMs: z.number(),
    /** Time since the engine ended. */
    agoMs: z.number().min(0),
    /** A request with the part has run since. */
    isRefuted: z.boolean(),
});

export type CrashEvidence = Readonly<z.output<typeof crashEvidenceSchema>>;

export interface EvidenceTable {
    /** Adds an item or merges it with the one known of the same part and engine start. */
    readonly add: (item: CrashEvidence) => void;
    /** Refutes all items against a part; returns whether there was one. */
    readonly refute: (part: string) => boolean;
    /**
     * The parts to blame in a request that consists of `parts`, and the time since the last engine that they ended;
     * `undefined` unless at least `minCrashes` engines ended under one of them.
     */
    readonly blame: (parts: readonly string[], minCrashes: number) => Blame | undefined;
    /** Whether there is evidence against a part that is not refuted. */
    readonly isSuspected: (part: string) => boolean;
    /** The items to share with other entries: new ones, and those against parts under which several engines ended. */
    readonly items: () => readonly CrashEvidence[];
}

export interface Blame {
    /** The parts under which the most engines ended. */
    readonly blamedParts: readonly string[];
    readonly crashes: number;
    readonly sinceLastMs: number;
    /**
     * The number of parts of the request that may be to blame, if parts that are not in it account for so many ends that few
     * or none are left; 0 if its blamed parts are certain.
     */
    readonly uncertainParts: number;
}

interface Item {
    readonly start: EngineStart;
    readonly atMs: number;
    readonly isRefuted: boolean;
}

/**
 * A part for which others account is not blamed at all up to this number of engines. The users allow five before each
 * further one counts, and a few may end at the same time.
 */
const maxExcusedCrashes = 3;
/** Evidence is forgotten after this time. */
export const evidenceLifetimeMs = 1_800_000;
/** A refuted item is kept, and a single one shared, for this long: until it has reached all entries. */
const sharingMs = 60_000;
/** Items in one message to another entry. */
const maxSharedItems = 40;
/** Parts with evidence; the oldest are forgotten first, those under which several engines ended last. */
const maxParts = 500;

export function createEvidenceTable(clock: Clock): EvidenceTable {
    const itemsByPart = new Map<string, Map<string, Item>>();

    function removeExpired(): void {
        const nowMs = clock.monotonicMs();
        for (const [part, items] of itemsByPart) {
            for (const [key, { atMs, isRefuted }] of items) {
                if (nowMs - atMs > (isRefuted ? sharingMs : evidenceLifetimeMs)) {
                    items.delete(key);
                }
            }
            if (items.size === 0) {
                itemsByPart.delete(part);
            }
        }
        if (itemsByPart.size > maxParts) {
            const parts = [...itemsByPart.keys()];
            const forgotten = parts.find(part => itemsAgainst(part).size < 2) ?? parts[0] ?? "";
            itemsByPart.delete(forgotten);
        }
    }

    /** The items against a part that are not refuted, by engine start. */
    function itemsAgainst(part: string): ReadonlyMap<string, Item> {
        return new Map([...itemsByPart.get(part) ?? []].filter(([, { isRefuted }]) => !isRefuted));
    }

    /** Whether a part that is not in `parts` accounts for all of these engines. */
    function isExplainedByOthers(keys: readonly string[], parts: readonly string[]): boolean {
        return [...itemsByPart.keys()].some(other => {
            const known = parts.includes(other) ? undefined : itemsAgainst(other);
            return known !== undefined && hasAll(known, keys);
        });
    }

    /**
     * The number of engines of a part for which no part that is not in `parts` accounts. Those that ended just one don't
     * count, nor do those whose engines, and more, a third part accounts for: they were there with it.
     */
    function countUnexplained(part: string, parts: readonly string[], minCrashes: number): number {
        const repeated = [...itemsByPart.keys()].filter(other => other !== part)
            .map(other => ({ other, items: itemsAgainst(other) }))
            .filter(({ items }) => items.size >= minCrashes);
        const explaining = repeated.filter(({ other, items }) =>
            !parts.includes(other)
            && !repeated.some(third => third.items.size > items.size && hasAll(third.items, [...items.keys()]))
        );
        return [...itemsAgainst(part).keys()].filter(key => !explaining.some(({ items }) => items.has(key))).length;
    }

    return {
        add: ({ part, engine, bornMs, agoMs, isRefuted }) => {
            const items = itemsByPart.get(part) ?? new Map<string, Item>();
            const start = { id: engine, bornMs };
            const known = items.get(startKey(start));
            const atMs = clock.monotonicMs() - agoMs;
            items.set(startKey(start), {
                start,
                atMs: Math.min(atMs, known?.atMs ?? atMs),
                isRefuted: isRefuted || (known?.isRefuted ?? false),
            });
            itemsByPart.set(part, items);
            removeExpired();
        },
        refute: part => {
            const items = itemsByPart.get(part);
            const isNew = itemsAgainst(part).size > 0;
            items?.forEach((item, key) => items.set(key, { ...item, isRefuted: true }));
            return isNew;
        },
        blame: (parts, minCrashes) => {
            if (itemsByPart.size === 0) {
                return undefined;
            }
            removeExpired();
            const blamed = parts
                .map(part => ({ part, items: itemsAgainst(part) }))
                .filter(({ items }) => items.size >= minCrashes)
                .map(({ part, items }) => ({
                    part,
                    items,
                    isExplained: !isFingerprint(part) && isExplainedByOthers([...items.keys()], parts),
                }))
                .filter(({ isExplained, items }) => !isExplained || items.size > maxExcusedCrashes);
            const certain = blamed.filter(({ part, isExplained }) =>
                isFingerprint(part) || (!isExplained && countUnexplained(part, parts, minCrashes) >= minCrashes)
            );
            const known = certain.length === 0 ? blamed : certain;
            const crashes = Math.max(...known.map(({ items }) => items.size));
            const worst = known.filter(({ items }) => items.size === crashes);
            if (worst.length === 0) {
                return undefined;
            }
            const lastMs = Math.max(...worst.flatMap(({ items }) => [...items.values()].map(({ atMs }) => atMs)));
            return {
                blamedParts: worst.map(({ part }) => part),
                crashes,
                sinceLastMs: clock.monotonicMs() - lastMs,
                uncertainParts: certain.length === 0 ? blamed.length : 0,
            };
        },
        isSuspected: part => itemsAgainst(part).size > 0,
        items: () => {
            removeExpired();
            const nowMs = clock.monotonicMs();
            return [...itemsByPart]
                .flatMap(([part, items]) => {
                    const isRepeated = itemsAgainst(part).size > 1;
                    return [...items.values()].map(item => ({ part, isRepeated, agoMs: nowMs - item.atMs, ...item }));
                })
                .filter(({ isRepeated, agoMs }) => isRepeated || agoMs < sharingMs)
                .sort((left, right) => Number(right.isRepeated) - Number(left.isRepeated) || left.agoMs - right.agoMs)
                .slice(0, maxSharedItems)
                .map(({ part, start, agoMs, isRefuted }) => ({
                    part,
                    engine: start.id,
                    bornMs: start.bornMs,
                    agoMs,
                    isRefuted,
                }));
        },
    };
}

function hasAll(items: ReadonlyMap<string, Item>, keys: readonly string[]): boolean {
    return keys.every(key => items.has(key));
}
