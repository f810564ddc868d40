/**
 * The callers' HTTP interface: completions, chat, models, routes to plain services, health.
 */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { Clock } from "../common/clock.js";
import { sha256Hex } from "../common/hash.js";
import { describeInvalidInput } from "../common/json.js";
import type { AccountLimits, Route } from "../configuration/objects.js";
import { findRoute, limitsOf } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";
import type { KeyOwner, Keyring } from "../keys/keyring.js";
import type { KeyUses } from "../keys/keyUses.js";
import type { Admission, AdmissionDecision, Escrow } from "../limits/escrow.js";
import { callService } from "../requests/callService.js";
import type { ServiceOutcome } from "../requests/callService.js";
import type { RequestContext, RequestOwner } from "../requests/context.js";
import { generate } from "../requests/generate.js";
import type { IdempotencyError, IdempotentCalls } from "../requests/idempotency.js";
import type { CandidateIndex } from "../routing/candidates.js";
import { hangUpSignal, pathOf, queryOf, readBody, sendJson } from "../rpc/httpServer.js";
import type { Handler, Router } from "../rpc/httpServer.js";
import type { Counters } from "../telemetry/telemetry.js";
import { parseCompletion } from "./completionRequest.js";
import type { CompletionRequest, CompletionStyle } from "./completionRequest.js";
import { createStreamWriter, createWholeWriter } from "./completionResponse.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

export interface CallersDependencies {
    readonly configuration: () => ConfigurationState;
    readonly keyring: Keyring;
    readonly keyUses: KeyUses;
    readonly escrow: Escrow;
    readonly candidates: CandidateIndex;
    readonly idempotentCalls: IdempotentCalls;
    readonly clock: Clock;
    readonly counters: Counters;
    readonly maxBodyBytes: number;
    /** Why this entry takes no requests now, if so. */
    readonly unavailable: () => string | undefined;
    /** Why the balancer should send it no more requests, if so. */
    readonly notReady: () => string | undefined;
    readonly contextFor: (confirmAdmission: () => Promise<boolean>) => RequestContext;
}

interface Caller {
    readonly owner: KeyOwner | undefined;
    readonly clientAccount: string;
    readonly limits: AccountLimits;
}

/** The account under which requests on open routes are queued. */
const openAccount = "open";
const openLimits: AccountLimits = { ratePerSecond: 0, burstRequests: 0, weight: 1, deferrableModels: [] };
const unavailableRetryMs = 1_000;
const bearerPrefix = "bearer ";
const forwardedRequestHeaders = ["content-type", "accept", "accept-language", "if-none-match"];
const msPerSecond = 1_000;

