/**
 * What yields when there is too little room: the order of waiting requests in single cases, and its two bounds over
 * random arrivals at one server with bounded room, in virtual time.
 */

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createRandom } from "../common/random.js";
import { createServedShares } from "./servedShares.js";
import { yieldOrderOf } from "./yieldOrder.js";
import type { WaitingRequest, YieldView } from "./yieldOrder.js";

type NamedRequest = WaitingRequest & { readonly name: string; };

function waiting(name: string, changes: Partial<WaitingRequest> = {}): NamedRequest {
    return { name, clientAccount: name, priority: 2, latestStartMs: 500, work: 100, ...changes };
}

const noView: YieldView = { isOwed: () => false, accountPenaltyMs: () => 0 };

interface OrderCase {
    readonly name: string;
    readonly requests: readonly NamedRequest[];
    readonly view?: Partial<YieldView>;
    readonly order: readonly string[];
}

const orderCases: readonly OrderCase[] = [
    {
        name: "equal priorities: by latest start, whatever the work",
        requests: [waiting("large", { work: 900, latestStartMs: 499 }), waiting("small", { work: 1 })],
        order: ["large", "small"],
    },
    {
        name: "a less urgent request comes later",
        requests: [waiting("less"), waiting("more", { priority: 0, latestStartMs: 900 })],
        order: ["more", "less"],
    },
    {
        name: "a less urgent request comes first if it has waited long enough",
        requests: [waiting("less", { priority: 1 }), waiting("more", { priority: 0, latestStartMs: 1_200 })],
        order: ["less", "more"],
    },
    {
        name: "of two less urgent requests, the one that needs more room yields",
        requests: [
            waiting("large", { work: 200 }),
            waiting("small", { work: 50, latestStartMs: 600 }),
            waiting("more", { priority: 1 }),
        ],
        order: ["more", "small", "large"],
    },
    {
        name: "a late request yields to a less urgent one that can be on time",
        requests: [waiting("late", { priority: 0, latestStartMs: -1 }), waiting("less")],
        order: ["less", "late"],
    },
    {
        name: "a priority that is owed room ranks as the most urgent",
        requests: [waiting("more", { priority: 0, latestStartMs: 510 }), waiting("owed")],
        view: { isOwed: ({ priority }) => priority === 2 },
        order: ["owed", "more"],
    },
    {
        name: "an account that has got much is moved back",
        requests: [waiting("hot"), waiting("calm", { latestStartMs: 550 })],
        view: { accountPenaltyMs: account => (account === "hot" ? 200 : 0) },
        order: ["calm", "hot"],
    },
];

function inOrder<Item extends WaitingRequest>(requests: readonly Item[], view: YieldView, nowMs: number): Item[] {
    const { rankOf } = yieldOrderOf(requests, view, nowMs);
    return [...requests].sort((a, b) => rankOf(a) - rankOf(b));
}

describe("yield order", () => {
    it.each(orderCases)("$name", ({ requests, view, order }) => {
        expect(inOrder(requests, { ...noView, ...view }, 0).map(({ name }) => name)).toEqual(order);
    });

    it("only less urgent requests that come later and are owed nothing yield to an arrival", () => {
        const arrival = waiting("arrival", { priority: 1, latestStartMs: 900 });
        const requests = [
            waiting("equal", { priority: 1, latestStartMs: 2_000 }),
            waiting("long waiting", { latestStartMs: 100 }),
            waiting("owed", { priority: 3, latestStartMs: 2_000 }),
            waiting("less"),
            waiting("least", { priority: 9 }),
            arrival,
        ];
        const view = { ...noView, isOwed: ({ priority }: WaitingRequest) => priority === 3 };
        const { yieldsTo } = yieldOrderOf(requests, view, 0);
        expect(requests.filter(request => yieldsTo(request, arrival)).map(({ name }) => name)).toEqual([
            "less",
            "least",
        ]);
    });
});

interface Load {
    readonly seed: number;
    /** Priority and part of the arrivals of each kind of request, and how long its requests wait. */
    readonly kinds: readonly { readonly priority: number; readonly weight: number; readonly patienceMs: number; }[];
    /** Work that arrives, as a multiple of what the server can do. */
    readonly load: number;
}

interface SimulatedRequest extends WaitingRequest {
    readonly kind: number;
    readonly isLarge: boolean;
    readonly leavesAtMs: number;
}

interface Tally {
    asked: number;
    served: number;
}

const tickMs = 20;
const durationMs = 60_000;
const room = 80;
const serviceMs = 1_000;
const meanWork = 2;
/** The share that is served of fewer requests is mostly chance. */
const minAsked = 50;

