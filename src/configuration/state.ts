/**
 * The configuration state, computed by applying the log of revisions, and the validation of changes. Revisions are
 * applied strictly in order, so a state never returns to an older revision.
 */

import { Result } from "true-myth";
import { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import { objectKinds, objectSchemas, referencesOf, resolveAccount } from "./objects.js";
import type { AccountLimits, ConfigObject, Key, ObjectKind, Route } from "./objects.js";

export const changeSchema = z.strictObject({
    kind: z.enum(objectKinds as [ObjectKind, ...ObjectKind[]]),
    name: z.string().min(1).max(256),
    /** The new value; if absent, the object is deleted. */
    value: z.unknown().optional(),
    /** The version that the change is based on; 0 means that the object must not exist, absent means any version. */
    expectedVersion: z.number().int().min(0).optional(),
});

/** A request to set or delete one object. */
export type Change = Readonly<z.output<typeof changeSchema>>;

export const revisionSchema = z.object({
    revision: z.number().int().positive(),
    changeId: z.string(),
    operator: z.string(),
    changes: z.array(changeSchema),
});

/** A committed transaction in the log. */
export type Revision = Readonly<z.output<typeof revisionSchema>>;

/** An object; `version` is the revision that last changed it. */
export interface VersionedObject {
    readonly kind: ObjectKind;
    readonly name: string;
    readonly version: number;
    readonly value: ConfigObject;
}

export interface ConfigurationState {
    readonly revision: number;
    readonly objects: ReadonlyMap<string, VersionedObject>;
}

/** Why a set of changes is rejected. */
export type ChangeError =
    | { readonly kind: "invalid"; readonly object: string; readonly cause: string; }
    | {
        readonly kind: "conflict";
        readonly object: string;
        readonly currentVersion: number;
        readonly currentValue: ConfigObject | undefined;
    };

export const emptyState: ConfigurationState = { revision: 0, objects: new Map() };

export function objectId(kind: ObjectKind, name: string): string {
    return `${kind}/${name}`;
}

export function lookUp(state: ConfigurationState, kind: ObjectKind, name: string): VersionedObject | undefined {
    return state.objects.get(objectId(kind, name));
}

/** The value of an object. The caller chooses the type, which must match `kind`. */
export function valueOf<Value extends ConfigObject>(
    state: ConfigurationState,
    kind: ObjectKind,
    name: string,
): Value | undefined {
    return lookUp(state, kind, name)?.value as Value | undefined;
}

/** All objects of a kind, sorted by name. */
export function listObjects(state: ConfigurationState, kind: ObjectKind): readonly VersionedObject[] {
    return [...state.objects.values()]
        .filter(object => object.kind === kind)
        .sort((left, right) => left.name < right.name ? -1 : 1);
}

/** An account's effective limits, or `undefined` if the account or its template does not exist. */
export function limitsOf(state: ConfigurationState, clientAccount: string): AccountLimits | undefined {
    const account = lookUp(state, "account", clientAccount)?.value;
    if (account === undefined || !("template" in account)) {
        return undefined;
    }
    const template = lookUp(state, "template", account.template)?.value;
    if (template === undefined || !("ratePerSecond" in template)) {
        return undefined;
    }
    return resolveAccount(account, template as never);
}

/** The route whose method and path equal those of a request to a plain service. */
export function findRoute(state: ConfigurationState, method: string, path: string): Route | undefined {
    for (const object of state.objects.values()) {
        if (object.kind !== "route") {
            continue;
        }
        const route = object.value as Route;
        if (route.method === method && route.path === path) {
            return route;
        }
    }
    return undefined;
}

/**
 * Validates changes against a state and returns them with defaults filled in. A withdrawn key can neither become active
 * again nor be deleted, so the set of withdrawn keys only grows.
 */
export function checkChanges(
    state: ConfigurationState,
    changes: readonly Change[],
): Result<readonly Change[], ChangeError> {
    const accepted: Change[] = [];
    for (const change of changes) {
        const checked = checkChange(state, change);
        if (checked.isErr) {
            return Result.err(checked.error);
        }
        accepted.push(checked.value);
    }
    const after = applyRevision(state, { revision: state.revision + 1, changeId: "", operator: "", changes: accepted });
    return checkReferences(after).map(() => accepted);
}

function checkChange(state: ConfigurationState, change: Change): Result<Change, ChangeError> {
    const object = objectId(change.kind, change.name);
    const current = state.objects.get(object);
    const currentVersion = current?.version ?? 0;
    if (change.expectedVersion !== undefined && change.expectedVersion !== currentVersion) {
        return Result.err({ kind: "conflict", object, currentVersion, currentValue: current?.value });
    }
    if (change.value === undefined || change.value === null) {
        return checkDeletion(object, current).map(() => ({ kind: change.kind, name: change.name }));
    }
    const checked = checkValue<z.ZodType<ConfigObject>>(objectSchemas[change.kind], change.value);
    if (checked.isErr) {
        return Result.err({ kind: "invalid", object, cause: describeInvalidInput(checked.error) });
    }
    if (change.kind === "key" && isWithdrawn(current) && (checked.value as Key).state !== "withdrawn") {
        return Result.err({ kind: "invalid", object, cause: "state: a withdrawn key can't be made active again" });
    }
    return Result.ok({ kind: change.kind, name: change.name, value: checked.value });
}

function checkDeletion(object: string, current: VersionedObject | undefined): Result<undefined, ChangeError> {
    if (current === undefined) {
        return Result.err({ kind: "invalid", object, cause: "does not exist" });
    }
    if (current.kind === "key") {
        return Result.err({ kind: "invalid", object, cause: "a key is withdrawn, not deleted" });
    }
    return Result.ok(undefined);
}

function isWithdrawn(object: VersionedObject | undefined): boolean {
    return object?.kind === "key" && (object.value as Key).state === "withdrawn";
}

function checkReferences(state: ConfigurationState): Result<undefined, ChangeError> {
    for (const object of state.objects.values()) {
        for (const [kind, name] of referencesOf(object.kind, object.value)) {
            // A withdrawn key is kept after its account has been deleted.
            if (lookUp(state, kind, name) === undefined && !isWithdrawn(object)) {
                const cause = `refers to ${kind} "${name}", which does not exist`;
                return Result.err({ kind: "invalid", object: objectId(object.kind, object.name), cause });
            }
        }
    }
    return Result.ok(undefined);
}

/** The state after `revision`; a revision that is not the next one leaves the state as it is. */
export function applyRevision(state: ConfigurationState, revision: Revision): ConfigurationState {
    if (revision.revision !== state.revision + 1) {
        return state;
    }
    const objects = new Map(state.objects);
    for (const change of revision.changes) {
        const id = objectId(change.kind, change.name);
        if (change.value === undefined || change.value === null) {
            objects.delete(id);
            continue;
        }
        objects.set(id, {
            kind: change.kind,
            name: change.name,
            version: revision.revision,
            value: change.value as ConfigObject,
        });
    }
    return { revision: revision.revision, objects };
}
