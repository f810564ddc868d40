/**
 * The command-line tool's calls to an entry. Every failure becomes one line for the operator.
 */

import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { Result } from "true-myth";
import type { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import type { Change } from "../configuration/state.js";
import { applyAnswerSchema, operatorMethods } from "../operators/messages.js";
import type { ApplyAnswer } from "../operators/messages.js";
import { createRpcClient } from "../rpc/rpcClient.js";

const callTimeoutMs = 15_000;
const settleAttempts = 5;

/** Calls one method of the entry at `entryUrl` and checks its answer. */
export async function callEntry<Schema extends z.ZodType>(
    entryUrl: string,
    method: string,
    params: unknown,
    schema: Schema,
): Promise<Result<z.output<Schema>, string>> {
    const rpc = createRpcClient();
    try {
        const answer = await rpc.call(entryUrl, method, params, { timeoutMs: callTimeoutMs });
        if (answer.isErr) {
            return Result.err(`${entryUrl}: ${answer.error.cause}`);
        }
        return checkValue(schema, answer.value).mapErr(invalid => `${entryUrl}: ${describeInvalidInput(invalid)}`);
    }
    finally {
        await rpc.close();
    }
}

/** Applies changes under one change id, so that repeating an unclear call changes nothing twice. */
export async function applyChanges(
    entryUrl: string,
    changes: readonly Change[],
): Promise<Result<ApplyAnswer, string>> {
    const request = { changeId: randomUUID(), operator: userInfo().username, changes };
    let answer: Result<ApplyAnswer, string> = Result.err("not called");
    for (let attempt = 0; attempt < settleAttempts; attempt++) {
        answer = await callEntry(entryUrl, operatorMethods.apply, request, applyAnswerSchema);
        if (answer.isOk && answer.value.kind !== "storeUnknown") {
            return answer;
        }
    }
    return answer;
}

/** One line on an answer that is not "accepted". */
export function describeRefusal(answer: Exclude<ApplyAnswer, { readonly kind: "accepted"; }>): string {
    switch (answer.kind) {
        case "invalid":
            return `${answer.object}: ${answer.cause}`;
        case "conflict": {
            const current = JSON.stringify(answer.currentValue ?? null);
            return `${answer.object}: changed meanwhile; it is now at version ${answer.currentVersion}: ${current}`;
        }
        case "storeUnavailable":
            return `nothing was changed: ${answer.cause}`;
        case "storeUnknown":
            return `the change may be in force: ${answer.cause}`;
    }
}
