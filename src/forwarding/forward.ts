/**
 * Forwards a request: checks its route, API key and quota, then makes a plain call or runs a generation. Each refusal
 * states its cause.
 */

import { fingerprintOf } from "../quarantine/requestFingerprint.js";
import type { ClientAccount, Route } from "../routes/desiredState.js";
import { pickService } from "../routes/routeTable.js";
import type { RouteTable } from "../routes/routeTable.js";
import type { ForwardContext } from "./context.js";
import { discardBody } from "./discardBody.js";
import { createEngineCallBudget } from "./engineCallBudget.js";
import { promisesNotRun, refuse } from "./forwardRequest.js";
import type { ForwardOutcome, ForwardRequest, ForwardResult } from "./forwardRequest.js";
import { generate } from "./generation.js";
import { callPlain } from "./plainCall.js";
import { refuseQuarantined } from "./quarantineChecks.js";
import { findResumedOrigin, isResumed } from "./resumedStream.js";
import { homeRegionsOf } from "./routedRequest.js";
import type { RoutedRequest } from "./routedRequest.js";
import { refuseIfTooLate } from "./shutdownChecks.js";

/** Retry delay for callers while this entry has no usable desired state: it is starting, cut off or behind others. */
const noDesiredStateRetryMs = 500;

export async function forward(context: ForwardContext, request: ForwardRequest): Promise<ForwardResult> {
    const table = context.routes();
    const route = table?.find(request.host, request.path);
    const account = request.key === undefined ? undefined : table?.accountOf(request.key);
    const outcome = await admit(context, request, table, route, account);
    return {
        ...outcome,
        logFields: {
            clientAccount: account?.name,
            route: route?.name,
            cost: account === undefined ? undefined : costOf(request, account),
            objectiveMs: route?.objectiveMs,
        },
    };
}

async function admit(
    context: ForwardContext,
    request: ForwardRequest,
    table: RouteTable | undefined,
    route: Route | undefined,
    account: ClientAccount | undefined,
): Promise<ForwardOutcome> {
    if (table === undefined) {
        return refuse(503, "no desired state is known yet", noDesiredStateRetryMs);
    }
    if (route === undefined) {
        return refuseUnknown(context, 404, `no route for host ${request.host} and path ${request.path}`);
    }
    if (account === undefined && table.state.clientAccounts !== undefined && !route.isPublic) {
        const cause = request.key === undefined ? "no key was sent" : "the key belongs to no client account";
        return refuseUnknown(context, 401, cause);
    }
    const pickedService = pickService(route, context.random);
    if (pickedService === undefined) {
        return refuse(503, `route ${route.name} names no service`, noDesiredStateRetryMs);
    }
    const effectiveTimeoutMs = Math.min(route.timeoutMs, request.callerTimeoutMs ?? route.timeoutMs);
    const deadlineMs = request.receivedAtMs + effectiveTimeoutMs;
    const tooLate = refuseIfTooLate(context, { request, route, service: pickedService, deadlineMs });
    if (tooLate !== undefined) {
        return tooLate;
    }
    const fingerprint = fingerprintOf({ ...request, clientAccount: account?.name });
    const quarantined = refuseQuarantined(context, { request, service: pickedService, fingerprint });
    if (quarantined !== undefined) {
        return quarantined;
    }
    const cost = account === undefined ? 0 : costOf(request, account);
    const admission = account === undefined
        ? undefined
        : context.quota.admit(account.name, { ratePerSecond: account.ratePerSecond, burst: account.burst }, cost);
    if (admission?.kind === "refused") {
        context.log.decision("over the rate of its client account", {
            requestId: request.requestId,
            clientAccount: account?.name,
            cost,
            ratePerSecond: account?.ratePerSecond,
            burst: account?.burst,
            ...admission.state,
        });
        return refuse(429, `client account ${account?.name} is over its rate`, admission.retryAfterMs);
    }
    const origin = isResumed(route, request) ? await findResumedOrigin(context, request, route) : undefined;
    if (origin?.isErr) {
        admission?.refund();
        return { kind: "refused", refusal: origin.error };
    }
    const service = origin?.value.service ?? pickedService;
    context.retryBudget.recordRequest(service);
    const routed: RoutedRequest = {
        request: { ...request, clientAccount: account?.name },
        route,
        service,
        softwareVersion: origin?.value.softwareVersion,
        priority: account?.priority ?? route.priority,
        homeRegions: homeRegionsOf(route, account),
        fingerprint,
        deadlineMs,
    };
    const outcome = withoutFalsePromise(context, routed, await dispatch(context, table, routed));
    if (outcome.kind === "refused" && outcome.refusal.status === 503) {
        admission?.refund();
    }
    return outcome;
}

/** Refuses a request for good, unless a newer desired state may allow it. */
function refuseUnknown({ isOutdated }: ForwardContext, status: 401 | 404, cause: string): ForwardOutcome {
    return isOutdated()
        ? refuse(503, `${cause}; a newer desired state is not in force here yet`, noDesiredStateRetryMs)
        : refuse(status, cause);
}

/**
 * Replaces a response that would tell the caller that its request has not run: its status does not state this for the
 * engine, which may have run the request. What engines state is an `EngineError` instead.
 */
function withoutFalsePromise(
    context: ForwardContext,
    { request }: RoutedRequest,
    outcome: ForwardOutcome,
): ForwardOutcome {
    if (outcome.kind !== "answered" || !promisesNotRun(outcome.answer.status)) {
        return outcome;
    }
    const { engine, status, body } = outcome.answer;
    discardBody(body);
    const cause = `${engine} responded with status ${status}, but does not state that it has not run the request`;
    context.log.decision("a response does not prove its status", { requestId: request.requestId, engine, status });
    return refuse(502, `the outcome is unknown: ${cause}`);
}

/** What a request counts against its account's rate. */
function costOf({ size }: ForwardRequest, { unit, plainTokens }: ClientAccount): number {
    if (unit !== "tokens") {
        return 1;
    }
    return size === undefined ? plainTokens : size.promptTokens + size.maxOutputTokens;
}

function dispatch(context: ForwardContext, table: RouteTable, routed: RoutedRequest): Promise<ForwardOutcome> {
    const engineSpec = table.service(routed.service)?.engine;
    const { size } = routed.request;
    return engineSpec === undefined || size === undefined
        ? callPlain(context, routed)
        : generate(context, {
            ...routed,
            size,
            engineSpec,
            callBudget: createEngineCallBudget(context.retryBudget, routed.service),
        });
}
