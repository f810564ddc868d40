/**
 * The outcome of a request on the platform when an engine fails at a given stage, determined by running each case
 * through the forwarding code: once with the other engines healthy and once with all of them failing in the same way.
 */

import { Result } from "true-myth";
import {
    createForwardingHarness,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
    smallSize,
} from "../fakes/forwardingHarness.js";
import type { EngineScript } from "../fakes/forwardingHarness.js";
import { provesNotRun } from "../src/engines/enginePort.js";
import type { EngineError, EngineRecord } from "../src/engines/enginePort.js";
import { forward } from "../src/forwarding/forward.js";
import type { RouteKind } from "../src/routes/desiredState.js";

type Failure = EngineError["kind"] | 500 | 503;

interface Stage {
    readonly name: string;
    readonly kind: RouteKind;
    readonly failures: readonly Failure[];
    /** Builds a script by which calls of this stage fail with `failure` at the engines for which `fails` returns true. */
    readonly script: (fails: (engine: EngineRecord) => boolean, failure: Failure) => EngineScript;
}

export interface ForwardingOutcomeRow {
    readonly stage: string;
    readonly failure: string;
    /** Whether the engine may have run the request. */
    readonly mayHaveRun: boolean;
    /** The caller's response if the other engines are healthy. */
    readonly othersHealthy: string;
    /** The caller's response if all engines fail in the same way. */
    readonly allFail: string;
}

const engines = [
    engineRecord("p-1", "prefill"),
    engineRecord("p-2", "prefill"),
    engineRecord("m-1", "decode"),
    engineRecord("m-2", "decode"),
    engineRecord("d-1"),
    engineRecord("d-2"),
];
const serviceUnavailableStatus = 503;
const caseDurationMs = 5_000;

const sendScript: Stage["script"] = (fails, failure) => ({
    send: async engine =>
        !fails(engine) ? responseOf(200) : typeof failure === "number" ? responseOf(failure) : errorOf(failure),
});

const sendFailures: readonly Failure[] = ["unreachable", "notExecuted", "interrupted", "timeout", 500, 503];

const stages: readonly Stage[] = [
    {
        name: "place at a decode engine",
        kind: "stream",
        failures: ["notExecuted", "unreachable", "timeout"],
        script: (fails, failure) => ({
            reserve: async (engine, tokens) =>
                fails(engine) && typeof failure !== "number" ? errorOf(failure) : Result.ok({ id: "h", tokens }),
        }),
    },
    {
        name: "prefill",
        kind: "stream",
        failures: ["unreachable", "notExecuted", "interrupted", "timeout"],
        script: (fails, failure) => ({
            prefill: async engine =>
                fails(engine) && typeof failure !== "number"
                    ? errorOf(failure)
                    : Result.ok({ address: engine.address, handle: "h", tokens: smallSize.promptTokens }),
        }),
    },
    { name: "start of a stream", kind: "stream", failures: sendFailures, script: sendScript },
    { name: "idempotent call", kind: "idempotent", failures: sendFailures, script: sendScript },
    { name: "call that must not run twice", kind: "nonIdempotent", failures: sendFailures, script: sendScript },
];

async function runCase(stage: Stage, failure: Failure, allFail: boolean): Promise<string> {
    // The first engine called at this stage fails on every call.
    let failingEngineId: string | undefined;
    const fails = ({ id }: EngineRecord): boolean => {
        failingEngineId ??= id;
        return allFail || id === failingEngineId;
    };
    const harness = createForwardingHarness(desiredStateOf([routeOf(stage.kind)]), stage.script(fails, failure));
    harness.load(engines);
    const request = requestTo(`/${stage.kind}/x`, stage.kind === "stream" ? { size: smallSize } : {});
    const outcome = forward(harness.context, request);
    await harness.clock.advance(caseDurationMs);
    const result = await outcome;
    if (result.kind === "answered") {
        return `${result.answer.status} of an engine`;
    }
    const { status, retryAfterMs } = result.refusal;
    return status === serviceUnavailableStatus && retryAfterMs !== undefined
        ? `${status}, not run, Retry-After`
        : `${status}, unknown`;
}

export async function forwardingOutcomes(): Promise<readonly ForwardingOutcomeRow[]> {
    const rows: ForwardingOutcomeRow[] = [];
    for (const stage of stages) {
        for (const failure of stage.failures) {
            const stageRunsRequest = stage.name !== "place at a decode engine" && stage.name !== "prefill";
            rows.push({
                stage: stage.name,
                failure: typeof failure === "number" ? `status ${failure}` : failure,
                mayHaveRun: stageRunsRequest && (typeof failure === "number" || !provesNotRun(engineErrorOf(failure))),
                othersHealthy: await runCase(stage, failure, false),
                allFail: await runCase(stage, failure, true),
            });
        }
    }
    return rows;
}

function engineErrorOf(kind: EngineError["kind"]): EngineError {
    const failed = errorOf(kind);
    return failed.isErr ? failed.error : { kind: "interrupted", cause: "" };
}
