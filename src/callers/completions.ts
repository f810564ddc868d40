/**
 * HTTP handlers of the completions and chat APIs.
 */

import type { ServerResponse } from "node:http";
import { describeInvalidInput } from "../common/json.js";
import { generate } from "../requests/generate.js";
import type { NamedPool } from "../routing/candidates.js";
import type { Handler } from "../rpc/httpServer.js";
import { bearerKey, createRequestAttributes, readCallerBody, unavailableError } from "./accessControl.js";
import type { AccessControl, Caller } from "./accessControl.js";
import { parseCompletion } from "./completionRequest.js";
import type { CompletionApi, CompletionRequest } from "./completionRequest.js";
import { createNonStreamingWriter, createStreamWriter } from "./completionResponse.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

const msPerSecond = 1_000;

/** Returns a function that creates the handler of an API. */
export function createCompletionHandlers(
    dependencies: CallersDependencies,
    accessControl: AccessControl,
): (api: CompletionApi) => Handler {
    const { clock } = dependencies;

    async function runCompletion(
        caller: Caller,
        parsed: CompletionRequest,
        modelPool: NamedPool,
        confirmAdmission: () => Promise<boolean>,
        response: ServerResponse,
        signal: AbortSignal,
    ): Promise<void> {
        const attributes = createRequestAttributes(caller, parsed.model);
        const metadata = {
            id: attributes.requestId,
            api: parsed.api,
            model: parsed.model,
            createdAtSeconds: Math.floor(clock.wallMs() / msPerSecond),
        };
        const writer = parsed.stream
            ? createStreamWriter(response, metadata)
            : createNonStreamingWriter(response, metadata);
        const generation = {
            ...attributes,
            model: parsed.model,
            poolName: modelPool.name,
            pool: modelPool.pool,
            prompt: parsed.prompt,
            maxOutputTokens: Math.min(
                parsed.maxOutputTokens ?? modelPool.pool.maxOutputTokens,
                modelPool.pool.maxOutputTokens,
            ),
            stop: parsed.stop,
        };
        const context = dependencies.createRequestContext(confirmAdmission);
        const outcome = await generate(context, generation, writer.writeText, signal);
        if (outcome.kind === "completed") {
            writer.complete(outcome);
        }
        else if (outcome.kind === "failed") {
            const { cause: message, notRun, retryAfterMs } = outcome;
            writer.fail({ code: notRun ? "unavailable" : "generation_failed", message, notRun, retryAfterMs });
        }
        else {
            // Cancelled by a withdrawn key or a disconnected caller; only the former still reads the response.
            writer.fail({ code: "key_withdrawn", message: "the key was withdrawn meanwhile", notRun: false });
        }
    }

    function completionHandler(api: CompletionApi): Handler {
        return async (request, response) => {
            const unavailable = dependencies.unavailable();
            if (unavailable !== undefined) {
                sendError(response, unavailableError(unavailable));
                return;
            }
            const key = bearerKey(request);
            const caller = accessControl.authenticate(key);
            if (caller.isErr) {
                sendError(response, caller.error);
                return;
            }
            const body = await readCallerBody(request, key, dependencies.maxBodyBytes);
            const parsed = body.andThen(bytes => parseCompletion(api, bytes.toString("utf8")).mapErr(invalidRequest));
            if (parsed.isErr) {
                sendError(response, parsed.error);
                return;
            }
            const modelPool = dependencies.candidates.poolOfModel(parsed.value.model);
            if (modelPool === undefined) {
                sendError(response, modelNotFound(parsed.value.model));
                return;
            }
            await accessControl.runWhileKeyValid(request, response, caller.value, async signal => {
                const admitted = await accessControl.admit(caller.value);
                if (admitted.isErr) {
                    sendError(response, admitted.error);
                    return;
                }
                await runCompletion(caller.value, parsed.value, modelPool, admitted.value, response, signal);
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
