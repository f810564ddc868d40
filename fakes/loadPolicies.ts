/**
 * Load policies for experiments: the current one, and the alternatives that it is compared with (see docs/POLICY.md).
 */

import { Result } from "true-myth";
import { expectedOutputTokens } from "../src/scheduling/decodeReservations.js";
import { createDecodeScheduler } from "../src/scheduling/decodeScheduler.js";
import type { DecodeScheduler, DecodeSchedulerDependencies } from "../src/scheduling/decodeScheduler.js";
import { defaultDecodeSchedulerSettings } from "../src/scheduling/decodeSchedulerSettings.js";
import type { DecodeSchedulerSettings } from "../src/scheduling/decodeSchedulerSettings.js";
import type { DecodeSchedulerFactory, FleetSpec } from "./simulatedFleet.js";

export interface LoadPolicy {
    readonly createScheduler: DecodeSchedulerFactory;
    /** Divides the engines of a fleet between prefill and decode as the policy requires. */
    readonly divideEngines: (fleet: FleetSpec) => FleetSpec;
}

// The baselines without a queue use the values of the first entry that ran on the platform.
const retryAfterMs = 1_000;
const reservationMs = 1_800;
const reserveTimeoutMs = 300;
/** Mean duration of a response in the benchmark, over both sites. */
const responseMs = 3_600;

function withSettings(settings: Partial<DecodeSchedulerSettings>): DecodeSchedulerFactory {
    return dependencies => createDecodeScheduler(dependencies, { ...defaultDecodeSchedulerSettings, ...settings });
}

/** The default scheduler for requests that all have one priority, whatever the desired state says. */
function withEqualPriorities(dependencies: DecodeSchedulerDependencies): DecodeScheduler {
    const scheduler = createDecodeScheduler(dependencies, defaultDecodeSchedulerSettings);
    return { ...scheduler, allocate: generation => scheduler.allocate({ ...generation, priority: 5 }) };
}

/** Tries to reserve at one engine, chosen by `chooseIndex`, and refuses the request if it is full: no queue, no load estimate. */
function withoutQueue(
    chooseIndex: (engineCount: number) => number,
): (dependencies: DecodeSchedulerDependencies) => DecodeScheduler {
    return ({ view, loads, engines }) => ({
        expectedResponseMs: () => responseMs,
        retryAfterMs: () => retryAfterMs,
        queuedRequests: () => 0,
        shortStage: () => undefined,
        allocate: async ({ service, size }) => {
            const candidates = view.enginesFor(service, "decode");
            const engine = candidates[chooseIndex(candidates.length)];
            if (engine === undefined) {
                return Result.err({ cause: "no decode engine is available", retryAfterMs });
            }
            const outputTokens = expectedOutputTokens(size);
            const tokens = size.promptTokens
                + Math.ceil(outputTokens * defaultDecodeSchedulerSettings.reservedOutputFraction);
            const reserved = await engines.reserve(engine, tokens, reservationMs, reserveTimeoutMs);
            if (reserved.isErr) {
                return Result.err({ cause: "the engine is full", retryAfterMs });
            }
            const kvTokens = size.promptTokens + outputTokens;
            const end = loads.start(engine.id, { requests: 1, kvTokens, prefillTokens: 0 });
            return Result.ok({ engine, reservation: reserved.value, hasPermit: false, end });
        },
    });
}

function withPrefillEngines(prefillEngines: number): LoadPolicy["divideEngines"] {
    return fleet => ({
        ...fleet,
        prefillEngines,
        decodeEngines: fleet.decodeEngines + fleet.prefillEngines - prefillEngines,
    });
}

const unchanged: LoadPolicy["divideEngines"] = fleet => fleet;

export const policies: Readonly<Record<string, LoadPolicy>> = {
    /** The default settings of the decode scheduler. */
    inForce: { createScheduler: withSettings({}), divideEngines: unchanged },
    equalPriorities: { createScheduler: withEqualPriorities, divideEngines: unchanged },
    onePrefillEngine: { createScheduler: withSettings({}), divideEngines: withPrefillEngines(1) },
    threePrefillEngines: { createScheduler: withSettings({}), divideEngines: withPrefillEngines(3) },
    /** Keeps requests queued for 0.6 s after they have missed their objective; an earlier default. */
    waitsWhenLate: { createScheduler: withSettings({ queueTimeoutFraction: 1.67 }), divideEngines: unchanged },
    /** Keeps requests queued until they have missed their objective. */
    waitsUntilLate: { createScheduler: withSettings({ queueTimeoutFraction: 1 }), divideEngines: unchanged },
    /** Asks engines for reservations regardless of the KV memory that the work in flight may need, by estimate. */
    allMemoryAsked: { createScheduler: withSettings({ maxKvUtilization: 100 }), divideEngines: unchanged },
    /** Reserves memory for the whole expected output instead of a fraction of it. */
    reserveWholeOutput: { createScheduler: withSettings({ reservedOutputFraction: 1 }), divideEngines: unchanged },
    /** Round robin over the decode engines. */
    inTurn: {
        createScheduler: dependencies => {
            let nextIndex = 0;
            return withoutQueue(engineCount => nextIndex++ % engineCount)(dependencies);
        },
        divideEngines: unchanged,
    },
    /** A uniformly random decode engine for each request. */
    atRandom: {
        createScheduler: (dependencies, random) =>
            withoutQueue(engineCount => Math.floor(random() * engineCount))(dependencies),
        divideEngines: unchanged,
    },
};

export const policyNames = Object.keys(policies);
