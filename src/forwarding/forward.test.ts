/**
 * Which outcome the caller gets for each response of the engines, and how often a request is sent.
 */

import { Readable } from "node:stream";
import { setImmediate as nextTurn } from "node:timers/promises";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { EngineScript, ForwardingHarness } from "../../fakes/forwardingHarness.js";
import type { EngineError } from "../engines/enginePort.js";
import type { Route, RouteKind } from "../routes/desiredState.js";
import { expectedOutputTokens } from "../scheduling/decodeReservations.js";
import { forward } from "./forward.js";
import type { ForwardRequest, GenerationSize } from "./forwardRequest.js";

const plainEngines = [engineRecord("d-1"), engineRecord("d-2"), engineRecord("d-3")];
const modelEngines = [engineRecord("p-1", "prefill"), engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];

/** Responds to each send with the next of `responses`; the last one repeats. */
function respondInOrder(responses: readonly (EngineError["kind"] | number)[]): EngineScript {
    let next = 0;
    return {
        send: async () => {
            const response = responses[Math.min(next, responses.length - 1)] ?? 200;
            next += 1;
            return typeof response === "number" ? responseOf(response) : errorOf(response);
        },
    };
}

interface PlainCase {
    readonly kind: RouteKind;
    readonly responses: readonly (EngineError["kind"] | number)[];
    readonly outcome: string;
    readonly sends: number;
}

const plainCases: readonly PlainCase[] = [
    { kind: "idempotent", responses: [200], outcome: "200 ok", sends: 1 },
    { kind: "idempotent", responses: [500, 200], outcome: "200 ok", sends: 2 },
    { kind: "idempotent", responses: [500], outcome: "500 ok", sends: 2 },
    { kind: "idempotent", responses: [404], outcome: "404 ok", sends: 1 },
    { kind: "idempotent", responses: ["interrupted", 200], outcome: "200 ok", sends: 2 },
    { kind: "idempotent", responses: ["interrupted"], outcome: "502", sends: 2 },
    { kind: "idempotent", responses: ["notExecuted", "notExecuted", 200], outcome: "200 ok", sends: 3 },
    { kind: "nonIdempotent", responses: [200], outcome: "200 ok", sends: 1 },
    { kind: "nonIdempotent", responses: [500, 200], outcome: "500 ok", sends: 1 },
    { kind: "nonIdempotent", responses: ["interrupted", 200], outcome: "502", sends: 1 },
    { kind: "nonIdempotent", responses: ["timeout", 200], outcome: "502", sends: 1 },
    { kind: "nonIdempotent", responses: ["notExecuted", 200], outcome: "200 ok", sends: 2 },
    { kind: "nonIdempotent", responses: ["unreachable", 200], outcome: "200 ok", sends: 2 },
    { kind: "nonIdempotent", responses: ["notExecuted", "interrupted"], outcome: "502", sends: 2 },
    { kind: "nonIdempotent", responses: ["notExecuted"], outcome: "503", sends: 3 },
];

const generationKinds: readonly (readonly [string, Partial<Route>, Partial<ForwardRequest>])[] = [
    ["a stream", {}, { size: smallSize }],
    ["a stream that may be resumed", { isResumable: true }, { size: smallSize }],
    ["a stream of a plain service", { services: [{ service: "desk", weight: 1 }] }, {}],
];

// Guards against callers that repeat a request which has run: an engine's status alone does not state that it has not.
describe.each([408, 421, 429, 503])(
    "status %d without the engine's statement that it has not run the request",
    status => {
        const plain: readonly PlainCase[] = [
            { kind: "nonIdempotent", responses: [status, 200], outcome: "502", sends: 1 },
            { kind: "nonIdempotent", responses: ["notExecuted", status], outcome: "502", sends: 2 },
            { kind: "idempotent", responses: [status, 200], outcome: "200 ok", sends: 2 },
            { kind: "idempotent", responses: [status], outcome: "502", sends: 2 },
            { kind: "idempotent", responses: ["interrupted", status], outcome: "502", sends: 2 },
        ];

        it.each(plain)("$kind, engines respond $responses: $outcome", async ({ kind, responses, outcome, sends }) => {
            const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]), respondInOrder(responses));
            harness.load(plainEngines);
            expect(await describeOutcome(await forward(harness.context, requestTo(`/${kind}/x`)))).toBe(outcome);
            expect(harness.calls.filter(call => call.startsWith("send"))).toHaveLength(sends);
        });

        it.each(generationKinds)("%s: 502, and nothing is left reserved", async (name, route, request) => {
            const harness = createForwardingHarness(
                desiredStateOf([routeOf("stream", route)]),
                respondInOrder([status]),
            );
            harness.load([...plainEngines, ...modelEngines]);
            expect(await describeOutcome(await forward(harness.context, requestTo("/stream/x", request)))).toBe("502");
            await nextTurn();
            expect(harness.context.loads.own()).toEqual({});
        });
    },
);

