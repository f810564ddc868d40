/**
 * The rate limiter of an entry: its shares of the client accounts' limits, the lease under which it holds them, and the
 * calls by which entries borrow tokens from each other.
 */

import { randomUUID } from "node:crypto";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import { limitsOf, listObjects } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";
import { createLease } from "../limits/lease.js";
import type { HolderLease } from "../limits/lease.js";
import { borrowResponseSchema, borrowSchema, limitsMethods } from "../limits/messages.js";
import { createRateLimiter } from "../limits/rateLimiter.js";
import type { RateLimiter } from "../limits/rateLimiter.js";
import { defaultRateLimiterSettings, emptyBorrowResponse } from "../limits/rateLimiterContext.js";
import type { TableService } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Telemetry } from "../telemetry/telemetry.js";

export interface EntryLimits {
    readonly lease: HolderLease;
    readonly rateLimiter: RateLimiter;
    /** Methods that other entries call. */
    readonly methods: RpcMethods;
}

export interface EntryLimitsDependencies {
    readonly tables: TableService;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly telemetry: Telemetry;
    /** Base URL of this process. */
    readonly url: string;
    /** How long a renewal of the lease is valid. */
    readonly leaseMs: number;
    /** Base URLs of the other entries. */
    readonly peers: () => readonly string[];
    readonly configuration: () => ConfigurationState;
}

const borrowTimeoutMs = 300;
/**
 * Fraction of the lease that is added to the time after which other entries may end it; covers borrowed tokens in flight
 * and clock drift.
 */
const leaseMarginFraction = 0.1;
const minLeaseMarginMs = 2_000;

export function createEntryLimits(dependencies: EntryLimitsDependencies): EntryLimits {
    const { tables, rpc, clock, random, telemetry, url, leaseMs, peers, configuration } = dependencies;
    const { counters, log } = telemetry;
    const leaseSettings = { leaseMs, marginMs: Math.max(minLeaseMarginMs, leaseMs * leaseMarginFraction) };
    const lease = createLease(tables, clock, leaseSettings, url, randomUUID, () => {
        counters.add("limits.leasesLost");
        log.warn("lease on shares of limits was lost");
        rateLimiter.dropAll();
    });
    const rateLimiter = createRateLimiter({
        tables,
        clock,
        random,
        lease,
        limitsOf: clientAccount => limitsOf(configuration(), clientAccount),
        url,
        peers,
        clientAccounts: () => listObjects(configuration(), "account").map(account => account.name),
        borrow: async (lender, clientAccount, tokens) => {
            const response = await rpc.call(lender, limitsMethods.borrow, { clientAccount, tokens }, {
                timeoutMs: borrowTimeoutMs,
            });
            return response.isOk
                ? checkValue(borrowResponseSchema, response.value).unwrapOr(emptyBorrowResponse)
                : emptyBorrowResponse;
        },
        count: counters.add,
        gauge: counters.set,
    }, defaultRateLimiterSettings);
    const methods = {
        [limitsMethods.borrow]: rpcMethod(
            borrowSchema,
            async ({ clientAccount, tokens }) => rateLimiter.lend(clientAccount, tokens),
        ),
    };
    return { lease, rateLimiter, methods };
}
