/**
 * Entries and instances of a plain service on a virtual clock: each instance runs calls in its slots, queues some and
 * rejects the rest, at a speed that changes; entries learn of each other's work with a lag.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { EnginePort, EngineRecord } from "../src/engines/enginePort.js";
import { createReportedLoads } from "../src/engines/reportedLoads.js";
import type { ReportedLoads } from "../src/engines/reportedLoads.js";
import { createSharedEjections } from "../src/engines/sharedEjections.js";
import type { SharedEjections } from "../src/engines/sharedEjections.js";
import type { ForwardContext } from "../src/forwarding/context.js";
import { forward } from "../src/forwarding/forward.js";
import {
    createTestForwardContext,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
} from "./forwardingHarness.js";
import { createVirtualClock } from "./virtualClock.js";
import type { VirtualClock } from "./virtualClock.js";

export interface InstanceFleetSpec {
    readonly entries: number;
    readonly instances: number;
    readonly slots: number;
    readonly queue: number;
    readonly workMs: number;
    readonly objectiveMs: number;
    /** What instances report in their responses; `speed` includes how long work takes now. */
    readonly reports: "nothing" | "load" | "speed";
    /** How long work takes at an instance, as a multiple of the usual time. */
    readonly slowdown: (instance: number, nowMs: number) => number;
    /** Whether an instance resets what it gets; its status checks succeed nevertheless. */
    readonly resets?: (instance: number, nowMs: number) => boolean;
    /** Calls a second at a time. */
    readonly callsPerSecond: (nowMs: number) => number;
    readonly durationMs: number;
    readonly seed: number;
}

export interface InstanceFleetResult {
    readonly calls: number;
    readonly onTime: number;
    readonly late: number;
    readonly refused: number;
    /** Calls that may have run, whose callers got no response. */
    readonly unknown: number;
    /** Sends that instances rejected. */
    readonly rejections: number;
    readonly statusChecks: number;
    /** Where calls went, in order. */
    readonly sends: readonly string[];
}

const syncIntervalMs = 400;
const networkDelayMs = 2;
const callerTimeoutMs = 3_000;
const msPerSecond = 1_000;
const usualFigure = 100;

interface SimulatedInstance {
    readonly run: () => Promise<boolean>;
    /** Value of the header that reports its load. */
    readonly load: () => string;
}

function createInstance(spec: InstanceFleetSpec, index: number, clock: VirtualClock): SimulatedInstance {
    const queue: (() => void)[] = [];
    let running = 0;
    const slowdown = (): number => spec.slowdown(index, clock.monotonicMs());
    return {
        run: async () => {
            if (running >= spec.slots) {
                if (queue.length >= spec.queue) {
                    return false;
                }
                await new Promise<void>(resolve => queue.push(resolve));
            }
            else {
                running += 1;
            }
            await clock.sleep(spec.workMs * slowdown());
            const next = queue.shift();
            if (next === undefined) {
                running -= 1;
            }
            else {
                next();
            }
            return true;
        },
        load: () => {
            const figure = spec.reports === "speed" ? `,${Math.round(slowdown() * usualFigure)}` : "";
            return `${running},${queue.length},${spec.slots}${figure}`;
        },
    };
}

