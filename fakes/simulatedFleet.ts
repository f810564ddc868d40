/**
 * Simulates a fleet in virtual time: several entries run the production forwarding code against simulated engines, and
 * callers follow a load pattern. Computes the metrics by which load policies are compared.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { EnginePort, EngineRecord } from "../src/engines/enginePort.js";
import type { ForwardContext } from "../src/forwarding/context.js";
import { forward } from "../src/forwarding/forward.js";
import type { ForwardOutcome } from "../src/forwarding/forwardRequest.js";
import type { DecodeScheduler, DecodeSchedulerDependencies } from "../src/scheduling/decodeScheduler.js";
import { createTestForwardContext, desiredStateOf, engineRecord, requestTo, routeOf } from "./forwardingHarness.js";
import { createSimulatedEngine } from "./simulatedEngine.js";
import type { SimulatedEngine, SimulatedEngineSpec, SimulatedRequest } from "./simulatedEngine.js";
import { createVirtualClock } from "./virtualClock.js";
import type { VirtualClock } from "./virtualClock.js";

export interface FleetSpec {
    readonly entries: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly engine: SimulatedEngineSpec;
    /** A response is good if its time to the first event and its longest gap between events are within these targets. */
    readonly objectiveMs: number;
    readonly maxGapMs: number;
}

export interface Arrival {
    readonly atMs: number;
    readonly clientAccount: string;
    /** The client account's; 0 is the most urgent. */
    readonly priority: number;
    readonly size: SimulatedRequest;
    /** The caller's estimate of its output tokens. */
    readonly hintTokens: number;
}

/** The project's metrics for load policies. */
export interface FleetMetrics {
    readonly requestCount: number;
    /** Good responses per second, from the start to the last arrival. */
    readonly goodputPerSecond: number;
    /** Fraction of all requests with a good response. */
    readonly goodFraction: number;
    /** Fraction of the prefilled tokens that no completed response used, or that were prefilled again. */
    readonly wastedPrefillFraction: number;
    /** Lowest fraction of requests with a good response of any client account. */
    readonly worstAccountFraction: number;
    readonly refusedFraction: number;
    /** From the most urgent priority to the least. */
    readonly byPriority: readonly PriorityMetrics[];
}

/** What became of the requests of one priority. */
export interface PriorityMetrics {
    readonly priority: number;
    readonly requestCount: number;
    readonly goodFraction: number;
    readonly lateFraction: number;
    readonly refusedFraction: number;
    readonly brokenFraction: number;
    /** Mean time from the arrival to the refusal of a refused request; 0 if none was refused. */
    readonly refusedAfterMs: number;
}

export type DecodeSchedulerFactory = (dependencies: DecodeSchedulerDependencies, random: Random) => DecodeScheduler;

interface RequestResult {
    readonly clientAccount: string;
    readonly priority: number;
    readonly outcome: "good" | "late" | "refused" | "broken";
    /** Time from the arrival to the first event or the refusal. */
    readonly answeredAfterMs: number;
}

const service = "models";
const peerSyncIntervalMs = 400;
const defaultCallerTimeoutMs = 14_000;
const routeTimeoutMs = 14_000;
/** Time after the last arrival in which all requests end. */
const completionWindowMs = 20_000;
const tickMs = 5;
const msPerSecond = 1_000;

function createEnginePort(engines: ReadonlyMap<string, SimulatedEngine>): EnginePort {
    const engineOf = (id: string): SimulatedEngine => {
        const engine = engines.get(id);
        if (engine === undefined) {
            throw new Error(`the fleet has no engine ${id}`);
        }
        return engine;
    };
    return {
        send: (engine, request, options) => engineOf(engine.id).send(request, options),
        prefill: (engine, request) => engineOf(engine.id).prefill(request),
        reserve: async (engine, tokens, lifeMs) => engineOf(engine.id).reserve(tokens, lifeMs),
        releaseReservation: (engine, { id }) => engineOf(engine.id).releaseReservation(id),
        releaseCache: ({ address, handle }) => void engineOf(address).takeCache(handle, false),
        report: async () => Result.err({ kind: "unreachable", cause: "the simulation has no reports" }),
        checkStatus: async () => Result.err({ kind: "unreachable", cause: "the simulation has no status checks" }),
        orderStage: async () => "rejected",
        connectedAtMs: () => Number.NEGATIVE_INFINITY,
        keepOnly: () => undefined,
        setMaxConnections: () => undefined,
        close: async () => undefined,
    };
}

