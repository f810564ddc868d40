/**
 * Generations and KV caches stay with one software version, on sites with agents whose endpoints have several.
 */

import { expect, test } from "vitest";
import { createRequestContext, idleLoad, prefilled, requestAttributes } from "../../fakes/requestHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { DecodeEvent } from "../endpoint/messages.js";
import type { GenerationRequest } from "./context.js";
import { generate } from "./generate.js";
import { createRetryBudget } from "./retryBudget.js";

const request: GenerationRequest = {
    ...requestAttributes,
    model: "guide",
    poolName: "guide-pool",
    pool: { model: "guide", kvBytesPerToken: 1, maxOutputTokens: 100 },
    prompt: "prompt",
    maxOutputTokens: 4,
    stop: [],
};
const waitMs = 20_000;

interface VersionCase {
    readonly name: string;
    /** Software versions of the endpoints `prefill-0`, `prefill-1` and so on. */
    readonly prefill: readonly string[];
    readonly decode: readonly string[];
    /** Streams of this decode endpoint break off after two tokens. */
    readonly breaking?: string;
    /** Version of each token of the text; the generation is complete if there are four. */
    readonly text: string;
}

const cases: readonly VersionCase[] = [
    { name: "one version", prefill: ["1"], decode: ["1"], text: "1111" },
    {
        name: "a broken one goes on at its version",
        prefill: ["1", "2"],
        decode: ["1", "2", "2", "1"],
        breaking: "decode-0",
        text: "1111",
    },
    {
        name: "a broken one ends if only another version is left",
        prefill: ["1", "2"],
        decode: ["1", "2", "2"],
        breaking: "decode-0",
        text: "11",
    },
    { name: "the KV cache is of another version", prefill: ["1"], decode: ["2", "2", "1"], text: "1111" },
    { name: "the KV caches are of another version than all decode endpoints", prefill: ["1"], decode: ["2"], text: "" },
    {
        name: "the first decode endpoint has no prefill of its version",
        prefill: ["2"],
        decode: ["1", "2"],
        text: "2222",
    },
];

// Attempts took any endpoint, so that a text was joined from two versions, or written from another version's cache.
test.each(cases)("a generation: $name", async ({ prefill, decode, breaking, text }) => {
    const clock = createVirtualClock();
    const versionOf = (endpoint: string): string => {
        const [role, index] = endpoint.split("-");
        return (role === "prefill" ? prefill : decode)[Number(index)] ?? "";
    };
    let received = "";
    let isBroken = false;
    const tokensOf = (endpoint: string, from: number, to: number): readonly DecodeEvent[] =>
        Array.from(
            { length: to - from },
            (unused, index) => ({ type: "token", index: from + index, text: versionOf(endpoint) }),
        );
    const context = createRequestContext({
        clock,
        endpointsPerRole: Math.max(prefill.length, decode.length),
        agents: {
            prefill: endpoint => ({ ...prefilled, softwareVersion: versionOf(endpoint) }),
            decode: endpoint => {
                const imported: DecodeEvent = { type: "imported", softwareVersion: versionOf(endpoint) };
                const head: readonly DecodeEvent[] = [{ type: "reserved", load: idleLoad }, imported];
                if (endpoint === breaking && !isBroken) {
                    isBroken = true;
                    return [...head, ...tokensOf(endpoint, 0, 2), { type: "failed", stage: "decode", cause: "reset" }];
                }
                const end: DecodeEvent = { type: "end", finishReason: "length", completionTokens: 4 };
                return [...head, ...tokensOf(endpoint, isBroken ? 2 : 0, 4), end];
            },
        },
        retryBudget: createRetryBudget(),
    });
    const withVersions = {
        ...context,
        candidates: {
            ...context.candidates,
            candidates: (...query: Parameters<typeof context.candidates.candidates>) =>
                context.candidates.candidates(...query).filter(({ endpoint }) =>
                    versionOf(endpoint) !== "" && !(isBroken && endpoint === breaking)
                ),
        },
    };
    const generated = generate(withVersions, request, piece => (received += piece), new AbortController().signal);
    await clock.advance(waitMs);
    const outcome = await generated;
    expect(received).toBe(text);
    expect(outcome.kind).toBe(text.length === 4 ? "completed" : "failed");
});
