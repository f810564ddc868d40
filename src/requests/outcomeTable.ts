/**
 * Which failure at which stage of a request leads to what. The table is the only place where this is decided;
 * docs/OUTCOMES.md is printed from it.
 */

/** Stages of an attempt, in order. `call` is the whole of a call to a plain service. */
export type Stage = "route" | "reserve" | "prefill" | "transfer" | "decode" | "call";

/**
 * How a stage failed. `unreachable` and `refused` are certain to have run nothing; after `interrupted`, `timeout`,
 * `engineFailed` and `broken` something may have run.
 */
export type FailureKind = "none" | "unreachable" | "refused" | "interrupted" | "timeout" | "engineFailed" | "broken";

/**
 * - `retry`: a new attempt on other endpoints, within the retry budget.
 * - `retransfer`: the same prefill's result goes to another decode engine while it lives.
 * - `resume`: a new attempt continues after the tokens that the caller already has.
 * - `refuse`: the caller is told that nothing was run.
 * - `unknown`: the caller is told that the outcome is not known; nothing is repeated.
 */
export type Action = "retry" | "retransfer" | "resume" | "refuse" | "unknown";

export interface OutcomeRow {
    readonly stage: Stage;
    readonly failure: FailureKind;
    /** Whether the failed stage may have run something at an endpoint. */
    readonly mayHaveRun: boolean;
    /** What follows for work that may be repeated. */
    readonly idempotent: Action;
    /** What follows for work that must not be repeated; generations always may. */
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

/** The row of a failure; throws for a combination that the table lacks, since that is a fault in the code. */
export function findOutcome(stage: Stage, failure: FailureKind): OutcomeRow {
    const row = rowsByKey.get(`${stage}/${failure}`);
    if (row === undefined) {
        throw new Error(`no outcome for failure "${failure}" at stage "${stage}"`);
    }
    return row;
}
