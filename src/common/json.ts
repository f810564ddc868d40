/**
 * JSON values, and parsing and validation of untrusted text.
 */

import { Result } from "true-myth";
import type { z } from "zod";

export type JsonValue =
    | string
    | number
    | boolean
    | null
    | readonly JsonValue[]
    | { readonly [key: string]: JsonValue; };

const maxNesting = 100;

/** Whether a value is nested so deeply that a function which recurses over it may exhaust the stack. */
export function isDeeplyNested(value: unknown): boolean {
    let level: readonly unknown[] = [value];
    for (let depth = 0; depth <= maxNesting; depth++) {
        level = level.flatMap(each => typeof each === "object" && each !== null ? Object.values(each) : []);
        if (level.length === 0) {
            return false;
        }
    }
    return true;
}

/** Why a text or value is invalid: the dotted path of the field, empty for the whole value, and the cause. */
export interface InvalidInput {
    readonly path: string;
    readonly cause: string;
}

/** Validates `value` against `schema`; the error names the first invalid field. */
export function checkValue<Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
): Result<z.output<Schema>, InvalidInput> {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Result.ok(parsed.data);
    }
    return Result.err(firstIssue(parsed.error));
}

/** Parses `text` as JSON and validates it against `schema`. */
export function parseJson<Schema extends z.ZodType>(
    schema: Schema,
    text: string,
): Result<z.output<Schema>, InvalidInput> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        return Result.err({ path: "", cause: `not valid JSON: ${(error as Error).message}` });
    }
    return checkValue(schema, value);
}

/** Formats an `InvalidInput` as `field: cause`. */
export function describeInvalidInput(invalid: InvalidInput): string {
    return invalid.path === "" ? invalid.cause : `${invalid.path}: ${invalid.cause}`;
}

function firstIssue(error: z.ZodError): InvalidInput {
    const issue = error.issues[0];
    if (issue === undefined) {
        return { path: "", cause: "invalid value" };
    }
    return { path: issue.path.map(String).join("."), cause: issue.message };
}
