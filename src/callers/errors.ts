/**
 * Error responses to callers, in the format of the completions API. The additional field `notRun` is true if it
 * is certain that no part of the request was run.
 */

import type { ServerResponse } from "node:http";
import { sendJson } from "../rpc/httpServer.js";

export type CallerErrorCode =
    | "invalid_request"
    | "body_too_large"
    | "key_in_request"
    | "missing_key"
    | "invalid_key"
    | "key_withdrawn"
    | "unknown_account"
    | "model_not_found"
    | "route_not_found"
    | "rate_limit_exceeded"
    | "unavailable"
    | "outcome_unknown"
    | "idempotency_key_reused"
    | "generation_failed";

export interface CallerError {
    readonly code: CallerErrorCode;
    readonly message: string;
    readonly notRun: boolean;
    /** The request field that caused the error. */
    readonly param?: string;
    readonly retryAfterMs?: number;
}

interface ErrorClass {
    readonly status: number;
    readonly type: string;
}

const errorClasses: Readonly<Record<CallerErrorCode, ErrorClass>> = {
    invalid_request: { status: 400, type: "invalid_request_error" },
    body_too_large: { status: 413, type: "invalid_request_error" },
    key_in_request: { status: 400, type: "invalid_request_error" },
    missing_key: { status: 401, type: "authentication_error" },
    invalid_key: { status: 401, type: "authentication_error" },
    key_withdrawn: { status: 401, type: "authentication_error" },
    unknown_account: { status: 403, type: "permission_error" },
    model_not_found: { status: 404, type: "invalid_request_error" },
    route_not_found: { status: 404, type: "invalid_request_error" },
    rate_limit_exceeded: { status: 429, type: "rate_limit_error" },
    unavailable: { status: 503, type: "service_unavailable" },
    outcome_unknown: { status: 502, type: "outcome_unknown" },
    idempotency_key_reused: { status: 422, type: "invalid_request_error" },
    generation_failed: { status: 502, type: "server_error" },
};

const msPerSecond = 1_000;

/** The JSON body of an error response. */
export function errorBody(error: CallerError): unknown {
    const { code, message, notRun, param, retryAfterMs } = error;
    return {
        error: { message, type: errorClasses[code].type, param: param ?? null, code, notRun, retryAfterMs },
    };
}

/** Sends an error response. `Retry-After` is rounded up to whole seconds; `retryAfterMs` in the body is exact. */
export function sendError(response: ServerResponse, error: CallerError): void {
    const retryAfter: Record<string, string> = error.retryAfterMs === undefined
        ? {}
        : { "retry-after": String(Math.ceil(error.retryAfterMs / msPerSecond)) };
    sendJson(response, errorClasses[error.code].status, errorBody(error), retryAfter);
}
