/**
 * Calls a plain service and resolves to a single outcome. A call that is not idempotent runs at most once: it is
 * retried only if it certainly did not run; otherwise its outcome is reported as unknown.
 */

import { checkValue } from "../common/json.js";
import { agentMethods, serviceResponseSchema } from "../endpoint/messages.js";
import type { ServiceResponse } from "../endpoint/messages.js";
import type { RequestContext, RequestOwner } from "./context.js";
import { findOutcome } from "./outcomeTable.js";
import type { FailureKind } from "./outcomeTable.js";

/** A call to a plain service of a pool. `idempotent` calls may be repeated. */
export interface ServiceRequest extends RequestOwner {
    readonly poolName: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBase64: string;
    readonly idempotent: boolean;
    readonly timeoutMs: number;
}

/** How a call ended. After `notRun` the service has certainly not run it; after `unknown` it may have. */
export type ServiceOutcome =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: Readonly<Record<string, string>>;
        readonly body: Buffer;
    }
    | { readonly kind: "notRun"; readonly cause: string; readonly retryAfterMs: number; }
    | { readonly kind: "unknown"; readonly cause: string; };

interface CallFailure {
    readonly failure: FailureKind;
    readonly cause: string;
}

const maxAttempts = 3;
const answerMarginMs = 1_000;
const refusalRetryAfterMs = 1_000;

/**
 * Runs a call with retries as the outcome table and the retry budget allow. Aborting `signal` stops the retries; it
 * also cancels the running attempt of an idempotent call.
 */
export async function callService(
    context: RequestContext,
    request: ServiceRequest,
    signal: AbortSignal,
): Promise<ServiceOutcome> {
    const excluded = new Set<string>();
    let mayHaveRun = false;
    context.retryBudget.recordRequest(request.clientAccount, request.poolName);

    function failed(cause: string): ServiceOutcome {
        return mayHaveRun ? { kind: "unknown", cause } : { kind: "notRun", cause, retryAfterMs: refusalRetryAfterMs };
    }

    for (let attempt = 1;; attempt++) {
        if (!await context.confirmAdmission()) {
            return failed("the admission became stale");
        }
        const result = await sendOnce(context, request, attempt, excluded, signal);
        if ("status" in result) {
            return result;
        }
        if (result.failure === "none") {
            return failed(result.cause);
        }
        const outcome = findOutcome("call", result.failure);
        mayHaveRun ||= outcome.mayHaveRun;
        const action = request.idempotent ? outcome.idempotent : outcome.nonIdempotent;
        context.counters.add(`requests.calls.${result.failure}.${action}`);
        const mayRetry = action === "retry" && attempt < maxAttempts && !signal.aborted;
        if (!mayRetry || !context.retryBudget.takeRetry(request.clientAccount, request.poolName)) {
            return failed(result.cause);
        }
    }
}

async function sendOnce(
    context: RequestContext,
    request: ServiceRequest,
    attempt: number,
    excluded: Set<string>,
    signal: AbortSignal,
): Promise<Extract<ServiceOutcome, { readonly kind: "answered"; }> | CallFailure> {
    const candidates = context.candidates.candidates(request.poolName, "plain", excluded);
    const candidate = context.policies.chooseService(context, candidates, { promptTokens: 0, blockHashes: [] });
    if (candidate === undefined) {
        return { failure: "none", cause: `no endpoint of pool "${request.poolName}" can be reached` };
    }
    const maxQueueMs = context.timeouts.maxQueueMs[request.requestClass];
    const sent = context.loads.recordSent(candidate.endpoint, 0);
    const { poolName, ...call } = request;
    const answer = await context.rpc.call(candidate.agentUrl, agentMethods.callService, {
        ...call,
        attempt,
        maxQueueMs,
    }, {
        timeoutMs: maxQueueMs + request.timeoutMs + answerMarginMs,
        signal: request.idempotent ? signal : undefined,
    });
    sent.end();
    if (answer.isErr) {
        excluded.add(candidate.endpoint);
        context.reportFailure(candidate.agentUrl);
        const { kind, cause } = answer.error;
        return { failure: kind === "rejected" ? "refused" : kind, cause };
    }
    const checked = checkValue(serviceResponseSchema, answer.value);
    if (checked.isErr) {
        return { failure: "broken", cause: "answer of unknown shape" };
    }
    context.loads.recordReport(candidate.endpoint, checked.value.load);
    context.reportSuccess(candidate.agentUrl);
    excluded.add(candidate.endpoint);
    return toOutcome(checked.value);
}

function toOutcome(
    answer: ServiceResponse,
): Extract<ServiceOutcome, { readonly kind: "answered"; }> | CallFailure {
    switch (answer.kind) {
        case "answered": {
            const { status, headers } = answer;
            return { kind: "answered", status, headers, body: Buffer.from(answer.bodyBase64, "base64") };
        }
        case "refused":
            return { failure: "refused", cause: answer.reason };
        case "unreachable":
            return { failure: "unreachable", cause: answer.cause };
        case "unknown":
            return { failure: "interrupted", cause: answer.cause };
    }
}
