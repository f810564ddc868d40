/**
 * Changes of state between entries: whatever messages are lost, duplicated or late, and whichever side restarts or is of
 * an earlier version, what an entry holds of a peer is a state that the peer had, and finally its current one.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { receiveMessage } from "./heldState.js";
import type { Reception } from "./heldState.js";
import { entryStateSchema, peerSyncMethods, stateMessageSchema } from "./messages.js";
import type { EntryState, StateChanges } from "./messages.js";
import { createPeerSync, peerSyncIntervalMs } from "./peerSync.js";
import type { LocalState, PeerSync } from "./peerSync.js";
import { createStateHistory } from "./stateHistory.js";

const emptyState: LocalState = {
    usage: {},
    work: {},
    reconfiguring: {},
    fencingToken: 0,
    desiredStateVersion: 0,
    leaving: [],
    crashEvidence: [],
    engineRates: [],
    ejections: [],
    coldEngines: [],
};

interface Entry {
    peerSync: PeerSync;
    local: LocalState;
    /** States received, by URL of the peer. */
    readonly received: Map<string, EntryState[]>;
    stop: () => void;
}

interface Message {
    readonly from: string;
    readonly to: string;
    readonly isResponse: boolean;
    readonly body: unknown;
}

interface Network {
    readonly clock: VirtualClock;
    readonly entries: Map<string, Entry>;
    readonly messages: Message[];
    /** What becomes of a message; a duplicate of a request arrives two rounds later. */
    fate: (message: Message) => "delivered" | "lost" | "duplicated";
    /** Changes a message on its way, as an entry of an earlier version would have sent or read it. */
    rewrite: (message: Message) => unknown;
    readonly start: (url: string, start: string) => Entry;
}

function createNetwork(): Network {
    const clock = createVirtualClock();
    const entries = new Map<string, Entry>();
    const network: Network = {
        clock,
        entries,
        messages: [],
        fate: () => "delivered",
        rewrite: ({ body }) => body,
        start: (url, start) => {
            entries.get(url)?.stop();
            const stopping = new AbortController();
            const received = new Map<string, EntryState[]>();
            const entry: Entry = {
                peerSync: undefined as never,
                local: emptyState,
                received,
                stop: () => stopping.abort(),
            };
            entry.peerSync = createPeerSync({ url, start, seeds: [...entries.keys()].slice(0, 1) }, {
                clock,
                rpc: rpcOf(url),
                log: silentDecisionLog,
                replicas: {},
                localState: () => entry.local,
                onState: state => void received.set(state.url, [...received.get(state.url) ?? [], state]),
                onUsageReport: () => undefined,
                onPeerRemoved: () => undefined,
            });
            entries.set(url, entry);
            void entry.peerSync.run(stopping.signal);
            return entry;
        },
    };

    async function deliver(message: Message): Promise<unknown> {
        network.messages.push(message);
        const method = entries.get(message.to)?.peerSync.methods[peerSyncMethods.state];
        return method?.invoke(structuredClone(network.rewrite(message)), { signal: new AbortController().signal });
    }

    function rpcOf(from: string): RpcClient {
        return {
            call: async (to, method, params) => {
                const lost = Result.err({ kind: "timeout", delivered: "maybe", cause: "lost" } as const);
                if (method !== peerSyncMethods.state || !entries.has(to)) {
                    return lost;
                }
                const request = { from, to, isResponse: false, body: structuredClone(params) };
                const fate = network.fate(request);
                if (fate === "lost") {
                    return lost;
                }
                if (fate === "duplicated") {
                    clock.startTimer(2.5 * peerSyncIntervalMs, () => void deliver(request));
                }
                try {
                    const response = { from: to, to: from, isResponse: true, body: await deliver(request) };
                    network.messages.push(response);
                    return network.fate(response) === "lost"
                        ? lost
                        : Result.ok(structuredClone(network.rewrite(response)));
                }
                catch (error) {
                    return Result.err({ kind: "rejected", delivered: "yes", code: -32_602, cause: String(error) });
                }
            },
            stream: () => Promise.reject(new Error("not used")),
            close: async () => undefined,
        };
    }

    return network;
}

const work = (requests: number): LocalState["work"][string] => ({ requests, kvTokens: 7 * requests, prefillTokens: 0 });
const held = ({ usage, work: workByEngine, fencingToken, desiredStateVersion }: LocalState): unknown => ({
    usage,
    work: workByEngine,
    fencingToken,
    desiredStateVersion,
});
const isRequestOf = (url: string, fate: "lost") => ({ from, isResponse }: Message): typeof fate | "delivered" =>
    from === url && !isResponse ? fate : "delivered";
