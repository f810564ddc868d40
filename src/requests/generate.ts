/**
 * Runs a generation and resolves to a single outcome. The outcome table decides what follows a failed attempt; the
 * caller receives one continuous text.
 */

import { backoffMs } from "../common/random.js";
import { fingerprintOf } from "../quarantine/requestFingerprint.js";
import { runAttempt } from "./attempt.js";
import type { AttemptFailure } from "./attempt.js";
import type { GenerationOutcome, GenerationRequest, RequestContext } from "./context.js";
import { maxEndedEndpoints } from "./endedEndpoint.js";
import { findOutcome } from "./outcomeTable.js";
import { createStopMatcher } from "./stopMatcher.js";

const maxAttempts = 5;
const retryBackoffMs = 20;
const maxRetryBackoffMs = 500;
const routeBackoffMs = 150;
const maxRouteBackoffMs = 2_000;
const refusalRetryAfterMs = 1_000;
const quarantinedCause = "endpoints ended under this request";

/**
 * Passes text to `onText` as it is generated and resolves when the outcome is final. Aborting `signal` cancels the
 * generation.
 */
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
    let beganAtVersion: string | undefined;
    const parts = [generationFingerprint(request)];
    let mayHaveRun = false;
    let endedEndpoints = 0;
    context.retryBudget.recordRequest(request.clientAccount, request.poolName);

    function onToken(text: string, softwareVersion: string): boolean {
        beganAtVersion ??= softwareVersion;
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
        const quarantined = context.quarantine.find(parts);
        if (quarantined !== undefined) {
            context.counters.add("requests.quarantined");
            const { remainingMs: retryAfterMs } = quarantined;
            return { kind: "failed", cause: quarantinedCause, notRun: !mayHaveRun, retryAfterMs };
        }
        if (!await context.confirmAdmission()) {
            return failed({ stage: "route", failure: "none", cause: "the admission became stale" });
        }
        const input = {
            attempt,
            emittedText,
            emittedTokens,
            softwareVersion: beganAtVersion,
            excluded,
            onToken,
            signal,
        };
        const result = await runAttempt(context, request, input);
        if (signal.aborted) {
            context.counters.add("requests.cancelled");
            return { kind: "cancelled" };
        }
        if (result.isOk) {
            const remainingText = stopMatcher.flush();
            if (remainingText !== "") {
                onText(remainingText);
            }
            context.counters.add("requests.completed");
            context.quarantine.recordSound(parts);
            return { kind: "completed", completionTokens: emittedTokens, ...result.value };
        }
        const { endedEndpoint } = result.error;
        if (endedEndpoint !== undefined) {
            const suspected = context.quarantine.suspectable(parts);
            context.quarantine.recordEngineEnd(endedEndpoint, suspected, context.clock.monotonicMs());
        }
        const outcome = findOutcome(result.error.stage, result.error.failure);
        mayHaveRun ||= outcome.mayHaveRun;
        // A generation that may have run in part must be completed, so it waits for endpoints to become available.
        const mustWaitForEndpoint = mayHaveRun && result.error.stage === "route";
        const isOfferOnly = result.error.isEndpointUnavailable === true && endedEndpoints < maxEndedEndpoints;
        endedEndpoints += isOfferOnly ? 1 : 0;
        if (outcome.idempotent === "refuse" && !mustWaitForEndpoint || attempt - endedEndpoints >= maxAttempts) {
            return failed(result.error);
        }
        if (isOfferOnly) {
            continue;
        }
        if (mustWaitForEndpoint) {
            context.counters.add("requests.waitedForEndpoints");
            await context.clock.sleep(backoffMs(context.random, attempt, routeBackoffMs, maxRouteBackoffMs), signal);
            continue;
        }
        if (!context.retryBudget.takeRetry(request.clientAccount, request.poolName)) {
            context.counters.add("requests.retryBudgetEmpty");
            return failed(result.error);
        }
        context.counters.add(`requests.${outcome.idempotent}`);
        await context.clock.sleep(backoffMs(context.random, attempt, retryBackoffMs, maxRetryBackoffMs), signal);
    }
}

function generationFingerprint(
    { clientAccount, poolName, model, prompt, maxOutputTokens, stop }: GenerationRequest,
): string {
    const body = JSON.stringify([prompt, maxOutputTokens, stop]);
    return fingerprintOf({ method: "generate", host: poolName, target: model, clientAccount, body });
}
