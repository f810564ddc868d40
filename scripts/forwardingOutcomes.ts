/**
 * What becomes of a request on the platform when an engine fails at some stage: found out by playing each case through
 * the forwarding itself, once with other engines that are well and once with all of them failing alike.
 */

import { Result } from "true-myth";
import {
    answerOf,
    createForwardingRig,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    smallSize,
    stateOf,
} from "../fakes/forwardingRig.js";
import type { EngineScript } from "../fakes/forwardingRig.js";
import { provesNotRun } from "../src/engines/enginePort.js";
import type { EngineError, EngineRecord } from "../src/engines/enginePort.js";
import { forward } from "../src/forwarding/forward.js";
import type { RouteKind } from "../src/routes/desiredState.js";

type Failure = EngineError["kind"] | 500;

interface Stage {
    readonly name: string;
    readonly kind: RouteKind;
    readonly failures: readonly Failure[];
    /** Engines whose first call of the stage fails, or all calls. */
    readonly script: (fails: (engine: EngineRecord) => boolean, failure: Failure) => EngineScript;
}

export interface ForwardingOutcomeRow {
    readonly stage: string;
    readonly failure: string;
    /** Whether the engine may have run the request then. */
    readonly mayHaveRun: boolean;
    /** The caller's answer if the other engines are well. */
    readonly othersWell: string;
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
const unavailable = 503;
const patienceMs = 5_000;

const sendScript: Stage["script"] = (fails, failure) => ({
    send: async engine =>
        !fails(engine) ? answerOf(200) : typeof failure === "number" ? answerOf(failure) : errorOf(failure),
});

const sendFailures: readonly Failure[] = ["unreachable", "notExecuted", "interrupted", "timeout", 500];

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

async function play(stage: Stage, failure: Failure, allFail: boolean): Promise<string> {
    // The first engine that the stage calls fails for good.
    let first: string | undefined;
    const fails = ({ id }: EngineRecord): boolean => {
        first ??= id;
        return allFail || id === first;
    };
    const rig = createForwardingRig(stateOf([routeOf(stage.kind)]), stage.script(fails, failure));
    rig.load(engines);
    const request = requestTo(`/${stage.kind}/x`, stage.kind === "stream" ? { size: smallSize } : {});
    const outcome = forward(rig.context, request);
    await rig.clock.advance(patienceMs);
    const result = await outcome;
    if (result.kind === "answered") {
        return `${result.answer.status} of an engine`;
    }
    const { status, retryAfterMs } = result.refusal;
    return status === unavailable && retryAfterMs !== undefined
        ? `${status}, not run, Retry-After`
        : `${status}, unknown`;
}

export async function forwardingOutcomes(): Promise<readonly ForwardingOutcomeRow[]> {
    const rows: ForwardingOutcomeRow[] = [];
    for (const stage of stages) {
        for (const failure of stage.failures) {
            const isRun = stage.name !== "place at a decode engine" && stage.name !== "prefill";
            rows.push({
                stage: stage.name,
                failure: typeof failure === "number" ? `status ${failure}` : failure,
                mayHaveRun: isRun && (typeof failure === "number" || !provesNotRun(failureOf(failure))),
                othersWell: await play(stage, failure, false),
                allFail: await play(stage, failure, true),
            });
        }
    }
    return rows;
}

function failureOf(kind: EngineError["kind"]): EngineError {
    const failed = errorOf(kind);
    return failed.isErr ? failed.error : { kind: "interrupted", cause: "" };
}
