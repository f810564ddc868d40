/**
 * RPC calls from the command-line tool to an entry. Every failure is reported as a single line of text.
 */

import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { Result } from "true-myth";
import type { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import type { Change } from "../configuration/state.js";
import { applyResponseSchema, operatorMethods } from "../operators/messages.js";
import type { ApplyResponse } from "../operators/messages.js";
import { createRpcClient } from "../rpc/rpcClient.js";

const callTimeoutMs = 15_000;
const maxApplyAttempts = 5;

/** Calls a method of the entry at `entryUrl` and validates the response; the error is one line with the URL. */
export async function callEntry<Schema extends z.ZodType>(
    entryUrl: string,
    method: string,
    params: unknown,
    schema: Schema,
): Promise<Result<z.output<Schema>, string>> {
    const rpc = createRpcClient();
    try {
        const response = await rpc.call(entryUrl, method, params, { timeoutMs: callTimeoutMs });
        if (response.isErr) {
            return Result.err(`${entryUrl}: ${response.error.cause}`);
        }
        return checkValue(schema, response.value).mapErr(invalid => `${entryUrl}: ${describeInvalidInput(invalid)}`);
    }
    finally {
        await rpc.close();
    }
}

/**
 * Applies changes. After `storeUnknown` or a failed call, repeats the call with the same change id, so that the changes
 * take effect at most once.
 */
export async function applyChanges(
    entryUrl: string,
    changes: readonly Change[],
): Promise<Result<ApplyResponse, string>> {
    const request = { changeId: randomUUID(), operator: userInfo().username, changes };
    let response: Result<ApplyResponse, string> = Result.err("not called");
    for (let attempt = 0; attempt < maxApplyAttempts; attempt++) {
        response = await callEntry(entryUrl, operatorMethods.apply, request, applyResponseSchema);
        if (response.isOk && response.value.kind !== "storeUnknown") {
            return response;
        }
    }
    return response;
}

/** Describes a response other than "accepted" in one line. */
export function describeApplyFailure(response: Exclude<ApplyResponse, { readonly kind: "accepted"; }>): string {
    switch (response.kind) {
        case "invalid":
            return `${response.object}: ${response.cause}`;
        case "conflict": {
            const current = JSON.stringify(response.currentValue ?? null);
            return `${response.object}: changed concurrently; it is now at version ${response.currentVersion}: ${current}`;
        }
        case "storeUnavailable":
            return `nothing was changed: ${response.cause}`;
        case "storeUnknown":
            return `the change may be in force: ${response.cause}`;
    }
}
