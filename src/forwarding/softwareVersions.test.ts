/**
 * Streams and KV caches stay with the software version that began them, while engines of several versions serve.
 */

import { Readable } from "node:stream";
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
import type { EngineError, EngineRecord, EngineReport, Stage } from "../engines/enginePort.js";
import type { KnownOrigin } from "../resumption/streamOrigins.js";
import type { Route } from "../routes/desiredState.js";
import { forward } from "./forward.js";
import type { ForwardRequest } from "./forwardRequest.js";

const engineOf = (id: string, stage: Stage | undefined, softwareVersion: string): EngineRecord =>
    engineRecord(id, stage, { softwareVersion });

/** The first of several idle engines is tried first. */
const decoders = [engineOf("m-1", "decode", "v1"), engineOf("m-2", "decode", "v2"), engineOf("m-3", "decode", "v1")];
const resumable = routeOf("stream", { isResumable: true });
const begunAtV2: KnownOrigin = { service: "models", softwareVersion: "v2" };

function sendsOf({ calls }: ForwardingHarness): readonly string[] {
    return calls.filter(call => call.startsWith("send ")).map(call => call.slice("send ".length));
}

interface TakeUpCase {
    readonly name: string;
    readonly route?: Partial<Route>;
    readonly request?: Partial<ForwardRequest>;
    /** Origin of the stream of request `r-0`; `undefined` for none. */
    readonly origin?: KnownOrigin;
    readonly engines?: readonly EngineRecord[];
    readonly outcome: string;
    readonly sends: readonly string[];
}

const takeUp: Partial<ForwardRequest> = { lastEventId: "3", resumedRequestId: "r-0" };

const takeUpCases: readonly TakeUpCase[] = [
    { name: "goes to an engine of its version", origin: begunAtV2, outcome: "200 ok", sends: ["m-2"] },
    { name: "is refused if its origin is not known", outcome: "503", sends: [] },
    {
        name: "is refused if its origin is not known, although all engines have one version",
        engines: [engineOf("m-1", "decode", "v1")],
        outcome: "503",
        sends: [],
    },
    {
        name: "is refused if the request does not say what it takes up",
        request: { lastEventId: "3" },
        origin: begunAtV2,
        outcome: "503",
        sends: [],
    },
    {
        name: "is refused if no engine of its version is left",
        origin: { ...begunAtV2, softwareVersion: "v0" },
        outcome: "503",
        sends: [],
    },
    {
        name: "is refused if the engines of its version are leaving",
        origin: begunAtV2,
        engines: decoders.map(engine => engine.id === "m-2" ? { ...engine, state: "draining" } : engine),
        outcome: "503",
        sends: [],
    },
    {
        name: "is refused if its route can't be resumed",
        route: { isResumable: false },
        origin: begunAtV2,
        outcome: "503",
        sends: [],
    },
    {
        name: "is refused if its route does not name its service any more",
        origin: { service: "elsewhere", softwareVersion: "v1" },
        outcome: "503",
        sends: [],
    },
    {
        name: "goes to the service that began it, on a split route",
        route: { services: [{ service: "desk", weight: 1 }, { service: "models", weight: 1 }] },
        origin: begunAtV2,
        outcome: "200 ok",
        sends: ["m-2"],
    },
    {
        name: "goes to an engine of its version at a plain service",
        route: { services: [{ service: "desk", weight: 1 }] },
        origin: { service: "desk", softwareVersion: "v2" },
        engines: [engineOf("d-1", undefined, "v1"), engineOf("d-2", undefined, "v2")],
        outcome: "200 ok",
        sends: ["d-2"],
    },
    {
        name: "is refused at a plain service if no engine of its version is left",
        route: { services: [{ service: "desk", weight: 1 }] },
        origin: { service: "desk", softwareVersion: "v3" },
        engines: [engineOf("d-1", undefined, "v1"), engineOf("d-2", undefined, "v2")],
        outcome: "503",
        sends: [],
    },
    {
        name: "may start anew at any version without an event to go on after",
        request: { resumedRequestId: "r-0" },
        origin: begunAtV2,
        outcome: "200 ok",
        sends: ["m-1"],
    },
];

describe("a stream that its caller takes up", () => {
    it.each(takeUpCases)("$name", async ({ route, request = takeUp, origin, engines = decoders, outcome, sends }) => {
        const harness = createForwardingHarness(desiredStateOf([{ ...resumable, ...route }]));
        harness.load(engines);
        if (origin !== undefined) {
            harness.context.streamOrigins.record("r-0", origin);
        }
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize, ...request }));
        expect(await describeOutcome(result)).toBe(outcome);
        expect(sendsOf(harness)).toEqual(sends);
        expect(harness.calls.length > 0).toBe(sends.length > 0);
    });

    it.each([
        { name: "of model engines", services: ["models"], engines: decoders, began: "m-1", version: "v1" },
        {
            name: "of a plain service",
            services: ["desk"],
            engines: [engineOf("d-1", undefined, "v2")],
            began: "d-1",
            version: "v2",
        },
    ])("a stream $name is known by the version of its engine", async ({ services, engines, began, version }) => {
        const route = { ...resumable, services: services.map(service => ({ service, weight: 1 })) };
        const harness = createForwardingHarness(desiredStateOf([route]));
        harness.load(engines);
        await describeOutcome(await forward(harness.context, requestTo("/stream/x", { size: smallSize })));
        expect(sendsOf(harness)).toEqual([began]);
        expect(await harness.context.streamOrigins.find("r-1")).toMatchObject({ origin: { softwareVersion: version } });
    });
});

