/**
 * Messages by which entries tell each other about withdrawn keys. Only digests travel.
 */

import { z } from "zod";

export const keyMethods = {
    /** Tells of withdrawn digests; answered with the sender's own that the configuration does not hold yet. */
    withdraw: "keys.withdraw",
} as const;

const digestHex = z.string().regex(/^[0-9a-f]{64}$/);

/** A withdrawal that may not be in the configuration yet. */
export const pendingWithdrawalSchema = z.object({ keyName: z.string(), digestHex });

export const withdrawSchema = z.object({ pending: z.array(pendingWithdrawalSchema) });

export type PendingWithdrawal = Readonly<z.output<typeof pendingWithdrawalSchema>>;
