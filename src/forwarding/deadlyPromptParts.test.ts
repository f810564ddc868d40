/**
 * Requests with a part in their prompts that crashes each engine which begins to write on it: how many engines they end,
 * and whether sound requests with the same client account and the same other parts are served meanwhile.
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
import type { EngineResponse } from "../engines/enginePort.js";
import { forward } from "./forward.js";

const engineCount = 30;
const engines = Array.from({ length: engineCount }, (none, index) => engineRecord(`m-${index}`, "decode"));
const deadlyPart = "dead";
/** Limits of the platform: engines that may end before entries must react, and requests that may reach engines later. */
const maxEndedEngines = 5;
const maxLaterRequests = 3;
/** From this time after the last end on, sound requests beside those with the part must be served. */
const reactionMs = 6_000;

interface EngineFleet {
    readonly script: EngineScript;
    /** Engines end by themselves under a request with this id. */
    readonly unluckyRequestId: string;
    readonly ended: ReadonlySet<string>;
    /** Requests with the deadly part that reached an engine. */
    readonly deadlySends: () => number;
}

type CrashMoment =
    | "before the first event"
    | "inside the first event"
    | "after the first event"
    | "after the first event, in order"
    | "without a response";

const bytesBeforeCrash: Readonly<Record<CrashMoment, readonly string[]>> = {
    "before the first event": [],
    "inside the first event": ["id: 1\nda"],
    "after the first event": ["id: 1\ndata: a\n\n"],
    "after the first event, in order": ["id: 1\ndata: a\n\n"],
    "without a response": [],
};

/** Engines that end as soon as they begin to write on the deadly part; nothing listens there afterwards. */
function createEngineFleet(moment: CrashMoment): EngineFleet {
    const ended = new Set<string>();
    const unluckyRequestId = "shared unlucky";
    let deadlySends = 0;
    // A stream without a length or chunks ends with its connection, whether its engine has written all of it or has ended.
    const isInOrder = moment === "after the first event, in order";
    const breakOff = (): Result<EngineResponse, never> => {
        const body = Readable.from((async function* broken(): AsyncGenerator<Buffer> {
            yield* bytesBeforeCrash[moment].map(text => Buffer.from(text));
            if (!isInOrder) {
                throw new Error("other side closed");
            }
        })());
        return Result.ok({ engine: "", status: 200, headers: [], framing: isInOrder ? "connection" : "chunks", body });
    };
    const script: EngineScript = {
        send: async (engine, options, { requestId }) => {
            if (ended.has(engine.id)) {
                return errorOf("unreachable");
            }
            const isDeadly = requestId.split(" ").includes(deadlyPart);
            if (!isDeadly && requestId !== unluckyRequestId) {
                return responseOf(200);
            }
            deadlySends += isDeadly ? 1 : 0;
            ended.add(engine.id);
            return moment === "without a response" ? errorOf("interrupted") : breakOff();
        },
        report: async ({ id }) => {
            const cause = "connection refused";
            return ended.has(id)
                ? Result.err({ kind: "unreachable", cause, isConnectionRefused: true })
                : Result.err({ kind: "timeout", cause: "no report" });
        },
    };
    return { script, unluckyRequestId, ended, deadlySends: () => deadlySends };
}

/** Sends a request that is like no other one, advances the clock until its response has ended, and resolves to its outcome. */
async function send(harness: ForwardingHarness, sharedPromptParts: readonly string[]): Promise<string> {
    const request = requestTo("/stream/x", {
        requestId: sharedPromptParts.join(" "),
        size: smallSize,
        sharedPromptParts,
        body: Buffer.from(`sent at ${harness.clock.monotonicMs()}`),
        receivedAtMs: harness.clock.monotonicMs(),
    });
    const outcome = forward(harness.context, request).then(describeOutcome);
    await harness.clock.advance(400);
    return outcome;
}

const cases = [false, true].flatMap(isResumable =>
    (Object.keys(bytesBeforeCrash) as CrashMoment[]).map(moment => ({ isResumable, moment }))
);

describe("a part of a prompt that crashes engines", () => {
    // Each request with the part, and each repeat of it, ended one more engine and broke off the streams there.
    it.each(cases)("ends few engines: crash $moment, resumable: $isResumable", async ({ isResumable, moment }) => {
        const fleet = createEngineFleet(moment);
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream", { isResumable })]), fleet.script);
        harness.load(engines);
        const soundOutcomes: string[] = [];
        for (let round = 0; round < 12; round++) {
            await send(harness, ["shared", deadlyPart]);
            soundOutcomes.push(await send(harness, ["shared"]), await send(harness, ["shared", "other"]));
        }
        expect(fleet.ended.size).toBeLessThanOrEqual(maxEndedEngines);
        expect(fleet.deadlySends()).toBeLessThanOrEqual(maxEndedEngines + maxLaterRequests);
        expect(await send(harness, [deadlyPart, "other"])).toBe("503");
        // Requests may still be sent to an engine that has just ended, but never for long.
        expect(soundOutcomes.filter(outcome => outcome === "200 ok").length).toBeGreaterThan(soundOutcomes.length / 2);
        expect(soundOutcomes.slice(-8)).toEqual(Array.from({ length: 8 }, () => "200 ok"));
    });

    // All requests with the shared part were refused for minutes, so that none could show that it is sound.
    it("does not stop sound requests if another engine has ended by itself, and none has run lately", async () => {
        const fleet = createEngineFleet("without a response");
        const harness = createForwardingHarness(desiredStateOf([routeOf("stream")]), fleet.script);
        harness.load(engines);
        await send(harness, ["shared", deadlyPart]);
        await send(harness, ["shared", deadlyPart]);
        await send(harness, fleet.unluckyRequestId.split(" "));
        expect(fleet.ended.size).toBe(3);
        harness.load(engines.filter(({ id }) => !fleet.ended.has(id)));
        const outcomes: string[] = [];
        await harness.clock.advance(reactionMs);
        for (let round = 0; round < 20; round++) {
            await send(harness, ["shared", deadlyPart]);
            outcomes.push(await send(harness, ["shared", `other-${round}`]));
        }
        expect(outcomes).toEqual(Array.from({ length: 20 }, () => "200 ok"));
        expect(fleet.deadlySends()).toBeLessThanOrEqual(maxEndedEngines);
    });
});
