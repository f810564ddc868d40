/**
 * Order leadership: at most one entry at a time sends stage orders to engines.
 *
 * A row in the store names the holder and a fencing token. Each order is preceded by a conditional write that
 * increments the token. The order is sent only if that write was confirmed and is recent by both the monotonic and the
 * wall clock, so a holder that was paused sends nothing when it resumes. Another entry takes over only after it has
 * seen the row unchanged, by its own clock, for longer than an order can be in transit. A host that restarts stays the
 * holder without a delay, because no earlier process on it is alive.
 *
 * A store that is restored from an older copy may name an earlier holder and an earlier token, or none. The store's era
 * is therefore the high part of the token, and a row that was written in an earlier era makes nobody the holder until
 * it has been seen unchanged for that time. Entries also tell each other the highest token that they have seen.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RowKey, TableService } from "../platform/ports.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";

export interface OrderLeadership {
    /** Becomes or stays the holder and increments the token; `undefined` if that failed or its outcome is unknown. */
    readonly claim: () => Promise<OrderPermit | undefined>;
    /** Highest token that this entry has written, read or received; 0 for none. */
    readonly highestToken: () => number;
    /** Records a token that another entry has seen; no token up to it is issued. */
    readonly recordPeerToken: (fencingToken: number) => void;
}

export interface OrderLeadershipSettings {
    /** Name of this host. */
    readonly holder: string;
    /** Whether all entries start for the first time, so that a missing row cannot have been lost. */
    readonly isFirstStart: boolean;
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
type LeaderRow = Readonly<z.output<typeof leaderSchema>>;
/** An unchanged row may be taken over after this: longer than an order can be in transit (platform, 12 s). */
const takeOverAfterMs = 14_000;
/** Longest time from the request of the write to the sending of the order. */
const permitTtlMs = 700;
/** Number of tokens in an era: the low part of a token. Tokens of the first 4,096 eras fit into 32 bits. */
const tokensPerEra = 2 ** 20;

function eraOf(fencingToken: number): number {
    return Math.floor(fencingToken / tokensPerEra);
}

export function createOrderLeadership(
    tables: TableService,
    clock: Clock,
    log: DecisionLog,
    settings: OrderLeadershipSettings,
): OrderLeadership {
    const { holder } = settings;
    /** The row as it was last seen; `value` is `undefined` if it did not exist. */
    let lastSeen:
        | { readonly value: LeaderRow | undefined; readonly era: number; readonly sinceMs: number; }
        | undefined;
    let highestToken = 0;

    function recordToken(fencingToken: number): void {
        if (Number.isSafeInteger(fencingToken)) {
            highestToken = Math.max(highestToken, fencingToken);
        }
    }

    /** Whether the row may have lost a holder or a token that engines have seen. */
    function mayBeOutdated(current: LeaderRow | undefined, era: number): boolean {
        return current === undefined
            ? highestToken > 0 || !settings.isFirstStart || tables.wasRestored()
            : eraOf(current.fencingToken) < era;
    }

    function mayTakeOver(current: LeaderRow | undefined, era: number): boolean {
        const isSame = lastSeen !== undefined && lastSeen.era === era
            && lastSeen.value?.fencingToken === current?.fencingToken && lastSeen.value?.holder === current?.holder;
        if (lastSeen === undefined || !isSame) {
            lastSeen = { value: current, era, sinceMs: clock.monotonicMs() };
        }
        const isOwn = current === undefined || current.holder === holder;
        return (isOwn && !mayBeOutdated(current, era)) || clock.monotonicMs() - lastSeen.sinceMs > takeOverAfterMs;
    }

    return {
        claim: async () => {
            const eraBefore = tables.era();
            const rows = await tables.read([leaderRow]);
            if (rows.isErr) {
                return undefined;
            }
            const row = rows.value[0];
            const current = row === undefined ? undefined : leaderSchema.safeParse(row.value).data;
            const era = tables.era();
            if (!mayTakeOver(current, era)) {
                return undefined;
            }
            recordToken(current?.fencingToken ?? 0);
            const fencingToken = Math.max(highestToken, era * tokensPerEra) + 1;
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
            recordToken(fencingToken);
            if (tables.era() !== eraBefore) {
                // The version in the condition belongs to another era, so another entry's write may have been replaced.
                log.info("the duty of ordering engines was not taken", { cause: "the store was restored meanwhile" });
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
        highestToken: () => highestToken,
        recordPeerToken: recordToken,
    };
}