interface AttemptCase {
    readonly name: string;
    /** What happens at the first engine, which has version v1. */
    readonly first: "breaks off" | "rejects";
    readonly engines: readonly EngineRecord[];
    readonly outcome: string;
    readonly sends: readonly string[];
}

const oneOfEach = decoders.slice(0, 2);

const attemptCases: readonly AttemptCase[] = [
    {
        name: "goes on at another engine of its version",
        first: "breaks off",
        engines: decoders,
        outcome: "200 id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        sends: ["m-1", "m-3"],
    },
    {
        name: "breaks off for its caller if only other versions are left",
        first: "breaks off",
        engines: oneOfEach,
        outcome: "200 id: 1\ndata: a\n\n, broken",
        sends: ["m-1"],
    },
    {
        name: "starts again at its version after a rejection",
        first: "rejects",
        engines: decoders,
        outcome: "200 id: 2\ndata: b\n\n",
        sends: ["m-1", "m-3"],
    },
    {
        name: "is refused after a rejection if only other versions are left",
        first: "rejects",
        engines: oneOfEach,
        outcome: "503",
        sends: ["m-1"],
    },
];

describe("within one response, a resumable stream", () => {
    it.each(attemptCases)("$name", async ({ first, engines, outcome, sends }) => {
        const broken = async function* broken(): AsyncGenerator<Buffer> {
            yield Buffer.from("id: 1\ndata: a\n\n");
            throw new Error("reset");
        };
        const script: EngineScript = {
            send: async ({ id }) => {
                if (id !== "m-1") {
                    return responseOf(200, ["id: 2\ndata: b\n\n"]);
                }
                if (first === "rejects") {
                    harness.load(engines.map(engine => engine.id === id ? { ...engine, state: "draining" } : engine));
                    return errorOf("notExecuted");
                }
                const body = Readable.from(broken());
                harness.load(engines.map(engine => engine.id === id ? { ...engine, state: "draining" } : engine));
                return Result.ok({ engine: "", status: 200, headers: [], framing: "chunks", body });
            },
        };
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([resumable]), script);
        harness.load(engines);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(result)).toBe(outcome);
        expect(sendsOf(harness)).toEqual(sends);
    });
});

interface CacheCase {
    readonly name: string;
    readonly engines: readonly EngineRecord[];
    /** Whether decode engines may prefill while prefill engines are available. */
    readonly allowsLocalPrefill: boolean;
    readonly calls: readonly string[];
}

const tightGapMs = 10;

const cacheCases: readonly CacheCase[] = [
    {
        name: "comes from a prefill engine of the decode engine's version",
        engines: [engineOf("p-1", "prefill", "v1"), engineOf("p-2", "prefill", "v2"), engineOf("m-2", "decode", "v2")],
        allowsLocalPrefill: false,
        calls: ["prefill p-2", "send m-2"],
    },
    {
        name: "is not used if only prefill engines of other versions are left",
        engines: [engineOf("p-1", "prefill", "v1"), engineOf("m-2", "decode", "v2")],
        allowsLocalPrefill: false,
        calls: ["send m-2"],
    },
    {
        name: "is there for a decode engine that is preferred to one that would have to prefill",
        engines: [engineOf("p-1", "prefill", "v1"), engineOf("m-2", "decode", "v2"), engineOf("m-3", "decode", "v1")],
        allowsLocalPrefill: false,
        calls: ["prefill p-1", "send m-3"],
    },
    {
        name: "is done without where decode engines may prefill",
        engines: [engineOf("p-1", "prefill", "v1"), engineOf("m-2", "decode", "v2"), engineOf("m-3", "decode", "v1")],
        allowsLocalPrefill: true,
        calls: ["send m-2"],
    },
];

describe("a KV cache", () => {
    // Decode engines fetched caches that prefill engines of other software versions had written.
    it.each(cacheCases)("$name", async ({ engines, allowsLocalPrefill, calls }) => {
        const route = routeOf("stream", allowsLocalPrefill ? {} : { maxGapMs: tightGapMs });
        const harness = createForwardingHarness(desiredStateOf([route]));
        harness.load(engines);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(result)).toBe("200 ok");
        expect(harness.calls.filter(call => !call.startsWith("reserve "))).toEqual(calls);
    });
});

