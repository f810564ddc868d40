/**
 * One attempt at a generation: a decode slot is reserved first, then the prompt is prefilled, then the prefill's
 * result goes to the decode engine, then its tokens are passed on.
 */

import { Result } from "true-myth";
import { checkValue } from "../common/json.js";
import { agentMethods, prefillAnswerSchema, startDecodeAnswerSchema } from "../endpoint/messages.js";
import type { PrefillAnswer, ReserveDecode } from "../endpoint/messages.js";
import type { Candidate } from "../routing/choose.js";
import { estimateTokens, promptPieces } from "../routing/prefixIndex.js";
import type { RpcError } from "../rpc/errors.js";
import { openAgentStream } from "./agentStream.js";
import type { AgentStream } from "./agentStream.js";
import type { GenerationRequest, RequestContext } from "./context.js";
import type { FailureKind, Stage } from "./outcomeTable.js";

/** What an attempt needs besides the request. */
export interface AttemptInput {
    readonly attempt: number;
    /** Text and tokens that the caller has from earlier attempts. */
    readonly emittedText: string;
    readonly emittedTokens: number;
    readonly excluded: Set<string>;
    /** Takes each token; false ends the stream, since a stop string was reached or the caller is gone. */
    readonly onToken: (text: string) => boolean;
    readonly signal: AbortSignal;
}

export interface AttemptFailure {
    readonly stage: Stage;
    readonly failure: FailureKind;
    readonly cause: string;
}

/** How the stream of tokens came to its end. */
export interface AttemptEnd {
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
}

type Prefilled = Extract<PrefillAnswer, { readonly kind: "prefilled"; }>;

interface Reservation {
    readonly candidate: Candidate;
    readonly stream: AgentStream;
}

const startTimeoutMs = 2_000;
const answerMarginMs = 2_000;
const maxTransfers = 3;

export async function runAttempt(
    context: RequestContext,
    request: GenerationRequest,
    input: AttemptInput,
): Promise<Result<AttemptEnd, AttemptFailure>> {
    const reserved = await reserve(context, request, input);
    if (reserved.isErr) {
        return Result.err(reserved.error);
    }
    let reservation = reserved.value;
    try {
        const prefilled = await prefill(context, request, input);
        if (prefilled.isErr) {
            return Result.err(prefilled.error);
        }
        const prefilledAtMs = context.clock.monotonicMs();
        let transfer = await transferTo(context, request, input, reservation, prefilled.value);
        for (let transfers = 1; transfer.isErr && transfers < maxTransfers; transfers++) {
            const ageMs = context.clock.monotonicMs() - prefilledAtMs;
            if (ageMs >= prefilled.value.expiresInMs || input.signal.aborted) {
                break;
            }
            context.counters.add("requests.retransfers");
            reservation.stream.close();
            const next = await reserve(context, request, input);
            if (next.isErr) {
                break;
            }
            reservation = next.value;
            transfer = await transferTo(context, request, input, reservation, prefilled.value);
        }
        if (transfer.isErr) {
            return Result.err(transfer.error);
        }
        return await passTokens(context, input, reservation, prefilled.value.promptTokens);
    }
    finally {
        reservation.stream.close();
    }
}

