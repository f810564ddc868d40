/**
 * Requests to plain services, by the configured routes.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import { sha256Hex } from "../common/digest.js";
import type { AccountLimits, Route } from "../configuration/objects.js";
import { callService } from "../requests/callService.js";
import type { ServiceOutcome } from "../requests/callService.js";
import type { IdempotencyError } from "../requests/idempotency.js";
import { queryOf } from "../rpc/httpServer.js";
import { bearerKey, notAvailable, ownerFor, readCallerBody } from "./callerGate.js";
import type { Caller, CallerGate } from "./callerGate.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

/** Handles a request that matches a route. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse, route: Route) => Promise<void>;

/** The account under which requests on open routes are queued. */
const openAccount = "open";
const openLimits: AccountLimits = { ratePerSecond: 0, burstRequests: 0, weight: 1, deferrableModels: [] };
const forwardedRequestHeaders = ["content-type", "accept", "accept-language", "if-none-match"];

export function createRouteHandler(dependencies: CallersDependencies, gate: CallerGate): RouteHandler {
    async function handleRoute(request: IncomingMessage, response: ServerResponse, route: Route): Promise<void> {
        const unavailable = dependencies.unavailable();
        if (unavailable !== undefined) {
            sendError(response, notAvailable(unavailable));
            return;
        }
        const key = bearerKey(request);
        const caller: Result<Caller, CallerError> = route.open
            ? Result.ok({ owner: undefined, clientAccount: openAccount, limits: openLimits })
            : gate.authenticate(key);
        if (caller.isErr) {
            sendError(response, caller.error);
            return;
        }
        const body = await readCallerBody(request, key, dependencies.maxBodyBytes);
        if (body.isErr) {
            sendError(response, body.error);
            return;
        }
        await gate.withKeyUse(request, response, caller.value, async signal => {
            let confirm = async (): Promise<boolean> => true;
            if (!route.open) {
                const admitted = await gate.admit(caller.value);
                if (admitted.isErr) {
                    sendError(response, admitted.error);
                    return;
                }
                confirm = admitted.value;
            }
            await runRoute(request, response, route, caller.value, body.value, confirm, signal);
        });
    }

    async function runRoute(
        request: IncomingMessage,
        response: ServerResponse,
        route: Route,
        caller: Caller,
        body: Buffer,
        confirm: () => Promise<boolean>,
        signal: AbortSignal,
    ): Promise<void> {
        const query = queryOf(request).toString();
        const path = query === "" ? route.path : `${route.path}?${query}`;
        const run = (): Promise<ServiceOutcome> =>
            callService(dependencies.contextFor(confirm), {
                ...ownerFor(caller, ""),
                poolName: route.pool,
                method: route.method,
                path,
                headers: forwardedHeaders(request),
                bodyBase64: body.toString("base64"),
                idempotent: route.idempotent,
                timeoutMs: route.timeoutMs,
            }, signal);
        const key = request.headers["idempotency-key"];
        // Callers of an open route are strangers to each other, so they can't share keys.
        if (route.idempotent || caller.owner === undefined || typeof key !== "string" || key === "") {
            sendOutcome(response, await run());
            return;
        }
        const fingerprint = sha256Hex(`${route.method} ${path}\n${body.toString("base64")}`);
        const outcome = await dependencies.idempotentCalls.runOnce(
            { clientAccount: caller.clientAccount, key, fingerprint },
            run,
        );
        if (outcome.isErr) {
            sendError(response, idempotencyError(outcome.error));
            return;
        }
        sendOutcome(response, outcome.value);
    }

    function sendOutcome(response: ServerResponse, outcome: ServiceOutcome): void {
        switch (outcome.kind) {
            case "answered":
                response.writeHead(outcome.status, { ...outcome.headers, "content-length": outcome.body.length });
                response.end(outcome.body);
                return;
            case "notRun":
                sendError(response, {
                    code: "unavailable",
                    message: outcome.cause,
                    notRun: true,
                    retryAfterMs: outcome.retryAfterMs,
                });
                return;
            case "unknown":
                sendError(response, { code: "outcome_unknown", message: outcome.cause, notRun: false });
        }
    }

    return handleRoute;
}

function forwardedHeaders(request: IncomingMessage): Readonly<Record<string, string>> {
    const entries = forwardedRequestHeaders
        .map(name => [name, request.headers[name]] as const)
        .filter((entry): entry is readonly [string, string] => typeof entry[1] === "string");
    return Object.fromEntries(entries);
}

function idempotencyError(error: IdempotencyError): CallerError {
    if (error.kind === "keyReused") {
        const message = "this idempotency key was used for another request";
        return { code: "idempotency_key_reused", message, param: "Idempotency-Key", notRun: true };
    }
    return notAvailable(`the idempotency key could not be recorded: ${error.cause}`);
}
