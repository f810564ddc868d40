/**
 * Which answers of engines lead to which outcome for the caller, and how often a request is sent.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    answerOf,
    createForwardingRig,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    smallSize,
    stateOf,
} from "../../fakes/forwardingRig.js";
import type { EngineScript } from "../../fakes/forwardingRig.js";
import type { EngineError } from "../engines/enginePort.js";
import type { Route, RouteKind } from "../routes/desiredState.js";
import { forward } from "./forward.js";
import type { ForwardOutcome, ForwardRequest } from "./forwardRequest.js";

const desk = [engineRecord("d-1"), engineRecord("d-2"), engineRecord("d-3")];
const models = [engineRecord("p-1", "prefill"), engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];

async function textOf(outcome: ForwardOutcome): Promise<string> {
    if (outcome.kind === "refused") {
        return String(outcome.refusal.status);
    }
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of outcome.answer.body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
    }
    catch {
        return `${outcome.answer.status} ${Buffer.concat(chunks).toString()}, broken`;
    }
    return `${outcome.answer.status} ${Buffer.concat(chunks).toString()}`;
}

/** Answers one send after the other; the last one repeats. */
function inTurn(answers: readonly (EngineError["kind"] | number)[]): EngineScript {
    let next = 0;
    return {
        send: async () => {
            const answer = answers[Math.min(next, answers.length - 1)] ?? 200;
            next += 1;
            return typeof answer === "number" ? answerOf(answer) : errorOf(answer);
        },
    };
}

interface PlainCase {
    readonly kind: RouteKind;
    readonly answers: readonly (EngineError["kind"] | number)[];
    readonly outcome: string;
    readonly sends: number;
}

const plainCases: readonly PlainCase[] = [
    { kind: "idempotent", answers: [200], outcome: "200 ok", sends: 1 },
    { kind: "idempotent", answers: [500, 200], outcome: "200 ok", sends: 2 },
    { kind: "idempotent", answers: [500], outcome: "500 ok", sends: 2 },
    { kind: "idempotent", answers: [404], outcome: "404 ok", sends: 1 },
    { kind: "idempotent", answers: ["interrupted", 200], outcome: "200 ok", sends: 2 },
    { kind: "idempotent", answers: ["interrupted"], outcome: "502", sends: 2 },
    { kind: "idempotent", answers: ["notExecuted", "notExecuted", 200], outcome: "200 ok", sends: 3 },
    { kind: "nonIdempotent", answers: [200], outcome: "200 ok", sends: 1 },
    { kind: "nonIdempotent", answers: [500, 200], outcome: "500 ok", sends: 1 },
    { kind: "nonIdempotent", answers: ["interrupted", 200], outcome: "502", sends: 1 },
    { kind: "nonIdempotent", answers: ["timeout", 200], outcome: "502", sends: 1 },
    { kind: "nonIdempotent", answers: ["notExecuted", 200], outcome: "200 ok", sends: 2 },
    { kind: "nonIdempotent", answers: ["unreachable", 200], outcome: "200 ok", sends: 2 },
    { kind: "nonIdempotent", answers: ["notExecuted", "interrupted"], outcome: "502", sends: 2 },
    { kind: "nonIdempotent", answers: ["notExecuted"], outcome: "503", sends: 3 },
];

describe("plain calls", () => {
    it.each(plainCases)("$kind, engines answer $answers: $outcome", async ({ kind, answers, outcome, sends }) => {
        const rig = createForwardingRig(stateOf([routeOf(kind)]), inTurn(answers));
        rig.load(desk);
        expect(await textOf(await forward(rig.context, requestTo(`/${kind}/x`)))).toBe(outcome);
        expect(rig.calls.filter(call => call.startsWith("send"))).toHaveLength(sends);
    });

    it("sends no repeat without retry budget", async () => {
        const rig = createForwardingRig(stateOf([routeOf("idempotent")]), inTurn([500]), {}, {
            ratio: 0,
            slack: 0,
            windowMs: 10_000,
        });
        rig.load(desk);
        expect(await textOf(await forward(rig.context, requestTo("/idempotent/x")))).toBe("500 ok");
        expect(rig.calls).toHaveLength(1);
    });
});

