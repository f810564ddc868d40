/**
 * RPC messages by which one entry borrows rate-limit tokens of an account from another.
 */

import { z } from "zod";

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
