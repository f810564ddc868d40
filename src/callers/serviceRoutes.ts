/**
 * Forwards requests to plain services along the configured routes.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import { sha256Hex } from "../common/digest.js";
import type { AccountLimits, Route } from "../configuration/objects.js";
import { callService } from "../requests/callService.js";
import type { ServiceOutcome } from "../requests/callService.js";
import type { IdempotencyError, NotAdmitted } from "../requests/idempotency.js";
import { queryOf } from "../rpc/httpServer.js";
import { bearerKey, createRequestAttributes, readCallerBody, unavailableError } from "./accessControl.js";
import type { AccessControl, Caller } from "./accessControl.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

/** Handles a request that matches a route. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse, route: Route) => Promise<void>;

/** Client account to which requests on open routes are attributed in queues. */
const openAccount = "open";
const openAccountLimits: AccountLimits = { ratePerSecond: 0, burstRequests: 0, weight: 1, deferrableModels: [] };
const forwardedRequestHeaders = ["content-type", "accept", "accept-language", "if-none-match"];

export function createRouteHandler(dependencies: CallersDependencies, accessControl: AccessControl): RouteHandler {
    async function handleRoute(request: IncomingMessage, response: ServerResponse, route: Route): Promise<void> {
        const unavailable = dependencies.unavailable();
        if (unavailable !== undefined) {
            sendError(response, unavailableError(unavailable));
            return;
        }
        const key = bearerKey(request);
        const caller: Result<Caller, CallerError> = route.open
            ? Result.ok({ owner: undefined, clientAccount: openAccount, limits: openAccountLimits })
            : accessControl.authenticate(key);
        if (caller.isErr) {
            sendError(response, caller.error);
            return;
        }
        const body = await readCallerBody(request, key, dependencies.maxBodyBytes);
        if (body.isErr) {
            sendError(response, body.error);
            return;
        }
        await accessControl.runWhileKeyValid(
            request,
            response,
            caller.value,
            signal => forwardToService(request, response, route, caller.value, body.value, signal),
        );
    }

    async function forwardToService(
        request: IncomingMessage,
        response: ServerResponse,
        route: Route,
        caller: Caller,
        body: Buffer,
        signal: AbortSignal,
    ): Promise<void> {
        const query = queryOf(request).toString();
        const path = query === "" ? route.path : `${route.path}?${query}`;
        let confirmAdmission = async (): Promise<boolean> => true;
        const admit = async (): Promise<Result<undefined, CallerError>> => {
            const admitted = route.open ? Result.ok(confirmAdmission) : await accessControl.admit(caller);
            return admitted.map(confirm => {
                confirmAdmission = confirm;
                return undefined;
            });
        };
        const run = (): Promise<ServiceOutcome> =>
            callService(dependencies.createRequestContext(confirmAdmission), {
                ...createRequestAttributes(caller, ""),
                poolName: route.pool,
                method: route.method,
                path,
                headers: forwardedHeaders(request),
                bodyBase64: body.toString("base64"),
                idempotent: route.idempotent,
                timeoutMs: route.timeoutMs,
            }, signal);
        const key = request.headers["idempotency-key"];
        // Callers of an open route are not authenticated, so unrelated callers could send the same idempotency key.
        if (route.idempotent || caller.owner === undefined || typeof key !== "string" || key === "") {
            const admitted = await admit();
            if (admitted.isErr) {
                sendError(response, admitted.error);
                return;
            }
            sendOutcome(response, await run());
            return;
        }
        const fingerprint = sha256Hex(`${route.method} ${path}\n${body.toString("base64")}`);
        const call = { clientAccount: caller.clientAccount, key, fingerprint };
        const outcome = await dependencies.idempotentCalls.runOnce(call, admit, run);
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

function idempotencyError(error: IdempotencyError | NotAdmitted<CallerError>): CallerError {
    if (error.kind === "notAdmitted") {
        return error.refusal;
    }
    if (error.kind === "keyReused") {
        const message = "this idempotency key was used for another request";
        return { code: "idempotency_key_reused", message, param: "Idempotency-Key", notRun: true };
    }
    return unavailableError(`the idempotency key could not be recorded: ${error.cause}`);
}
