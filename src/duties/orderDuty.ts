/**
 * The duty of ordering engines, which at most one entry performs at a time.
 *
 * A row in the store names the holder and a fencing token. Each order is preceded by a conditional write that raises
 * the token, and is sent only if that write was confirmed a moment ago by both clocks, so a paused holder sends
 * nothing when it wakes. Another entry takes the duty over only after it has itself seen the row unchanged for longer
 * than an order may be under way. A host that restarts continues its own duty: no earlier process on it is alive.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RowKey, TableService } from "../platform/ports.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";

export interface OrderDuty {
    /** Becomes or stays the holder and raises the token; `undefined` if it can't be or it isn't certain. */
    readonly claim: () => Promise<OrderPermit | undefined>;
}

export interface OrderPermit {
    readonly holder: string;
    readonly fencingToken: number;
    /** Whether an order may still be sent under it. */
    readonly isFresh: () => boolean;
}

const dutyRow: RowKey = { table: "duties", key: "orders" };
const dutySchema = z.object({ holder: z.string(), fencingToken: z.number().int() });
/** Another holder's duty ends after this: longer than an order may be on its way to an engine (platform, 12 s). */
const takeOverAfterMs = 14_000;
/** An order is sent within this time of its permit. */
const permitLifeMs = 700;

export function createOrderDuty(tables: TableService, clock: Clock, log: DecisionLog, holder: string): OrderDuty {
    let seen: { readonly fencingToken: number; readonly holder: string; readonly sinceMs: number; } | undefined;

    function mayTakeOver(current: z.output<typeof dutySchema>): boolean {
        if (current.holder === holder) {
            return true;
        }
        if (seen === undefined || seen.fencingToken !== current.fencingToken || seen.holder !== current.holder) {
            seen = { ...current, sinceMs: clock.monotonicMs() };
        }
        return clock.monotonicMs() - seen.sinceMs > takeOverAfterMs;
    }

    return {
        claim: async () => {
            const rows = await tables.read([dutyRow]);
            if (rows.isErr) {
                return undefined;
            }
            const row = rows.value[0];
            const current = row === undefined ? undefined : dutySchema.safeParse(row.value).data;
            if (current !== undefined && !mayTakeOver(current)) {
                return undefined;
            }
            const fencingToken = (current?.fencingToken ?? 0) + 1;
            const askedAtMs = clock.monotonicMs();
            const askedAtWallMs = clock.wallMs();
            const outcome = await tables.commit({
                conditions: [{ ...dutyRow, version: row?.version ?? 0 }],
                writes: [{ ...dutyRow, value: { holder, fencingToken } }],
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
                    clock.monotonicMs() - askedAtMs < permitLifeMs
                    && Math.abs(clock.wallMs() - askedAtWallMs) < permitLifeMs,
            };
        },
    };
}
