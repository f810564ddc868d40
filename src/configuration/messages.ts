/**
 * RPC messages that distribute the configuration between processes.
 */

import { z } from "zod";
import { snapshotSchema } from "./snapshot.js";
import { revisionSchema } from "./state.js";

export const configurationMethods = {
    wait: "configuration.wait",
    waitEndpoint: "configuration.waitEndpoint",
    announce: "configuration.poke",
} as const;

/** Long poll for revisions after `afterRevision`; the response comes as soon as there are any, or after `timeoutMs`. */
export const waitSchema = z.object({
    afterRevision: z.number().int().min(0),
    timeoutMs: z.number().min(0),
    /** Host of the asking process, for the status report of the revision at each host. */
    host: z.string(),
});

export const waitResponseSchema = z.object({
    revision: z.number().int(),
    /** Time since the responding process's state was last confirmed by the store, directly or through other entries. */
    ageMs: z.number().min(0),
    revisions: z.array(revisionSchema).optional(),
    /** Sent instead of `revisions` when the responding process no longer keeps all revisions after `afterRevision`. */
    snapshot: snapshotSchema.optional(),
});

/**
 * Long poll of an agent for its endpoint; the response comes as soon as the endpoint's version is not `afterVersion`, or
 * after `timeoutMs`.
 */
export const waitEndpointSchema = z.object({
    endpoint: z.string(),
    afterVersion: z.number().int().min(-1),
    timeoutMs: z.number().min(0),
    host: z.string(),
});

export const waitEndpointResponseSchema = z.object({
    revision: z.number().int(),
    /** Version of the endpoint's object; 0 if it does not exist. */
    version: z.number().int(),
    endpoint: z.unknown().optional(),
    /** Base URLs of other entries that the agent can ask. */
    entryUrls: z.array(z.string()),
});

/** Announces a new revision, so that entries that poll the store read it without waiting for their next poll. */
export const announcementSchema = z.object({ revision: z.number().int() });

export type WaitResponse = Readonly<z.output<typeof waitResponseSchema>>;
export type WaitEndpointResponse = Readonly<z.output<typeof waitEndpointResponseSchema>>;
