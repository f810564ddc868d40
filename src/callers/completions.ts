/**
 * Handlers of the completions and chat interfaces.
 */

import type { ServerResponse } from "node:http";
import { describeInvalidInput } from "../common/json.js";
import { generate } from "../requests/generate.js";
import type { NamedPool } from "../routing/candidates.js";
import type { Handler } from "../rpc/httpServer.js";
import { bearerKey, notAvailable, ownerFor, readCallerBody } from "./callerGate.js";
import type { Caller, CallerGate } from "./callerGate.js";
import { parseCompletion } from "./completionRequest.js";
import type { CompletionRequest, CompletionStyle } from "./completionRequest.js";
import { createStreamWriter, createWholeWriter } from "./completionResponse.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

const msPerSecond = 1_000;

/** Creates the handler of one of the two interfaces. */
export function createCompletionHandlers(
    dependencies: CallersDependencies,
    gate: CallerGate,
): (style: CompletionStyle) => Handler {
    const { clock } = dependencies;

    async function runCompletion(
        caller: Caller,
        parsed: CompletionRequest,
        found: NamedPool,
        confirm: () => Promise<boolean>,
        response: ServerResponse,
        signal: AbortSignal,
    ): Promise<void> {
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
        const context = dependencies.contextFor(confirm);
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
            const caller = gate.authenticate(key);
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
            const found = dependencies.candidates.poolOfModel(parsed.value.model);
            if (found === undefined) {
                sendError(response, modelNotFound(parsed.value.model));
                return;
            }
            await gate.withKeyUse(request, response, caller.value, async signal => {
                const confirm = await gate.admit(caller.value);
                if (confirm.isErr) {
                    sendError(response, confirm.error);
                    return;
                }
                await runCompletion(caller.value, parsed.value, found, confirm.value, response, signal);
            });
        };
    }

    return completionHandler;
}

function invalidRequest(invalid: { readonly path: string; readonly cause: string; }): CallerError {
    return { code: "invalid_request", message: describeInvalidInput(invalid), param: invalid.path, notRun: true };
}

function modelNotFound(model: string): CallerError {
    return { code: "model_not_found", message: `model "${model}" does not exist`, param: "model", notRun: true };
}
