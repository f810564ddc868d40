/**
 * Test harness for rate limits: several processes that hold shares of one client account's limits, on a virtual clock.
 * Faults can be injected into the store, the borrow calls between holders and the processes themselves.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { BucketLimits } from "../src/limits/bucket.js";
import { createLease } from "../src/limits/lease.js";
import type { HolderLease } from "../src/limits/lease.js";
import { createRateLimiter } from "../src/limits/rateLimiter.js";
import type { AdmissionDecision, RateLimiter } from "../src/limits/rateLimiter.js";
import { defaultRateLimiterSettings, emptyBorrowResponse } from "../src/limits/rateLimiterContext.js";
import type { BorrowResponse } from "../src/limits/rateLimiterContext.js";
import { createMemoryPlatform } from "../src/platform/memoryPlatform.js";
import type { PlatformError, TableService } from "../src/platform/ports.js";
import { createProcessGate } from "./virtualClock.js";
import type { ProcessGate, VirtualClock } from "./virtualClock.js";

export interface FleetFaults {
    storeDown: boolean;
    /** Store calls take effect, but their responses are lost. */
    storeLosesResponses: boolean;
    loseBorrowRequests: boolean;
    /** The lender debits the tokens, but the borrower never receives the response. */
    loseBorrowResponses: boolean;
    /** Each borrow request is delivered twice. */
    duplicateBorrows: boolean;
    borrowDelayMs: number;
}

/** A simulated process that holds a share of the limits. */
export interface Holder {
    readonly gate: ProcessGate;
    readonly rateLimiter: RateLimiter;
    readonly lease: HolderLease;
}

export interface LimitsFleet {
    readonly faults: FleetFaults;
    readonly counts: Map<string, number>;
    readonly holder: (index: number) => Holder;
    readonly start: (index: number) => Promise<void>;
    readonly kill: (index: number) => void;
    readonly setLimits: (limits: BucketLimits | undefined) => void;
    /** Admission times of the dispatched requests, in ascending order. */
    readonly admittedAtMs: () => readonly number[];
    /** Dispatch times of the same requests, in order of dispatch. */
    readonly dispatchedAtMs: () => readonly number[];
    /** Handles one request at a holder as an entry does: dispatches the request if it is admitted. */
    readonly handleRequest: (index: number) => Promise<AdmissionDecision>;
}

export interface LimitsFleetOptions {
    readonly holders: number;
    readonly limits: BucketLimits;
    readonly leaseMs: number;
    readonly marginMs: number;
    readonly renewMs: number;
    readonly rebalanceMs: number;
    readonly seed: number;
}

export const fleetAccount = "walkers";
const storeDelayMs = 3;

