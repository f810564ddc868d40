/**
 * Runs a generation to its one outcome: attempts follow each other as the outcome table says, and the caller sees
 * one uninterrupted text.
 */

import { backoffMs } from "../common/random.js";
import { runAttempt } from "./attempt.js";
import type { AttemptFailure } from "./attempt.js";
import type { GenerationOutcome, GenerationRequest, RequestContext } from "./context.js";
import { findOutcome } from "./outcomeTable.js";
import { createStopMatcher } from "./stopMatcher.js";

const maxAttempts = 5;
const retryBackoffMs = 20;
const maxRetryBackoffMs = 500;
const routeBackoffMs = 150;
const maxRouteBackoffMs = 2_000;
const refusalRetryAfterMs = 1_000;

/** Passes text to `onText` as it comes; resolves once the outcome is certain. Aborting `signal` cancels it. */
export async function generate(
    context: RequestContext,
    request: GenerationRequest,
    onText: (text: string) => void,
    signal: AbortSignal,
): Promise<GenerationOutcome> {
    const stopMatcher = createStopMatcher(request.stop);
    const excluded = new Set<string>();
    let emittedText = "";
    let emittedTokens = 0;
    let mayHaveRun = false;
    context.retryBudget.noteRequest(request.clientAccount, request.poolName);

    function onToken(text: string): boolean {
        emittedText += text;
        emittedTokens += 1;
        const matched = stopMatcher.push(text);
        if (matched.text !== "") {
            onText(matched.text);
        }
        return !matched.stopped && !signal.aborted;
    }

    function failed(failure: AttemptFailure): GenerationOutcome {
        context.counters.add(`requests.failed.${failure.stage}.${failure.failure}`);
        return {
            kind: "failed",
            cause: `${failure.stage}: ${failure.cause}`,
            notRun: !mayHaveRun,
            retryAfterMs: refusalRetryAfterMs,
        };
    }

    for (let attempt = 1;; attempt++) {
        if (!await context.confirmAdmission()) {
            return failed({ stage: "route", failure: "none", cause: "the admission became stale" });
        }
        const input = { attempt, emittedText, emittedTokens, excluded, onToken, signal };
        const ended = await runAttempt(context, request, input);
        if (signal.aborted) {
            context.counters.add("requests.cancelled");
            return { kind: "cancelled" };
        }
        if (ended.isOk) {
            const rest = stopMatcher.flush();
            if (rest !== "") {
                onText(rest);
            }
            context.counters.add("requests.completed");
            return { kind: "completed", completionTokens: emittedTokens, ...ended.value };
        }
        const outcome = findOutcome(ended.error.stage, ended.error.failure);
        mayHaveRun ||= outcome.mayHaveRun;
        // Once something may have run, the caller is owed the whole answer, so endpoints may come back meanwhile.
        const isOwed = mayHaveRun && ended.error.stage === "route";
        if (outcome.idempotent === "refuse" && !isOwed || attempt >= maxAttempts) {
            return failed(ended.error);
        }
        if (isOwed) {
            context.counters.add("requests.waitedForEndpoints");
            await context.clock.sleep(backoffMs(context.random, attempt, routeBackoffMs, maxRouteBackoffMs), signal);
            continue;
        }
        if (!context.retryBudget.takeRetry(request.clientAccount, request.poolName)) {
            context.counters.add("requests.retryBudgetEmpty");
            return failed(ended.error);
        }
        context.counters.add(`requests.${outcome.idempotent}`);
        await context.clock.sleep(backoffMs(context.random, attempt, retryBackoffMs, maxRetryBackoffMs), signal);
    }
}
