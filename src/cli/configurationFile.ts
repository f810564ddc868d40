/**
 * Configuration files for `gooseberrywell apply`: parsing, validation, and the changes that turn the current
 * configuration into that of the file.
 */

import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { Result } from "true-myth";
import { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import { objectKinds, objectSchemas } from "../configuration/objects.js";
import type { ObjectKind } from "../configuration/objects.js";
import type { Change } from "../configuration/state.js";
import type { ListResponse } from "../operators/messages.js";

/** Objects by kind, then by name. Kinds that the file omits are not changed. */
export type ConfigurationFile = Partial<Readonly<Record<ObjectKind, Readonly<Record<string, unknown>>>>>;

const fileSchema = z.partialRecord(
    z.enum(objectKinds as [ObjectKind, ...ObjectKind[]]),
    z.record(z.string(), z.unknown()),
);

/** Parses JSON with comments and trailing commas; the error names the invalid line, or the invalid object and field. */
export function parseConfigurationFile(text: string): Result<ConfigurationFile, string> {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    const syntaxError = errors[0];
    if (syntaxError !== undefined) {
        const line = text.slice(0, syntaxError.offset).split("\n").length;
        return Result.err(`line ${line}: ${printParseErrorCode(syntaxError.error)}`);
    }
    const file = checkValue(fileSchema, value).mapErr(describeInvalidInput);
    return file.andThen(checkObjects);
}

function checkObjects(file: ConfigurationFile): Result<ConfigurationFile, string> {
    for (const kind of objectKinds) {
        for (const [name, value] of Object.entries(file[kind] ?? {})) {
            const checked = checkValue(objectSchemas[kind] as z.ZodType, value);
            if (checked.isErr) {
                return Result.err(`${kind}.${name}.${describeInvalidInput(checked.error)}`);
            }
        }
    }
    return Result.ok(file);
}

/**
 * Computes the changes from the current configuration to the file. Each change expects the version that was compared,
 * so that a concurrent change causes a conflict. For each kind in the file, objects that the file omits are deleted,
 * except keys.
 */
export function computeChanges(
    file: ConfigurationFile,
    current: ReadonlyMap<ObjectKind, ListResponse>,
): readonly Change[] {
    return objectKinds.flatMap(kind => {
        const desired = file[kind];
        return desired === undefined ? [] : computeKindChanges(kind, desired, current.get(kind)?.objects ?? []);
    });
}

function computeKindChanges(
    kind: ObjectKind,
    desired: Readonly<Record<string, unknown>>,
    current: ListResponse["objects"],
): readonly Change[] {
    const byName = new Map(current.map(object => [object.name, object]));
    const changed = Object.entries(desired).flatMap(([name, value]): readonly Change[] => {
        const existing = byName.get(name);
        const complete: unknown = (objectSchemas[kind] as z.ZodType).parse(value);
        const same = existing !== undefined && JSON.stringify(existing.value) === JSON.stringify(complete);
        return same ? [] : [{ kind, name, value: complete, expectedVersion: existing?.version ?? 0 }];
    });
    const removed = current
        .filter(object => kind !== "key" && !(object.name in desired))
        .map((object): Change => ({ kind, name: object.name, expectedVersion: object.version }));
    return [...changed, ...removed];
}
