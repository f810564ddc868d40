/**
 * Maps each failure of a request stage to the action that follows. The table is the only place that decides this;
 * docs/OUTCOMES.md is generated from it.
 */

import { provesNotInvoked } from "../rpc/errors.js";
import type { RpcError } from "../rpc/errors.js";

/** Stages of an attempt, in order. `call` is an entire call to a plain service. */
export type Stage = "route" | "reserve" | "prefill" | "transfer" | "decode" | "call";

/**
 * How a stage failed; `none` means that there was no candidate. After `unreachable` and `refused` nothing has run;
 * after `interrupted`, `timeout`, `engineFailed` and `broken` work may have run.
 */
export type FailureKind = "none" | "unreachable" | "refused" | "interrupted" | "timeout" | "engineFailed" | "broken";

/**
 * What follows a failure.
 * - `retry`: a new attempt on other endpoints, within the retry budget.
 * - `retransfer`: the same KV cache is transferred to another decode engine, until it expires.
 * - `resume`: a new attempt continues after the tokens that were already generated.
 * - `refuse`: the request is refused; nothing has run.
 * - `unknown`: the outcome is reported as unknown; nothing is repeated.
 */
export type Action = "retry" | "retransfer" | "resume" | "refuse" | "unknown";

/** A row of the outcome table. */
export interface OutcomeRow {
    readonly stage: Stage;
    readonly failure: FailureKind;
    /** Whether an endpoint may have run work in the failed stage. */
    readonly mayHaveRun: boolean;
    /** The action for work that may be repeated. */
    readonly idempotent: Action;
    /** The action for work that must not be repeated; `undefined` for generations, which may always be repeated. */
    readonly nonIdempotent: Action | undefined;
}

export const outcomeTable: readonly OutcomeRow[] = [
    { stage: "route", failure: "none", mayHaveRun: false, idempotent: "refuse", nonIdempotent: "refuse" },
    { stage: "reserve", failure: "unreachable", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "reserve", failure: "refused", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "reserve", failure: "interrupted", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "reserve", failure: "timeout", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "prefill", failure: "unreachable", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "prefill", failure: "refused", mayHaveRun: false, idempotent: "retry", nonIdempotent: undefined },
    { stage: "prefill", failure: "interrupted", mayHaveRun: true, idempotent: "retry", nonIdempotent: undefined },
    { stage: "prefill", failure: "timeout", mayHaveRun: true, idempotent: "retry", nonIdempotent: undefined },
    { stage: "prefill", failure: "engineFailed", mayHaveRun: true, idempotent: "retry", nonIdempotent: undefined },
    { stage: "transfer", failure: "unreachable", mayHaveRun: true, idempotent: "retransfer", nonIdempotent: undefined },
    { stage: "transfer", failure: "refused", mayHaveRun: true, idempotent: "retransfer", nonIdempotent: undefined },
    { stage: "transfer", failure: "interrupted", mayHaveRun: true, idempotent: "retransfer", nonIdempotent: undefined },
    { stage: "transfer", failure: "timeout", mayHaveRun: true, idempotent: "retransfer", nonIdempotent: undefined },
    {
        stage: "transfer",
        failure: "engineFailed",
        mayHaveRun: true,
        idempotent: "retransfer",
        nonIdempotent: undefined,
    },
    { stage: "decode", failure: "interrupted", mayHaveRun: true, idempotent: "resume", nonIdempotent: undefined },
    { stage: "decode", failure: "timeout", mayHaveRun: true, idempotent: "resume", nonIdempotent: undefined },
    { stage: "decode", failure: "engineFailed", mayHaveRun: true, idempotent: "resume", nonIdempotent: undefined },
    { stage: "decode", failure: "broken", mayHaveRun: true, idempotent: "resume", nonIdempotent: undefined },
    { stage: "call", failure: "unreachable", mayHaveRun: false, idempotent: "retry", nonIdempotent: "retry" },
    { stage: "call", failure: "refused", mayHaveRun: false, idempotent: "retry", nonIdempotent: "retry" },
    { stage: "call", failure: "interrupted", mayHaveRun: true, idempotent: "retry", nonIdempotent: "unknown" },
    { stage: "call", failure: "timeout", mayHaveRun: true, idempotent: "retry", nonIdempotent: "unknown" },
    { stage: "call", failure: "broken", mayHaveRun: true, idempotent: "retry", nonIdempotent: "unknown" },
];

const rowsByKey: ReadonlyMap<string, OutcomeRow> = new Map(
    outcomeTable.map(row => [`${row.stage}/${row.failure}`, row]),
);

/** How a call to an agent failed: an error that the agent's method has thrown does not prove that nothing ran. */
export function failureOfCall(error: RpcError): FailureKind {
    if (error.kind !== "rejected") {
        return error.kind;
    }
    return provesNotInvoked(error) ? "refused" : "interrupted";
}

/** Returns the row of a failure. A combination that the table lacks is a programming error, so it throws. */
export function findOutcome(stage: Stage, failure: FailureKind): OutcomeRow {
    const row = rowsByKey.get(`${stage}/${failure}`);
    if (row === undefined) {
        throw new Error(`the outcome table has no row for failure "${failure}" at stage "${stage}"`);
    }
    return row;
}
