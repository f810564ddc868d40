/**
 * Who a caller is, and whether its request may run: keys, limits, and withdrawals while it runs.
 */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Result } from "true-myth";
import type { AccountLimits } from "../configuration/objects.js";
import { limitsOf } from "../configuration/state.js";
import type { KeyOwner } from "../keys/keyring.js";
import type { Admission, AdmissionDecision } from "../limits/escrow.js";
import type { RequestOwner } from "../requests/context.js";
import { hangUpSignal, readBody } from "../rpc/httpServer.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

export interface Caller {
    /** Absent on routes that are open to all. */
    readonly owner: KeyOwner | undefined;
    readonly clientAccount: string;
    readonly limits: AccountLimits;
}

export interface CallerGate {
    readonly authenticate: (key: string | undefined) => Result<Caller, CallerError>;
    /** Takes an admission; the result confirms it again at dispatch. */
    readonly admit: (caller: Caller) => Promise<Result<() => Promise<boolean>, CallerError>>;
    /** Runs a request under a signal that aborts when the caller hangs up or its key is withdrawn. */
    readonly withKeyUse: (
        request: IncomingMessage,
        response: ServerResponse,
        caller: Caller,
        run: (signal: AbortSignal) => Promise<void>,
    ) => Promise<void>;
}

const unavailableRetryMs = 1_000;
const bearerPrefix = "bearer ";

export function createCallerGate(dependencies: CallersDependencies): CallerGate {
    const { keyring, keyUses, escrow, counters } = dependencies;

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
            if (keyring.isWithdrawn(caller.owner.digestHex)) {
                // The key was withdrawn while the body was still coming in.
                sendError(response, { code: "key_withdrawn", message: "the key has been withdrawn", notRun: true });
                return;
            }
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

    async function admit(caller: Caller): Promise<Result<() => Promise<boolean>, CallerError>> {
        const decision = await escrow.admit(caller.clientAccount);
        return decision.kind === "refused"
            ? Result.err(refusedByLimit(decision))
            : Result.ok(confirmWith(decision.admission));
    }

    return { authenticate, admit, withKeyUse };
}

export function ownerFor(caller: Caller, model: string): RequestOwner {
    return {
        requestId: randomUUID(),
        clientAccount: caller.clientAccount,
        weight: caller.limits.weight,
        requestClass: caller.limits.deferrableModels.includes(model) ? "deferrable" : "interactive",
    };
}

export function bearerKey(request: IncomingMessage): string | undefined {
    const header = request.headers.authorization ?? "";
    const key = header.toLowerCase().startsWith(bearerPrefix) ? header.slice(bearerPrefix.length).trim() : "";
    return key === "" ? undefined : key;
}

/** Reads a caller's body; a body or URL that contains the key is refused. */
export async function readCallerBody(
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

function refuse(code: CallerError["code"], message: string): Result<never, CallerError> {
    return Result.err({ code, message, notRun: true });
}

export function notAvailable(message: string): CallerError {
    return { code: "unavailable", message, notRun: true, retryAfterMs: unavailableRetryMs };
}
