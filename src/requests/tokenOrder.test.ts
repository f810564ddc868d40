/**
 * Whether the tokens of an attempt go on where the attempts before it ended.
 */

import { expect, test } from "vitest";
import { createRequestContext, idleLoad, imported, prefilled, requestAttributes } from "../../fakes/requestHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { DecodeEvent } from "../endpoint/messages.js";
import type { GenerationRequest } from "./context.js";
import { generate } from "./generate.js";
import { createRetryBudget } from "./retryBudget.js";

const waitMs = 20_000;
const outputTokens = 6;

const request: GenerationRequest = {
    ...requestAttributes,
    model: "guide",
    poolName: "guide-pool",
    pool: { model: "guide", kvBytesPerToken: 1, maxOutputTokens: 100 },
    prompt: "prompt",
    maxOutputTokens: outputTokens,
    stop: [],
};

const token = (index: number, text = String(index)): DecodeEvent => ({ type: "token", index, text });
const tokens = (...indices: readonly number[]): readonly DecodeEvent[] => indices.map(index => token(index));
const end = (completionTokens = outputTokens): DecodeEvent => ({
    type: "end",
    finishReason: "length",
    completionTokens,
});

interface TokenCase {
    readonly name: string;
    /** Events of the second attempt. The first one broke off after three tokens. */
    readonly resumed: readonly DecodeEvent[];
    readonly isSound: boolean;
}

const first = tokens(0, 1, 2);
const rest = tokens(3, 4, 5);

const cases: readonly TokenCase[] = [
    { name: "the rest", resumed: [...rest, end()], isSound: true },
    { name: "a token twice", resumed: [token(3), token(3, "x"), token(4), token(5), end()], isSound: true },
    { name: "the output from its first token again", resumed: [...first, ...rest, end()], isSound: false },
    { name: "the last token again", resumed: [...tokens(2), ...rest, end()], isSound: false },
    {
        name: "later a token of the first attempt",
        resumed: [token(3), token(1), token(4), token(5), end()],
        isSound: false,
    },
    { name: "a token too far on", resumed: [...tokens(4, 5), end()], isSound: false },
    { name: "a missing token", resumed: [...tokens(3, 5), end()], isSound: false },
    { name: "no token of the rest", resumed: [end()], isSound: false },
    { name: "the end before the last token", resumed: [...tokens(3, 4), end()], isSound: false },
    { name: "an end that counts the tokens of the attempt alone", resumed: [...rest, end(3)], isSound: true },
    { name: "a failure", resumed: [token(3), { type: "failed", stage: "decode", cause: "x" }], isSound: false },
];

// Tokens that were sent again from the first one on were dropped up to the last known one, and those after it joined.
test.each(cases)("an attempt that goes on with $name: $isSound", async ({ resumed, isSound }) => {
    const clock = createVirtualClock();
    let attempts = 0;
    const head: readonly DecodeEvent[] = [{ type: "reserved", load: idleLoad }, imported];
    let received = "";
    const context = createRequestContext({
        clock,
        endpointsPerRole: 3,
        agents: {
            prefill: () => prefilled,
            decode: () => {
                attempts += 1;
                if (attempts === 1) {
                    return [...head, ...first, { type: "failed", stage: "decode", cause: "reset" }];
                }
                return [
                    ...head,
                    ...attempts === 2
                        ? resumed
                        : [
                            ...tokens(...Array.from(
                                { length: outputTokens - received.length },
                                (unused, index) => received.length + index,
                            )),
                            end(),
                        ],
                ];
            },
        },
        retryBudget: createRetryBudget(),
    });
    const generated = generate(context, request, piece => (received += piece), new AbortController().signal);
    await clock.advance(waitMs);
    expect(await generated).toMatchObject({ kind: "completed", completionTokens: outputTokens });
    expect(received).toBe("012345");
    expect(attempts).toBe(isSound ? 2 : 3);
});