function createEngines(spec: FleetSpec, clock: VirtualClock): {
    readonly engines: ReadonlyMap<string, SimulatedEngine>;
    readonly records: readonly EngineRecord[];
} {
    const engines = new Map<string, SimulatedEngine>();
    const records: EngineRecord[] = [];
    for (let index = 0; index < spec.prefillEngines + spec.decodeEngines; index++) {
        const stage = index < spec.prefillEngines ? "prefill" : "decode";
        const id = `${stage}-${index}`;
        const consumeCache = ({ address, handle }: { readonly address: string; readonly handle: string; }): boolean =>
            engines.get(address)?.takeCache(handle, true) ?? false;
        engines.set(id, createSimulatedEngine(id, stage, spec.engine, clock, consumeCache));
        records.push(engineRecord(id, stage, { slots: spec.engine.slots, address: id }));
    }
    return { engines, records };
}

/** Gives each entry the in-flight load of every other entry, as the periodic peer synchronization does. */
function syncPeerLoads(contexts: readonly ForwardContext[]): void {
    contexts.forEach((context, index) =>
        contexts.forEach((other, otherIndex) => {
            if (index !== otherIndex) {
                context.loads.setPeer(String(otherIndex), other.loads.own());
            }
        })
    );
}

async function readResponse(
    outcome: ForwardOutcome,
    arrival: Arrival,
    clock: VirtualClock,
    spec: FleetSpec,
): Promise<RequestResult> {
    const { clientAccount, priority } = arrival;
    // The response head arrives with the first event.
    let lastEventAtMs = clock.monotonicMs();
    const answeredAfterMs = lastEventAtMs - arrival.atMs;
    if (outcome.kind === "refused") {
        return { clientAccount, priority, outcome: "refused", answeredAfterMs };
    }
    let maxGapMs = 0;
    try {
        for await (const chunk of outcome.answer.body) {
            const nowMs = clock.monotonicMs();
            maxGapMs = chunk === undefined ? maxGapMs : Math.max(maxGapMs, nowMs - lastEventAtMs);
            lastEventAtMs = nowMs;
        }
    }
    catch {
        return { clientAccount, priority, outcome: "broken", answeredAfterMs };
    }
    const isGood = answeredAfterMs <= spec.objectiveMs && maxGapMs <= spec.maxGapMs;
    return { clientAccount, priority, outcome: isGood ? "good" : "late", answeredAfterMs };
}

