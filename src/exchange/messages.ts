/**
 * What entries tell each other. Everything is a whole state, not a change, so messages may be lost or doubled.
 */

import { z } from "zod";
import type { JsonValue } from "../common/json.js";

export const exchangeMethods = {
    state: "exchange.state",
    leave: "exchange.leave",
    copy: "exchange.copy",
} as const;

const workSchema = z.object({ requests: z.number(), kvTokens: z.number(), prefillTokens: z.number() });

/** The state of one entry, sent as the question and returned as the answer. */
export const entryStateSchema = z.object({
    /** Base URL of the entry. */
    url: z.string(),
    /** New with each start of its process. */
    start: z.string(),
    /** Units admitted since that start, by client account. */
    usage: z.record(z.string(), z.number()),
    /** What it has in flight, by engine. */
    work: z.record(z.string(), workSchema),
    /** Revisions of its copies of the store's tables. */
    revisions: z.record(z.string(), z.number()),
    /** Engines that were ordered to another stage, and for how long they still change. */
    reconfiguring: z.record(z.string(), z.number()),
    /** Base URLs of the entries that it knows. */
    entries: z.array(z.string()),
});

export type EntryState = z.output<typeof entryStateSchema>;

export const leaveSchema = z.object({ url: z.string(), start: z.string() });

export const copyRequestSchema = z.object({ table: z.string() });

export const tableCopySchema = z.object({
    revision: z.number(),
    rows: z.array(z.object({ key: z.string(), value: z.custom<JsonValue>(value => value !== undefined) })),
});