describe("plain calls", () => {
    it.each(plainCases)("$kind, engines respond $responses: $outcome", async ({ kind, responses, outcome, sends }) => {
        const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]), respondInOrder(responses));
        harness.load(plainEngines);
        expect(await describeOutcome(await forward(harness.context, requestTo(`/${kind}/x`)))).toBe(outcome);
        expect(harness.calls.filter(call => call.startsWith("send"))).toHaveLength(sends);
    });

    it("does not retry without retry budget", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("idempotent")]), respondInOrder([500]), {}, {
            ratio: 0,
            slack: 0,
            windowMs: 10_000,
        });
        harness.load(plainEngines);
        expect(await describeOutcome(await forward(harness.context, requestTo("/idempotent/x")))).toBe("500 ok");
        expect(harness.calls).toHaveLength(1);
    });
});

interface CheckCase {
    readonly name: string;
    readonly route: Partial<Route>;
    readonly request: Partial<ForwardRequest>;
    /** Whether other entries have a newer desired state in force. */
    readonly isOutdated?: boolean;
    readonly outcome: string;
}

const checkCases: readonly CheckCase[] = [
    { name: "no key", route: { isPublic: false }, request: {}, outcome: "401" },
    { name: "an unknown key", route: { isPublic: false }, request: { key: "other" }, outcome: "401" },
    { name: "a known key", route: { isPublic: false }, request: { key: "key" }, outcome: "200 ok" },
    { name: "no key on a public route", route: {}, request: {}, outcome: "200 ok" },
    { name: "an unknown host", route: {}, request: { host: "other.example" }, outcome: "404" },
    { name: "an unknown path", route: {}, request: { path: "/other/x" }, outcome: "404" },
    { name: "a prefix without its slash", route: {}, request: { path: "/idempotent" }, outcome: "404" },
    // Callers don't retry after 401 and 404, although the next entry would have served them.
    { name: "a path that may be newer", route: {}, request: { path: "/other/x" }, isOutdated: true, outcome: "503" },
    {
        name: "a key that may be newer",
        route: { isPublic: false },
        request: { key: "other" },
        isOutdated: true,
        outcome: "503",
    },
    { name: "a known path at an entry that is behind", route: {}, request: {}, isOutdated: true, outcome: "200 ok" },
];

describe("checks before forwarding", () => {
    it.each(checkCases)("$name: $outcome", async ({ route, request, isOutdated = false, outcome }) => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("idempotent", route)]));
        harness.load(plainEngines);
        const context = { ...harness.context, isOutdated: () => isOutdated };
        expect(await describeOutcome(await forward(context, requestTo("/idempotent/x", request)))).toBe(outcome);
        expect(harness.calls.length > 0).toBe(outcome === "200 ok");
    });

    it("returns the log fields of a request", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("idempotent")]));
        harness.load(plainEngines);
        const known = await forward(harness.context, requestTo("/idempotent/x", { key: "key" }));
        expect(known.logFields).toEqual({ clientAccount: "account", route: "idempotent", cost: 10, objectiveMs: 900 });
        const unknown = await forward(harness.context, requestTo("/other/x"));
        expect(unknown.logFields).toEqual({
            clientAccount: undefined,
            route: undefined,
            cost: undefined,
            objectiveMs: undefined,
        });
    });

    it("refuses a request over the account's rate before any engine is called, with a retry delay", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream", { isPublic: false })]));
        harness.load(modelEngines);
        const large = { promptTokens: 900, maxOutputTokens: 50, outputHintTokens: undefined };
        const request = requestTo("/stream/x", { key: "key", size: large });
        expect(await describeOutcome(await forward(harness.context, request))).toBe("200 ok");
        const callsBefore = harness.calls.length;
        const refused = await forward(harness.context, request);
        expect(refused).toMatchObject({ kind: "refused", refusal: { status: 429, retryAfterMs: 9_000 } });
        expect(harness.calls).toHaveLength(callsBefore);
    });
});

