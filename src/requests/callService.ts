/**
 * Calls a plain service and resolves to a single outcome. A call that is not idempotent runs at most once: it is
 * retried only if it certainly did not run; otherwise its outcome is reported as unknown.
 */

import { checkValue } from "../common/json.js";
import { agentMethods, serviceResponseSchema } from "../endpoint/messages.js";
import type { ServiceResponse } from "../endpoint/messages.js";
import type { EngineStart } from "../engines/engineNotices.js";
import { fingerprintOf } from "../quarantine/requestFingerprint.js";
import type { RequestAttributes, RequestContext } from "./context.js";
import { isEndpointUnavailable, maxEndedEndpoints, startOf } from "./endedEndpoint.js";
import { failureOfCall, findOutcome } from "./outcomeTable.js";
import type { FailureKind } from "./outcomeTable.js";

/** A call to a plain service of a pool. `idempotent` calls may be repeated. */
export interface ServiceRequest extends RequestAttributes {
    readonly poolName: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBase64: string;
    readonly idempotent: boolean;
    readonly timeoutMs: number;
}

/** How a call ended. `notRun`: the service has certainly not run it. `unknown`: the service may have run it. */
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
    /** The endpoint has ended with the call. */
    readonly endedEndpoint?: EngineStart | undefined;
    /** The endpoint had ended before or is leaving, so it did not get the call. */
    readonly isEndpointUnavailable?: boolean;
}

const maxAttempts = 3;
const responseMarginMs = 1_000;
const refusalRetryAfterMs = 1_000;
const quarantinedCause = "endpoints ended under this request";

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
    const parts = [
        fingerprintOf({ ...request, host: request.poolName, target: request.path, body: request.bodyBase64 }),
    ];
    let mayHaveRun = false;
    let endedEndpoints = 0;
    context.retryBudget.recordRequest(request.clientAccount, request.poolName);

    function failed(cause: string): ServiceOutcome {
        return mayHaveRun ? { kind: "unknown", cause } : { kind: "notRun", cause, retryAfterMs: refusalRetryAfterMs };
    }

    for (let attempt = 1;; attempt++) {
        const quarantined = context.quarantine.find(parts);
        if (quarantined !== undefined) {
            context.counters.add("requests.quarantined");
            return mayHaveRun ? { kind: "unknown", cause: quarantinedCause } : {
                kind: "notRun",
                cause: quarantinedCause,
                retryAfterMs: quarantined.remainingMs,
            };
        }
        if (!await context.confirmAdmission()) {
            return failed("the admission became stale");
        }
        const result = await sendOnce(context, request, attempt, excluded, signal);
        if ("status" in result) {
            context.quarantine.recordSound(parts);
            return result;
        }
        if (result.endedEndpoint !== undefined) {
            context.quarantine.recordEngineEnd(
                result.endedEndpoint,
                context.quarantine.suspectable(parts),
                context.clock.monotonicMs(),
            );
        }
        if (result.failure === "none") {
            return failed(result.cause);
        }
        const outcome = findOutcome("call", result.failure);
        mayHaveRun ||= outcome.mayHaveRun;
        const action = request.idempotent ? outcome.idempotent : outcome.nonIdempotent;
        context.counters.add(`requests.calls.${result.failure}.${action}`);
        const isOfferOnly = result.isEndpointUnavailable === true && endedEndpoints < maxEndedEndpoints;
        endedEndpoints += isOfferOnly ? 1 : 0;
        const mayRetry = action === "retry" && attempt - endedEndpoints < maxAttempts && !signal.aborted
            && result.endedEndpoint === undefined;
        const isAllowed = mayRetry
            && (isOfferOnly || context.retryBudget.takeRetry(request.clientAccount, request.poolName));
        if (!isAllowed) {
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
    const response = await context.rpc.call(candidate.agentUrl, agentMethods.callService, {
        ...call,
        attempt,
        maxQueueMs,
    }, {
        timeoutMs: maxQueueMs + request.timeoutMs + responseMarginMs,
        signal: request.idempotent ? signal : undefined,
    });
    sent.end();
    if (response.isErr) {
        excluded.add(candidate.endpoint);
        context.reportFailure(candidate.agentUrl);
        return { failure: failureOfCall(response.error), cause: response.error.cause };
    }
    const checked = checkValue(serviceResponseSchema, response.value);
    if (checked.isErr) {
        return { failure: "broken", cause: "answer of unknown shape" };
    }
    context.loads.recordReport(candidate.endpoint, checked.value.load);
    context.reportSuccess(candidate.agentUrl);
    excluded.add(candidate.endpoint);
    return toOutcome(candidate.endpoint, checked.value);
}

function toOutcome(
    endpoint: string,
    response: ServiceResponse,
): Extract<ServiceOutcome, { readonly kind: "answered"; }> | CallFailure {
    switch (response.kind) {
        case "answered": {
            const { status, headers } = response;
            return { kind: "answered", status, headers, body: Buffer.from(response.bodyBase64, "base64") };
        }
        case "refused":
            return {
                failure: "refused",
                cause: response.reason,
                isEndpointUnavailable: isEndpointUnavailable(response.reason),
            };
        case "unreachable":
            return { failure: "unreachable", cause: response.cause, isEndpointUnavailable: true };
        case "unknown":
            return {
                failure: "interrupted",
                cause: response.cause,
                endedEndpoint: startOf(endpoint, response.endpointEndedAtMs),
            };
    }
}
