/**
 * A request to forward and what becomes of it, free of any transport.
 */

import type { EngineAnswer, EngineRequest } from "../engines/enginePort.js";

/** What a generation declares about its prompt and answer. */
export interface GenerationSize {
    readonly promptTokens: number;
    /** Largest number of output tokens. */
    readonly maxOutputTokens: number;
    /** The caller's estimate of the number of output tokens; right at the median. */
    readonly outputHintTokens: number | undefined;
}

export interface ForwardRequest extends EngineRequest {
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
    readonly size: GenerationSize | undefined;
    /** Monotonic time at which the request's head had arrived. */
    readonly receivedAtMs: number;
    /** How long the caller waits from then on; `undefined` if it didn't say. */
    readonly callerPatienceMs: number | undefined;
    /** The caller goes on with a stream after this event. */
    readonly lastEventId: string | undefined;
    /** Aborts when the caller has gone away. */
    readonly callerGone: AbortSignal;
}

/** This system's own answer. `notRun` statuses promise that no engine has run the request, nor will. */
export interface Refusal {
    readonly status: 400 | 401 | 404 | 413 | 429 | 431 | 502 | 503 | 504;
    readonly cause: string;
    readonly retryAfterMs?: number;
}

export type ForwardOutcome =
    | { readonly kind: "answered"; readonly answer: EngineAnswer; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** What was found out about a request, for logs and reports; fields are `undefined` where a guard stopped it before. */
export interface RequestFacts {
    readonly clientAccount: string | undefined;
    /** Name of the route. */
    readonly route: string | undefined;
    /** The route's objective: time until the answer begins. */
    readonly objectiveMs: number | undefined;
}

export type ForwardResult = ForwardOutcome & { readonly facts: RequestFacts; };

export function refuse(status: Refusal["status"], cause: string, retryAfterMs?: number): ForwardOutcome {
    return {
        kind: "refused",
        refusal: retryAfterMs === undefined ? { status, cause } : { status, cause, retryAfterMs },
    };
}

export function answered(answer: EngineAnswer): ForwardOutcome {
    return { kind: "answered", answer };
}