describe("generations", () => {
    it("reserves capacity at a decode engine before the prompt is prefilled at another engine", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]));
        harness.load(modelEngines);
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("200 ok");
        expect(harness.calls).toEqual(["reserve m-1", "prefill p-1", "send m-1"]);
        expect(harness.context.loads.own()).toEqual({});
    });

    it("releases the reservation and the cache of a rejected send, and starts again", async () => {
        const harness = createForwardingHarness(
            desiredStateOf([routeOf("stream")]),
            respondInOrder(["notExecuted", 200]),
        );
        harness.load(modelEngines);
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("200 ok");
        expect(harness.calls).toContain("releaseReservation m-1");
        expect(harness.calls).toContain("releaseCache p-1:1");
        expect(harness.calls.at(-1)).toBe("send m-2");
    });

    it("does not retry a stream whose send was interrupted", async () => {
        const harness = createForwardingHarness(
            desiredStateOf([routeOf("stream")]),
            respondInOrder(["interrupted", 200]),
        );
        harness.load(modelEngines);
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("502");
        expect(harness.calls.filter(call => call.startsWith("send"))).toEqual(["send m-1"]);
    });

    it("lets the decode engine prefill the prompt if there is no prefill engine", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]));
        harness.load(modelEngines.slice(1));
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("200 ok");
        expect(harness.calls).toEqual(["reserve m-1", "send m-1"]);
    });

    it("releases the reservation and the cache when the caller disconnects during the prefill", async () => {
        const caller = new AbortController();
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            prefill: async ({ address }) => {
                caller.abort();
                return Result.ok({ address, handle: "h", tokens: 1 });
            },
        });
        harness.load(modelEngines);
        await forward(harness.context, requestTo("/stream/x", { size: smallSize, callerDisconnected: caller.signal }));
        expect(harness.calls).toEqual(["reserve m-1", "prefill p-1", "releaseReservation m-1", "releaseCache p-1:1"]);
        expect(harness.context.loads.own()).toEqual({});
    });
});

interface NoticeCase {
    readonly name: string;
    readonly kind: RouteKind;
    readonly size?: GenerationSize;
    readonly calls: readonly string[];
}

const noticeCases: readonly NoticeCase[] = [
    { name: "a plain call", kind: "nonIdempotent", calls: ["onSend", "send d-1"] },
    {
        name: "a generation",
        kind: "stream",
        size: smallSize,
        calls: ["reserve m-1", "prefill p-1", "onSend", "send m-1"],
    },
];

describe("a request", () => {
    // The end of the process answers requests of which this was not told as ones that have not run.
    it.each(noticeCases)("tells before an engine may run it: $name", async ({ kind, size, calls }) => {
        const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]));
        harness.load([...plainEngines.slice(0, 1), ...modelEngines.slice(0, 2)]);
        const onSend = (): void => void harness.calls.push("onSend");
        await forward(harness.context, requestTo(`/${kind}/x`, { onSend, ...size === undefined ? {} : { size } }));
        expect(harness.calls).toEqual(calls);
    });
});

describe("a decode engine that starts draining while the prompt is prefilled", () => {
    it("gets no request: the reservation is released and another engine is used", async () => {
        const drain = (): void =>
            harness.load(modelEngines.map(engine => engine.id === "m-1" ? { ...engine, state: "draining" } : engine));
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            prefill: async ({ address }) => {
                drain();
                return Result.ok({ address, handle: "h", tokens: 1 });
            },
        });
        harness.load(modelEngines);
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("200 ok");
        expect(harness.calls.filter(call => call.startsWith("send"))).toEqual(["send m-2"]);
        expect(harness.calls).toContain("releaseReservation m-1");
    });
});

