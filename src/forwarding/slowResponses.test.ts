/**
 * Slow, silent and endless responses: hedged calls, streams that are slow or stalled, and bodies without end.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { describe, expect, it, vi } from "vitest";
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
import type { ForwardingHarness } from "../../fakes/forwardingHarness.js";
import type { RetryBudgetSettings } from "../limits/fleetRetryBudget.js";
import type { RouteKind } from "../routes/desiredState.js";
import { maxEventBytes } from "./eventStream.js";
import { forward } from "./forward.js";
import { createResponseTimes } from "./responseTimes.js";

const plainEngines = [engineRecord("d-1"), engineRecord("d-2"), engineRecord("d-3")];
const modelEngines = [engineRecord("p-1", "prefill"), engineRecord("m-1", "decode"), engineRecord("m-2", "decode")];

interface HedgeCase {
    readonly name: string;
    readonly kind: RouteKind;
    readonly maxEngines: number;
    /** Delay of the response of each engine in the order of the sends; `undefined` for no response. */
    readonly delaysMs: readonly (number | undefined)[];
    readonly budget?: RetryBudgetSettings;
    readonly outcome: string;
    readonly sends: number;
    readonly endsAtMs: number;
}

const pieceBytes = 4_096;
const noBudget: RetryBudgetSettings = { ratio: 0, slack: 0, windowMs: 10_000 };
/** The outlier time before the first response. */
const hedgeAtMs = 150;

const hedgeCases: readonly HedgeCase[] = [
    {
        name: "a fast response",
        kind: "idempotent",
        maxEngines: 2,
        delaysMs: [40],
        outcome: "200 ok",
        sends: 1,
        endsAtMs: 40,
    },
    {
        name: "a silent instance",
        kind: "idempotent",
        maxEngines: 2,
        delaysMs: [undefined, 40],
        outcome: "200 ok",
        sends: 2,
        endsAtMs: hedgeAtMs + 40,
    },
    {
        name: "two silent instances",
        kind: "idempotent",
        maxEngines: 3,
        delaysMs: [undefined, undefined, 40],
        outcome: "200 ok",
        sends: 3,
        endsAtMs: 2 * hedgeAtMs + 40,
    },
    {
        name: "a slow instance that responds before the second one",
        kind: "idempotent",
        maxEngines: 2,
        delaysMs: [170, 100],
        outcome: "200 ok",
        sends: 2,
        endsAtMs: 170,
    },
    {
        name: "a route that allows one instance",
        kind: "idempotent",
        maxEngines: 1,
        delaysMs: [500],
        outcome: "200 ok",
        sends: 1,
        endsAtMs: 500,
    },
    {
        name: "a call that must not run twice",
        kind: "nonIdempotent",
        maxEngines: 3,
        delaysMs: [500],
        outcome: "200 ok",
        sends: 1,
        endsAtMs: 500,
    },
    {
        name: "no retry budget",
        kind: "idempotent",
        maxEngines: 2,
        delaysMs: [500],
        budget: noBudget,
        outcome: "200 ok",
        sends: 1,
        endsAtMs: 500,
    },
    {
        name: "no response from any instance",
        kind: "idempotent",
        maxEngines: 2,
        delaysMs: [undefined, undefined],
        outcome: "504",
        sends: 2,
        endsAtMs: 2_000,
    },
];

describe("hedged calls", () => {
    it.each(hedgeCases)("$name: $outcome", async ({ kind, maxEngines, delaysMs, budget, outcome, sends, endsAtMs }) => {
        const cancelled: string[] = [];
        let sent = 0;
        const harness: ForwardingHarness = createForwardingHarness(
            desiredStateOf([routeOf(kind, { maxEngines })]),
            {
                send: async (engine, { signal }) => {
                    const delayMs = delaysMs[sent];
                    sent += 1;
                    await harness.clock.sleep(delayMs ?? Number.MAX_SAFE_INTEGER, signal);
                    if (signal.aborted) {
                        cancelled.push(engine.id);
                        return errorOf("cancelled");
                    }
                    return responseOf(200);
                },
            },
            {},
            budget,
        );
        harness.load(plainEngines);
        let endedAtMs: number | undefined;
        const result = forward(harness.context, requestTo(`/${kind}/x`)).finally(() => {
            endedAtMs = harness.clock.monotonicMs();
        });
        await harness.clock.advance(2_000);
        expect(await describeOutcome(await result)).toBe(outcome);
        expect(harness.calls.filter(call => call.startsWith("send"))).toHaveLength(sends);
        expect(endedAtMs).toBe(endsAtMs);
        expect(new Set(cancelled).size).toBe(outcome === "504" ? sends : sends - 1);
    });

    it("follow the response times of the service", () => {
        const times = createResponseTimes();
        for (let call = 0; call < 50; call++) {
            times.record("fast", call % 2 === 0 ? 20 : 24);
            times.record("slow", call % 2 === 0 ? 300 : 500);
        }
        expect(times.outlierMs("fast")).toBeLessThan(45);
        expect(times.outlierMs("slow")).toBeGreaterThan(500);
        expect(times.outlierMs("unknown")).toBe(hedgeAtMs);
    });
});

