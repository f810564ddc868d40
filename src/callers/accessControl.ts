/**
 * Authenticates callers, admits their requests under the limits of their client account, and aborts running requests
 * whose key is withdrawn.
 */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import { runLimited } from "../common/callLimit.js";
import type { AccountLimits } from "../configuration/objects.js";
import { limitsOf } from "../configuration/state.js";
import type { KeyOwner } from "../keys/keyring.js";
import type { Admission, AdmissionDecision } from "../limits/rateLimiter.js";
import type { RequestAttributes } from "../requests/context.js";
import { disconnectSignal, overBudgetRetryMs, readBody } from "../rpc/httpServer.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

export interface Caller {
    /** `undefined` on open routes, which need no key. */
    readonly owner: KeyOwner | undefined;
    readonly clientAccount: string;
    readonly limits: AccountLimits;
}

export interface AccessControl {
    readonly authenticate: (key: string | undefined) => Result<Caller, CallerError>;
    /** Admits a request. The returned function confirms at dispatch that the admission is still valid. */
    readonly admit: (caller: Caller) => Promise<Result<() => Promise<boolean>, CallerError>>;
    /** Runs a request with a signal that aborts when the caller disconnects or its key is withdrawn. */
    readonly runWhileKeyValid: (
        request: IncomingMessage,
        response: ServerResponse,
        caller: Caller,
        run: (signal: AbortSignal) => Promise<void>,
    ) => Promise<void>;
}

const unavailableRetryAfterMs = 1_000;
const bearerPrefix = "bearer ";

export function createAccessControl(dependencies: CallersDependencies): AccessControl {
    const { keyring, keyUses, rateLimiter, counters } = dependencies;

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

    function limitError(decision: Extract<AdmissionDecision, { readonly kind: "refused"; }>): CallerError {
        const { kind, retryAfterMs } = decision.refusal;
        if (kind === "rateExceeded") {
            return { code: "rate_limit_exceeded", message: "rate exceeded", notRun: true, retryAfterMs };
        }
        const message = kind === "noShare" ? "no share of the account's rate could be had" : "the account is gone";
        return { code: "unavailable", message, notRun: true, retryAfterMs };
    }

    /** Returns a function that confirms the admission at dispatch; it requests a new one if the admission is stale. */
    function createConfirmation(initialAdmission: Admission): () => Promise<boolean> {
        let admission = initialAdmission;
        let confirmed = false;
        return async () => {
            if (confirmed || rateLimiter.isFresh(admission)) {
                confirmed = true;
                return true;
            }
            counters.add("limits.staleAdmissions");
            const decision = await rateLimiter.admit(admission.clientAccount);
            if (decision.kind === "refused") {
                return false;
            }
            admission = decision.admission;
            confirmed = true;
            return true;
        };
    }

    async function runWhileKeyValid(
        request: IncomingMessage,
        response: ServerResponse,
        caller: Caller,
        run: (signal: AbortSignal) => Promise<void>,
    ): Promise<void> {
        const disconnected = disconnectSignal(response);
        if (caller.owner === undefined) {
            await run(disconnected);
            return;
        }
        const withdrawn = new AbortController();
        const keyUse = keyUses.begin(caller.owner.digestHex, request.socket, () => withdrawn.abort());
        try {
            if (keyring.isWithdrawn(caller.owner.digestHex)) {
                // The key was withdrawn while the request body was being received.
                sendError(response, { code: "key_withdrawn", message: "the key has been withdrawn", notRun: true });
                return;
            }
            await runLimited({ cancelledBy: [disconnected, withdrawn.signal] }, ({ signal }) => run(signal));
        }
        finally {
            keyUse.end();
            if (withdrawn.signal.aborted) {
                // Sends the pending response, then closes the connection so that it is not reused.
                request.socket.end();
            }
        }
    }

    async function admit(caller: Caller): Promise<Result<() => Promise<boolean>, CallerError>> {
        const decision = await rateLimiter.admit(caller.clientAccount);
        return decision.kind === "refused"
            ? Result.err(limitError(decision))
            : Result.ok(createConfirmation(decision.admission));
    }

    return { authenticate, admit, runWhileKeyValid };
}

/** Assigns a new request id. Requests for one of the account's `deferrableModels` are deferrable. */
export function createRequestAttributes(caller: Caller, model: string): RequestAttributes {
    return {
        requestId: randomUUID(),
        clientAccount: caller.clientAccount,
        weight: caller.limits.weight,
        requestClass: caller.limits.deferrableModels.includes(model) ? "deferrable" : "interactive",
    };
}

/** The key in the `Authorization` header, or `undefined`. */
export function bearerKey(request: IncomingMessage): string | undefined {
    const header = request.headers.authorization ?? "";
    const key = header.toLowerCase().startsWith(bearerPrefix) ? header.slice(bearerPrefix.length).trim() : "";
    return key === "" ? undefined : key;
}

/** Reads a caller's body; refuses a request whose body or URL contains the caller's key. */
export async function readCallerBody(
    request: IncomingMessage,
    key: string | undefined,
    maxBodyBytes: number,
): Promise<Result<Buffer, CallerError>> {
    const body = await readBody(request, maxBodyBytes);
    if (body.isErr && body.error.kind === "overBudget") {
        return Result.err({
            code: "unavailable",
            message: "callers' connections hold too much",
            notRun: true,
            retryAfterMs: overBudgetRetryMs,
        });
    }
    if (body.isErr) {
        return refuse("body_too_large", `the body is larger than ${maxBodyBytes} bytes or was cut off`);
    }
    // A caller's key must never reach an endpoint, even if the caller included it in the request.
    if (key !== undefined && (body.value.includes(key) || (request.url ?? "").includes(key))) {
        return refuse("key_in_request", "the request's body or URL contains the key");
    }
    return Result.ok(body.value);
}

function refuse(code: CallerError["code"], message: string): Result<never, CallerError> {
    return Result.err({ code, message, notRun: true });
}

export function unavailableError(message: string): CallerError {
    return { code: "unavailable", message, notRun: true, retryAfterMs: unavailableRetryAfterMs };
}