describe("a decode engine that starts again under its id while the prompt is prefilled", () => {
    // The request went to the new start, at the address and under the id of the old one, which held its reservation.
    it("gets no request that was placed at its earlier start", async () => {
        const restarted = modelEngines.map(engine => engine.id === "m-1" ? { ...engine, bornMs: 2 } : engine);
        const sentTo: string[] = [];
        let prefills = 0;
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            prefill: async ({ address }) => {
                prefills += 1;
                if (prefills === 1) {
                    harness.load(restarted);
                }
                return Result.ok({ address, handle: "h", tokens: 1 });
            },
            send: async ({ id, bornMs }) => {
                sentTo.push(`${id} ${bornMs}`);
                return responseOf(200);
            },
        });
        harness.load(modelEngines);
        const outcome = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(outcome)).toBe("200 ok");
        expect(sentTo).toEqual(["m-1 2"]);
    });
});

interface ResumeCase {
    readonly name: string;
    /** Id of the event after which the caller itself resumes. */
    readonly from?: string;
    readonly isResumable: boolean;
    readonly first: readonly string[];
    readonly outcome: string;
    readonly lastEventIds: readonly (string | undefined)[];
}

const resumeCases: readonly ResumeCase[] = [
    {
        name: "resumes after the last complete event",
        isResumable: true,
        first: ["id: 1\ndata: a\n\nid: 2\nda"],
        outcome: "200 id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        lastEventIds: [undefined, "1"],
    },
    {
        name: "restarts if no event was complete",
        isResumable: true,
        first: ["id: 1\nda"],
        outcome: "200 id: 1\ndata: b\n\n",
        lastEventIds: [undefined, undefined],
    },
    {
        name: "resumes after the last complete event of a stream that the caller itself resumed after an event",
        from: "7",
        isResumable: true,
        first: ["id: 8\ndata: a\n\nid: 9\nda"],
        outcome: "200 id: 8\ndata: a\n\nid: 9\ndata: b\n\n",
        lastEventIds: ["7", "8"],
    },
    {
        name: "resumes where the caller resumed if no event was complete",
        from: "7",
        isResumable: true,
        first: ["id: 8\nda"],
        outcome: "200 id: 8\ndata: b\n\n",
        lastEventIds: ["7", "7"],
    },
    {
        name: "breaks off if the route is not resumable",
        isResumable: false,
        first: ["id: 1\ndata: a\n\n"],
        outcome: "200 id: 1\ndata: a\n\n, broken",
        lastEventIds: [undefined],
    },
];

describe("a broken stream", () => {
    it.each(resumeCases)("$name", async ({ from, isResumable, first, outcome, lastEventIds }) => {
        const seenLastEventIds: (string | undefined)[] = [];
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream", { isResumable })]), {
            send: async (engine, { lastEventId }) => {
                seenLastEventIds.push(lastEventId);
                if (seenLastEventIds.length > 1) {
                    return responseOf(200, [`id: ${Number(lastEventId ?? 0) + 1}\ndata: b\n\n`]);
                }
                const body = Readable.from((async function* broken(): AsyncGenerator<Buffer> {
                    yield* first.map(text => Buffer.from(text));
                    throw new Error("reset");
                })());
                return Result.ok({ engine: "", status: 200, headers: [], framing: "chunks", body });
            },
        });
        harness.load(modelEngines);
        harness.context.streamOrigins.record("r-0", { service: "models", softwareVersion: "v1" });
        const resumed = from === undefined ? {} : { lastEventId: from, resumedRequestId: "r-0" };
        const request = requestTo("/stream/x", { size: smallSize, ...resumed });
        expect(await describeOutcome(await forward(harness.context, request))).toBe(outcome);
        expect(seenLastEventIds).toEqual(lastEventIds);
    });
});

describe("a take-up that its engine leaves without a response", () => {
    // The request may have ended the engine, so it is not tried on the next one.
    it.each([
        { name: "that runs on", hasEnded: false, sends: ["send m-1", "send m-2", "send m-3"] },
        { name: "that has ended", hasEnded: true, sends: ["send m-1", "send m-2"] },
    ])("goes to another engine after one $name", async ({ hasEnded, sends }) => {
        const broken = async function* broken(): AsyncGenerator<Buffer> {
            yield Buffer.from("id: 1\ndata: a\n\n");
            throw new Error("reset");
        };
        const route = routeOf("stream", { isResumable: true, maxEngines: 3 });
        const harness = createForwardingHarness(desiredStateOf([route]), {
            send: async ({ id }) => {
                if (id === "m-2") {
                    return errorOf("interrupted");
                }
                return id === "m-1"
                    ? Result.ok({
                        engine: id,
                        status: 200,
                        headers: [],
                        framing: "chunks",
                        body: Readable.from(broken()),
                    })
                    : responseOf(200, ["id: 2\ndata: b\n\n"]);
            },
            report: async ({ id }) =>
                hasEnded && id === "m-2"
                    ? Result.err({ kind: "unreachable", cause: "refused", isConnectionRefused: true })
                    : errorOf("notExecuted"),
        });
        harness.load([...modelEngines, engineRecord("m-3", "decode"), engineRecord("m-4", "decode")]);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        const text = "200 id: 1\ndata: a\n\n";
        expect(await describeOutcome(result)).toBe(hasEnded ? `${text}, broken` : `${text}id: 2\ndata: b\n\n`);
        expect(harness.calls.filter(call => call.startsWith("send "))).toEqual(sends);
    });
});