const isWhole = ({ body }: Message): boolean => (body as { readonly form?: string; }).form !== "changes";

/** As an entry of an earlier version reads and writes states. */
function toEarlierVersion(body: unknown): unknown {
    const { dataCentre, ...state } = entryStateSchema.parse(body);
    return state;
}

function randomState(random: () => number, clock: VirtualClock, earlier: LocalState): LocalState {
    const engines = Array.from({ length: 6 }, (unused, index) => `i-${index}`).filter(() => random() < 0.5);
    const account = `account-${Math.floor(random() * 4)}`;
    return {
        ...earlier,
        usage: { ...earlier.usage, [account]: (earlier.usage[account] ?? 0) + Math.floor(random() * 9) },
        work: Object.fromEntries(engines.map(engine => [engine, work(1 + Math.floor(random() * 3))])),
        fencingToken: earlier.fencingToken + Math.floor(random() * 2),
        leaving: random() < 0.1 ? [...earlier.leaving, { id: "i-1", bornMs: clock.wallMs() }] : earlier.leaving,
    };
}

interface DeliveryCase {
    readonly name: string;
    readonly lostFraction: number;
    readonly duplicatedFraction: number;
    readonly restarts: boolean;
    readonly earlierVersion: string | undefined;
}

const deliveryCases: readonly DeliveryCase[] = [
    { name: "no fault", lostFraction: 0, duplicatedFraction: 0, restarts: false, earlierVersion: undefined },
    { name: "lost messages", lostFraction: 0.4, duplicatedFraction: 0, restarts: false, earlierVersion: undefined },
    { name: "late duplicates", lostFraction: 0.1, duplicatedFraction: 0.5, restarts: false, earlierVersion: undefined },
    { name: "restarts", lostFraction: 0.2, duplicatedFraction: 0.2, restarts: true, earlierVersion: undefined },
    {
        name: "an entry of an earlier version",
        lostFraction: 0.2,
        duplicatedFraction: 0.2,
        restarts: false,
        earlierVersion: "http://b",
    },
];
const urls = ["http://a", "http://b", "http://c"] as const;