interface SlowStreamCase {
    readonly name: string;
    /** The chunk with an index, from 0. */
    readonly chunk: (index: number) => string;
    readonly everyMs: number;
    readonly count: number;
    readonly outcome: string;
    readonly endsAtMs: number;
}

const eventAt = (index: number): string => `id: ${index + 1}\ndata: x\n\n`;

const slowStreamCases: readonly SlowStreamCase[] = [
    {
        name: "a slow but sound stream is not cut",
        chunk: eventAt,
        everyMs: 450,
        count: 4,
        outcome: `200 ${[0, 1, 2, 3].map(eventAt).join("")}`,
        endsAtMs: 1_800,
    },
    {
        name: "a stream that only sends a byte now and then ends at its deadline",
        chunk: () => "x",
        everyMs: 100,
        count: Number.MAX_SAFE_INTEGER,
        outcome: "200 , broken",
        endsAtMs: 2_000,
    },
];

describe("slow streams", () => {
    it.each(slowStreamCases)("$name", async ({ chunk, everyMs, count, outcome, endsAtMs }) => {
        const harness: ForwardingHarness = createForwardingHarness(desiredStateOf([routeOf("stream")]), {
            send: async (engine, { signal }) => {
                const body = new Readable({ read: () => undefined });
                signal.addEventListener("abort", () => body.destroy(new Error("aborted")));
                void (async () => {
                    for (let sent = 0; sent < count && !signal.aborted; sent++) {
                        await harness.clock.sleep(everyMs, signal);
                        if (!signal.aborted) {
                            body.push(chunk(sent));
                        }
                    }
                    body.push(null);
                })();
                return Result.ok({ engine: engine.id, status: 200, headers: [], framing: "chunks", body });
            },
        });
        harness.load(modelEngines);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        let endedAtMs: number | undefined;
        const described = describeOutcome(result).finally(() => {
            endedAtMs = harness.clock.monotonicMs();
        });
        await harness.clock.advance(5_000);
        expect(await described).toBe(outcome);
        expect(endedAtMs).toBe(endsAtMs);
    });
});

describe("bodies without end", () => {
    // It was copied with each piece: 8 MB of garbage for each call, more than a small machine has left.
    it.each([true, false])("an event without an end is copied once (resumable: %s)", async isResumable => {
        const route = routeOf("stream", { isResumable, maxEngines: 1 });
        const harness = createForwardingHarness(desiredStateOf([route]), {
            send: async () => {
                const pieces = Array.from(
                    { length: 2 * maxEventBytes / pieceBytes },
                    () => Buffer.alloc(pieceBytes, "z"),
                );
                return Result.ok({
                    engine: "d-1",
                    status: 200,
                    headers: [],
                    framing: "chunks",
                    body: Readable.from(pieces, { objectMode: false }),
                });
            },
        });
        harness.load([engineRecord("d-1", "decode")]);
        const joins = vi.spyOn(Buffer, "concat");
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        const described = await describeOutcome(result);
        const copiedBytes = joins.mock.results.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
        joins.mockRestore();
        expect(described.endsWith(", broken")).toBe(true);
        // Besides the copy, the test joins what its caller gets.
        expect(copiedBytes).toBeLessThan(4 * maxEventBytes);
    });

    it("passes a large body of a plain service on, and ends it with the attempt", async () => {
        const chunk = Buffer.alloc(65_536, "x");
        let produced = 0;
        let aborted = false;
        const body = new Readable({
            read() {
                produced += chunk.length;
                this.push(chunk);
            },
            destroy(error, done) {
                aborted = true;
                done(error);
            },
        });
        const harness = createForwardingHarness(desiredStateOf([routeOf("idempotent")]), {
            send: async () => Result.ok({ engine: "i-1", status: 200, headers: [], framing: "chunks", body }),
        });
        harness.load([engineRecord("i-1")]);
        const result = await forward(harness.context, requestTo("/idempotent/x"));
        if (result.kind !== "answered") {
            throw new Error("no answer");
        }
        let read = 0;
        for await (const part of result.answer.body as AsyncIterable<Buffer>) {
            read += part.length;
            if (read > 16 * 1_048_576) {
                break;
            }
        }
        // Read ahead only by what is buffered for retries.
        expect(produced - read).toBeLessThan(1_048_576);
        expect(aborted).toBe(true);
    });

    it("breaks off a resumable stream whose event has no end", async () => {
        const harness = createForwardingHarness(
            desiredStateOf([routeOf("stream", { isResumable: true, maxEngines: 1 })]),
            {
                send: async () => {
                    const body = new Readable({
                        read() {
                            this.push("data: and so on ".repeat(1_000));
                        },
                    });
                    return Result.ok({ engine: "d-1", status: 200, headers: [], framing: "chunks", body });
                },
            },
        );
        harness.load([engineRecord("d-1", "decode")]);
        const result = await forward(harness.context, requestTo("/stream/x", { size: smallSize }));
        expect(await describeOutcome(result)).toBe("200 , broken");
    });
});
