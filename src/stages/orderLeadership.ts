/**
 * Order leadership: at most one entry at a time sends stage orders to engines.
 *
 * A row in the store names the holder and a fencing token. Each order is preceded by a conditional write that
 * increments the token. The order is sent only if that write was confirmed and is recent by both the monotonic and the
 * wall clock, so a holder that was paused sends nothing when it resumes. Another entry takes over only after it has
 * seen the row unchanged, by its own clock, for longer than an order can be in transit. A host that restarts stays the
 * holder without a delay, because no earlier process on it is alive.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RowKey, TableService } from "../platform/ports.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";

export interface OrderLeadership {
    /** Becomes or stays the holder and increments the token; `undefined` if that failed or its outcome is unknown. */
    readonly claim: () => Promise<OrderPermit | undefined>;
}

/** Permission to send one order, with the token to send. */
export interface OrderPermit {
    readonly holder: string;
    readonly fencingToken: number;
    /** Whether the order may still be sent. */
    readonly isFresh: () => boolean;
}

const leaderRow: RowKey = { table: "duties", key: "orders" };
const leaderSchema = z.object({ holder: z.string(), fencingToken: z.number().int() });
/** An unchanged row may be taken over after this: longer than an order can be in transit (platform, 12 s). */
const takeOverAfterMs = 14_000;
/** Longest time from the request of the write to the sending of the order. */
const permitTtlMs = 700;

export function createOrderLeadership(
    tables: TableService,
    clock: Clock,
    log: DecisionLog,
    holder: string,
): OrderLeadership {
    let lastSeen: { readonly fencingToken: number; readonly holder: string; readonly sinceMs: number; } | undefined;

    function mayTakeOver(current: z.output<typeof leaderSchema>): boolean {
        if (current.holder === holder) {
            return true;
        }
        if (
            lastSeen === undefined || lastSeen.fencingToken !== current.fencingToken
            || lastSeen.holder !== current.holder
        ) {
            lastSeen = { ...current, sinceMs: clock.monotonicMs() };
        }
        return clock.monotonicMs() - lastSeen.sinceMs > takeOverAfterMs;
    }

    return {
        claim: async () => {
            const rows = await tables.read([leaderRow]);
            if (rows.isErr) {
                return undefined;
            }
            const row = rows.value[0];
            const current = row === undefined ? undefined : leaderSchema.safeParse(row.value).data;
            if (current !== undefined && !mayTakeOver(current)) {
                return undefined;
            }
            const fencingToken = (current?.fencingToken ?? 0) + 1;
            const requestedAtMs = clock.monotonicMs();
            const requestedAtWallMs = clock.wallMs();
            const outcome = await tables.commit({
                conditions: [{ ...leaderRow, version: row?.version ?? 0 }],
                writes: [{ ...leaderRow, value: { holder, fencingToken } }],
            });
            if (outcome.isErr || outcome.value.kind !== "committed") {
                log.info("the duty of ordering engines was not taken", {
                    cause: outcome.isErr ? outcome.error.cause : "another entry wrote first",
                });
                return undefined;
            }
            return {
                holder,
                fencingToken,
                isFresh: () =>
                    clock.monotonicMs() - requestedAtMs < permitTtlMs
                    && Math.abs(clock.wallMs() - requestedAtWallMs) < permitTtlMs,
            };
        },
    };
}
