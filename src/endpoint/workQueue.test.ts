/**
 * The work queue of an endpoint that stops taking work.
 */

import { expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { defaultFairQueueSettings } from "./fairQueue.js";
import { createWorkQueue } from "./workQueue.js";
import type { WorkRequest } from "./workQueue.js";

const work: WorkRequest = {
    clientAccount: "account",
    weight: 1,
    requestClass: "interactive",
    costTokens: 1,
    kvBytes: 60,
    maxQueueMs: 10_000,
};
const { signal } = new AbortController();

// A refusal made room at the head of the queue, so that the next request was granted a slot of a leaving endpoint.
it.each(["draining", "endpointDown"] as const)("refuses all requests that wait: %s", async reason => {
    const queue = createWorkQueue({ slots: 4, kvCapacityBytes: 100 }, createVirtualClock(), defaultFairQueueSettings);
    const running = await queue.acquire(work, signal);
    const waiting = [queue.acquire(work, signal), queue.acquire({ ...work, kvBytes: 10 }, signal)];
    queue.setUnavailable(reason);
    const results = await Promise.all(waiting);
    expect(results.map(result => result.isErr && result.error)).toEqual([reason, reason]);
    expect(running.isOk && queue.load().activeSlots).toBe(1);
});
