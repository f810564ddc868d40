/**
 * The state of a peer that an entry holds, and how messages of the peer change it.
 *
 * Changes are merged if they start at the held state or before it: they then carry everything that has changed since. A
 * message that is older than the held state arrived late and changes nothing.
 */

import { Result } from "true-myth";
import { checkValue } from "../common/json.js";
import type { InvalidInput } from "../common/json.js";
import { entryStateSchema } from "./messages.js";
import type { EntryState, StateChanges, StateMessage, WholeState } from "./messages.js";
import { partedField } from "./stateFields.js";

export interface HeldState {
    /** Without announcements, which are not held. */
    readonly state: EntryState;
    /** The peer's number of the state; `undefined` for a peer of an earlier version, which sends none. */
    readonly number: number | undefined;
}

export type Reception =
    | { readonly kind: "received"; readonly state: EntryState; readonly held: HeldState; }
    /** The changes start at a state that is not held. */
    | { readonly kind: "unknownBase"; }
    | { readonly kind: "late"; };

const noAnnouncements = {
    reconfiguring: {},
    leaving: [],
    crashEvidence: [],
    engineRates: [],
    ejections: [],
    coldEngines: [],
    entries: [],
};

/** Applies a message to the state held of its sender. Announcements in the result are those that the message carries. */
export function receiveMessage(
    held: HeldState | undefined,
    message: StateMessage,
): Result<Reception, InvalidInput> {
    const heldNumber = held?.state.start === message.start ? held.number : undefined;
    if (heldNumber !== undefined && message.sync !== undefined && message.sync.number < heldNumber) {
        return Result.ok({ kind: "late" });
    }
    if (message.form !== "changes") {
        return Result.ok(receive(toState(message), message.sync?.number));
    }
    if (held === undefined || heldNumber === undefined || heldNumber < message.sync.since) {
        return Result.ok({ kind: "unknownBase" });
    }
    return merge(held.state, message).map(state => receive(state, message.sync.number));
}

function toState({ form, sync, ...state }: WholeState): EntryState {
    return state;
}

function receive(state: EntryState, number: number | undefined): Reception {
    return { kind: "received", state, held: { state: { ...state, ...noAnnouncements }, number } };
}

function merge(base: EntryState, message: StateChanges): Result<EntryState, InvalidInput> {
    const { url, start, uptimeMs, changed, removed } = message;
    const fields = new Set([...Object.keys(changed), ...Object.keys(removed)]);
    const merged = [...fields].map(field => [field, mergeField(base, message, field)] as const);
    return checkValue(entryStateSchema, { ...base, ...Object.fromEntries(merged), url, start, uptimeMs });
}

function mergeField(base: EntryState, { changed, removed }: StateChanges, field: string): unknown {
    const parted = partedField(field);
    if (parted?.isHeld !== true) {
        // A removed field is absent.
        return changed[field];
    }
    const removedKeys = new Set(removed[field]);
    const kept = Object.entries(base[field as keyof EntryState] as object).filter(([key]) => !removedKeys.has(key));
    const parts = Object.entries(Object(changed[field]) as object).map(([key, sent]) => [key, parted.decodePart(sent)]);
    return Object.fromEntries([...kept, ...parts]);
}