interface RestartCase {
    readonly name: string;
    readonly request: Partial<ForwardRequest>;
    readonly services: readonly string[];
    readonly engines: readonly EngineRecord[];
    /** Whether the engine reports the start that its record names. */
    readonly isSameStart: boolean;
    readonly outcome: string;
    /** Whether the stream that begins with the request can be taken up. */
    readonly isKnown: boolean;
}

const lateReportMs = 700;
const sameStart: Result<EngineReport, EngineError> = Result.ok({
    stage: undefined,
    bornMs: 1,
    isReconfiguring: false,
    orderSequence: 0,
    running: 0,
    queued: 0,
    kvUsedTokens: 0,
    kvTotalTokens: 1,
});
const models = { services: ["models"], engines: [decoders[0]].filter(engine => engine !== undefined) };
const desk = { services: ["desk"], engines: [engineOf("d-1", undefined, "v1")] };

const restartCases: readonly RestartCase[] = [models, desk].flatMap(at => [
    {
        ...at,
        name: `a new stream of ${at.services} is known`,
        request: {},
        isSameStart: true,
        outcome: "200 ok",
        isKnown: true,
    },
    {
        ...at,
        name: `a new stream of ${at.services} is served, but not known`,
        request: {},
        isSameStart: false,
        outcome: "200 ok",
        isKnown: false,
    },
    {
        ...at,
        name: `a stream of ${at.services} that is taken up goes on`,
        request: takeUp,
        isSameStart: true,
        outcome: "200 ok",
        isKnown: false,
    },
    {
        ...at,
        name: `a stream of ${at.services} that is taken up does not go on`,
        request: takeUp,
        isSameStart: false,
        outcome: "502",
        isKnown: false,
    },
]);

describe("at an engine to which a connection was opened after its record was read", () => {
    // An entry that was out of step told others the version of its outdated record. Cut off before it could take that back,
    // it left a stream of a new version that went on elsewhere at the old one.
    it("the version of a new stream is not known to others before the engine has reported its start", async () => {
        const unanswered = new Promise<never>(() => undefined);
        const harness = createForwardingHarness(desiredStateOf([resumable]), {
            connectedAtMs: () => 0,
            report: () => unanswered,
        });
        harness.load(decoders);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(result)).toBe("200 ok");
        expect((await harness.context.streamOrigins.find("r-1")).kind).toBe("unknown");
        const again = requestTo("/stream/x", { ...takeUp, requestId: "r-2", resumedRequestId: "r-1", size: smallSize });
        expect(await forward(harness.context, again)).toMatchObject({ refusal: { status: 503, retryAfterMs: 1_000 } });
    });

    // A report that came late left a new stream unknown for good, and ended a stream that was taken up with 502.
    it.each([models, desk])("a late report decides as one in time, at $services", async ({ services, engines }) => {
        const route = { ...resumable, services: services.map(service => ({ service, weight: 1 })) };
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([route]), {
            connectedAtMs: () => 0,
            report: async (engine, timeoutMs) => {
                await harness.clock.sleep(Math.min(timeoutMs, lateReportMs));
                return timeoutMs < lateReportMs ? errorOf("timeout") : sameStart;
            },
        });
        harness.load(engines);
        const [service = ""] = services;
        harness.context.streamOrigins.record("r-0", { service, softwareVersion: "v1" });
        const began = forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        const resumed = forward(
            harness.context,
            requestTo("/stream/x", { ...takeUp, requestId: "r-2", size: smallSize }),
        );
        await harness.clock.advance(3 * lateReportMs);
        expect(await Promise.all([began, resumed].map(async each => describeOutcome(await each)))).toEqual([
            "200 ok",
            "200 ok",
        ]);
        expect((await harness.context.streamOrigins.find("r-1")).kind).toBe("found");
    });

    it.each(restartCases)(
        "$name if it reports the same start: $isSameStart",
        async ({ request, services, engines, isSameStart, outcome, isKnown }) => {
            const route = { ...resumable, services: services.map(service => ({ service, weight: 1 })) };
            const [bornMs, laterMs] = [1, 2];
            const harness = createForwardingHarness(desiredStateOf([route]), {
                connectedAtMs: () => 0,
                report: async ({ stage }) =>
                    Result.ok({
                        stage,
                        bornMs: isSameStart ? bornMs : laterMs,
                        isReconfiguring: false,
                        orderSequence: 0,
                        running: 0,
                        queued: 0,
                        kvUsedTokens: 0,
                        kvTotalTokens: 1,
                    }),
            });
            harness.load(engines);
            const [service = ""] = services;
            harness.context.streamOrigins.record("r-0", { service, softwareVersion: "v1" });
            const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize, ...request }));
            expect(await describeOutcome(result)).toBe(outcome);
            expect((await harness.context.streamOrigins.find("r-1")).kind).toBe(isKnown ? "found" : "unknown");
        },
    );
});
