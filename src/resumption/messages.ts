/**
 * Messages in which entries tell and ask each other with which software version a stream began.
 */

import { z } from "zod";

export const resumptionMethods = {
    record: "resumption.record",
    find: "resumption.find",
} as const;

const originSchema = z.object({
    service: z.string(),
    /** Absent if requests with the same id began at engines of different versions. */
    softwareVersion: z.string().optional(),
});

/** What is known of the beginning of one stream. */
export type StreamOrigin = Readonly<z.output<typeof originSchema>>;

export const recordOriginsSchema = z.object({
    origins: z.array(originSchema.extend({
        /** See `streamKey`. */
        key: z.string(),
        /** Whether the receiver is to write it to the store. */
        isWritten: z.boolean(),
    })),
});

export type RecordOrigins = z.output<typeof recordOriginsSchema>;

export const findOriginSchema = z.object({ key: z.string() });

/** `origin` is absent if the entry does not know the stream; `isPending` if it may know it soon. */
export const findOriginResponseSchema = z.object({
    origin: originSchema.optional(),
    isPending: z.boolean().default(false),
});

/** A row of the store; the time is of the wall clock, since entries have no other clock in common. */
export const originRowSchema = originSchema.extend({ atWallMs: z.number() });
