/**
 * A fleet in virtual time: several entries with the product's own forwarding over model engines, and callers that follow
 * a pattern of load. Measures what the brief asks of a load policy.
 */

import { Result } from "true-myth";
import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { EnginePort, EngineRecord } from "../src/engines/enginePort.js";
import type { ForwardContext } from "../src/forwarding/context.js";
import { forward } from "../src/forwarding/forward.js";
import type { ForwardOutcome } from "../src/forwarding/forwardRequest.js";
import type { DecodePlaces, PlaceDependencies } from "../src/scheduling/decodePlaces.js";
import { createRigContext, engineRecord, requestTo, routeOf, stateOf } from "./forwardingRig.js";
import { createModelEngine } from "./modelEngine.js";
import type { ModelEngine, ModelEngineShape, ModelRequest } from "./modelEngine.js";
import { createVirtualClock } from "./virtualClock.js";
import type { VirtualClock } from "./virtualClock.js";

export interface FleetShape {
    readonly entries: number;
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly engine: ModelEngineShape;
    /** Time to the first event and longest pause between events that make an answer good. */
    readonly objectiveMs: number;
    readonly maxGapMs: number;
}

export interface Arrival {
    readonly atMs: number;
    readonly clientAccount: string;
    readonly size: ModelRequest;
    /** The caller's estimate of its output. */
    readonly hintTokens: number;
}

/** What the brief asks of a policy. */
export interface FleetMeasures {
    readonly asked: number;
    /** Answers within both latency targets, per second of the load. */
    readonly goodputPerSecond: number;
    /** Part of all requests that were good. */
    readonly goodPart: number;
    /** Part of the prompts read whose result was not used, or that were read again. */
    readonly wastedPrefillPart: number;
    /** Part of its requests that were good, at the worst-served client account. */
    readonly worstAccountPart: number;
    readonly refusedPart: number;
}

export type PlacesFactory = (dependencies: PlaceDependencies, random: Random) => DecodePlaces;

interface Ended {
    readonly clientAccount: string;
    readonly outcome: "good" | "late" | "refused" | "broken";
}

const service = "models";
const exchangeMs = 400;
const callerPatienceMs = 14_000;
const timeoutMs = 14_000;
const settleMs = 20_000;
const stepMs = 5;
const msPerSecond = 1_000;

function enginePort(engines: ReadonlyMap<string, ModelEngine>): EnginePort {
    const engineOf = (id: string): ModelEngine => {
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
        report: async () => Result.err({ kind: "unreachable", cause: "the model has no reports" }),
        orderStage: async () => "rejected",
        keepOnly: () => undefined,
        setMaxConnections: () => undefined,
        close: async () => undefined,
    };
}

function createEngines(shape: FleetShape, clock: VirtualClock): {
    readonly engines: ReadonlyMap<string, ModelEngine>;
    readonly records: readonly EngineRecord[];
} {
    const engines = new Map<string, ModelEngine>();
    const records: EngineRecord[] = [];
    for (let index = 0; index < shape.prefillEngines + shape.decodeEngines; index++) {
        const stage = index < shape.prefillEngines ? "prefill" : "decode";
        const id = `${stage}-${index}`;
        const cacheOf = ({ address, handle }: { readonly address: string; readonly handle: string; }): boolean =>
            engines.get(address)?.takeCache(handle, true) ?? false;
        engines.set(id, createModelEngine(id, stage, shape.engine, clock, cacheOf));
        records.push(engineRecord(id, stage, { slots: shape.engine.slots, address: id }));
    }
    return { engines, records };
}

/** Entries tell each other regularly what they have in flight. */
function exchangeLoads(contexts: readonly ForwardContext[]): void {
    contexts.forEach((context, index) =>
        contexts.forEach((other, otherIndex) => {
            if (index !== otherIndex) {
                context.loads.setPeer(String(otherIndex), other.loads.own());
            }
        })
    );
}

