/**
 * The fair queue compared with an ideal fluid share, its guarantees for deferrable work, and the work queue's limits.
 */

import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createFairQueue, defaultFairQueueSettings } from "./fairQueue.js";
import type { QueueItem } from "./fairQueue.js";
import { createWorkQueue } from "./workQueue.js";
import type { WorkRequest } from "./workQueue.js";

const seed = 20_261_204;
const maxCost = 500;
const farDeadlineMs = 1e9;

interface Backlog {
    readonly weight: number;
    readonly costs: readonly number[];
}

const backlog: fc.Arbitrary<Backlog> = fc.record({
    weight: fc.integer({ min: 1, max: 5 }),
    costs: fc.array(fc.integer({ min: 1, max: maxCost }), { minLength: 60, maxLength: 60 }),
});

function itemOf(clientAccount: string, weight: number, costTokens: number): QueueItem {
    return { clientAccount, weight, requestClass: "interactive", costTokens, deadlineMs: farDeadlineMs };
}

describe("the fair queue", () => {
    test("keeps the service of all backlogged accounts within one request of an ideal fluid share", () => {
        fc.assert(
            fc.property(fc.array(backlog, { minLength: 2, maxLength: 5 }), backlogs => {
                const queue = createFairQueue<QueueItem>(defaultFairQueueSettings);
                backlogs.forEach(({ weight, costs }, index) =>
                    costs.forEach(cost => queue.add(itemOf(`a${index}`, weight, cost)))
                );
                const served = backlogs.map(() => 0);
                const remaining = backlogs.map(({ costs }) => costs.length);
                while (remaining.every(count => count > 0)) {
                    const item = queue.peek(0) as QueueItem;
                    queue.start(item);
                    const index = Number(item.clientAccount.slice(1));
                    served[index] = (served[index] ?? 0) + item.costTokens / item.weight;
                    remaining[index] = (remaining[index] ?? 0) - 1;
                    // An ideal fluid share gives all backlogged accounts the same service per unit of weight.
                    expect(Math.max(...served) - Math.min(...served)).toBeLessThanOrEqual(maxCost);
                }
            }),
            { seed, numRuns: 100 },
        );
    });

    test("gives an account no credit for the time it was idle", () => {
        const queue = createFairQueue<QueueItem>(defaultFairQueueSettings);
        Array.from({ length: 50 }, () => queue.add(itemOf("busy", 1, 10)));
        Array.from({ length: 40 }, () => queue.start(queue.peek(0) as QueueItem));
        Array.from({ length: 10 }, () => queue.add(itemOf("late", 1, 10)));
        const order = Array.from({ length: 10 }, () => {
            const item = queue.peek(0) as QueueItem;
            queue.start(item);
            return item.clientAccount;
        });
        expect(order.filter(name => name === "late").length).toBeLessThanOrEqual(6);
        expect(order.filter(name => name === "late").length).toBeGreaterThanOrEqual(4);
    });

    test("gives deferrable work its minimum fraction under any amount of interactive work", () => {
        const queue = createFairQueue<QueueItem>(defaultFairQueueSettings);
        const deferrable = { ...itemOf("d", 1, 100), requestClass: "deferrable" as const };
        let deferrableServed = 0;
        for (let round = 0; round < 1_000; round++) {
            queue.add(itemOf("i", 5, 100));
            queue.add({ ...deferrable });
            const item = queue.peek(0) as QueueItem;
            queue.start(item);
            deferrableServed += item.requestClass === "deferrable" ? 1 : 0;
        }
        expect(deferrableServed).toBeGreaterThanOrEqual(1_000 * defaultFairQueueSettings.minDeferrableFraction - 1);
    });

    test("promotes deferrable work near its deadline to compete with interactive work", () => {
        const queue = createFairQueue<QueueItem>({ minDeferrableFraction: 0, promotionWindowMs: 1_000 });
        const deferrable = { ...itemOf("d", 1, 1), requestClass: "deferrable" as const, deadlineMs: 5_000 };
        queue.add(deferrable);
        queue.add(itemOf("i", 1, 100));
        expect(queue.peek(0)?.clientAccount).toBe("i");
        expect(queue.peek(4_500)?.clientAccount).toBe("d");
    });
});

function workOf(overrides: Partial<WorkRequest>): WorkRequest {
    return {
        clientAccount: "a",
        weight: 1,
        requestClass: "interactive",
        costTokens: 1,
        kvBytes: 10,
        maxQueueMs: 1_000,
        ...overrides,
    };
}

const capacity = { slots: 2, kvCapacityBytes: 25 };
const neverAborted = new AbortController().signal;

describe("the work queue", () => {
    test("never exceeds its slots and KV bytes, and frees each grant once", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.record({ kvBytes: fc.integer({ min: 0, max: 30 }), twice: fc.boolean() }), {
                    maxLength: 30,
                }),
                async requests => {
                    const clock = createVirtualClock();
                    const queue = createWorkQueue(capacity, clock, defaultFairQueueSettings);
                    const outcomes = requests.map(async ({ kvBytes, twice }) => {
                        const granted = await queue.acquire(workOf({ kvBytes, maxQueueMs: 60_000 }), neverAborted);
                        if (granted.isErr) {
                            return granted.error;
                        }
                        const load = queue.load();
                        expect(load.activeSlots).toBeLessThanOrEqual(capacity.slots);
                        expect(load.kvFreeBytes).toBeGreaterThanOrEqual(0);
                        await clock.sleep(10);
                        granted.value.release();
                        if (twice) {
                            granted.value.release();
                        }
                        return "done";
                    });
                    await clock.advance(1_000);
                    const results = await Promise.all(outcomes);
                    results.forEach((result, index) =>
                        expect(result).toBe(
                            (requests[index]?.kvBytes ?? 0) > capacity.kvCapacityBytes ? "tooLarge" : "done",
                        )
                    );
                    expect(queue.load()).toMatchObject({ activeSlots: 0, queuedRequests: 0, kvFreeBytes: 25 });
                },
            ),
            { seed, numRuns: 50 },
        );
    });

    const refusals = [
        {
            name: "its queue timeout expires",
            reason: "queueTimeout",
            act: async (clock: ReturnType<typeof createVirtualClock>) => clock.advance(1_100),
        },
        {
            name: "its caller disconnects",
            reason: "cancelled",
            act: async (clock: ReturnType<typeof createVirtualClock>, abort: AbortController) => {
                abort.abort();
                await clock.settle();
            },
        },
        {
            name: "the endpoint starts draining",
            reason: "draining",
            act: async (
                clock: ReturnType<typeof createVirtualClock>,
                abort: AbortController,
                queue: ReturnType<typeof createWorkQueue>,
            ) => {
                queue.setUnavailable("draining");
                await clock.settle();
            },
        },
    ] as const;

    test.each(refusals)("refuses a queued request when $name", async ({ reason, act }) => {
        const clock = createVirtualClock();
        const queue = createWorkQueue({ slots: 1, kvCapacityBytes: 100 }, clock, defaultFairQueueSettings);
        const held = await queue.acquire(workOf({}), neverAborted);
        const abort = new AbortController();
        const queued = queue.acquire(workOf({}), abort.signal);
        await act(clock, abort, queue);
        const outcome = await queued;
        expect(outcome.isErr && outcome.error).toBe(reason);
        expect(queue.load().queuedRequests).toBe(0);
        expect(held.isOk).toBe(true);
    });
});
