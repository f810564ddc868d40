/**
 * A request's way: route, key, quota, then a plain call or a generation. Guards come first; each refusal says why.
 */

import type { ClientAccount, Route } from "../routes/desiredState.js";
import { pickService } from "../routes/routeTable.js";
import type { RouteTable } from "../routes/routeTable.js";
import { createArrivals } from "./arrivals.js";
import type { ForwardContext } from "./context.js";
import { refuse } from "./forwardRequest.js";
import type { ForwardOutcome, ForwardRequest, ForwardResult } from "./forwardRequest.js";
import { generate } from "./generation.js";
import { callPlain } from "./plainCall.js";
import type { RoutedRequest } from "./routedRequest.js";

/** How soon a caller should come back to a process that is starting or cut off. */
const noConfigurationRetryMs = 500;
/** How soon a caller should come back to find another entry behind the balancer. */
const closingRetryMs = 0;
/** A stream whose caller doesn't tell its size is taken for an average one (platform's sheets). */
const usualStreamMs = 3_600;
/** One answer in twenty takes longer than this many times its expected time (bench, both sites). */
const slowAnswerFactor = 1.8;
/** No stream begins with less time left, however short it is said to be: callers' estimates are often far off. */
const shortestStreamLeftMs = 4_500;

export async function forward(context: ForwardContext, request: ForwardRequest): Promise<ForwardResult> {
    const table = context.routes();
    const route = table?.find(request.host, request.path);
    const account = request.key === undefined ? undefined : table?.accountOf(request.key);
    const outcome = await admit(context, request, table, route, account);
    return {
        ...outcome,
        facts: { clientAccount: account?.name, route: route?.name, objectiveMs: route?.objectiveMs },
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
        return refuse(503, "no desired state is known yet", noConfigurationRetryMs);
    }
    if (route === undefined) {
        return refuse(404, `no route for host ${request.host} and path ${request.path}`);
    }
    if (account === undefined && table.state.clientAccounts !== undefined && !route.isPublic) {
        return refuse(401, request.key === undefined ? "no key was sent" : "the key belongs to no client account");
    }
    const service = pickService(route, context.random);
    if (service === undefined) {
        return refuse(503, `route ${route.name} names no service`, noConfigurationRetryMs);
    }
    const endsAtMs = context.endsAtMs();
    if (route.kind === "stream" && endsAtMs !== undefined && wouldBeCut(context, request, endsAtMs)) {
        return refuse(503, "this entry is shutting down", closingRetryMs);
    }
    const units = account?.unit === "tokens" ? tokensOf(request, account.plainTokens) : 1;
    const admission = account === undefined
        ? undefined
        : context.quota.admit(account.name, { ratePerSecond: account.ratePerSecond, burst: account.burst }, units);
    if (admission?.kind === "refused") {
        return refuse(429, `client account ${account?.name} is over its rate`, admission.retryAfterMs);
    }
    context.retryBudget.noteRequest(service);
    const patienceMs = Math.min(route.timeoutMs, request.callerPatienceMs ?? route.timeoutMs);
    const routed: RoutedRequest = {
        request: { ...request, clientAccount: account?.name },
        route,
        service,
        dueAtMs: request.receivedAtMs + patienceMs,
    };
    const outcome = await dispatch(context, table, routed);
    if (outcome.kind === "refused" && outcome.refusal.status === 503) {
        admission?.refund();
    }
    return outcome;
}

/** Whether a stream would hardly be whole when the process ends. */
function wouldBeCut(context: ForwardContext, { size }: ForwardRequest, endsAtMs: number): boolean {
    const leftMs = endsAtMs - context.clock.monotonicMs();
    const expectedMs = size === undefined ? usualStreamMs : context.places.expectedAnswerMs(size);
    return leftMs < Math.max(shortestStreamLeftMs, expectedMs * slowAnswerFactor);
}

function tokensOf({ size }: ForwardRequest, plainTokens: number): number {
    return size === undefined ? plainTokens : size.promptTokens + size.maxOutputTokens;
}

function dispatch(context: ForwardContext, table: RouteTable, routed: RoutedRequest): Promise<ForwardOutcome> {
    const figures = table.service(routed.service)?.engine;
    const { size } = routed.request;
    return figures === undefined || size === undefined
        ? callPlain(context, routed)
        : generate(context, {
            ...routed,
            size,
            figures,
            arrivals: createArrivals(context.retryBudget, routed.service),
        });
}