export async function startLimitsFleet(clock: VirtualClock, options: LimitsFleetOptions): Promise<LimitsFleet> {
    const platform = createMemoryPlatform();
    const random = createRandom(options.seed);
    const counts = new Map<string, number>();
    const holders: Holder[] = [];
    const admittedAtMs: number[] = [];
    const dispatchedAtMs: number[] = [];
    const faults: FleetFaults = {
        storeDown: false,
        storeLosesResponses: false,
        loseBorrowRequests: false,
        loseBorrowResponses: false,
        duplicateBorrows: false,
        borrowDelayMs: 1,
    };
    let limits: BucketLimits | undefined = options.limits;
    let nextLeaseId = 0;

    async function callStore<Value>(
        gate: ProcessGate,
        run: () => Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> {
        await clock.sleep(storeDelayMs);
        if (faults.storeDown) {
            await gate.pass();
            return Result.err({ kind: "unavailable", cause: "down" });
        }
        const response = await run();
        const isResponseLost = faults.storeLosesResponses;
        await clock.sleep(storeDelayMs);
        await gate.pass();
        return isResponseLost ? Result.err({ kind: "unknown", cause: "lost" }) : response;
    }

    function tablesFor(gate: ProcessGate): TableService {
        const { tables } = platform;
        return {
            read: keys => callStore(gate, () => tables.read(keys)),
            scan: (table, fromKey, limit) => callStore(gate, () => tables.scan(table, fromKey, limit)),
            commit: transaction => callStore(gate, () => tables.commit(transaction)),
            era: tables.era,
            wasRestored: tables.wasRestored,
        };
    }

    function urlOf(index: number): string {
        return `http://10.0.0.${index + 1}:1`;
    }

    async function borrow(
        gate: ProcessGate,
        lender: string,
        tokens: number,
        timeoutMs: number,
    ): Promise<BorrowResponse> {
        const target = holders.find((holder, index) => urlOf(index) === lender);
        await clock.sleep(faults.borrowDelayMs);
        if (target === undefined || faults.loseBorrowRequests) {
            await clock.sleep(timeoutMs);
            return emptyBorrowResponse;
        }
        const lenderResponse = target.gate.pass().then(() => {
            const lent = target.rateLimiter.lend(fleetAccount, tokens);
            if (faults.duplicateBorrows) {
                target.rateLimiter.lend(fleetAccount, tokens);
            }
            return lent;
        });
        const borrowed = await Promise.race([lenderResponse, clock.sleep(timeoutMs).then(() => emptyBorrowResponse)]);
        await clock.sleep(faults.borrowDelayMs);
        await gate.pass();
        return faults.loseBorrowResponses ? emptyBorrowResponse : borrowed;
    }

    async function runPeriodically(gate: ProcessGate, intervalMs: number, run: () => Promise<void>): Promise<never> {
        while (true) {
            await gate.clock.sleep(intervalMs);
            await run();
        }
    }

    async function start(index: number): Promise<void> {
        const gate = createProcessGate(clock);
        const tables = tablesFor(gate);
        const lease = createLease(
            tables,
            gate.clock,
            options,
            urlOf(index),
            () => String(nextLeaseId++),
            () => holder.rateLimiter.dropAll(),
        );
        const rateLimiter = createRateLimiter({
            tables,
            clock: gate.clock,
            random,
            lease,
            limitsOf: () => limits,
            url: urlOf(index),
            clientAccounts: () => [],
            peers: () => holders.map((each, otherIndex) => urlOf(otherIndex)).filter(url => url !== urlOf(index)),
            borrow: (lender, clientAccount, tokens, timeoutMs) => borrow(gate, lender, tokens, timeoutMs),
            gauge: () => undefined,
            count: (name, value = 1) => void counts.set(name, (counts.get(name) ?? 0) + value),
        }, defaultRateLimiterSettings);
        const holder: Holder = { gate, rateLimiter, lease };
        holders[index] = holder;
        await lease.endPredecessors();
        await lease.renew();
        void runPeriodically(gate, options.renewMs, lease.renew);
        void runPeriodically(gate, options.rebalanceMs, rateLimiter.rebalance);
    }

    async function handleRequest(index: number): Promise<AdmissionDecision> {
        const holder = holders[index] as Holder;
        await holder.gate.pass();
        while (true) {
            const decision = await holder.rateLimiter.admit(fleetAccount);
            await holder.gate.pass();
            if (decision.kind === "refused") {
                return decision;
            }
            if (holder.rateLimiter.isFresh(decision.admission)) {
                admittedAtMs.push(decision.admission.takenAtMs);
                dispatchedAtMs.push(clock.monotonicMs());
                return decision;
            }
        }
    }

    const fleet: LimitsFleet = {
        faults,
        counts,
        holder: index => holders[index] as Holder,
        start,
        kill: index => holders[index]?.gate.kill(),
        setLimits: next => {
            limits = next;
            holders.forEach(holder => holder.rateLimiter.reload());
        },
        admittedAtMs: () => [...admittedAtMs].sort((left, right) => left - right),
        dispatchedAtMs: () => dispatchedAtMs,
        handleRequest,
    };
    const started = Promise.all(Array.from({ length: options.holders }, (unused, index) => start(index)));
    await clock.advance(50);
    await started;
    return fleet;
}
