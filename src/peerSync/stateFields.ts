/**
 * Fields of an entry's state that change in parts, so that a message may carry only the changed parts.
 *
 * Parts of a field of records are held by the receiver until they change or are removed. Parts of a field of
 * announcements are passed to the receiver's modules, which keep them by rules of their own; such parts are sent once and
 * not held. Any other field is sent and held as a whole.
 */

import type { CrashEvidence } from "../quarantine/crashEvidence.js";
import type { EntryState } from "./messages.js";

/** One part of a field. Parts are equal if their `comparable` is; times count from the sender's start of the clock. */
export interface Part {
    readonly key: string;
    readonly value: unknown;
    readonly comparable: string;
}

export interface PartedField<Value> {
    /** The parts of a value, at the sender's monotonic time `nowMs`. */
    readonly parts: (value: Value, nowMs: number) => readonly Part[];
    /** The value of some parts as it is sent. */
    readonly join: (parts: readonly Part[]) => unknown;
    /** Decodes a part of a held field as it was sent; what is invalid is returned as it is. */
    readonly decodePart: (sent: unknown) => unknown;
    /** Whether the receiver holds the parts, so that removed ones have to be named. */
    readonly isHeld: boolean;
}

type PartedFields = { readonly [Field in keyof EntryState]?: PartedField<EntryState[Field]>; };

const unchanged = (value: unknown): unknown => value;
const joinRecord = (parts: readonly Part[]): unknown => Object.fromEntries(parts.map(({ key, value }) => [key, value]));
const joinList = (parts: readonly Part[]): unknown => parts.map(({ value }) => value);

function heldRecord<Value>(): PartedField<Readonly<Record<string, Value>>> {
    return {
        parts: record =>
            Object.entries(record).map(([key, value]) => ({ key, value, comparable: JSON.stringify(value) })),
        join: joinRecord,
        decodePart: unchanged,
        isHeld: true,
    };
}

type Work = EntryState["work"];

/** Work is sent without the names of its figures, since it is most of what changes. */
const workField: PartedField<Work> = {
    ...heldRecord<Work[string]>(),
    join: parts =>
        Object.fromEntries(parts.map(({ key, value }) => {
            const { requests, kvTokens, prefillTokens } = value as Work[string];
            return [key, [requests, kvTokens, prefillTokens]];
        })),
    decodePart: sent => Array.isArray(sent) ? { requests: sent[0], kvTokens: sent[1], prefillTokens: sent[2] } : sent,
};

function announcements<Value>(describe: (value: Value, nowMs: number) => Omit<Part, "value">): PartedField<
    readonly Value[]
> {
    return {
        parts: (values, nowMs) => values.map(value => ({ value, ...describe(value, nowMs) })),
        join: joinList,
        decodePart: unchanged,
        isHeld: false,
    };
}

const startTimeOf = (agoMs: number, nowMs: number): number => Math.round(nowMs - agoMs);

const partedFields: PartedFields = {
    usage: heldRecord(),
    work: workField,
    reconfiguring: {
        parts: (remainingMs, nowMs) =>
            Object.entries(remainingMs).map(([key, value]) => ({
                key,
                value,
                comparable: String(Math.round(nowMs + value)),
            })),
        join: joinRecord,
        decodePart: unchanged,
        isHeld: false,
    },
    leaving: announcements(({ id, bornMs }) => ({ key: `${bornMs} ${id}`, comparable: "" })),
    crashEvidence: announcements(({ part, engine, bornMs, agoMs, isRefuted }: CrashEvidence, nowMs) => ({
        key: JSON.stringify([part, engine, bornMs]),
        comparable: `${startTimeOf(agoMs, nowMs)} ${isRefuted}`,
    })),
    engineRates: announcements(({ engine, bornMs, ratePerSecond, agoMs }, nowMs) => ({
        key: `${bornMs} ${engine}`,
        comparable: `${startTimeOf(agoMs, nowMs)} ${ratePerSecond}`,
    })),
    ejections: announcements(({ engine, bornMs, failure, failures, agoMs }, nowMs) => ({
        key: `${bornMs} ${engine}`,
        comparable: `${startTimeOf(agoMs, nowMs)} ${failure} ${failures}`,
    })),
    coldEngines: announcements(({ engine, bornMs, remainingMs, agoMs }, nowMs) => ({
        key: `${bornMs} ${engine}`,
        comparable: `${startTimeOf(agoMs, nowMs)} ${remainingMs}`,
    })),
    entries: announcements(url => ({ key: url, comparable: "" })),
};

/** How a field changes in parts; `undefined` for one that is sent as a whole. */
export function partedField(field: string): PartedField<unknown> | undefined {
    return Object.hasOwn(partedFields, field)
        ? partedFields[field as keyof EntryState] as PartedField<unknown> | undefined
        : undefined;
}