describe("changes of state", () => {
    // A number of the sender's earlier start was taken for one of its new start, which it then never sent whole.
    it("show a peer the current state of an entry that restarted while it was cut off", async () => {
        const network = createNetwork();
        const first = network.start("http://a", "a-0");
        network.start("http://c", "c-0");
        const peer = network.start("http://b", "b-0");
        for (let round = 1; round <= 4; round++) {
            first.local = { ...first.local, usage: { account: round } };
            await network.clock.advance(peerSyncIntervalMs);
        }
        network.fate = ({ from, to }) => [from, to].sort().join() === "http://a,http://b" ? "lost" : "delivered";
        const second = network.start("http://a", "a-1");
        for (let round = 1; round <= 20; round++) {
            second.local = { ...second.local, usage: { account: 100 + round } };
            await network.clock.advance(peerSyncIntervalMs);
        }
        network.fate = () => "delivered";
        await network.clock.advance(4 * peerSyncIntervalMs);
        expect(peer.received.get("http://a")?.at(-1)).toMatchObject({ start: "a-1", usage: { account: 120 } });
    });

    it.each(deliveryCases)("show peers states that the sender had, and in the end its current one: $name", async ({
        lostFraction,
        duplicatedFraction,
        restarts,
        earlierVersion,
    }) => {
        for (let seed = 1; seed <= 4; seed++) {
            const random = createRandom(seed);
            const network = createNetwork();
            network.fate = () => {
                const drawn = random();
                return drawn < lostFraction
                    ? "lost"
                    : drawn < lostFraction + duplicatedFraction
                    ? "duplicated"
                    : "delivered";
            };
            network.rewrite = ({ from, to, body }) =>
                from === earlierVersion || to === earlierVersion ? toEarlierVersion(body) : body;
            const hadStates = new Map<string, string[]>();
            urls.forEach(url => network.start(url, `${url}-0`));
            for (let step = 0; step < 60; step++) {
                for (const [url, entry] of network.entries) {
                    entry.local = randomState(random, network.clock, entry.local);
                    hadStates.set(url, [
                        ...hadStates.get(url) ?? [JSON.stringify(held(emptyState))],
                        JSON.stringify(held(entry.local)),
                    ]);
                }
                if (restarts && step % 15 === 14) {
                    const url = urls[step % 3] ?? urls[0];
                    network.start(url, `${url}-${step}`).local = { ...emptyState };
                }
                await network.clock.advance(150);
            }
            network.fate = () => "delivered";
            await network.clock.advance(4 * peerSyncIntervalMs);
            for (const [url, entry] of network.entries) {
                for (const [peerUrl, states] of entry.received) {
                    const sorted = (state: LocalState): unknown => JSON.parse(JSON.stringify(held(state)));
                    const had = (hadStates.get(peerUrl) ?? []).map(text => JSON.parse(text) as unknown);
                    states.forEach(state => expect(had).toContainEqual(sorted(state)));
                    expect({ url, held: held(states.at(-1) as EntryState) })
                        .toEqual({ url, held: held(network.entries.get(peerUrl)?.local ?? emptyState) });
                }
                expect(entry.received.size).toBe(2);
                const leaving = [...network.entries.values()].flatMap(({ local }) => local.leaving);
                const told = [...entry.received.values()].flat().flatMap(state => state.leaving);
                const own = entry.local.leaving;
                leaving.filter(engine => !own.includes(engine)).forEach(engine => expect(told).toContainEqual(engine));
            }
        }
    });

    it("are all that is sent once the peer has confirmed a state, and small while nothing changes", async () => {
        const network = createNetwork();
        const entry = network.start("http://a", "a");
        entry.local = {
            ...emptyState,
            work: Object.fromEntries(Array.from({ length: 50 }, (unused, i) => [`i-${i}`, work(1)])),
        };
        network.start("http://b", "b");
        await network.clock.advance(3 * peerSyncIntervalMs);
        network.messages.length = 0;
        await network.clock.advance(10 * peerSyncIntervalMs);
        expect(network.messages.filter(isWhole)).toEqual([]);
        expect(Math.max(...network.messages.map(({ body }) => JSON.stringify(body).length))).toBeLessThan(250);
    });

    it("are replaced by the whole state at once if the peer doesn't hold the state at which they start", async () => {
        const network = createNetwork();
        const entry = network.start("http://a", "a");
        network.start("http://b", "b");
        await network.clock.advance(3 * peerSyncIntervalMs);
        entry.local = { ...emptyState, usage: { account: 5 } };
        // The restarted entry is called before its own calls arrive.
        network.fate = isRequestOf("http://b", "lost");
        const restarted = network.start("http://b", "b-2");
        network.messages.length = 0;
        entry.peerSync.syncNow();
        await network.clock.settle();
        const requests = network.messages.filter(({ from, isResponse }) => from === "http://a" && !isResponse);
        expect(requests.map(isWhole)).toEqual([false, true]);
        expect(restarted.received.get("http://a")?.at(-1)?.usage).toEqual({ account: 5 });
    });

    it("give way to whole states for a URL that has passed to an entry of an earlier version", async () => {
        const network = createNetwork();
        const entry = network.start("http://a", "a");
        network.start("http://b", "b");
        await network.clock.advance(3 * peerSyncIntervalMs);
        network.fate = isRequestOf("http://b", "lost");
        network.start("http://b", "b-2");
        network.rewrite = ({ body }) => toEarlierVersion(body);
        entry.local = { ...emptyState, usage: { account: 5 } };
        await network.clock.advance(4 * peerSyncIntervalMs);
        expect(network.entries.get("http://b")?.received.get("http://a")?.at(-1)?.usage).toEqual({ account: 5 });
    });

    it("name again the entries that a peer has removed", async () => {
        const network = createNetwork();
        urls.forEach(url => network.start(url, url));
        const isBetween = ({ from, to }: Message, left: string, right: string): boolean =>
            (from === left && to === right) || (from === right && to === left);
        await network.clock.advance(2_000);
        network.fate = message => isBetween(message, urls[1], urls[2]) ? "lost" : "delivered";
        await network.clock.advance(40_000);
        network.fate = () => "delivered";
        await network.clock.advance(2_000);
        expect([...network.entries.values()].map(({ peerSync }) => peerSync.members())).toEqual([3, 3, 3]);
    });
});

interface ReceptionCase {
    readonly name: string;
    readonly sync: StateChanges["sync"];
    readonly start: string;
    readonly kind: string;
    /** Work that is held afterwards. */
    readonly work?: LocalState["work"];
}

const receptionCases: readonly ReceptionCase[] = [
    { name: "since the held state", sync: { number: 8, since: 5 }, start: "s", kind: "received", work: { b: work(2) } },
    { name: "since an earlier one", sync: { number: 8, since: 3 }, start: "s", kind: "received", work: { b: work(2) } },
    { name: "received again", sync: { number: 5, since: 3 }, start: "s", kind: "received", work: { b: work(2) } },
    { name: "since a later one", sync: { number: 8, since: 6 }, start: "s", kind: "unknownBase" },
    { name: "of another start", sync: { number: 8, since: 5 }, start: "t", kind: "unknownBase" },
    { name: "up to an earlier one", sync: { number: 4, since: 3 }, start: "s", kind: "late" },
];

