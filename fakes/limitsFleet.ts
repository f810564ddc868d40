/**
 * Several holders of one account's limits on a virtual clock, with faults at their interfaces: the store, the calls
 * between holders, and the processes themselves.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { BucketLimits } from "../src/limits/bucket.js";
import { createEscrow } from "../src/limits/escrow.js";
import type { AdmissionDecision, Escrow } from "../src/limits/escrow.js";
import { defaultEscrowSettings, noLoan } from "../src/limits/escrowContext.js";
import type { Loan } from "../src/limits/escrowContext.js";
import { createLease } from "../src/limits/lease.js";
import type { HolderLease } from "../src/limits/lease.js";
import { createMemoryPlatform } from "../src/platform/memoryPlatform.js";
import type { PlatformError, TableService } from "../src/platform/ports.js";
import { createGate } from "./virtualClock.js";
import type { ProcessGate, VirtualClock } from "./virtualClock.js";

export interface FleetFaults {
    storeDown: boolean;
    /** Commits take effect and their answers are lost. */
    storeLosesAnswers: boolean;
    loseBorrowRequests: boolean;
    /** The lender debits, the borrower never hears. */
    loseBorrowAnswers: boolean;
    /** Each borrow request arrives twice. */
    duplicateBorrows: boolean;
    borrowDelayMs: number;
}

export interface Holder {
    readonly gate: ProcessGate;
    readonly escrow: Escrow;
    readonly lease: HolderLease;
}

export interface LimitsFleet {
    readonly faults: FleetFaults;
    readonly counts: Map<string, number>;
    readonly holder: (index: number) => Holder;
    readonly start: (index: number) => Promise<void>;
    readonly kill: (index: number) => void;
    readonly setLimits: (limits: BucketLimits | undefined) => void;
    /** Times at which requests were admitted and dispatched, in order of admission. */
    readonly admittedAtMs: () => readonly number[];
    /** Times at which they were dispatched, in order. */
    readonly dispatchedAtMs: () => readonly number[];
    /** A request arrives; dispatches it as an entry does, if it is admitted. */
    readonly arrive: (index: number) => Promise<AdmissionDecision>;
}

export interface FleetShape {
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

export async function startLimitsFleet(clock: VirtualClock, shape: FleetShape): Promise<LimitsFleet> {
    const platform = createMemoryPlatform();
    const random = createRandom(shape.seed);
    const counts = new Map<string, number>();
    const holders: Holder[] = [];
    const admittedAtMs: number[] = [];
    const dispatchedAtMs: number[] = [];
    const faults: FleetFaults = {
        storeDown: false,
        storeLosesAnswers: false,
        loseBorrowRequests: false,
        loseBorrowAnswers: false,
        duplicateBorrows: false,
        borrowDelayMs: 1,
    };
    let limits: BucketLimits | undefined = shape.limits;
    let ids = 0;

    async function withStore<Value>(
        gate: ProcessGate,
        run: () => Promise<Result<Value, PlatformError>>,
    ): Promise<Result<Value, PlatformError>> {
        await clock.sleep(storeDelayMs);
        if (faults.storeDown) {
            await gate.pass();
            return Result.err({ kind: "unavailable", cause: "down" });
        }
        const answer = await run();
        const lost = faults.storeLosesAnswers;
        await clock.sleep(storeDelayMs);
        await gate.pass();
        return lost ? Result.err({ kind: "unknown", cause: "lost" }) : answer;
    }

    function tablesFor(gate: ProcessGate): TableService {
        const { tables } = platform;
        return {
            read: keys => withStore(gate, () => tables.read(keys)),
            scan: (table, fromKey, limit) => withStore(gate, () => tables.scan(table, fromKey, limit)),
            commit: transaction => withStore(gate, () => tables.commit(transaction)),
        };
    }

    function urlOf(index: number): string {
        return `http://10.0.0.${index + 1}:1`;
    }

    async function borrow(gate: ProcessGate, lender: string, tokens: number, timeoutMs: number): Promise<Loan> {
        const target = holders.find((holder, index) => urlOf(index) === lender);
        await clock.sleep(faults.borrowDelayMs);
        if (target === undefined || faults.loseBorrowRequests) {
            await clock.sleep(timeoutMs);
            return noLoan;
        }
        const served = target.gate.pass().then(() => {
            const given = target.escrow.lend(fleetAccount, tokens);
            if (faults.duplicateBorrows) {
                target.escrow.lend(fleetAccount, tokens);
            }
            return given;
        });
        const given = await Promise.race([served, clock.sleep(timeoutMs).then(() => noLoan)]);
        await clock.sleep(faults.borrowDelayMs);
        await gate.pass();
        return faults.loseBorrowAnswers ? noLoan : given;
    }

    async function every(gate: ProcessGate, intervalMs: number, run: () => Promise<void>): Promise<never> {
        while (true) {
            await gate.clock.sleep(intervalMs);
            await run();
        }
    }

    async function start(index: number): Promise<void> {
        const gate = createGate(clock);
        const tables = tablesFor(gate);
        const lease = createLease(
            tables,
            gate.clock,
            shape,
            urlOf(index),
            () => String(ids++),
            () => holder.escrow.dropAll(),
        );
        const escrow = createEscrow({
            tables,
            clock: gate.clock,
            random,
            lease,
            limitsOf: () => limits,
            url: urlOf(index),
            clientAccounts: () => [],
            peers: () => holders.map((each, other) => urlOf(other)).filter(url => url !== urlOf(index)),
            borrow: (lender, clientAccount, tokens, timeoutMs) => borrow(gate, lender, tokens, timeoutMs),
            gauge: () => undefined,
            count: (name, value = 1) => void counts.set(name, (counts.get(name) ?? 0) + value),
        }, defaultEscrowSettings);
        const holder: Holder = { gate, escrow, lease };
        holders[index] = holder;
        await lease.endPredecessors();
        await lease.renew();
        void every(gate, shape.renewMs, lease.renew);
        void every(gate, shape.rebalanceMs, escrow.rebalance);
    }

    async function arrive(index: number): Promise<AdmissionDecision> {
        const holder = holders[index] as Holder;
        await holder.gate.pass();
        while (true) {
            const decision = await holder.escrow.admit(fleetAccount);
            await holder.gate.pass();
            if (decision.kind === "refused") {
                return decision;
            }
            if (holder.escrow.isFresh(decision.admission)) {
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
            holders.forEach(holder => holder.escrow.reload());
        },
        admittedAtMs: () => [...admittedAtMs].sort((left, right) => left - right),
        dispatchedAtMs: () => dispatchedAtMs,
        arrive,
    };
    const started = Promise.all(Array.from({ length: shape.holders }, (unused, index) => start(index)));
    await clock.advance(50);
    await started;
    return fleet;
}