interface GuardCase {
    readonly name: string;
    readonly route: Partial<Route>;
    readonly request: Partial<ForwardRequest>;
    readonly outcome: string;
}

const guardCases: readonly GuardCase[] = [
    { name: "no key", route: { isPublic: false }, request: {}, outcome: "401" },
    { name: "an unknown key", route: { isPublic: false }, request: { key: "other" }, outcome: "401" },
    { name: "a known key", route: { isPublic: false }, request: { key: "key" }, outcome: "200 ok" },
    { name: "no key on a public route", route: {}, request: {}, outcome: "200 ok" },
    { name: "an unknown host", route: {}, request: { host: "other.example" }, outcome: "404" },
    { name: "an unknown path", route: {}, request: { path: "/other/x" }, outcome: "404" },
    { name: "a prefix without its slash", route: {}, request: { path: "/idempotent" }, outcome: "404" },
];

describe("guards", () => {
    it.each(guardCases)("$name: $outcome", async ({ route, request, outcome }) => {
        const rig = createForwardingRig(stateOf([routeOf("idempotent", route)]));
        rig.load(desk);
        expect(await textOf(await forward(rig.context, requestTo("/idempotent/x", request)))).toBe(outcome);
        expect(rig.calls.length > 0).toBe(outcome === "200 ok");
    });

    it("tells what it found out about a request, for the log", async () => {
        const rig = createForwardingRig(stateOf([routeOf("idempotent")]));
        rig.load(desk);
        const known = await forward(rig.context, requestTo("/idempotent/x", { key: "key" }));
        expect(known.facts).toEqual({ clientAccount: "account", route: "idempotent", objectiveMs: 900 });
        const unknown = await forward(rig.context, requestTo("/other/x"));
        expect(unknown.facts).toEqual({ clientAccount: undefined, route: undefined, objectiveMs: undefined });
    });

    it("refuses what is over the account's rate before any engine is asked, and tells when to come back", async () => {
        const rig = createForwardingRig(stateOf([routeOf("stream", { isPublic: false })]));
        rig.load(models);
        const large = { promptTokens: 900, maxOutputTokens: 50, outputHintTokens: undefined };
        const request = requestTo("/stream/x", { key: "key", size: large });
        expect(await textOf(await forward(rig.context, request))).toBe("200 ok");
        const callsBefore = rig.calls.length;
        const refused = await forward(rig.context, request);
        expect(refused).toMatchObject({ kind: "refused", refusal: { status: 429, retryAfterMs: 9_000 } });
        expect(rig.calls).toHaveLength(callsBefore);
    });
});

describe("generations", () => {
    it("reserves a place before the prompt is read, and has it read elsewhere", async () => {
        const rig = createForwardingRig(stateOf([routeOf("stream")]));
        rig.load(models);
        const outcome = await forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        expect(await textOf(outcome)).toBe("200 ok");
        expect(rig.calls).toEqual(["reserve m-1", "prefill p-1", "send m-1"]);
        expect(rig.context.loads.own()).toEqual({});
    });

    it("frees the reservation and the cache of a rejected send, and starts again", async () => {
        const rig = createForwardingRig(stateOf([routeOf("stream")]), inTurn(["notExecuted", 200]));
        rig.load(models);
        const outcome = await forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        expect(await textOf(outcome)).toBe("200 ok");
        expect(rig.calls).toContain("releaseReservation m-1");
        expect(rig.calls).toContain("releaseCache p-1:1");
        expect(rig.calls.at(-1)).toBe("send m-2");
    });

    it("does not repeat a stream whose send had no answer", async () => {
        const rig = createForwardingRig(stateOf([routeOf("stream")]), inTurn(["interrupted", 200]));
        rig.load(models);
        const outcome = await forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        expect(await textOf(outcome)).toBe("502");
        expect(rig.calls.filter(call => call.startsWith("send"))).toEqual(["send m-1"]);
    });

    it("lets the decode engine read the prompt where no prefill engine is left", async () => {
        const rig = createForwardingRig(stateOf([routeOf("stream")]));
        rig.load(models.slice(1));
        const outcome = await forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        expect(await textOf(outcome)).toBe("200 ok");
        expect(rig.calls).toEqual(["reserve m-1", "send m-1"]);
    });

    it("frees what it holds when the caller goes away during the prefill", async () => {
        const caller = new AbortController();
        const rig = createForwardingRig(stateOf([routeOf("stream")]), {
            prefill: async ({ address }) => {
                caller.abort();
                return Result.ok({ address, handle: "h", tokens: 1 });
            },
        });
        rig.load(models);
        await forward(rig.context, requestTo("/stream/x", { size: smallSize, callerGone: caller.signal }));
        expect(rig.calls).toEqual(["reserve m-1", "prefill p-1", "releaseReservation m-1", "releaseCache p-1:1"]);
        expect(rig.context.loads.own()).toEqual({});
    });
});