/** Serves random arrivals in the yield order for a minute; returns what was asked and served of each group. */
function simulate({ seed, kinds, load }: Load): ReadonlyMap<string, Tally> {
    const random = createRandom(seed);
    const shares = createServedShares();
    const tallies = new Map<string, Tally>();
    const running: { readonly endsAtMs: number; readonly work: number; }[] = [];
    const totalWeight = kinds.reduce((sum, { weight }) => sum + weight, 0);
    let queue: SimulatedRequest[] = [];

    function tally({ kind, isLarge, clientAccount }: SimulatedRequest, field: keyof Tally): void {
        for (const group of ["all", `kind ${kind}`, clientAccount, ...isLarge ? [`large of kind ${kind}`] : []]) {
            const counts = tallies.get(group) ?? { asked: 0, served: 0 };
            counts[field] += 1;
            tallies.set(group, counts);
        }
    }

    function arriveAt(nowMs: number): void {
        let pick = random() * totalWeight;
        const kind = kinds.findIndex(({ weight }) => (pick -= weight) < 0);
        const { priority, patienceMs } = kinds[kind] ?? { priority: 0, patienceMs: 0 };
        const isLarge = random() < 0.1;
        const request: SimulatedRequest = {
            kind,
            isLarge,
            priority,
            clientAccount: `account ${Math.floor(random() * 4)}`,
            work: isLarge ? 2.5 * meanWork : meanWork * (0.5 + random() * 0.67),
            latestStartMs: nowMs + patienceMs,
            leavesAtMs: nowMs + patienceMs,
        };
        tally(request, "asked");
        shares.recordArrival(request, nowMs);
        queue.push(request);
    }

    const arrivalsPerTick = load * room / meanWork * tickMs / serviceMs;
    for (let nowMs = 0; nowMs < durationMs; nowMs += tickMs) {
        for (let due = arrivalsPerTick; due > 0; due -= 1) {
            if (random() < due) {
                arriveAt(nowMs);
            }
        }
        queue = queue.filter(({ leavesAtMs }) => nowMs < leavesAtMs);
        let used = running.filter(({ endsAtMs }) => endsAtMs > nowMs).reduce((sum, { work }) => sum + work, 0);
        const view = { ...noView, isOwed: (request: WaitingRequest) => shares.isOwed(request, nowMs) };
        for (const request of inOrder(queue, view, nowMs)) {
            if (used + request.work > room) {
                break;
            }
            used += request.work;
            running.push({ endsAtMs: nowMs + serviceMs, work: request.work });
            queue.splice(queue.indexOf(request), 1);
            shares.recordServed(request, nowMs);
            tally(request, "served");
        }
        running.splice(0, running.findIndex(({ endsAtMs }) => endsAtMs > nowMs));
    }
    return tallies;
}

const loads: fc.Arbitrary<Load> = fc.record({
    seed: fc.integer({ min: 1, max: 1e6 }),
    kinds: fc.uniqueArray(
        fc.record({
            priority: fc.integer({ min: 0, max: 9 }),
            weight: fc.integer({ min: 1, max: 10 }),
            patienceMs: fc.constantFrom(500, 900, 2_000),
        }),
        { minLength: 2, maxLength: 4, selector: ({ priority }) => priority },
    ),
    load: fc.double({ min: 0.5, max: 4, noNaN: true }),
});

function shareOf(tallies: ReadonlyMap<string, Tally>, group: string): number {
    const { asked, served } = tallies.get(group) ?? { asked: 0, served: 0 };
    return served / Math.max(1, asked);
}

describe("bounds of the yield order over random arrivals", () => {
    it(
        "serves no kind less often than a less urgent one by over 5 in 100, and starves no kind, account or size",
        () => {
            fc.assert(
                fc.property(loads, load => {
                    const tallies = simulate(load);
                    const byUrgency = [...load.kinds.entries()]
                        .sort(([, a], [, b]) => a.priority - b.priority)
                        .map(([kind]) => `kind ${kind}`);
                    byUrgency.forEach((group, index) =>
                        byUrgency.slice(index + 1).forEach(lessUrgent =>
                            expect(shareOf(tallies, group), `${group} against ${lessUrgent}`)
                                .toBeGreaterThanOrEqual(shareOf(tallies, lessUrgent) - 0.05)
                        )
                    );
                    for (const [group, { asked }] of tallies) {
                        if (asked >= minAsked) {
                            expect(shareOf(tallies, group), group).toBeGreaterThanOrEqual(shareOf(tallies, "all") / 4);
                        }
                    }
                }),
                { seed: 20_261_206, numRuns: 40 },
            );
        },
        60_000,
    );
});
