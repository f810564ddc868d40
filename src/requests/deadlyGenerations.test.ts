/**
 * Generations that end each decode endpoint which begins to work on them, on sites with agents: how many endpoints one
 * generation and its copies end, and whether each end becomes evidence.
 */

import { expect, test } from "vitest";
import { createRequestContext, idleLoad, imported, requestAttributes } from "../../fakes/requestHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { DecodeEvent } from "../endpoint/messages.js";
import type { GenerationOutcome, GenerationRequest } from "./context.js";
import { generate } from "./generate.js";
import { createRetryBudget } from "./retryBudget.js";

const request: GenerationRequest = {
    ...requestAttributes,
    model: "guide",
    poolName: "guide-pool",
    pool: { model: "guide", kvBytesPerToken: 1, maxOutputTokens: 100 },
    prompt: "deadly",
    maxOutputTokens: 5,
    stop: [],
};
const copies = 5;
const copyIntervalMs = 1_000;
/** An engine may end for another reason while a request starts, so one end is not enough to refuse the request. */
const maxEnds = 2;

const failed = (stage: "import" | "decode"): DecodeEvent => ({
    type: "failed",
    stage,
    cause: "reset",
    endpointEndedAtMs: 1,
});

/** What an agent sends on a decode stream whose endpoint ends, after the reservation. */
const endings: readonly { readonly name: string; readonly events: readonly DecodeEvent[]; }[] = [
    { name: "while it imports the KV cache", events: [failed("import")] },
    { name: "before its first token", events: [imported, failed("decode")] },
    {
        name: "after its first token",
        events: [imported, { type: "token", index: 0, text: "a" }, failed("decode")],
    },
];

// After an endpoint had ended during a transfer, the same KV cache went to two more, and only the last end was evidence.
test.each(endings)("a generation that ends endpoints $name, and its copies, end few of them", async ({ events }) => {
    const clock = createVirtualClock();
    const started: string[] = [];
    const context = createRequestContext({
        clock,
        endpointsPerRole: 10,
        agents: {
            startDecode: endpoint => {
                started.push(endpoint);
                return { kind: "started" };
            },
            decode: () => [{ type: "reserved", load: idleLoad }, ...events],
        },
        retryBudget: createRetryBudget(),
    });
    const outcomes: GenerationOutcome[] = [];
    for (let copy = 0; copy < copies; copy++) {
        const outcome = generate(context, request, () => undefined, new AbortController().signal);
        await clock.advance(copyIntervalMs);
        outcomes.push(await outcome);
    }
    expect(started.length).toBeLessThanOrEqual(maxEnds);
    expect(new Set(context.quarantine.evidence().map(({ engine }) => engine))).toEqual(new Set(started));
    expect(outcomes.at(-1)).toMatchObject({ kind: "failed", notRun: true });
});
