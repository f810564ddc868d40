/**
 * History of this entry's own state: numbers its changes and tells what has changed since a number.
 *
 * It keeps the number of each part's last change and the names of removed parts, not the earlier states, so its size does
 * not depend on the number of peers.
 */

import { partedField } from "./stateFields.js";
import type { Part } from "./stateFields.js";

export type StateContent = Readonly<Record<string, unknown>>;

export interface Changes {
    /** Fields that are sent as a whole, or the changed parts of the others. */
    readonly changed: StateContent;
    /** Keys of removed parts, by field. */
    readonly removed: Record<string, string[]>;
}

export interface StateHistory {
    /** Takes over the current state; returns its number, which grows with each change. */
    readonly update: (content: StateContent, nowMs: number) => number;
    /** What has changed since the state with this number; `undefined` if that is not known. */
    readonly changesSince: (number: number) => Changes | undefined;
}

interface StampedPart extends Part {
    /** Number of the state in which the part last changed. */
    readonly number: number;
}

interface RemovedPart {
    readonly field: string;
    readonly key: string;
    readonly number: number;
}

type StampedFields = ReadonlyMap<string, ReadonlyMap<string, StampedPart>>;

/** Removed parts whose names are kept; with the oldest ones, the knowledge of changes since then is given up. */
const maxRemovedParts = 4_096;
/** The only part of a field that is sent as a whole. */
const wholeKey = "";

function partsOf(field: string, value: unknown, nowMs: number): readonly Part[] {
    return partedField(field)?.parts(value, nowMs) ?? [{ key: wholeKey, value, comparable: JSON.stringify(value) }];
}

function join(field: string, parts: readonly Part[]): unknown {
    const parted = partedField(field);
    return parted === undefined ? parts[0]?.value : parted.join(parts);
}

export function createStateHistory(): StateHistory {
    let latest: StampedFields = new Map();
    let latestNumber = 0;
    /** The first number since which all removals are known. */
    let firstKnownNumber = 1;
    /** In the order of removal. */
    const removedParts = new Map<string, RemovedPart>();

    function stamp(field: string, value: unknown, nowMs: number, number: number): ReadonlyMap<string, StampedPart> {
        const before = latest.get(field);
        return new Map(
            partsOf(field, value, nowMs).map(part => {
                const same = before?.get(part.key);
                return [part.key, { ...part, number: same?.comparable === part.comparable ? same.number : number }];
            }),
        );
    }

    /** Notes the parts that the new state lacks; returns whether there are any. */
    function noteRemoved(fields: StampedFields, number: number): boolean {
        let isAnyRemoved = false;
        for (const [field, parts] of latest) {
            const isHeld = partedField(field)?.isHeld ?? true;
            for (const key of parts.keys()) {
                if (isHeld && fields.get(field)?.has(key) !== true) {
                    removedParts.set(`${field} ${key}`, { field, key, number });
                    isAnyRemoved = true;
                }
            }
        }
        for (const [id, { number: removedIn }] of removedParts) {
            if (removedParts.size <= maxRemovedParts) {
                break;
            }
            removedParts.delete(id);
            firstKnownNumber = removedIn;
        }
        return isAnyRemoved;
    }

    return {
        update: (content, nowMs) => {
            const number = latestNumber + 1;
            const fields = new Map(
                Object.entries(content)
                    .filter(([, value]) => value !== undefined)
                    .map(([field, value]) => [field, stamp(field, value, nowMs, number)] as const),
            );
            let isChanged = noteRemoved(fields, number);
            for (const [field, parts] of fields) {
                for (const [key, part] of parts) {
                    if (part.number === number) {
                        removedParts.delete(`${field} ${key}`);
                        isChanged = true;
                    }
                }
            }
            latest = fields;
            latestNumber = isChanged ? number : latestNumber;
            return latestNumber;
        },
        changesSince: since => {
            if (since < firstKnownNumber || since > latestNumber) {
                return undefined;
            }
            const changed: Record<string, unknown> = {};
            for (const [field, parts] of latest) {
                const changedParts = [...parts.values()].filter(({ number }) => number > since);
                if (changedParts.length > 0) {
                    changed[field] = join(field, changedParts);
                }
            }
            const removed: Record<string, string[]> = {};
            for (const { field, key, number } of removedParts.values()) {
                if (number > since) {
                    (removed[field] ??= []).push(key);
                }
            }
            return { changed, removed };
        },
    };
}
