/**
 * Admission of calls to plain services whose instances report their loads: a call is sent at once if it would be on time,
 * or if a slot is free. Otherwise it waits at the entry, in the order of a comparison that the caller passes, for a part of
 * its caller's time at most. Then it is refused as not run, and at once if the wait is expected to be longer than that.
 *
 * A call that can no longer be on time would make those behind it late as well, so it is sent only when a slot is free
 * and no call waits that can be on time.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { EngineRecord } from "../engines/enginePort.js";
import { expectedMs } from "./instanceLoads.js";
import type { InstanceLoad, InstanceLoads } from "./instanceLoads.js";

/** A call that asks for admission. */
export interface WaitingCall {
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Monotonic times of its arrival and of the end of its caller's time. */
    readonly receivedAtMs: number;
    readonly deadlineMs: number;
    /** Time from the arrival within which its response is on time. */
    readonly objectiveMs: number;
    /** Instances that may run it now, for a call that may wait: in the order of preference or not. */
    readonly instances: () => readonly EngineRecord[];
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

export type Admission =
    | { readonly kind: "admitted"; }
    /** Not run; `cause` is `full` if the call was refused at once, `waited` if its wait is over. */
    | { readonly kind: "refused"; readonly cause: "full" | "waited" | "disconnected"; readonly retryAfterMs: number; };

export interface PlainQueue {
    /** The admission if it is decided at once; otherwise the call waits. */
    readonly admit: (call: WaitingCall) => Admission | Promise<Admission>;
    readonly waitingCalls: () => number;
}

export interface PlainQueueDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly instanceLoads: Pick<InstanceLoads, "loadOf" | "usualMs">;
    /** Calls the listener whenever a request of this entry ends. */
    readonly onEnd: (listener: () => void) => void;
    /** Order in which waiting calls are admitted. */
    readonly compare: (left: WaitingCall, right: WaitingCall) => number;
}

interface Waiter {
    readonly call: WaitingCall;
    readonly settle: (admission: Admission) => void;
}

/** Fraction of the objective that a call sent now may take at an instance, and that it may take in all. */
const sendFraction = 0.75;
const totalFraction = 0.9;
/** Fraction of its caller's time for which a call waits at the entry; after that, another entry may have room sooner. */
const waitFraction = 0.5;
/** Interval at which waiting calls are tried again, since what other entries' calls free is not announced. */
const retryIntervalMs = 10;
const maxWaitingCalls = 500;
const minReturnMs = 250;
/** Refused callers return spread over this time, and at the latest after this part of the time that they have left. */
const returnSpreadMs = 500;
const returnFraction = 1 / 3;
const admitted: Admission = { kind: "admitted" };

/** Earliest objective first; the more urgent priority first where priorities differ. */
export function compareByObjective(left: WaitingCall, right: WaitingCall): number {
    return left.priority - right.priority
        || left.receivedAtMs + left.objectiveMs - (right.receivedAtMs + right.objectiveMs);
}

/** Whether a call may be sent to an instance now: a slot is free, or its response would still be on time. */
export function hasRoom(
    load: InstanceLoad,
    usualMs: number,
    { objectiveMs, elapsedMs }: { readonly objectiveMs: number; readonly elapsedMs: number; },
): boolean {
    return load.inFlight < load.slots || expectedMs(load, usualMs) <= longestMs(objectiveMs, elapsedMs);
}

/** Longest time that a call may take at its instance. */
function longestMs(objectiveMs: number, elapsedMs: number): number {
    return Math.min(sendFraction * objectiveMs, totalFraction * objectiveMs - elapsedMs);
}