describe("changes received while the state 5 is held", () => {
    it.each(receptionCases)("$name: $kind", ({ sync, start, kind, work: workAfter }) => {
        const state = entryStateSchema.parse({
            ...emptyState,
            revisions: {},
            entries: [],
            url: "http://a",
            start: "s",
        });
        const changes = { work: { b: [2, 14, 0] }, leaving: [{ id: "i", bornMs: 1 }], url: "http://other" };
        const reception = receiveMessage({ state: { ...state, work: { a: work(1), b: work(1) } }, number: 5 }, {
            form: "changes",
            url: "http://a",
            start,
            sync,
            changed: changes,
            removed: { work: ["a"] },
        }).unwrapOr<Reception>({ kind: "late" });
        expect(reception.kind).toBe(kind);
        expect(reception.kind === "received" ? reception.held.state.work : undefined).toEqual(workAfter);
        expect(reception.kind === "received" ? reception.held.state.leaving : []).toEqual([]);
        expect(reception.kind === "received" ? reception.state.url : "http://a").toBe("http://a");
    });

    it("that are no state are an error, which names the field", () => {
        const state = entryStateSchema.parse({
            ...emptyState,
            revisions: {},
            entries: [],
            url: "http://a",
            start: "s",
        });
        const received = receiveMessage({ state, number: 5 }, {
            form: "changes",
            url: "http://a",
            start: "s",
            sync: { number: 6, since: 5 },
            changed: { work: { a: ["7", 1, 1] } },
            removed: {},
        });
        expect(received.isErr && received.error.path).toBe("work.a.requests");
    });
});

interface HistoryCase {
    readonly name: string;
    readonly before: Readonly<Record<string, unknown>>;
    readonly after: Readonly<Record<string, unknown>>;
    /** Time between the two states. */
    readonly passedMs: number;
    readonly changed: unknown;
    readonly removed: unknown;
}

const notice = { engine: "i-1", bornMs: 1, ratePerSecond: 2 };
const historyCases: readonly HistoryCase[] = [
    {
        name: "names a key that is gone, and one that is new",
        before: { work: { a: work(1), b: work(1) } },
        after: { work: { b: work(1), c: work(2) } },
        passedMs: 5,
        changed: { work: { c: [2, 14, 0] } },
        removed: { work: ["a"] },
    },
    {
        name: "omits an announcement that has only aged",
        before: { engineRates: [{ ...notice, agoMs: 10 }], reconfiguring: { a: 900 } },
        after: { engineRates: [{ ...notice, agoMs: 110 }], reconfiguring: { a: 800 } },
        passedMs: 100,
        changed: {},
        removed: {},
    },
    {
        name: "has an announcement that was made again",
        before: { engineRates: [{ ...notice, agoMs: 10 }] },
        after: { engineRates: [{ ...notice, agoMs: 0 }] },
        passedMs: 100,
        changed: { engineRates: [{ ...notice, agoMs: 0 }] },
        removed: {},
    },
    {
        name: "sends a field without parts as a whole, and says that one is gone",
        before: { revisions: { a: 1, b: 1 }, dataCentre: "x" },
        after: { revisions: { a: 1, b: 2 } },
        passedMs: 0,
        changed: { revisions: { a: 1, b: 2 } },
        removed: { dataCentre: [""] },
    },
];

describe("the history of a state", () => {
    it.each(historyCases)("$name", ({ before, after, passedMs, changed, removed }) => {
        const history = createStateHistory();
        const number = history.update(before, 1_000);
        history.update(after, 1_000 + passedMs);
        expect(history.changesSince(number)).toEqual({ changed, removed });
    });

    it("is bounded: after very many removals, only recent numbers are known", () => {
        const history = createStateHistory();
        const numbers = Array.from(
            { length: 6_000 },
            (unused, index) => history.update({ work: { [index]: work(1) } }, index),
        );
        expect(history.changesSince(numbers[0] ?? 0)).toBeUndefined();
        const recent = history.changesSince(numbers[5_900] ?? 0);
        expect(recent?.removed["work"]).toHaveLength(99);
    });

    it("knows nothing of numbers that it has not given", () => {
        const history = createStateHistory();
        history.update({}, 0);
        expect([0, 1, 99].map(number => history.changesSince(number) === undefined)).toEqual([true, true, true]);
    });
});

describe("a message with a state", () => {
    it("that is invalid is rejected with the name of the field", () => {
        const { error } = stateMessageSchema.safeParse({ ...emptyState, url: "http://a", start: 7 });
        expect(error?.issues[0]?.path).toEqual(["start"]);
    });
});