async function reserve(
    context: RequestContext,
    request: GenerationRequest,
    input: AttemptInput,
): Promise<Result<Reservation, AttemptFailure>> {
    const promptTokens = estimateTokens(request.prompt) + input.emittedTokens;
    const candidates = candidatesFor(context, request, "decode", input.excluded);
    const candidate = context.policies.chooseDecode(context, candidates, { promptTokens, pieces: [] });
    if (candidate === undefined) {
        return fail("route", "none", `no decode endpoint of pool "${request.poolName}" can be reached`);
    }
    const maxQueueMs = context.timeouts.maxQueueMs[request.requestClass];
    const order: ReserveDecode = {
        ...ownerOf(request, input.attempt),
        maxQueueMs,
        promptTokens,
        maxOutputTokens: request.maxOutputTokens - input.emittedTokens,
        kvBytes: (promptTokens + request.maxOutputTokens - input.emittedTokens) * request.pool.kvBytesPerToken,
        startWithinMs: context.timeouts.prefillMs + startTimeoutMs,
    };
    const sent = context.loads.noteSent(candidate.endpoint, promptTokens);
    const opened = await openAgentStream(context.rpc, context.clock, candidate.agentUrl, order, input.signal);
    if (opened.isErr) {
        sent.end();
        return failReserve(context, input, candidate, opened.error.kind, opened.error.cause);
    }
    const stream = opened.value;
    const first = await stream.next(maxQueueMs + answerMarginMs);
    if (first.isOk && first.value.type === "reserved") {
        context.loads.noteReport(candidate.endpoint, first.value.load);
        context.reportSuccess(candidate.agentUrl);
        return Result.ok({ candidate, stream });
    }
    sent.end();
    stream.close();
    if (first.isOk && first.value.type === "refused") {
        context.loads.noteReport(candidate.endpoint, first.value.load);
        input.excluded.add(candidate.endpoint);
        return fail("reserve", "refused", first.value.reason);
    }
    return failReserve(context, input, candidate, first.isErr ? first.error : "interrupted", "no reservation");
}

function failReserve(
    context: RequestContext,
    input: AttemptInput,
    candidate: Candidate,
    kind: RpcError["kind"] | "timeout" | "interrupted",
    cause: string,
): Result<never, AttemptFailure> {
    input.excluded.add(candidate.endpoint);
    if (!input.signal.aborted) {
        context.reportFailure(candidate.agentUrl);
    }
    return fail("reserve", kind === "rejected" ? "refused" : kind, `${candidate.endpoint}: ${cause}`);
}

async function prefill(
    context: RequestContext,
    request: GenerationRequest,
    input: AttemptInput,
): Promise<Result<Prefilled, AttemptFailure>> {
    const prompt = request.prompt + input.emittedText;
    const hint = { promptTokens: estimateTokens(prompt), pieces: promptPieces(prompt) };
    const candidates = candidatesFor(context, request, "prefill", input.excluded);
    const candidate = context.policies.choosePrefill(context, candidates, hint);
    if (candidate === undefined) {
        return fail("route", "none", `no prefill endpoint of pool "${request.poolName}" can be reached`);
    }
    const sent = context.loads.noteSent(candidate.endpoint, hint.promptTokens);
    const params = {
        ...ownerOf(request, input.attempt),
        maxQueueMs: context.timeouts.maxQueueMs[request.requestClass],
        model: request.model,
        prompt,
        promptTokens: hint.promptTokens,
    };
    const answer = await context.rpc.call(candidate.agentUrl, agentMethods.prefill, params, {
        timeoutMs: context.timeouts.prefillMs,
        signal: input.signal,
    });
    sent.end();
    const checked = answer.isOk ? checkValue(prefillAnswerSchema, answer.value).unwrapOr(undefined) : undefined;
    if (checked === undefined) {
        input.excluded.add(candidate.endpoint);
        if (!input.signal.aborted) {
            context.reportFailure(candidate.agentUrl);
        }
        return failRpc("prefill", candidate, answer);
    }
    context.loads.noteReport(candidate.endpoint, checked.load);
    context.reportSuccess(candidate.agentUrl);
    if (checked.kind !== "prefilled") {
        input.excluded.add(candidate.endpoint);
        const failure = checked.kind === "refused" ? "refused" : "engineFailed";
        return fail("prefill", failure, checked.kind === "refused" ? checked.reason : checked.cause);
    }
    context.prefixes.notePrefill(candidate.endpoint, hint.pieces);
    context.counters.add("requests.prefillTokens", checked.promptTokens);
    return Result.ok(checked);
}

