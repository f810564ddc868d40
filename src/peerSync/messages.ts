/**
 * Messages of peer synchronization. Each carries a whole state or what has changed since a state that the receiver holds,
 * so messages may be lost, duplicated or reordered.
 */

import { z } from "zod";
import { isDeeplyNested } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import { coldNoticeSchema } from "../engines/coldEngines.js";
import { rateNoticeSchema } from "../engines/engineRates.js";
import { ejectionNoticeSchema } from "../engines/sharedEjections.js";
import { crashEvidenceSchema } from "../quarantine/crashEvidence.js";
import { unknownPosition } from "./storePosition.js";
import type { StorePosition } from "./storePosition.js";
import type { TableCopy } from "./tableReplica.js";

export const peerSyncMethods = {
    state: "exchange.state",
    leave: "exchange.leave",
    copy: "exchange.copy",
    desiredState: "exchange.desiredState",
    usage: "exchange.usage",
} as const;

const workSchema = z.object({ requests: z.number(), kvTokens: z.number(), prefillTokens: z.number() });

/** The state of one entry. */
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
    /** Eras of these revisions, by table name; entries of earlier versions send none. */
    eras: z.record(z.string(), z.number()).default({}),
    /** Highest fencing token of an order to an engine that it has seen. */
    fencingToken: z.number().default(0),
    /** Version of the desired state that it has in force; 0 for none. */
    desiredStateVersion: z.number().default(0),
    /** Engines that announced in a response that they are leaving, with the Unix milliseconds of their starts. */
    leaving: z.array(z.object({ id: z.string(), bornMs: z.number() })).default([]),
    /** Engines that ended while a request with this part in its prompt had just started, see `CrashEvidence`. */
    crashEvidence: z.array(crashEvidenceSchema).default([]),
    /** Time since the start of its process; entries of earlier versions send none. */
    uptimeMs: z.number().min(0).optional(),
    /** Rates that engines name for themselves, or have ceased to name. */
    engineRates: z.array(rateNoticeSchema).default([]),
    /** Newest verdicts on instances of plain services that were ejected; entries of earlier versions send none. */
    ejections: z.array(ejectionNoticeSchema).default([]),
    /** Engines that said in a response that they are cold. */
    coldEngines: z.array(coldNoticeSchema).default([]),
    /** Remaining time in ms of each engine's change to another stage, by engine. */
    reconfiguring: z.record(z.string(), z.number()),
    /** Base URLs of the peers that it has seen. */
    entries: z.array(z.string()),
    /** Its data centre; entries of earlier versions send none. */
    dataCentre: z.string().optional(),
});

export type EntryState = z.output<typeof entryStateSchema>;

/** The latest number of the receiver's state that the sender holds; absent if it holds none. */
const holdsSchema = z.number().optional();

const wholeStateSchema = entryStateSchema.extend({
    form: z.literal("whole").optional(),
    /** Entries of earlier versions, which send and understand only whole states, send none. */
    sync: z.object({ number: z.number(), holds: holdsSchema }).optional(),
});

/** What has changed in an entry's state since the one with the number `since`. */
const stateChangesSchema = z.object({
    form: z.literal("changes"),
    url: z.string(),
    start: z.string(),
    uptimeMs: z.number().min(0).optional(),
    sync: z.object({ number: z.number(), since: z.number(), holds: holdsSchema }),
    /** Fields of the `EntryState`: whole ones, or their changed parts; checked once they are merged. */
    changed: z.record(z.string(), z.unknown()),
    /** Keys that are gone, by field. */
    removed: z.record(z.string(), z.array(z.string())),
});

/** A state, used both as the request and as the response. */
export const stateMessageSchema = z.discriminatedUnion("form", [stateChangesSchema, wholeStateSchema]);

export type WholeState = z.output<typeof wholeStateSchema>;
export type StateChanges = z.output<typeof stateChangesSchema>;
export type StateMessage = z.output<typeof stateMessageSchema>;

/** Position of an entry's copy of a table. */
export function positionOf({ revisions, eras }: Pick<EntryState, "revisions" | "eras">, table: string): StorePosition {
    const revision = revisions[table];
    return revision === undefined ? unknownPosition : { era: eras[table] ?? unknownPosition.era, revision };
}

export const leaveSchema = z.object({ url: z.string(), start: z.string() });

/** Early report of one account's usage, see `EntryState.usage`. */
export const usageReportSchema = z.object({ start: z.string(), clientAccount: z.string(), admittedCost: z.number() });

export type UsageReport = z.output<typeof usageReportSchema>;

export const copyRequestSchema = z.object({ table: z.string() });

export const tableCopySchema = z.object({
    era: z.number().default(unknownPosition.era),
    revision: z.number(),
    rows: z.array(z.object({ key: z.string(), value: z.custom<JsonValue>(value => value !== undefined) })),
}).transform(({ era, revision, rows }): TableCopy => ({
    position: { era, revision },
    // A value that can't be read is kept as `null`, so that it does not hide the other rows.
    rows: rows.map(({ key, value }) => ({ key, value: isDeeplyNested(value) ? null : value })),
}));

/** A copy of a table as it is sent to other entries. */
export function encodeTableCopy({ position, rows }: TableCopy): z.input<typeof tableCopySchema> {
    return { ...position, rows: [...rows] };
}

/** The row with the desired state that an entry has in force; `value` is absent if it has none. */
export const desiredStateResponseSchema = z.object({ value: z.custom<JsonValue>().optional() });
