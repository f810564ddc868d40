/**
 * RPC messages between the command-line tool and an entry.
 */

import { z } from "zod";
import { objectKinds } from "../configuration/objects.js";
import type { ObjectKind } from "../configuration/objects.js";
import { changeSchema } from "../configuration/state.js";

export const operatorMethods = {
    apply: "operator.apply",
    list: "operator.list",
    withdrawKey: "operator.withdrawKey",
    status: "operator.status",
} as const;

const kindSchema = z.enum(objectKinds as [ObjectKind, ...ObjectKind[]]);

export const applySchema = z.strictObject({
    changeId: z.string().min(1).max(128),
    operator: z.string().min(1).max(128),
    changes: z.array(changeSchema).min(1).max(1_000),
});

export const applyResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted"), revision: z.number().int() }),
    z.object({ kind: z.literal("invalid"), object: z.string(), cause: z.string() }),
    z.object({
        kind: z.literal("conflict"),
        object: z.string(),
        currentVersion: z.number().int(),
        currentValue: z.unknown().optional(),
    }),
    /** Nothing was changed. */
    z.object({ kind: z.literal("storeUnavailable"), cause: z.string() }),
    /** The change may have been applied; repeating it with the same change id determines the outcome. */
    z.object({ kind: z.literal("storeUnknown"), cause: z.string() }),
]);

export const listSchema = z.strictObject({ kind: kindSchema });

export const listResponseSchema = z.object({
    revision: z.number().int(),
    objects: z.array(z.object({ name: z.string(), version: z.number().int(), value: z.unknown() })),
});

export const withdrawKeySchema = z.strictObject({ name: z.string().min(1) });

export const withdrawKeyResponseSchema = z.discriminatedUnion("kind", [
    /** In force on all reachable entries; `durable` if the withdrawal is in the store. */
    z.object({ kind: z.literal("inForce"), durable: z.boolean() }),
    z.object({ kind: z.literal("unknownKey") }),
]);

export const statusResponseSchema = z.object({
    host: z.string(),
    revision: z.number().int(),
    /** Time since the configuration was last confirmed to be current. */
    ageMs: z.number(),
    /** Why the entry does not serve callers; absent if it does. */
    unavailable: z.string().optional(),
    /** Names of withdrawn keys whose withdrawal is not yet in the store. */
    pendingWithdrawals: z.array(z.string()),
    /** Internal addresses of all known entries, including this one. */
    entryUrls: z.array(z.string()),
    /** Hosts that get their configuration from this entry. */
    hosts: z.array(z.object({ host: z.string(), revision: z.number().int(), seenMsAgo: z.number() })),
    endpoints: z.array(z.object({
        endpoint: z.string(),
        pool: z.string(),
        role: z.string(),
        state: z.string(),
        agent: z.string().optional(),
    })),
    counters: z.record(z.string(), z.number()),
});

export type ApplyRequest = Readonly<z.output<typeof applySchema>>;
export type ApplyResponse = Readonly<z.output<typeof applyResponseSchema>>;
export type ListResponse = Readonly<z.output<typeof listResponseSchema>>;
export type WithdrawKeyResponse = Readonly<z.output<typeof withdrawKeyResponseSchema>>;
export type StatusResponse = Readonly<z.output<typeof statusResponseSchema>>;
