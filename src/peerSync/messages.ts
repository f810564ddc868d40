/**
 * Messages of peer synchronization. Each carries a full state rather than a change, so messages may be lost or
 * duplicated.
 */

import { z } from "zod";
import type { JsonValue } from "../common/json.js";

export const peerSyncMethods = {
    state: "exchange.state",
    leave: "exchange.leave",
    copy: "exchange.copy",
} as const;

const workSchema = z.object({ requests: z.number(), kvTokens: z.number(), prefillTokens: z.number() });

/** The state of one entry, used both as the request and as the response. */
export const entryStateSchema = z.object({
    /** Base URL of the entry. */
    url: z.string(),
    /** Identifier of the start of its process; a restarted entry sends a new one. */
    start: z.string(),
    /** Cost admitted since that start, less refunds, by client account. */
    usage: z.record(z.string(), z.number()),
    /** Requests and tokens that it has in flight, by engine. */
    work: z.record(z.string(), workSchema),
    /** Revisions of its copies of the store's tables, by table name. */
    revisions: z.record(z.string(), z.number()),
    /** Remaining time in ms of each engine's change to another stage, by engine. */
    reconfiguring: z.record(z.string(), z.number()),
    /** Base URLs of the peers that it has seen. */
    entries: z.array(z.string()),
});

export type EntryState = z.output<typeof entryStateSchema>;

export const leaveSchema = z.object({ url: z.string(), start: z.string() });

export const copyRequestSchema = z.object({ table: z.string() });

export const tableCopySchema = z.object({
    revision: z.number(),
    rows: z.array(z.object({ key: z.string(), value: z.custom<JsonValue>(value => value !== undefined) })),
});
