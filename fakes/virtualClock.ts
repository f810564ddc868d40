/**
 * A clock that a test moves by hand, and per-process views of it that can be paused.
 */

import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../src/common/clock.js";

export interface VirtualClock extends Clock {
    /** Moves time forward; everything that becomes due runs in order. */
    readonly advance: (durationMs: number) => Promise<void>;
    /** Lets everything run that is due now. */
    readonly settle: () => Promise<void>;
}

/** A process's view of a clock, which stops it at its sleeps and calls while paused. */
export interface ProcessGate {
    readonly clock: Clock;
    readonly pause: () => void;
    readonly resume: () => void;
    /** Resolves when the process is not paused; never again after `kill`. */
    readonly pass: () => Promise<void>;
    readonly kill: () => void;
}

interface Sleeper {
    readonly dueMs: number;
    readonly wake: () => void;
}

const turnsToSettle = 4;
const startWallMs = 1_700_000_000_000;

export function createVirtualClock(): VirtualClock {
    let nowMs = 0;
    let sleepers: readonly Sleeper[] = [];

    async function settle(): Promise<void> {
        for (let turn = 0; turn < turnsToSettle; turn++) {
            await nextTurn();
        }
    }

    function removeSleeper(sleeper: Sleeper): void {
        sleepers = sleepers.filter(other => other !== sleeper);
    }

    return {
        monotonicMs: () => nowMs,
        wallMs: () => startWallMs + nowMs,
        sleep: (durationMs, signal) =>
            new Promise(resolve => {
                const onAbort = (): void => {
                    removeSleeper(sleeper);
                    resolve();
                };
                const sleeper: Sleeper = {
                    dueMs: nowMs + durationMs,
                    wake: () => {
                        signal?.removeEventListener("abort", onAbort);
                        resolve();
                    },
                };
                sleepers = [...sleepers, sleeper];
                signal?.addEventListener("abort", onAbort, { once: true });
            }),
        timeout: durationMs => {
            const controller = new AbortController();
            const dueMs = nowMs + Math.max(1, durationMs);
            const wake = (): void => controller.abort(new DOMException("the time is over", "TimeoutError"));
            sleepers = [...sleepers, { dueMs, wake }];
            return controller.signal;
        },
        settle,
        advance: async durationMs => {
            const untilMs = nowMs + durationMs;
            await settle();
            while (true) {
                const due = sleepers.filter(sleeper => sleeper.dueMs <= untilMs);
                if (due.length === 0) {
                    break;
                }
                const next = due.reduce((earliest, sleeper) => sleeper.dueMs < earliest.dueMs ? sleeper : earliest);
                removeSleeper(next);
                nowMs = Math.max(nowMs, next.dueMs);
                next.wake();
                await settle();
            }
            nowMs = untilMs;
        },
    };
}

export function createGate(base: Clock): ProcessGate {
    let paused = false;
    let killed = false;
    let waiting: readonly (() => void)[] = [];

    function pass(): Promise<void> {
        if (!paused && !killed) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            waiting = [...waiting, resolve];
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
            timeout: base.timeout,
        },
        pass,
        pause: () => {
            paused = true;
        },
        resume: () => {
            paused = false;
            if (!killed) {
                waiting.forEach(resolve => resolve());
                waiting = [];
            }
        },
        kill: () => {
            killed = true;
        },
    };
}