export async function runInstanceFleet(spec: InstanceFleetSpec): Promise<InstanceFleetResult> {
    const clock = createVirtualClock();
    const random = createRandom(spec.seed);
    const records = Array.from({ length: spec.instances }, (item, index) => engineRecord(`i-${index}`));
    const instances = records.map((record, index) => createInstance(spec, index, clock));
    const sends: string[] = [];
    let rejections = 0;
    let statusChecks = 0;

    function portOf(reportedLoads: ReportedLoads): EnginePort {
        const unused = async (): Promise<ReturnType<typeof errorOf>> => errorOf("unreachable");
        return {
            send: async (engine: EngineRecord) => {
                sends.push(engine.id);
                const index = records.indexOf(engine);
                const instance = instances[index];
                if (spec.resets?.(index, clock.monotonicMs()) === true) {
                    return errorOf("interrupted");
                }
                const isRun = await instance?.run();
                if (instance !== undefined && spec.reports !== "nothing") {
                    reportedLoads.record(engine, instance.load());
                }
                rejections += isRun === true ? 0 : 1;
                return isRun === true ? responseOf(200) : errorOf("notExecuted");
            },
            prefill: unused,
            reserve: unused,
            report: unused,
            checkStatus: async () => {
                statusChecks += 1;
                return Result.ok(true);
            },
            releaseCache: () => undefined,
            releaseReservation: () => undefined,
            orderStage: async () => "rejected",
            connectedAtMs: () => Number.NEGATIVE_INFINITY,
            keepOnly: () => undefined,
            setMaxConnections: () => undefined,
            close: async () => undefined,
        };
    }

    const state = desiredStateOf([
        routeOf("idempotent", { objectiveMs: spec.objectiveMs, timeoutMs: callerTimeoutMs }),
        routeOf("nonIdempotent", { objectiveMs: spec.objectiveMs, timeoutMs: callerTimeoutMs }),
    ]);
    const contexts: readonly ForwardContext[] = Array.from({ length: spec.entries }, (item, index) => {
        const reportedLoads = createReportedLoads(clock);
        const context = createTestForwardContext({
            clock,
            engines: portOf(reportedLoads),
            state,
            reportedLoads,
            random: createRandom(spec.seed * 1_000 + index),
            entries: () => spec.entries,
        });
        context.directory.load(records, "current");
        return context;
    });

    const ejections = contexts.map(({ health, log, metrics }) => {
        health.keepOnly(records);
        const shared = createSharedEjections({ clock, log, metrics, health });
        shared.keepOnly(records);
        return shared;
    });
    /** Delivers an entry's verdicts to the others. */
    const shareVerdicts = (from: SharedEjections): void => {
        const notices = from.notices();
        ejections.filter(other => other !== from).forEach(other => other.apply(notices));
    };
    ejections.forEach(each => each.onChange(() => void clock.sleep(networkDelayMs).then(() => shareVerdicts(each))));

    const counts = { calls: 0, onTime: 0, late: 0, refused: 0, unknown: 0 };
    async function call(context: ForwardContext): Promise<void> {
        const receivedAtMs = clock.monotonicMs();
        const path = random() < 0.2 ? "/idempotent/x" : "/nonIdempotent/x";
        counts.calls += 1;
        const outcome = await forward(context, requestTo(path, { receivedAtMs, callerTimeoutMs }));
        const tookMs = clock.monotonicMs() - receivedAtMs;
        const status = (await describeOutcome(outcome)).slice(0, 3);
        const isServed = status === "200";
        counts.refused += status === "503" ? 1 : 0;
        counts.unknown += isServed || status === "503" ? 0 : 1;
        counts.onTime += isServed && tookMs <= spec.objectiveMs ? 1 : 0;
        counts.late += isServed && tookMs > spec.objectiveMs ? 1 : 0;
    }

    const running: Promise<void>[] = [];
    let syncedAtMs = 0;
    while (clock.monotonicMs() < spec.durationMs) {
        const nowMs = clock.monotonicMs();
        if (nowMs - syncedAtMs >= syncIntervalMs) {
            syncedAtMs = nowMs;
            ejections.forEach(shareVerdicts);
            const works = contexts.map(({ loads }) => ({ ...loads.own() }));
            contexts.forEach(({ loads }, index) =>
                works.forEach((work, peer) => peer === index ? undefined : loads.setPeer(String(peer), work))
            );
        }
        const context = contexts[Math.floor(random() * contexts.length)];
        if (context !== undefined) {
            running.push(call(context));
        }
        await clock.advance(-Math.log(1 - random()) * msPerSecond / spec.callsPerSecond(nowMs));
    }
    await clock.advance(callerTimeoutMs);
    await Promise.all(running);
    return { ...counts, rejections, statusChecks, sends };
}
