/**
 * Whole configuration files for `gooseberrywell apply`: objects by kind and name, and the difference to what is in
 * force.
 */

import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import { Result } from "true-myth";
import { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import { objectKinds, objectSchemas } from "../configuration/objects.js";
import type { ObjectKind } from "../configuration/objects.js";
import type { Change } from "../configuration/state.js";
import type { ListAnswer } from "../operators/messages.js";

/** Objects by kind, then by name. Kinds that the file leaves out stay as they are. */
export type ConfigurationFile = Partial<Readonly<Record<ObjectKind, Readonly<Record<string, unknown>>>>>;

const fileSchema = z.partialRecord(
    z.enum(objectKinds as [ObjectKind, ...ObjectKind[]]),
    z.record(z.string(), z.unknown()),
);

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
 * The changes that lead from what is in force to the file. Each names the version that was compared, so a change
 * made meanwhile is a conflict. Objects missing from a kind that the file has are deleted, except keys.
 */
export function differences(file: ConfigurationFile, current: ReadonlyMap<ObjectKind, ListAnswer>): readonly Change[] {
    return objectKinds.flatMap(kind => {
        const wanted = file[kind];
        return wanted === undefined ? [] : kindDifferences(kind, wanted, current.get(kind)?.objects ?? []);
    });
}

function kindDifferences(
    kind: ObjectKind,
    wanted: Readonly<Record<string, unknown>>,
    current: ListAnswer["objects"],
): readonly Change[] {
    const byName = new Map(current.map(object => [object.name, object]));
    const changed = Object.entries(wanted).flatMap(([name, value]): readonly Change[] => {
        const existing = byName.get(name);
        const complete: unknown = (objectSchemas[kind] as z.ZodType).parse(value);
        const same = existing !== undefined && JSON.stringify(existing.value) === JSON.stringify(complete);
        return same ? [] : [{ kind, name, value: complete, expectedVersion: existing?.version ?? 0 }];
    });
    const removed = current
        .filter(object => kind !== "key" && !(object.name in wanted))
        .map((object): Change => ({ kind, name: object.name, expectedVersion: object.version }));
    return [...changed, ...removed];
}
