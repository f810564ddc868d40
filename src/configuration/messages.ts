/**
 * Messages by which processes pass the configuration on to each other.
 */

import { z } from "zod";
import { snapshotSchema } from "./snapshot.js";
import { revisionSchema } from "./state.js";

export const configurationMethods = {
    wait: "configuration.wait",
    waitEndpoint: "configuration.waitEndpoint",
    poke: "configuration.poke",
} as const;

/** Asks for revisions after `afterRevision`; answered at once if there are any, else after `timeoutMs`. */
export const waitSchema = z.object({
    afterRevision: z.number().int().min(0),
    timeoutMs: z.number().min(0),
    /** The asking process, for the report on which hosts are at which revision. */
    host: z.string(),
});

export const waitAnswerSchema = z.object({
    revision: z.number().int(),
    /** How long ago the answering process's state was last confirmed with the store, directly or through others. */
    ageMs: z.number().min(0),
    revisions: z.array(revisionSchema).optional(),
    /** Instead of `revisions`, when the asking process is too far behind. */
    snapshot: snapshotSchema.optional(),
});

/** The same for an agent, which needs its own endpoint only. */
export const waitEndpointSchema = z.object({
    endpoint: z.string(),
    afterVersion: z.number().int().min(-1),
    timeoutMs: z.number().min(0),
    host: z.string(),
});

export const waitEndpointAnswerSchema = z.object({
    revision: z.number().int(),
    /** Version of the endpoint's object; 0 while it does not exist. */
    version: z.number().int(),
    endpoint: z.unknown().optional(),
    /** Entries that the agent can ask instead of this one. */
    entryUrls: z.array(z.string()),
});

/** Tells that a revision has been accepted. */
export const pokeSchema = z.object({ revision: z.number().int() });

export type WaitAnswer = Readonly<z.output<typeof waitAnswerSchema>>;
export type WaitEndpointAnswer = Readonly<z.output<typeof waitEndpointAnswerSchema>>;