describe("engines that do not respond", () => {
    it("prefills the prompt at another engine when the first takes far longer than expected", async () => {
        const noResponse = (signal: AbortSignal): Promise<Result<never, EngineError>> =>
            new Promise(resolve => signal.addEventListener("abort", () => resolve(errorOf("timeout"))));
        const prefilledCache = Result.ok({ address: "p-2:1", handle: "h", tokens: 10 });
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            prefill: async (engine, { signal }) => engine.id === "p-1" ? noResponse(signal) : prefilledCache,
        });
        harness.load([engineRecord("p-1", "prefill"), engineRecord("p-2", "prefill"), engineRecord("m-1", "decode")]);
        const outcome = forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        await harness.clock.advance(500);
        expect(harness.calls).toEqual(["reserve m-1", "prefill p-1"]);
        await harness.clock.advance(500);
        expect(harness.calls.slice(2)).toEqual(["prefill p-2", "send m-1"]);
        expect(await describeOutcome(await outcome)).toBe("200 ok");
    });

    it("reports an unknown outcome when a call that must not run twice times out", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("nonIdempotent")]), {
            send: (engine, { signal }) =>
                new Promise(resolve => signal.addEventListener("abort", () => resolve(errorOf("cancelled")))),
        });
        harness.load(plainEngines);
        const outcome = forward(harness.context, requestTo("/nonIdempotent/x"));
        await harness.clock.advance(2_000);
        expect(await describeOutcome(await outcome)).toBe("504");
        expect(harness.calls).toHaveLength(1);
    });
});

const ampleRetries = { ratio: 1, slack: 100, windowMs: 10_000 };

interface TimeCase {
    readonly name: string;
    readonly outputTokens: number;
    readonly request: Partial<ForwardRequest>;
    /** Latest end of draining, in milliseconds from now; `undefined` unless the entry is shutting down. */
    readonly shutdownDeadlineMs: number | undefined;
    readonly outcome: string;
}

/** The service's streams have lasted 4 s for 700 output tokens on average, of which 0.9 s did not depend on the output. */
const learnedMs = (service: string, size: GenerationSize): number => 900 + 3_100 * expectedOutputTokens(size) / 700;

// 5% of responses take longer than 1.8 times their expected time, and 5% take less than half of it.
const timeCases: readonly TimeCase[] = [
    {
        name: "in normal service",
        outputTokens: 1_400,
        request: { callerTimeoutMs: 14_000 },
        shutdownDeadlineMs: undefined,
        outcome: "200 ok",
    },
    {
        name: "a short response, the entry exits later",
        outputTokens: 100,
        request: {},
        shutdownDeadlineMs: 7_500,
        outcome: "200 ok",
    },
    {
        name: "a short response, the entry exits within the margin for wrong estimates",
        outputTokens: 100,
        request: {},
        shutdownDeadlineMs: 4_000,
        outcome: "503",
    },
    {
        name: "a short response, the entry exits soon",
        outputTokens: 100,
        request: {},
        shutdownDeadlineMs: 1_500,
        outcome: "503",
    },
    {
        name: "a long response, the entry exits later",
        outputTokens: 1_400,
        request: { callerTimeoutMs: 14_000 },
        shutdownDeadlineMs: 7_500,
        outcome: "503",
    },
    {
        name: "the caller waits for only part of the expected time",
        outputTokens: 1_400,
        request: { callerTimeoutMs: 1_000 },
        shutdownDeadlineMs: undefined,
        outcome: "503",
    },
    {
        name: "the caller has already waited most of its time",
        outputTokens: 1_400,
        request: { callerTimeoutMs: 9_000, receivedAtMs: -8_000 },
        shutdownDeadlineMs: undefined,
        outcome: "503",
    },
    {
        name: "the caller waits long enough",
        outputTokens: 1_400,
        request: { callerTimeoutMs: 5_000 },
        shutdownDeadlineMs: undefined,
        outcome: "200 ok",
    },
];