async function transferTo(
    context: RequestContext,
    request: GenerationRequest,
    input: AttemptInput,
    reservation: Reservation,
    prefilled: Prefilled,
): Promise<Result<undefined, AttemptFailure>> {
    const { candidate, stream } = reservation;
    const params = {
        requestId: request.requestId,
        attempt: input.attempt,
        model: request.model,
        kvId: prefilled.kvId,
        kvSource: prefilled.kvSource,
        emittedTokens: input.emittedTokens,
        maxOutputTokens: request.maxOutputTokens,
    };
    const answer = await context.rpc.call(candidate.agentUrl, agentMethods.startDecode, params, {
        timeoutMs: startTimeoutMs,
        signal: input.signal,
    });
    input.excluded.add(candidate.endpoint);
    const started = answer.isOk ? checkValue(startDecodeAnswerSchema, answer.value).unwrapOr(undefined) : undefined;
    if (started === undefined) {
        return failRpc("transfer", candidate, answer);
    }
    if (started.kind === "refused") {
        return fail("transfer", "refused", started.reason);
    }
    const event = await stream.next(context.timeouts.transferMs);
    if (event.isErr) {
        return fail("transfer", event.error, `${candidate.endpoint}: transfer did not end`);
    }
    if (event.value.type !== "imported") {
        const cause = event.value.type === "failed" ? event.value.cause : `unexpected event "${event.value.type}"`;
        return fail("transfer", "engineFailed", `${candidate.endpoint}: ${cause}`);
    }
    return Result.ok(undefined);
}

async function passTokens(
    context: RequestContext,
    input: AttemptInput,
    reservation: Reservation,
    promptTokens: number,
): Promise<Result<AttemptEnd, AttemptFailure>> {
    const { candidate, stream } = reservation;
    let nextIndex = input.emittedTokens;
    while (true) {
        const event = await stream.next(context.timeouts.tokenGapMs);
        if (event.isErr) {
            return fail("decode", event.error, `${candidate.endpoint}: stream ended early`);
        }
        if (event.value.type === "token") {
            const { index, text } = event.value;
            if (index < nextIndex) {
                context.counters.add("requests.duplicateTokensDropped");
                continue;
            }
            if (index > nextIndex) {
                return fail("decode", "broken", `${candidate.endpoint}: token ${nextIndex} is missing`);
            }
            nextIndex += 1;
            if (!input.onToken(text)) {
                return Result.ok({ finishReason: "stop", promptTokens });
            }
        }
        else if (event.value.type === "end") {
            return Result.ok({ finishReason: event.value.finishReason, promptTokens });
        }
        else {
            const cause = event.value.type === "failed" ? event.value.cause : event.value.type;
            return fail("decode", "engineFailed", `${candidate.endpoint}: ${cause}`);
        }
    }
}

/** Endpoints not yet tried; once all were tried, all of them again. */
function candidatesFor(
    context: RequestContext,
    request: GenerationRequest,
    role: "prefill" | "decode",
    excluded: ReadonlySet<string>,
): readonly Candidate[] {
    const untried = context.candidates.candidates(request.poolName, role, excluded);
    return untried.length > 0 ? untried : context.candidates.candidates(request.poolName, role, new Set());
}

function ownerOf(request: GenerationRequest, attempt: number): Pick<
    ReserveDecode,
    "requestId" | "attempt" | "clientAccount" | "weight" | "requestClass"
> {
    const { requestId, clientAccount, weight, requestClass } = request;
    return { requestId, attempt, clientAccount, weight, requestClass };
}

function failRpc(stage: Stage, candidate: Candidate, answer: Result<unknown, RpcError>): Result<never, AttemptFailure> {
    if (answer.isOk) {
        return fail(stage, "interrupted", `${candidate.endpoint}: answer of unknown shape`);
    }
    const { kind, cause } = answer.error;
    return fail(stage, kind === "rejected" ? "refused" : kind, `${candidate.endpoint}: ${cause}`);
}

function fail(stage: Stage, failure: FailureKind, cause: string): Result<never, AttemptFailure> {
    return Result.err({ stage, failure, cause });
}