export async function simulateFleet(
    spec: FleetSpec,
    arrivals: readonly Arrival[],
    createScheduler: DecodeSchedulerFactory,
    seed: number,
): Promise<FleetMetrics> {
    const clock = createVirtualClock();
    const { engines, records } = createEngines(spec, clock);
    const { engine } = spec;
    const baseState = desiredStateOf([
        routeOf("stream", { timeoutMs: routeTimeoutMs, objectiveMs: spec.objectiveMs, maxGapMs: spec.maxGapMs }),
    ]);
    const engineSpec = {
        slots: engine.slots,
        kvTokens: engine.kvTokens,
        reconfigureMs: 6_000,
        maxReservationMs: 2_000,
        tokensPerEvent: engine.tokensPerEvent,
    };
    const state = {
        ...baseState,
        clientAccounts: [
            ...new Map(arrivals.map(({ clientAccount, priority }) => [clientAccount, priority])),
        ].map(([name, priority]) => ({
            name,
            keys: [name],
            unit: "tokens" as const,
            plainTokens: 0,
            ratePerSecond: 0,
            burst: 0,
            priority,
            homeRegions: undefined,
        })),
        services: [{
            name: service,
            maxConnections: 400,
            coldRequestsPerSecond: 0,
            coldStartMs: 0,
            engine: engineSpec,
        }],
    };
    const enginePort = createEnginePort(engines);
    const contexts = Array.from({ length: spec.entries }, (unused, index) => {
        const random = createRandom(seed * 100 + index);
        const entries = (): number => spec.entries;
        const createSeededScheduler = (dependencies: DecodeSchedulerDependencies): DecodeScheduler =>
            createScheduler(dependencies, random);
        const context = createTestForwardContext({
            clock,
            engines: enginePort,
            state,
            random,
            entries,
            createScheduler: createSeededScheduler,
        });
        context.directory.load(records, "current");
        return context;
    });

    async function sendRequest(arrival: Arrival, index: number): Promise<RequestResult> {
        const context = contexts[index % contexts.length];
        if (context === undefined) {
            throw new Error("a fleet needs at least one entry");
        }
        const { size } = arrival;
        const request = requestTo("/stream/x", {
            requestId: `r-${index}`,
            key: arrival.clientAccount,
            body: Buffer.from(JSON.stringify(size)),
            size: {
                promptTokens: size.promptTokens,
                maxOutputTokens: Math.max(size.outputTokens, arrival.hintTokens),
                outputHintTokens: arrival.hintTokens,
            },
            receivedAtMs: clock.monotonicMs(),
            callerTimeoutMs: defaultCallerTimeoutMs,
        });
        return readResponse(await forward(context, request), arrival, clock, spec);
    }

    const results: Promise<RequestResult>[] = [];
    const lastArrivalMs = arrivals.at(-1)?.atMs ?? 0;
    let nextIndex = 0;
    for (let nowMs = 0; nowMs <= lastArrivalMs + completionWindowMs; nowMs += tickMs) {
        for (; (arrivals[nextIndex]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs; nextIndex++) {
            const arrival = arrivals[nextIndex];
            if (arrival !== undefined) {
                results.push(sendRequest({ ...arrival, atMs: nowMs }, nextIndex));
            }
        }
        if (nowMs % peerSyncIntervalMs === 0) {
            syncPeerLoads(contexts);
        }
        await clock.advance(tickMs);
    }
    return computeMetrics(await Promise.all(results), arrivals, engines, lastArrivalMs);
}

function computeMetrics(
    results: readonly RequestResult[],
    arrivals: readonly Arrival[],
    engines: ReadonlyMap<string, SimulatedEngine>,
    lastArrivalMs: number,
): FleetMetrics {
    const fractionOf = (subset: readonly RequestResult[], outcome: RequestResult["outcome"]): number =>
        subset.filter(item => item.outcome === outcome).length / Math.max(1, subset.length);
    const accounts = [...new Set(results.map(({ clientAccount }) => clientAccount))];
    const prefilledTokens = [...engines.values()].reduce((sum, engine) => sum + engine.stats().prefilledTokens, 0);
    const usefulTokens = results.reduce(
        (sum, { outcome }, index) =>
            sum + (outcome === "good" || outcome === "late" ? arrivals[index]?.size.promptTokens ?? 0 : 0),
        0,
    );
    const good = results.filter(({ outcome }) => outcome === "good").length;
    return {
        requestCount: results.length,
        goodputPerSecond: good / Math.max(1, lastArrivalMs / msPerSecond),
        goodFraction: fractionOf(results, "good"),
        wastedPrefillFraction: Math.max(0, 1 - usefulTokens / Math.max(1, prefilledTokens)),
        worstAccountFraction: Math.min(
            ...accounts.map(account => fractionOf(results.filter(item => item.clientAccount === account), "good")),
        ),
        refusedFraction: fractionOf(results, "refused"),
        byPriority: [...new Set(results.map(({ priority }) => priority))].sort((a, b) => a - b).map(priority => {
            const subset = results.filter(item => item.priority === priority);
            const refused = subset.filter(({ outcome }) => outcome === "refused");
            return {
                priority,
                requestCount: subset.length,
                goodFraction: fractionOf(subset, "good"),
                lateFraction: fractionOf(subset, "late"),
                refusedFraction: fractionOf(subset, "refused"),
                brokenFraction: fractionOf(subset, "broken"),
                refusedAfterMs: refused.reduce((sum, { answeredAfterMs }) => sum + answeredAfterMs, 0)
                    / Math.max(1, refused.length),
            };
        }),
    };
}