describe("streams that may not complete in time", () => {
    it.each(timeCases)(
        "$name, $outputTokens tokens: $outcome",
        async ({ outputTokens, request, shutdownDeadlineMs, outcome }) => {
            const harness = createForwardingHarness(desiredStateOf([routeOf("stream", { timeoutMs: 14_000 })]));
            harness.load(modelEngines);
            const size = { promptTokens: 1_000, maxOutputTokens: outputTokens, outputHintTokens: outputTokens };
            const decodeScheduler = { ...harness.context.decodeScheduler, expectedResponseMs: learnedMs };
            const shutdown = shutdownDeadlineMs === undefined
                ? undefined
                : { startedAtMs: 0, deadlineMs: shutdownDeadlineMs };
            const context = { ...harness.context, decodeScheduler, shutdown: () => shutdown };
            const result = await forward(context, requestTo("/stream/x", { size, ...request }));
            expect(await describeOutcome(result)).toBe(outcome);
            expect(harness.calls.length > 0).toBe(outcome === "200 ok");
        },
    );
});

interface LateCase {
    readonly name: string;
    readonly kind: RouteKind;
    readonly request: Partial<ForwardRequest>;
    /** Time since the shutdown began, and from now to its deadline. */
    readonly sinceBeginMs: number;
    readonly toDeadlineMs: number;
    readonly outcome: string;
}

const timeLimited = { callerTimeoutMs: 1_500 };
const lateCases: readonly LateCase[] = [
    {
        name: "a call that ends in time in any case",
        kind: "nonIdempotent",
        request: timeLimited,
        sinceBeginMs: 5_000,
        toDeadlineMs: 2_500,
        outcome: "200 ok",
    },
    {
        name: "a call that might not end in time",
        kind: "nonIdempotent",
        request: timeLimited,
        sinceBeginMs: 6_500,
        toDeadlineMs: 1_000,
        outcome: "503",
    },
    {
        name: "a repeatable call that might not end in time",
        kind: "idempotent",
        request: timeLimited,
        sinceBeginMs: 6_500,
        toDeadlineMs: 1_000,
        outcome: "503",
    },
    {
        name: "a long call while the load balancer still sends callers",
        kind: "nonIdempotent",
        request: { callerTimeoutMs: 14_000 },
        sinceBeginMs: 1_000,
        toDeadlineMs: 6_500,
        outcome: "200 ok",
    },
    {
        name: "a long call on a connection that its caller kept",
        kind: "nonIdempotent",
        request: { callerTimeoutMs: 14_000 },
        sinceBeginMs: 3_000,
        toDeadlineMs: 4_500,
        outcome: "503",
    },
    {
        name: "a long call on a kept connection, long before the deadline",
        kind: "nonIdempotent",
        request: { callerTimeoutMs: 14_000 },
        sinceBeginMs: 17_000,
        toDeadlineMs: 12_500,
        outcome: "503",
    },
    {
        name: "a stream on a kept connection",
        kind: "stream",
        request: { size: smallSize, callerTimeoutMs: 14_000 },
        sinceBeginMs: 3_000,
        toDeadlineMs: 12_500,
        outcome: "503",
    },
];

