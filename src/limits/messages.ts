/**
 * RPC messages by which one entry borrows rate-limit tokens of an account from another.
 */

import { z } from "zod";
import { rateNoticeSchema } from "../engines/engineRates.js";

export const limitsMethods = { borrow: "limits.borrow" } as const;

/** Asks for `tokens` of an account, at most the one token that a request needs. */
export const borrowSchema = z.object({
    clientAccount: z.string().min(1),
    tokens: z.number().positive().max(1),
});

/** The lender's response to `borrow`. */
export const borrowResponseSchema = z.object({
    /** Tokens that the lender has debited; 0 if it lent none. */
    tokens: z.number().min(0),
    /** How long the borrower need not ask this lender again. */
    emptyForMs: z.number().min(0),
});

export const engineRateMethods = { acquire: "exchange.acquirePermit" } as const;

/** Asks for a permit for one request to an engine, with what the caller knows of the engine's rate. */
export const acquirePermitSchema = rateNoticeSchema.extend({
    /** The entry that was asked first passes the call on to the one that it regards as the counter. */
    isForwarded: z.boolean(),
    /** Time for which the caller regards the engine as cold; entries of earlier versions send none. */
    coldRemainingMs: z.number().min(0).default(0),
});

/** `waitMs`: time until the next permit, if none is granted. */
export const permitResponseSchema = z.object({ isGranted: z.boolean(), waitMs: z.number().min(0) });

export type PermitResponse = Readonly<z.output<typeof permitResponseSchema>>;
