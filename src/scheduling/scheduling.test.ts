/**
 * Who waits for a place, in which order, and who is refused. Each case names the pattern of load that it answers.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingRig,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    smallSize,
    stateOf,
} from "../../fakes/forwardingRig.js";
import type { ForwardingRig } from "../../fakes/forwardingRig.js";
import type { EngineRecord, Stage } from "../engines/enginePort.js";
import type { ForwardRequest, GenerationSize } from "../forwarding/forwardRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import { isSoonerByItself, mayReadItself, rankForDecode, rankForPlain } from "./placement.js";
import { createWaitingLine } from "./waitingLine.js";
import type { Waiter } from "./waitingLine.js";

const decode = [engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];
const prefill = engineRecord("p-1", "prefill");

function generationOf(size: GenerationSize, request: Partial<ForwardRequest> = {}): GenerationRequest {
    const state = stateOf([routeOf("stream")]);
    const figures = state.services[1]?.engine;
    const route = state.routes[0];
    if (figures === undefined || route === undefined) {
        throw new Error("the rig's state has changed");
    }
    return {
        request: requestTo("/stream/x", { size, ...request }),
        route,
        service: "models",
        dueAtMs: 2_000,
        size,
        figures,
        arrivals: { mayCall: () => true, noteCall: () => undefined, notePrefill: () => undefined },
    };
}

function rigWith(reserve: (engine: EngineRecord, tokens: number) => boolean): ForwardingRig {
    let holds = 0;
    const rig = createForwardingRig(stateOf([routeOf("stream")]), {
        reserve: async (engine, tokens) => {
            holds += 1;
            return reserve(engine, tokens) ? Result.ok({ id: `h-${holds}`, tokens }) : errorOf("notExecuted");
        },
    });
    rig.load([prefill, ...decode]);
    return rig;
}

const sizeOf = (promptTokens: number): GenerationSize => ({ ...smallSize, promptTokens });

describe("places at decode engines", () => {
    it("burst: requests wait for memory that others free, and get it in their order", async () => {
        let hasRoom = false;
        const rig = rigWith(() => hasRoom);
        const order: string[] = [];
        const all = ["r-1", "r-2", "r-3"].map(async requestId => {
            const place = await rig.context.places.obtain(generationOf(sizeOf(1_000), { requestId }));
            order.push(place.isOk ? requestId : "refused");
        });
        await rig.clock.advance(200);
        expect(order).toEqual([]);
        expect(rig.context.places.waiting()).toBe(3);
        hasRoom = true;
        await rig.clock.advance(200);
        await Promise.all(all);
        expect(order).toEqual(["r-1", "r-2", "r-3"]);
    });

    it("lasting overload: who can't be served in time is refused at once and told when to come back", async () => {
        const rig = rigWith(() => false);
        const waiting = Array.from({ length: 40 }, () => rig.context.places.obtain(generationOf(sizeOf(3_000))));
        const settled = await Promise.race([waiting.at(-1), rig.clock.settle()]);
        expect(settled?.isErr && settled.error.cause).toBe("too many requests wait for a decode engine");
        expect(settled?.isErr && settled.error.retryAfterMs).toBeGreaterThan(400);
        await rig.clock.advance(2_000);
        const ended = await Promise.all(waiting);
        expect(ended.every(place => place.isErr)).toBe(true);
    });

    it("many requests at one moment: nobody is refused while the engines have room", async () => {
        const rig = rigWith(() => true);
        const places = Array.from({ length: 4 }, () => rig.context.places.obtain(generationOf(sizeOf(4_500))));
        await rig.clock.advance(50);
        expect((await Promise.all(places)).every(place => place.isOk)).toBe(true);
    });

    it("first requests after a quiet time: nobody is refused because nothing was granted lately", async () => {
        const rig = rigWith(() => false);
        const places = [1, 2].map(() => rig.context.places.obtain(generationOf(sizeOf(3_000))));
        const first = await Promise.race([...places, rig.clock.settle()]);
        expect(first).toBeUndefined();
        await rig.clock.advance(2_000);
    });

    it("full engines: no more is placed than the memory that answers will need", async () => {
        const rig = rigWith(() => true);
        const { places } = rig.context;
        const asked = Array.from({ length: 4 }, () => places.obtain(generationOf(sizeOf(4_500))));
        await rig.clock.advance(50);
        expect(places.waiting()).toBe(0);
        const one = places.obtain(generationOf(sizeOf(4_500)));
        await rig.clock.advance(50);
        expect(places.waiting()).toBe(1);
        const granted = (await Promise.all(asked)).map(place => place.unwrapOr(undefined as never));
        expect(granted.map(({ engine }) => engine.id).sort()).toEqual(["m-1", "m-1", "m-2", "m-2"]);
        granted[0]?.end();
        await rig.clock.advance(50);
        expect((await one).isOk).toBe(true);
    });

    it("callers that leave while they wait are forgotten", async () => {
        const rig = rigWith(() => false);
        const caller = new AbortController();
        const place = rig.context.places.obtain(generationOf(sizeOf(1_000), { callerGone: caller.signal }));
        await rig.clock.settle();
        caller.abort();
        expect((await place).isErr).toBe(true);
        expect(rig.context.places.waiting()).toBe(0);
    });

    it("larger than any engine: refused at once", async () => {
        const rig = rigWith(() => true);
        expect((await rig.context.places.obtain(generationOf(sizeOf(20_000)))).isErr).toBe(true);
        expect(rig.calls).toEqual([]);
    });
});

function waiter(name: string, changes: Partial<Waiter> = {}): Waiter & { readonly name: string; } {
    return {
        name,
        clientAccount: name,
        tokens: 100,
        arrivedAtMs: 0,
        onTimeUntilMs: 500,
        givenUpAtMs: 1_000,
        ...changes,
    };
}

interface LineCase {
    readonly name: string;
    readonly nowMs: number;
    readonly waiting: readonly (Waiter & { readonly name: string; })[];
    readonly granted?: Readonly<Record<string, number>>;
    readonly order: readonly string[];
}

const lineCases: readonly LineCase[] = [
    {
        name: "the one that must be on its way first",
        nowMs: 0,
        waiting: [waiter("a", { onTimeUntilMs: 600 }), waiter("b")],
        order: ["b", "a"],
    },
    {
        name: "late ones behind those that can still be on time",
        nowMs: 300,
        waiting: [waiter("late", { onTimeUntilMs: 200 }), waiter("a")],
        order: ["a", "late"],
    },
    {
        name: "hot account: accounts take turns by what they were granted lately",
        nowMs: 0,
        waiting: [waiter("hot"), waiter("small", { onTimeUntilMs: 550 })],
        granted: { hot: 50_000 },
        order: ["small", "hot"],
    },
    {
        name: "large requests: nobody overtakes the head that has waited for long",
        nowMs: 400,
        waiting: [waiter("large", { tokens: 9_000 }), waiter("small", { arrivedAtMs: 390, onTimeUntilMs: 890 })],
        order: ["large"],
    },
];

describe("the order of the line", () => {
    it.each(lineCases)("$name", ({ nowMs, waiting, granted, order }) => {
        const line = createWaitingLine<Waiter & { readonly name: string; }>();
        waiting.forEach(line.add);
        Object.entries(granted ?? {}).forEach(([account, tokens]) => line.noteGranted(account, tokens, nowMs));
        expect(line.candidates(nowMs).map(item => item.name)).toEqual(order);
    });

    it("gives up whom it can't serve in time any more", () => {
        const line = createWaitingLine<Waiter & { readonly name: string; }>();
        line.add(waiter("a"));
        expect(line.takeExpired(999)).toEqual([]);
        expect(line.takeExpired(1_000).map(item => item.name)).toEqual(["a"]);
        expect(line.size()).toBe(0);
    });
});

describe("placement", () => {
    const work = { requests: 0, kvTokens: 0, prefillTokens: 0 };
    const viewOf = (loads: Readonly<Record<string, Partial<typeof work>>>) => ({
        dataCentre: "a",
        workAt: (id: string) => ({ ...work, ...loads[id] }),
        staged: (service: string, stage: Stage) => [prefill, ...decode].filter(engine => engine.stage === stage),
        random: () => 0,
    });

    it("prefers memory, then the own data centre", () => {
        const engines = [engineRecord("far", "decode", { dataCentre: "b" }), engineRecord("near", "decode")];
        expect(rankForDecode(viewOf({}), engines, 10_000)[0]?.id).toBe("near");
        expect(rankForDecode(viewOf({ near: { kvTokens: 5_000 } }), engines, 10_000)[0]?.id).toBe("far");
    });

    it("prefers the shorter queue of plain instances", () => {
        const engines = [engineRecord("x"), engineRecord("y")];
        expect(rankForPlain(viewOf({ x: { requests: 2 } }), engines)[0]?.id).toBe("y");
    });

    it("burst of prompts: a decode engine reads by itself where that is sooner and its events stay in time", () => {
        const [engine] = decode;
        const { route, figures } = generationOf(smallSize);
        expect(mayReadItself(route, { ...figures, tokensPerEvent: 8 })).toBe(true);
        expect(mayReadItself(route, { ...figures, tokensPerEvent: 11 })).toBe(false);
        if (engine !== undefined) {
            expect(isSoonerByItself(viewOf({}), engine, prefill, 5_000)).toBe(false);
            expect(isSoonerByItself(viewOf({ "p-1": { prefillTokens: 20_000 } }), engine, prefill, 5_000)).toBe(true);
        }
    });
});
