/**
 * The message by which one entry borrows tokens of an account from another.
 */

import { z } from "zod";

export const limitsMethods = { borrow: "limits.borrow" } as const;

export const borrowSchema = z.object({
    clientAccount: z.string().min(1),
    tokens: z.number().positive().max(1),
});

/** What the lender has debited for the borrower. */
export const borrowAnswerSchema = z.object({
    tokens: z.number().min(0),
    /** For how long the lender need not be asked again. */
    emptyForMs: z.number().min(0),
});