describe("requests that come during a shutdown", () => {
    // Plain calls were taken until the end of the grace period and then broken off.
    it.each(lateCases)("$name: $outcome", async ({ kind, request, sinceBeginMs, toDeadlineMs, outcome }) => {
        const harness = createForwardingHarness(desiredStateOf([routeOf(kind, { timeoutMs: 14_000 })]));
        harness.load([...plainEngines, ...modelEngines]);
        const shutdown = { startedAtMs: -sinceBeginMs, deadlineMs: toDeadlineMs };
        const result = await forward(
            { ...harness.context, shutdown: () => shutdown },
            requestTo(`/${kind}/x`, request),
        );
        expect(await describeOutcome(result)).toBe(outcome);
        expect(harness.calls.length > 0).toBe(outcome === "200 ok");
    });

    // A request that waited for an engine when the shutdown began was sent later, or ended without an answer.
    it("a stream that waits for an engine is refused once it might not end in time", async () => {
        let isShutDown = false;
        const harness = createForwardingHarness(
            desiredStateOf([routeOf("stream", { timeoutMs: 14_000, objectiveMs: 14_000 })]),
            { reserve: async () => errorOf("notExecuted") },
            {},
            ampleRetries,
            () => !isShutDown,
        );
        harness.load(modelEngines);
        const result = forward(harness.context, requestTo("/stream/x", { size: smallSize, callerTimeoutMs: 14_000 }));
        await harness.clock.advance(500);
        isShutDown = true;
        await harness.clock.advance(100);
        expect(await describeOutcome(await result)).toBe("503");
    });
});

interface RestingCase {
    readonly kind: "nonIdempotent" | "stream";
    readonly resting: readonly string[];
    readonly outcome: string;
    /** Engines that are asked for anything. */
    readonly called: readonly string[];
}

const restingCases: readonly RestingCase[] = [
    { kind: "nonIdempotent", resting: ["i-1", "i-2"], outcome: "200 ok", called: ["i-3"] },
    { kind: "nonIdempotent", resting: ["i-1", "i-2", "i-3"], outcome: "503", called: [] },
    { kind: "stream", resting: ["d-1"], outcome: "200 ok", called: ["d-2", "p-1"] },
    { kind: "stream", resting: ["d-1", "d-2"], outcome: "503", called: [] },
];

describe("engines that accept nothing for some time", () => {
    const engines = [
        ...["i-1", "i-2", "i-3"].map(id => engineRecord(id)),
        engineRecord("p-1", "prefill"),
        engineRecord("d-1", "decode"),
        engineRecord("d-2", "decode"),
    ];

    it.each(restingCases)("$kind while $resting rest: $outcome", async ({ kind, resting, outcome, called }) => {
        const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]));
        harness.load(engines);
        resting.forEach((id, index) => harness.notices.recordRest({ id, bornMs: 1 }, 3_000 + 1_000 * index));
        const result = await forward(
            harness.context,
            requestTo(`/${kind}/x`, kind === "stream" ? { size: smallSize } : {}),
        );
        expect(await describeOutcome(result)).toBe(outcome);
        expect([...new Set(harness.calls.map(call => call.split(" ")[1]))].sort()).toEqual([...called]);
        if (result.kind === "refused") {
            expect(result.refusal.retryAfterMs).toBe(3_000);
        }
    });

    it("refuses queued requests at once when the last engine begins to rest for longer than they can wait", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            reserve: async engine => {
                harness.notices.recordRest(engine, 20_000);
                return errorOf("notExecuted");
            },
        });
        harness.load([engineRecord("p-1", "prefill"), engineRecord("d-1", "decode")]);
        const waiting = forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        await harness.clock.advance(40);
        const result = await waiting;
        expect(await describeOutcome(result)).toBe("503");
        expect(harness.calls).toEqual(["reserve d-1"]);
    });

    it("releases a reservation that a leaving engine granted, and sends the request elsewhere", async () => {
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            reserve: async (engine, tokens) => {
                if (engine.id === "d-1") {
                    harness.notices.recordLeaving(engine);
                }
                return Result.ok({ id: `hold at ${engine.id}`, tokens });
            },
        });
        harness.load(["d-1", "d-2"].map(id => engineRecord(id, "decode")));
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(result)).toBe("200 ok");
        expect(harness.calls).toEqual(["reserve d-1", "releaseReservation d-1", "reserve d-2", "send d-2"]);
    });
});

describe("a process that was paused", () => {
    it.each(["idempotent", "nonIdempotent", "stream"] as const)(
        "does not send a %s request whose time was over meanwhile",
        async kind => {
            const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]));
            harness.load([...plainEngines, ...modelEngines]);
            await harness.clock.advance(10_000);
            const size = kind === "stream" ? { size: smallSize } : {};
            const result = await forward(harness.context, requestTo(`/${kind}/x`, { receivedAtMs: 0, ...size }));
            expect(await describeOutcome(result)).toBe("503");
            expect(harness.calls.filter(call => call.startsWith("send"))).toEqual([]);
        },
    );
});
