/**
 * A clock that a test advances explicitly, and views of it for simulated processes that can be paused or killed.
 */

import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import type { Clock } from "../src/common/clock.js";

export interface VirtualClock extends Clock {
    /** Advances the time; timers that become due fire in order. */
    readonly advance: (durationMs: number) => Promise<void>;
    /** Runs everything that is due now, without advancing the time. */
    readonly settle: () => Promise<void>;
}

/** A simulated process's view of a clock. While the process is paused, its sleeps and calls to `pass` do not return. */
export interface ProcessGate {
    readonly clock: Clock;
    readonly pause: () => void;
    readonly resume: () => void;
    /** Resolves once the process is not paused; never resolves after `kill`. */
    readonly pass: () => Promise<void>;
    readonly kill: () => void;
}

interface Timer {
    readonly dueMs: number;
    readonly fire: () => void;
}

const turnsToSettle = 4;
const startWallMs = 1_700_000_000_000;

export function createVirtualClock(): VirtualClock {
    let nowMs = 0;
    let timers: readonly Timer[] = [];

    async function settle(): Promise<void> {
        for (let turn = 0; turn < turnsToSettle; turn++) {
            await nextEventLoopTurn();
        }
    }

    function removeTimer(timer: Timer): void {
        timers = timers.filter(other => other !== timer);
    }

    return {
        monotonicMs: () => nowMs,
        wallMs: () => startWallMs + nowMs,
        sleep: (durationMs, signal) =>
            new Promise(resolve => {
                const onAbort = (): void => {
                    removeTimer(timer);
                    resolve();
                };
                const timer: Timer = {
                    dueMs: nowMs + durationMs,
                    fire: () => {
                        signal?.removeEventListener("abort", onAbort);
                        resolve();
                    },
                };
                timers = [...timers, timer];
                signal?.addEventListener("abort", onAbort, { once: true });
            }),
        startTimer: (durationMs, onExpired) => {
            const timer: Timer = { dueMs: nowMs + Math.max(1, durationMs), fire: onExpired };
            timers = [...timers, timer];
            return () => removeTimer(timer);
        },
        settle,
        advance: async durationMs => {
            const untilMs = nowMs + durationMs;
            await settle();
            while (true) {
                const due = timers.filter(timer => timer.dueMs <= untilMs);
                if (due.length === 0) {
                    break;
                }
                const next = due.reduce((earliest, timer) => timer.dueMs < earliest.dueMs ? timer : earliest);
                removeTimer(next);
                nowMs = Math.max(nowMs, next.dueMs);
                next.fire();
                await settle();
            }
            nowMs = untilMs;
        },
    };
}

export function createProcessGate(base: Clock): ProcessGate {
    let paused = false;
    let killed = false;
    let blockedCalls: readonly (() => void)[] = [];

    function pass(): Promise<void> {
        if (!paused && !killed) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            blockedCalls = [...blockedCalls, resolve];
        });
    }

    return {
        clock: {
            monotonicMs: base.monotonicMs,
            wallMs: base.wallMs,
            sleep: async (durationMs, signal) => {
                await base.sleep(durationMs, signal);
                await pass();
            },
            startTimer: base.startTimer,
        },
        pass,
        pause: () => {
            paused = true;
        },
        resume: () => {
            paused = false;
            if (!killed) {
                blockedCalls.forEach(resolve => resolve());
                blockedCalls = [];
            }
        },
        kill: () => {
            killed = true;
        },
    };
}