export function createCallersRouter(dependencies: CallersDependencies): Router {
    const { keyring, keyUses, escrow, counters, clock } = dependencies;

    function authenticate(key: string | undefined): Result<Caller, CallerError> {
        if (key === undefined) {
            return refuse("missing_key", "a key is required: send it as \"Authorization: Bearer KEY\"");
        }
        const owner = keyring.lookUp(key);
        if (owner === "unknownKey") {
            return refuse("invalid_key", "the key is not known");
        }
        if (owner === "withdrawnKey") {
            return refuse("key_withdrawn", "the key has been withdrawn");
        }
        const limits = limitsOf(dependencies.configuration(), owner.clientAccount);
        if (limits === undefined) {
            return refuse("unknown_account", `client account "${owner.clientAccount}" does not exist`);
        }
        return Result.ok({ owner, clientAccount: owner.clientAccount, limits });
    }

    function refusedByLimit(decision: Extract<AdmissionDecision, { readonly kind: "refused"; }>): CallerError {
        const { kind, retryAfterMs } = decision.refusal;
        if (kind === "rateExceeded") {
            return { code: "rate_limit_exceeded", message: "rate exceeded", notRun: true, retryAfterMs };
        }
        const message = kind === "noShare" ? "no share of the account's rate could be had" : "the account is gone";
        return { code: "unavailable", message, notRun: true, retryAfterMs };
    }

    /** Takes the admission again if the request is dispatched too long after it. */
    function confirmWith(first: Admission): () => Promise<boolean> {
        let admission = first;
        let confirmedOnce = false;
        return async () => {
            if (confirmedOnce || escrow.isFresh(admission)) {
                confirmedOnce = true;
                return true;
            }
            counters.add("limits.staleAdmissions");
            const decision = await escrow.admit(admission.clientAccount);
            if (decision.kind === "refused") {
                return false;
            }
            admission = decision.admission;
            confirmedOnce = true;
            return true;
        };
    }

    async function withKeyUse(
        request: IncomingMessage,
        response: ServerResponse,
        caller: Caller,
        run: (signal: AbortSignal) => Promise<void>,
    ): Promise<void> {
        const hungUp = hangUpSignal(response);
        if (caller.owner === undefined) {
            await run(hungUp);
            return;
        }
        const withdrawn = new AbortController();
        const use = keyUses.begin(caller.owner.digestHex, request.socket, () => withdrawn.abort());
        try {
            await run(AbortSignal.any([hungUp, withdrawn.signal]));
        }
        finally {
            use.end();
            if (withdrawn.signal.aborted) {
                // The answer goes out first; the connection must not be used again.
                request.socket.end();
            }
        }
    }

    function findModel(parsed: CompletionRequest): ReturnType<CandidateIndex["poolOfModel"]> {
        return dependencies.candidates.poolOfModel(parsed.model);
    }

    async function runCompletion(
        caller: Caller,
        parsed: CompletionRequest,
        admission: Admission,
        response: ServerResponse,
        signal: AbortSignal,
    ): Promise<void> {
        const found = findModel(parsed);
        if (found === undefined) {
            sendError(response, modelNotFound(parsed.model));
            return;
        }
        const owner = ownerFor(caller, parsed.model);
        const head = {
            id: owner.requestId,
            style: parsed.style,
            model: parsed.model,
            createdAtSeconds: Math.floor(clock.wallMs() / msPerSecond),
        };
        const writer = parsed.stream ? createStreamWriter(response, head) : createWholeWriter(response, head);
        const generation = {
            ...owner,
            model: parsed.model,
            poolName: found.name,
            pool: found.pool,
            prompt: parsed.prompt,
            maxOutputTokens: Math.min(parsed.maxOutputTokens ?? found.pool.maxOutputTokens, found.pool.maxOutputTokens),
            stop: parsed.stop,
        };
        const context = dependencies.contextFor(confirmWith(admission));
        const outcome = await generate(context, generation, writer.writeText, signal);
        if (outcome.kind === "completed") {
            writer.complete(outcome);
        }
        else if (outcome.kind === "failed") {
            const { cause: message, notRun, retryAfterMs } = outcome;
            writer.fail({ code: notRun ? "unavailable" : "generation_failed", message, notRun, retryAfterMs });
        }
        else {
            // Only a withdrawn key leaves somebody to tell; a caller that hung up reads nothing.
            writer.fail({ code: "key_withdrawn", message: "the key was withdrawn meanwhile", notRun: false });
        }
    }

    function completionHandler(style: CompletionStyle): Handler {
        return async (request, response) => {
            const unavailable = dependencies.unavailable();
            if (unavailable !== undefined) {
                sendError(response, notAvailable(unavailable));
                return;
            }
            const key = bearerKey(request);
            const caller = authenticate(key);
            if (caller.isErr) {
                sendError(response, caller.error);
                return;
            }
            const body = await readCallerBody(request, key, dependencies.maxBodyBytes);
            const parsed = body.andThen(bytes => parseCompletion(style, bytes.toString("utf8")).mapErr(invalidRequest));
            if (parsed.isErr) {
                sendError(response, parsed.error);
                return;
            }
            if (findModel(parsed.value) === undefined) {
                sendError(response, modelNotFound(parsed.value.model));
                return;
            }
            await withKeyUse(request, response, caller.value, async signal => {
                const decision = await escrow.admit(caller.value.clientAccount);
                if (decision.kind === "refused") {
                    sendError(response, refusedByLimit(decision));
                    return;
                }
                await runCompletion(caller.value, parsed.value, decision.admission, response, signal);
            });
        };
    }

    async function handleRoute(request: IncomingMessage, response: ServerResponse, route: Route): Promise<void> {
        const unavailable = dependencies.unavailable();
        if (unavailable !== undefined) {
            sendError(response, notAvailable(unavailable));
            return;
        }
        const key = bearerKey(request);
        const caller: Result<Caller, CallerError> = route.open
            ? Result.ok({ owner: undefined, clientAccount: openAccount, limits: openLimits })
            : authenticate(key);
        if (caller.isErr) {
            sendError(response, caller.error);
            return;
        }
        const body = await readCallerBody(request, key, dependencies.maxBodyBytes);
        if (body.isErr) {
            sendError(response, body.error);
            return;
        }
        await withKeyUse(request, response, caller.value, async signal => {
            let confirm = async (): Promise<boolean> => true;
            if (!route.open) {
                const decision = await escrow.admit(caller.value.clientAccount);
                if (decision.kind === "refused") {
                    sendError(response, refusedByLimit(decision));
                    return;
                }
                confirm = confirmWith(decision.admission);
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

    const handleModels: Handler = async (request, response) => {
        const data = dependencies.candidates.models().map(id => ({ id, object: "model", owned_by: "gooseberrywell" }));
        sendJson(response, 200, { object: "list", data });
    };

    const handleReady: Handler = async (request, response) => {
        const reason = dependencies.notReady();
        sendJson(response, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
    };

    const fixedRoutes: Readonly<Record<string, Handler>> = {
        "POST /v1/completions": completionHandler("completion"),
        "POST /v1/chat/completions": completionHandler("chat"),
        "GET /v1/models": handleModels,
        "GET /healthz": async (request, response) => sendJson(response, 200, { alive: true }),
        "GET /readyz": handleReady,
    };

    return (method, path) => {
        const fixed = fixedRoutes[`${method} ${path}`];
        if (fixed !== undefined) {
            return fixed;
        }
        const route = findRoute(dependencies.configuration(), method, path);
        if (route !== undefined) {
            return (request, response) => handleRoute(request, response, route);
        }
        return async (request, response) => {
            const message = `no route for ${request.method} ${pathOf(request)}`;
            sendError(response, { code: "route_not_found", message, notRun: true });
        };
    };
}

function ownerFor(caller: Caller, model: string): RequestOwner {
    return {
        requestId: randomUUID(),
        clientAccount: caller.clientAccount,
        weight: caller.limits.weight,
        requestClass: caller.limits.deferrableModels.includes(model) ? "deferrable" : "interactive",
    };
}

function bearerKey(request: IncomingMessage): string | undefined {
    const header = request.headers.authorization ?? "";
    const key = header.toLowerCase().startsWith(bearerPrefix) ? header.slice(bearerPrefix.length).trim() : "";
    return key === "" ? undefined : key;
}

async function readCallerBody(
    request: IncomingMessage,
    key: string | undefined,
    maxBodyBytes: number,
): Promise<Result<Buffer, CallerError>> {
    const body = await readBody(request, maxBodyBytes);
    if (body.isErr) {
        return refuse("body_too_large", `the body is larger than ${maxBodyBytes} bytes or was cut off`);
    }
    // An endpoint must never see a caller's key, not even one that the caller put into the request itself.
    if (key !== undefined && (body.value.includes(key) || (request.url ?? "").includes(key))) {
        return refuse("key_in_request", "the request's body or URL contains the key");
    }
    return Result.ok(body.value);
}

function forwardedHeaders(request: IncomingMessage): Readonly<Record<string, string>> {
    const entries = forwardedRequestHeaders
        .map(name => [name, request.headers[name]] as const)
        .filter((entry): entry is readonly [string, string] => typeof entry[1] === "string");
    return Object.fromEntries(entries);
}

function refuse(code: CallerError["code"], message: string): Result<never, CallerError> {
    return Result.err({ code, message, notRun: true });
}

function invalidRequest(invalid: { readonly path: string; readonly cause: string; }): CallerError {
    return { code: "invalid_request", message: describeInvalidInput(invalid), param: invalid.path, notRun: true };
}

function modelNotFound(model: string): CallerError {
    return { code: "model_not_found", message: `model "${model}" does not exist`, param: "model", notRun: true };
}

function idempotencyError(error: IdempotencyError): CallerError {
    if (error.kind === "keyReused") {
        const message = "this idempotency key was used for another request";
        return { code: "idempotency_key_reused", message, param: "Idempotency-Key", notRun: true };
    }
    return notAvailable(`the idempotency key could not be recorded: ${error.cause}`);
}

function notAvailable(message: string): CallerError {
    return { code: "unavailable", message, notRun: true, retryAfterMs: unavailableRetryMs };
}
