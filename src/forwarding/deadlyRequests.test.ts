/**
 * Requests that crash each engine which begins to run them, and that come again with the same path, caller and body: how
 * many engines they end, and whether sound requests with the same path, caller or service are served meanwhile.
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
} from "../../fakes/forwardingHarness.js";
import type { EngineScript, ForwardingHarness } from "../../fakes/forwardingHarness.js";
import type { EngineError, EngineRecord, EngineRequest, EngineResponse } from "../engines/enginePort.js";
import { forward } from "./forward.js";
import type { ForwardRequest, GenerationSize } from "./forwardRequest.js";

const engines = Array.from({ length: 30 }, (unused, index) => engineRecord(`i-${index}`)).concat(
    Array.from({ length: 30 }, (unused, index) => engineRecord(`p-${index}`, "prefill")),
    Array.from({ length: 30 }, (unused, index) => engineRecord(`m-${index}`, "decode")),
);
/** Limits of the platform: after the third engine has ended, and some time to react, at most three calls reach engines. */
const endedEngines = 3;
const reactionMs = 3_000;
const maxLaterCalls = 3;
const responseMs = 20;
/** An engine that has ended is back, as a new start, after this time. */
const restartMs = 2_000;
const size: GenerationSize = { promptTokens: 50, maxOutputTokens: 20, outputHintTokens: 10 };

type CrashMoment = "without a response" | "inside the response" | "after a hedge was sent";
type CrashCall = "send" | "prefill";

interface DeadlyCase {
    readonly path: string;
    readonly crashIn: CrashCall;
    readonly moment: CrashMoment;
    /** Deadly requests for each round of sound ones, and whether they are sent at the same time. */
    readonly deadlyPerRound: number;
}

interface EngineFleet {
    readonly script: EngineScript;
    /** Number of engines that have ended. */
    readonly ends: () => number;
    readonly deadlyCalls: () => number;
}

const isDeadly = ({ body, target, clientAccount }: EngineRequest): boolean =>
    body.toString() === "deadly" && target.endsWith("/x") && clientAccount === "account";

/** Engines that end as soon as they begin to run a deadly request; nothing listens there until they are back. */
function createEngineFleet({ crashIn, moment }: DeadlyCase, harness: () => ForwardingHarness): EngineFleet {
    const down = new Set<string>();
    let records: readonly EngineRecord[] = engines;
    let ends = 0;
    let deadlyCalls = 0;

    function end(id: string): void {
        ends += down.has(id) ? 0 : 1;
        down.add(id);
        void harness().clock.sleep(restartMs).then(() => {
            down.delete(id);
            records = records.map(record => record.id === id ? { ...record, bornMs: record.bornMs + 1 } : record);
            harness().load(records);
        });
    }

    async function run<Success>(
        call: CrashCall,
        { id }: EngineRecord,
        request: EngineRequest,
        succeed: () => Result<Success, EngineError>,
    ): Promise<Result<Success, EngineError>> {
        if (down.has(id)) {
            return errorOf("unreachable");
        }
        if (call !== crashIn || !isDeadly(request)) {
            await harness().clock.sleep(responseMs);
            return down.has(id) ? errorOf("interrupted") : succeed();
        }
        deadlyCalls += 1;
        await harness().clock.sleep(moment === "after a hedge was sent" ? 400 : responseMs);
        end(id);
        return moment === "inside the response" && call === "send"
            ? brokenResponse() as unknown as Result<Success, EngineError>
            : errorOf("interrupted");
    }

    const script: EngineScript = {
        send: (engine, options, request) => run("send", engine, request, () => responseOf(200)),
        prefill: (engine, options, request) =>
            run("prefill", engine, request, () => Result.ok({ address: engine.address, handle: "h", tokens: 10 })),
        report: async ({ id }) =>
            down.has(id)
                ? Result.err({ kind: "unreachable", cause: "connection refused", isConnectionRefused: true })
                : Result.err({ kind: "notExecuted", status: 404, cause: "no report" }),
    };
    return { script, ends: () => ends, deadlyCalls: () => deadlyCalls };
}

function brokenResponse(): Result<EngineResponse, EngineError> {
    const body = Readable.from((async function* broken(): AsyncGenerator<Buffer> {
        yield Buffer.from("id: 1\nda");
        throw new Error("other side closed");
    })());
    return Result.ok({ engine: "", status: 200, headers: [], framing: "chunks", body });
}

/** Sends a request; resolves to its outcome. */
function send(harness: ForwardingHarness, path: string, overrides: Partial<ForwardRequest>): Promise<string> {
    const request = requestTo(path, {
        receivedAtMs: harness.clock.monotonicMs(),
        method: path.startsWith("/idempotent/") ? "GET" : "POST",
        ...path.startsWith("/stream/") ? { size } : {},
        ...overrides,
    });
    return forward(harness.context, request).then(describeOutcome);
}

const deadly = { key: "key", body: Buffer.from("deadly") } as const;

/** Sound requests that share all but one of path, caller and body with the deadly one. */
function sendSound(harness: ForwardingHarness, path: string, round: number): readonly Promise<string>[] {
    return [
        send(harness, path, { ...deadly, body: Buffer.from(`sound ${round}`) }),
        send(harness, path, { body: deadly.body }),
        send(harness, path.replace("/x", "/y"), deadly),
    ];
}

const moments: readonly CrashMoment[] = ["without a response", "inside the response", "after a hedge was sent"];
const cases = [
    ...["/idempotent/x", "/nonIdempotent/x"].flatMap(path =>
        moments.flatMap(moment =>
            [1, 4].map((deadlyPerRound): DeadlyCase => ({ path, crashIn: "send", moment, deadlyPerRound }))
        )
    ),
    ...(["send", "prefill"] as const).flatMap(crashIn =>
        [1, 4].map((deadlyPerRound): DeadlyCase => ({
            path: "/stream/x",
            crashIn,
            moment: "without a response",
            deadlyPerRound,
        }))
    ),
];

describe("a request that crashes engines and comes again", () => {
    // Each copy of the request, and each repeat and hedge of it, ended one more engine.
    it.each(cases)(
        "ends few engines: $path, crash $moment in $crashIn, $deadlyPerRound at a time",
        async deadlyCase => {
            const { path, deadlyPerRound } = deadlyCase;
            const routes = (["idempotent", "nonIdempotent", "stream"] as const).map(kind => routeOf(kind));
            const fleet = createEngineFleet(deadlyCase, () => harness);
            const harness: ForwardingHarness = createForwardingHarness(desiredStateOf(routes), fleet.script);
            harness.load(engines);
            const soundOutcomes: string[] = [];
            let callsAfterThird = 0;
            for (let round = 0; round < 12; round++) {
                const callsBefore = fleet.deadlyCalls();
                const hasEndedThree = fleet.ends() >= endedEngines;
                const outcomes = Array.from({ length: deadlyPerRound }, () => send(harness, path, deadly));
                const sound = sendSound(harness, path, round);
                await harness.clock.advance(reactionMs);
                await Promise.all(outcomes);
                soundOutcomes.push(...await Promise.all(sound));
                callsAfterThird += hasEndedThree ? fleet.deadlyCalls() - callsBefore : 0;
            }
            expect(callsAfterThird).toBeLessThanOrEqual(maxLaterCalls);
            const lastOutcome = send(harness, path, deadly);
            await harness.clock.advance(reactionMs);
            expect(await lastOutcome).toBe("503");
            expect(soundOutcomes.slice(-18)).toEqual(Array.from({ length: 18 }, () => "200 ok"));
        },
    );
});