describe("an engine that drains while the prompt is read", () => {
    it("gets no request: the place is given back and another engine is taken", async () => {
        const drain = (): void =>
            rig.load(models.map(engine => engine.id === "m-1" ? { ...engine, state: "draining" } : engine));
        const rig = createForwardingRig(stateOf([routeOf("stream")]), {
            prefill: async ({ address }) => {
                drain();
                return Result.ok({ address, handle: "h", tokens: 1 });
            },
        });
        rig.load(models);
        const outcome = await forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        expect(await textOf(outcome)).toBe("200 ok");
        expect(rig.calls.filter(call => call.startsWith("send"))).toEqual(["send m-2"]);
        expect(rig.calls).toContain("releaseReservation m-1");
    });
});

interface ResumeCase {
    readonly name: string;
    /** Where the caller itself goes on. */
    readonly from?: string;
    readonly isResumable: boolean;
    readonly first: readonly string[];
    readonly outcome: string;
    readonly lastEventIds: readonly (string | undefined)[];
}

const resumeCases: readonly ResumeCase[] = [
    {
        name: "goes on after the last whole event",
        isResumable: true,
        first: ["id: 1\ndata: a\n\nid: 2\nda"],
        outcome: "200 id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        lastEventIds: [undefined, "1"],
    },
    {
        name: "starts anew where no event was whole",
        isResumable: true,
        first: ["id: 1\nda"],
        outcome: "200 id: 2\ndata: b\n\n",
        lastEventIds: [undefined, undefined],
    },
    {
        name: "goes on after the last whole event of a caller that itself went on after an event",
        from: "7",
        isResumable: true,
        first: ["id: 8\ndata: a\n\nid: 9\nda"],
        outcome: "200 id: 8\ndata: a\n\nid: 2\ndata: b\n\n",
        lastEventIds: ["7", "8"],
    },
    {
        name: "goes on where the caller went on, where no event was whole",
        from: "7",
        isResumable: true,
        first: ["id: 8\nda"],
        outcome: "200 id: 2\ndata: b\n\n",
        lastEventIds: ["7", "7"],
    },
    {
        name: "breaks off where the route forbids it",
        isResumable: false,
        first: ["id: 1\ndata: a\n\n"],
        outcome: "200 id: 1\ndata: a\n\n, broken",
        lastEventIds: [undefined],
    },
];

describe("a broken stream", () => {
    it.each(resumeCases)("$name", async ({ from, isResumable, first, outcome, lastEventIds }) => {
        const seen: (string | undefined)[] = [];
        const rig = createForwardingRig(stateOf([routeOf("stream", { isResumable })]), {
            send: async (engine, { lastEventId }) => {
                seen.push(lastEventId);
                if (seen.length > 1) {
                    return answerOf(200, ["id: 2\ndata: b\n\n"]);
                }
                const body = Readable.from((async function* broken(): AsyncGenerator<Buffer> {
                    yield* first.map(text => Buffer.from(text));
                    throw new Error("reset");
                })());
                return Result.ok({ engine: "", status: 200, headers: [], body });
            },
        });
        rig.load(models);
        const request = requestTo("/stream/x", { size: smallSize, lastEventId: from });
        expect(await textOf(await forward(rig.context, request))).toBe(outcome);
        expect(seen).toEqual(lastEventIds);
    });
});

