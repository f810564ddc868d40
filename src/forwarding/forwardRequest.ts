/**
 * A request to forward and its outcome, independent of the transport.
 */

import type { EngineRequest, EngineResponse } from "../engines/enginePort.js";

/** Token counts that a caller declares for a generation. */
export interface GenerationSize {
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly maxOutputTokens: number;
    /** The caller's estimate of the number of output tokens; accurate at the median. */
    readonly outputHintTokens: number | undefined;
}

export interface ForwardRequest extends EngineRequest {
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
    readonly size: GenerationSize | undefined;
    /** Ids of the prompt's parts that other requests may share, in order. */
    readonly sharedPromptParts: readonly string[];
    /** Monotonic time at which the request's headers were received. */
    readonly receivedAtMs: number;
    /** How long the caller waits after `receivedAtMs`; `undefined` if it did not state a time. */
    readonly callerTimeoutMs: number | undefined;
    /** Id of the event after which the caller resumes a stream; `undefined` for a new one. */
    readonly lastEventId: string | undefined;
    /** Id of the caller's request that brought the first event of the stream that it resumes, as the caller states it. */
    readonly resumedRequestId: string | undefined;
    /** Aborts when the caller disconnects. */
    readonly callerDisconnected: AbortSignal;
    /** Called before the request is passed to an engine that may run it. */
    readonly onSend: () => void;
}

/**
 * An error response from the router itself. With 502 and 504 the outcome is unknown; every other status guarantees that
 * no engine has run the request or will run it.
 */
export interface Refusal {
    readonly status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;
    readonly cause: string;
    readonly retryAfterMs?: number;
}

/** Statuses that promise callers that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export function promisesNotRun(status: number): boolean {
    return notRunStatuses.has(status);
}

export type ForwardOutcome =
    | { readonly kind: "answered"; readonly answer: EngineResponse; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Fields for the request's log line and the reports; `undefined` where no route or client account was found. */
export interface RequestLogFields {
    readonly clientAccount: string | undefined;
    /** Name of the route. */
    readonly route: string | undefined;
    /** What the request counts against the account's rate: 1, or a number of model tokens. */
    readonly cost: number | undefined;
    /** The route's latency objective: time until the response begins. */
    readonly objectiveMs: number | undefined;
}

export type ForwardResult = ForwardOutcome & { readonly logFields: RequestLogFields; };

export function refuse(status: Refusal["status"], cause: string, retryAfterMs?: number): ForwardOutcome {
    return {
        kind: "refused",
        refusal: retryAfterMs === undefined ? { status, cause } : { status, cause, retryAfterMs },
    };
}

export function answered(response: EngineResponse): ForwardOutcome {
    return { kind: "answered", answer: response };
}
