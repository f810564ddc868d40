/**
 * Messages that propagate key withdrawals between entries. They carry names and digests of keys, never the keys.
 */

import { z } from "zod";

export const keyMethods = {
    /** Sends pending withdrawals; the response lists the receiver's. */
    withdraw: "keys.withdraw",
} as const;

const digestHex = z.string().regex(/^[0-9a-f]{64}$/);

/** A withdrawal that may not be in the configuration yet; `digestHex` is the SHA-256 digest of the key. */
export const pendingWithdrawalSchema = z.object({ keyName: z.string(), digestHex });

export const withdrawSchema = z.object({ pending: z.array(pendingWithdrawalSchema) });

export type PendingWithdrawal = Readonly<z.output<typeof pendingWithdrawalSchema>>;