describe("engines that stay silent", () => {
    it("has the prompt read at another engine when the first takes far longer than expected", async () => {
        const silent = (signal: AbortSignal): Promise<Result<never, EngineError>> =>
            new Promise(resolve => signal.addEventListener("abort", () => resolve(errorOf("timeout"))));
        const taken = Result.ok({ address: "p-2:1", handle: "h", tokens: 10 });
        const rig = createForwardingRig(stateOf([routeOf("stream")]), {
            prefill: async (engine, { signal }) => engine.id === "p-1" ? silent(signal) : taken,
        });
        rig.load([engineRecord("p-1", "prefill"), engineRecord("p-2", "prefill"), engineRecord("m-1", "decode")]);
        const outcome = forward(rig.context, requestTo("/stream/x", { size: smallSize }));
        await rig.clock.advance(500);
        expect(rig.calls).toEqual(["reserve m-1", "prefill p-1"]);
        await rig.clock.advance(500);
        expect(rig.calls.slice(2)).toEqual(["prefill p-2", "send m-1"]);
        expect(await textOf(await outcome)).toBe("200 ok");
    });

    it("tells the caller that the outcome is unknown when a call that must not run twice times out", async () => {
        const rig = createForwardingRig(stateOf([routeOf("nonIdempotent")]), {
            send: (engine, { signal }) =>
                new Promise(resolve => signal.addEventListener("abort", () => resolve(errorOf("cancelled")))),
        });
        rig.load(desk);
        const outcome = forward(rig.context, requestTo("/nonIdempotent/x"));
        await rig.clock.advance(2_000);
        expect(await textOf(await outcome)).toBe("504");
        expect(rig.calls).toHaveLength(1);
    });
});

interface TimeCase {
    readonly name: string;
    readonly outputTokens: number;
    readonly request: Partial<ForwardRequest>;
    /** When the entry's process ends, in milliseconds from now. */
    readonly endsAtMs: number | undefined;
    readonly outcome: string;
}

// The usual place lasts 4 s for 700 tokens; one answer in twenty takes 1.8 times as long as expected, or half.
const timeCases: readonly TimeCase[] = [
    {
        name: "in normal service",
        outputTokens: 1_400,
        request: { callerPatienceMs: 14_000 },
        endsAtMs: undefined,
        outcome: "200 ok",
    },
    {
        name: "a short answer, the entry ends later",
        outputTokens: 100,
        request: {},
        endsAtMs: 7_500,
        outcome: "200 ok",
    },
    {
        name: "a short answer, but estimates may be far off",
        outputTokens: 100,
        request: {},
        endsAtMs: 4_000,
        outcome: "503",
    },
    { name: "a short answer, the entry ends soon", outputTokens: 100, request: {}, endsAtMs: 1_500, outcome: "503" },
    {
        name: "a long answer, the entry ends later",
        outputTokens: 1_400,
        request: { callerPatienceMs: 14_000 },
        endsAtMs: 7_500,
        outcome: "503",
    },
    {
        name: "the caller waits for no more than a part",
        outputTokens: 1_400,
        request: { callerPatienceMs: 1_000 },
        endsAtMs: undefined,
        outcome: "503",
    },
    {
        name: "the caller has already waited long",
        outputTokens: 1_400,
        request: { callerPatienceMs: 9_000, receivedAtMs: -8_000 },
        endsAtMs: undefined,
        outcome: "503",
    },
    {
        name: "the caller may wait long enough",
        outputTokens: 1_400,
        request: { callerPatienceMs: 5_000 },
        endsAtMs: undefined,
        outcome: "200 ok",
    },
];

describe("answers that would be cut", () => {
    it.each(timeCases)(
        "$name, $outputTokens tokens: $outcome",
        async ({ outputTokens, request, endsAtMs, outcome }) => {
            const rig = createForwardingRig(stateOf([routeOf("stream", { timeoutMs: 14_000 })]));
            rig.load(models);
            const size = { promptTokens: 1_000, maxOutputTokens: outputTokens, outputHintTokens: outputTokens };
            const context = { ...rig.context, endsAtMs: () => endsAtMs };
            const result = await forward(context, requestTo("/stream/x", { size, ...request }));
            expect(await textOf(result)).toBe(outcome);
            expect(rig.calls.length > 0).toBe(outcome === "200 ok");
        },
    );
});