async function follow(
    outcome: ForwardOutcome,
    arrival: Arrival,
    clock: VirtualClock,
    shape: FleetShape,
): Promise<Ended> {
    const { clientAccount } = arrival;
    if (outcome.kind === "refused") {
        return { clientAccount, outcome: "refused" };
    }
    // The head comes with the first event.
    let lastAtMs = clock.monotonicMs();
    const firstMs = lastAtMs - arrival.atMs;
    let maxGapMs = 0;
    try {
        for await (const chunk of outcome.answer.body) {
            const nowMs = clock.monotonicMs();
            maxGapMs = chunk === undefined ? maxGapMs : Math.max(maxGapMs, nowMs - lastAtMs);
            lastAtMs = nowMs;
        }
    }
    catch {
        return { clientAccount, outcome: "broken" };
    }
    const isGood = firstMs <= shape.objectiveMs && maxGapMs <= shape.maxGapMs;
    return { clientAccount, outcome: isGood ? "good" : "late" };
}

export async function playFleet(
    shape: FleetShape,
    arrivals: readonly Arrival[],
    createPlaces: PlacesFactory,
    seed: number,
): Promise<FleetMeasures> {
    const clock = createVirtualClock();
    const { engines, records } = createEngines(shape, clock);
    const { engine } = shape;
    const plain = stateOf([routeOf("stream", { timeoutMs, objectiveMs: shape.objectiveMs, maxGapMs: shape.maxGapMs })]);
    const figures = {
        slots: engine.slots,
        kvTokens: engine.kvTokens,
        reconfigureMs: 6_000,
        maxReservationMs: 2_000,
        tokensPerEvent: engine.tokensPerEvent,
    };
    const state = {
        ...plain,
        clientAccounts: [...new Set(arrivals.map(({ clientAccount }) => clientAccount))].map(name => ({
            name,
            keys: [name],
            unit: "tokens" as const,
            plainTokens: 0,
            ratePerSecond: 0,
            burst: 0,
        })),
        services: [{ name: service, maxConnections: 400, engine: figures }],
    };
    const port = enginePort(engines);
    const contexts = Array.from({ length: shape.entries }, (unused, index) => {
        const random = createRandom(seed * 100 + index);
        const entries = (): number => shape.entries;
        const places = (dependencies: PlaceDependencies): DecodePlaces => createPlaces(dependencies, random);
        const context = createRigContext({ clock, engines: port, state, random, entries, createPlaces: places });
        context.directory.load(records, false);
        return context;
    });

    async function ask(arrival: Arrival, index: number): Promise<Ended> {
        const context = contexts[index % contexts.length];
        if (context === undefined) {
            throw new Error("a fleet needs an entry");
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
            callerPatienceMs,
        });
        return follow(await forward(context, request), arrival, clock, shape);
    }

    const ended: Promise<Ended>[] = [];
    const lastMs = arrivals.at(-1)?.atMs ?? 0;
    let next = 0;
    for (let nowMs = 0; nowMs <= lastMs + settleMs; nowMs += stepMs) {
        for (; (arrivals[next]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs; next++) {
            const arrival = arrivals[next];
            if (arrival !== undefined) {
                ended.push(ask({ ...arrival, atMs: nowMs }, next));
            }
        }
        if (nowMs % exchangeMs === 0) {
            exchangeLoads(contexts);
        }
        await clock.advance(stepMs);
    }
    return measure(await Promise.all(ended), arrivals, engines, lastMs);
}

function measure(
    ended: readonly Ended[],
    arrivals: readonly Arrival[],
    engines: ReadonlyMap<string, ModelEngine>,
    lastMs: number,
): FleetMeasures {
    const partOf = (of: readonly Ended[], outcome: Ended["outcome"]): number =>
        of.filter(item => item.outcome === outcome).length / Math.max(1, of.length);
    const accounts = [...new Set(ended.map(({ clientAccount }) => clientAccount))];
    const readTokens = [...engines.values()].reduce((sum, engine) => sum + engine.figures().readTokens, 0);
    const usedTokens = ended.reduce(
        (sum, { outcome }, index) =>
            sum + (outcome === "good" || outcome === "late" ? arrivals[index]?.size.promptTokens ?? 0 : 0),
        0,
    );
    const good = ended.filter(({ outcome }) => outcome === "good").length;
    return {
        asked: ended.length,
        goodputPerSecond: good / Math.max(1, lastMs / msPerSecond),
        goodPart: partOf(ended, "good"),
        wastedPrefillPart: Math.max(0, 1 - usedTokens / Math.max(1, readTokens)),
        worstAccountPart: Math.min(
            ...accounts.map(account => partOf(ended.filter(item => item.clientAccount === account), "good")),
        ),
        refusedPart: partOf(ended, "refused"),
    };
}
