/**
 * The daemon's settings: JSON with comments, validated before anything starts.
 */

import { getNodeValue, parse, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation } from "jsonc-parser";
import { Result } from "true-myth";
import { z } from "zod";

const httpUrl = z.string().regex(
    /^http:\/\/[0-9.]+:[0-9]+$/,
    "expected a URL with an IP address, like http://127.0.0.1:4100",
);
const ipAddress = z.string().regex(/^[0-9a-fA-F:.]+$/, "expected an IP address");
const port = z.number().int().min(0).max(65_535);
const listenSchema = z.strictObject({ address: ipAddress, port });

const commonFields = {
    host: z.string().min(1),
    dataCentre: z.string().min(1),
    region: z.string().min(1),
    /** Listener for other processes and operators. */
    listen: listenSchema,
    statsd: z.strictObject({ host: ipAddress, port }).optional(),
};

const platformSchema = z.strictObject({
    url: httpUrl,
    timeoutMs: z.number().int().positive().default(2_000),
});

const entrySchema = z.strictObject({
    role: z.literal("entry"),
    ...commonFields,
    /** Listener for callers. */
    callersListen: listenSchema,
    platform: platformSchema,
    /** Base URLs of other entries, used even while the platform's host list is unavailable. */
    peerUrls: z.array(httpUrl).default([]),
    configurationPollMs: z.number().int().positive().default(1_000),
    hostListPollMs: z.number().int().positive().default(2_000),
    limitsLeaseMs: z.number().int().positive().default(900_000),
    limitsRebalanceMs: z.number().int().positive().default(5_000),
    /** An entry that reaches neither the store nor another entry for this long refuses requests. */
    cutOffMs: z.number().int().positive().default(10_000),
    maxBodyBytes: z.number().int().positive().default(4 * 1024 * 1024),
    drainDelayMs: z.number().int().min(0).default(1_000),
});

const agentSchema = z.strictObject({
    role: z.literal("agent"),
    ...commonFields,
    endpoint: z.string().min(1),
    endpointUrl: httpUrl,
    entryUrls: z.array(httpUrl).min(1),
});

export const settingsSchema = z.discriminatedUnion("role", [entrySchema, agentSchema]);

export type Settings = Readonly<z.output<typeof settingsSchema>>;
export type EntryFileSettings = Readonly<z.output<typeof entrySchema>>;
export type AgentFileSettings = Readonly<z.output<typeof agentSchema>>;

/** Where and why a settings file is invalid. */
export interface SettingsError {
    readonly file: string;
    /** Counted from 1. */
    readonly line: number;
    /** Dotted path of the field; empty for a syntax error or an error of the whole file. */
    readonly path: string;
    readonly cause: string;
}

/** Parses the text of a settings file; `file` is used in errors only. */
export function parseSettings(file: string, text: string): Result<Settings, SettingsError> {
    const errors: ParseError[] = [];
    parse(text, errors, { allowTrailingComma: true });
    const syntaxError = errors[0];
    if (syntaxError !== undefined) {
        const cause = printParseErrorCode(syntaxError.error);
        return Result.err({ file, line: lineAt(text, syntaxError.offset), path: "", cause });
    }
    const tree = parseTree(text, [], { allowTrailingComma: true });
    const parsed = settingsSchema.safeParse(tree === undefined ? undefined : getNodeValue(tree));
    if (parsed.success) {
        return Result.ok(parsed.data);
    }
    return Result.err(toSettingsError(file, text, tree, parsed.error));
}

/** Formats an error as `FILE:LINE: PATH: CAUSE`. */
export function describeSettingsError({ file, line, path, cause }: SettingsError): string {
    const where = path === "" ? "" : `${path}: `;
    return `${file}:${line}: ${where}${cause}`;
}

function toSettingsError(file: string, text: string, tree: Node | undefined, error: z.ZodError): SettingsError {
    const issue = error.issues[0];
    const path = (issue?.path ?? []).map(part => typeof part === "symbol" ? String(part) : part);
    const unknownField = issue?.code === "unrecognized_keys" ? issue.keys[0] : undefined;
    const fullPath = unknownField === undefined ? path : [...path, unknownField];
    const cause = unknownField === undefined ? issue?.message ?? "invalid value" : "unknown field";
    return { file, line: lineAt(text, offsetOf(tree, fullPath)), path: fullPath.join("."), cause };
}

/** The offset of the value at a path, or of the innermost enclosing value that exists. */
function offsetOf(tree: Node | undefined, path: readonly (string | number)[]): number {
    for (let length = path.length; tree !== undefined && length >= 0; length--) {
        const node = findNodeAtLocation(tree, path.slice(0, length));
        if (node !== undefined) {
            return node.offset;
        }
    }
    return 0;
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}