export function createPlainQueue(dependencies: PlainQueueDependencies): PlainQueue {
    const { clock, random, instanceLoads, compare } = dependencies;
    const waiters = new Map<string, Waiter[]>();
    let stopTimer: (() => void) | undefined;

    /**
     * How long the call must wait for room; 0 if it may be sent now. Without knowledge of an instance's load, or of the
     * duration of its calls, there is room: the response tells more.
     */
    function roomInMs({ service, objectiveMs, receivedAtMs, instances }: WaitingCall): number {
        const usualMs = instanceLoads.usualMs(service);
        if (usualMs === undefined) {
            return 0;
        }
        const loads = instances().map(instanceLoads.loadOf);
        const isUnknown = loads.length === 0 || loads.includes(undefined) || !loads.some(load => load?.isObserved);
        if (isUnknown) {
            return 0;
        }
        const elapsedMs = clock.monotonicMs() - receivedAtMs;
        const waitsMs = loads.map(load =>
            load === undefined || hasRoom(load, usualMs, { objectiveMs, elapsedMs })
                ? 0
                : Math.max(1, expectedMs(load, usualMs) - Math.max(usualMs, longestMs(objectiveMs, elapsedMs)))
        );
        return Math.min(...waitsMs);
    }

    /** Expected wait of a call behind those that wait here already, if this entry alone filled the slots. */
    function waitBehindMs(call: WaitingCall, waiting: readonly Waiter[]): number {
        const slots = call.instances().reduce((sum, engine) => sum + (instanceLoads.loadOf(engine)?.slots ?? 0), 0);
        return roomInMs(call) + waiting.length * (instanceLoads.usualMs(call.service) ?? 0) / Math.max(1, slots);
    }

    function latestMs({ receivedAtMs, deadlineMs }: WaitingCall): number {
        return receivedAtMs + waitFraction * (deadlineMs - receivedAtMs);
    }

    /** Whether the call would end late even if it were sent to a free slot now. */
    function isLate({ service, receivedAtMs, objectiveMs }: WaitingCall): boolean {
        const elapsedMs = clock.monotonicMs() - receivedAtMs;
        return longestMs(objectiveMs, elapsedMs) < (instanceLoads.usualMs(service) ?? 0);
    }

    function refuse(
        { deadlineMs }: WaitingCall,
        cause: "full" | "waited" | "disconnected",
        waitMs: number,
    ): Admission {
        const longestReturnMs = (deadlineMs - clock.monotonicMs()) * returnFraction;
        const returnMs = Math.min(longestReturnMs, waitMs + random() * returnSpreadMs + minReturnMs);
        return { kind: "refused", cause, retryAfterMs: Math.round(Math.max(minReturnMs, returnMs)) };
    }

    /** Settles the calls whose time is over, then admits the first one if it has room. */
    function admitNext(service: string): void {
        const nowMs = clock.monotonicMs();
        const all = waiters.get(service) ?? [];
        const ended = all.filter(({ call }) => call.signal.aborted || nowMs >= latestMs(call));
        const left = all.filter(waiter => !ended.includes(waiter));
        // One at a time: it counts as in flight only after it was sent.
        const next = left.find(({ call }) => !isLate(call)) ?? left[0];
        const isAdmitted = next !== undefined && roomInMs(next.call) === 0;
        const waiting = isAdmitted ? left.filter(waiter => waiter !== next) : left;
        if (waiting.length === 0) {
            waiters.delete(service);
        }
        else {
            waiters.set(service, waiting);
        }
        ended.forEach(({ call, settle }) => {
            settle(call.signal.aborted ? refuse(call, "disconnected", 0) : refuse(call, "waited", roomInMs(call)));
        });
        if (isAdmitted) {
            next.settle(admitted);
        }
    }

    function admitAll(): void {
        stopTimer?.();
        stopTimer = undefined;
        [...waiters.keys()].forEach(admitNext);
        if (waiters.size > 0) {
            stopTimer = clock.startTimer(retryIntervalMs, admitAll);
        }
    }

    dependencies.onEnd(admitAll);

    return {
        admit: call => {
            const waiting = waiters.get(call.service) ?? [];
            const mayPass = waiting.length === 0 || !isLate(call) && waiting.every(waiter => isLate(waiter.call));
            if (mayPass && roomInMs(call) === 0) {
                return admitted;
            }
            const waitMs = waitBehindMs(call, waiting);
            if (waiting.length >= maxWaitingCalls || waitMs > latestMs(call) - clock.monotonicMs()) {
                return refuse(call, "full", waitMs);
            }
            return new Promise(resolve => {
                const index = waiting.findIndex(waiter => compare(call, waiter.call) < 0);
                const waiter: Waiter = { call, settle: resolve };
                waiters.set(call.service, waiting.toSpliced(index < 0 ? waiting.length : index, 0, waiter));
                call.signal.addEventListener("abort", admitAll, { once: true });
                stopTimer ??= clock.startTimer(retryIntervalMs, admitAll);
            });
        },
        waitingCalls: () => [...waiters.values()].reduce((sum, { length }) => sum + length, 0),
    };
}
