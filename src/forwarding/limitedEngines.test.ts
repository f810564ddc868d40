/**
 * Requests beside engines that name a rate: every call to such an engine counts, first attempts as well as repeats,
 * hedges, prefills and control calls; other engines take the rest, and what none may take is refused at once.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    responseOf,
    routeOf,
    silentDecisionLog,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { EngineScript, ForwardingHarness } from "../../fakes/forwardingHarness.js";
import { limitControlCalls } from "../limits/controlCallLimits.js";
import { forward } from "./forward.js";
import type { ForwardResult } from "./forwardRequest.js";

const ratePerSecond = 2;
const durationMs = 10_000;
const stepMs = 50;
/** The rate, and the burst of one that an engine may get at once. */
const maxCalls = ratePerSecond * durationMs / 1_000 + 1;

const plainEngines = ["i-1", "i-2", "i-3"].map(id => engineRecord(id));
const modelEngines = [
    engineRecord("p-1", "prefill"),
    engineRecord("m-1", "decode"),
    engineRecord("m-2", "decode"),
];

interface LoadCase {
    readonly name: string;
    readonly path: string;
    readonly limited: readonly string[];
    readonly script?: (harness: () => ForwardingHarness) => EngineScript;
    /** Whether all requests are answered: there are engines without a limit that answer. */
    readonly isServed: boolean;
}

const slowAt = (slowId: string) => (harness: () => ForwardingHarness): EngineScript => ({
    send: async ({ id }, { signal }) => {
        if (id === slowId) {
            await harness().clock.sleep(1_000, signal);
        }
        return responseOf(200);
    },
});

const cases: readonly LoadCase[] = [
    { name: "a lookup", path: "/idempotent/x", limited: ["i-1"], isServed: true },
    { name: "a payment", path: "/nonIdempotent/x", limited: ["i-1", "i-2"], isServed: true },
    {
        name: "a payment, all engines limited",
        path: "/nonIdempotent/x",
        limited: ["i-1", "i-2", "i-3"],
        isServed: false,
    },
    {
        name: "a lookup that is repeated",
        path: "/idempotent/x",
        limited: ["i-1", "i-2"],
        script: () => ({ send: async ({ id }) => id === "i-3" ? errorOf("interrupted") : responseOf(200) }),
        isServed: false,
    },
    {
        name: "a lookup that is hedged",
        path: "/idempotent/x",
        limited: ["i-1", "i-2"],
        script: slowAt("i-3"),
        isServed: true,
    },
    { name: "a generation, a decode engine limited", path: "/stream/x", limited: ["m-1"], isServed: true },
    { name: "a generation, the prefill engine limited", path: "/stream/x", limited: ["p-1"], isServed: true },
    { name: "a generation, all engines limited", path: "/stream/x", limited: ["p-1", "m-1", "m-2"], isServed: false },
];

interface Served {
    readonly result: ForwardResult;
    readonly outcome: string;
    readonly tookMs: number;
}

function createHarness({ script, limited }: LoadCase): ForwardingHarness {
    const routes = (["idempotent", "nonIdempotent", "stream"] as const).map(kind => routeOf(kind));
    const harness: ForwardingHarness = createForwardingHarness(desiredStateOf(routes), script?.(() => harness));
    harness.load([...plainEngines, ...modelEngines]);
    [...plainEngines, ...modelEngines].filter(({ id }) => limited.includes(id))
        .forEach(engine => harness.rates.recordNamed(engine, String(ratePerSecond)));
    return harness;
}

async function sendOne(harness: ForwardingHarness, path: string): Promise<Served> {
    const receivedAtMs = harness.clock.monotonicMs();
    const result = await forward(
        harness.context,
        requestTo(path, { receivedAtMs, ...path.startsWith("/stream/") ? { size: smallSize } : {} }),
    );
    const tookMs = harness.clock.monotonicMs() - receivedAtMs;
    return { result, outcome: await describeOutcome(result), tookMs };
}

/** Calls that an engine received; those that free what it holds don't count. */
function callsTo(harness: ForwardingHarness, id: string): number {
    return harness.calls.filter(call => call.split(" ")[1] === id && !call.startsWith("release")).length;
}

describe("requests beside engines that name a rate", () => {
    // Each call without a permit let the engine have more than it named.
    it.each(cases)("$name: no engine gets more than it named", async loadCase => {
        const harness = createHarness(loadCase);
        const responses: Promise<Served>[] = [];
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
            responses.push(sendOne(harness, loadCase.path));
            await harness.clock.advance(stepMs);
        }
        await harness.clock.advance(3_000);
        const served = await Promise.all(responses);
        for (const id of loadCase.limited) {
            expect(callsTo(harness, id)).toBeLessThanOrEqual(maxCalls);
            expect(callsTo(harness, id)).toBeGreaterThan(0);
        }
        const notServed = served.filter(({ outcome }) => !outcome.startsWith("200"));
        expect(notServed.length === 0).toBe(loadCase.isServed);
    });

    it.each(cases.filter(({ name }) => name.endsWith("all engines limited")))(
        "$name: what no engine may take is refused at once, with different times to come back",
        async loadCase => {
            const harness = createHarness(loadCase);
            await harness.clock.advance(2_000);
            const served = await Promise.all(Array.from({ length: 20 }, () => sendOne(harness, loadCase.path)));
            const refused = served.filter(({ outcome }) => outcome === "503");
            expect(refused.length).toBeGreaterThan(10);
            expect(refused.map(({ tookMs }) => tookMs)).toEqual(refused.map(() => 0));
            const delaysMs = refused.map(({ result }) => result.kind === "refused" ? result.refusal.retryAfterMs : 0);
            expect(delaysMs.every(delayMs => delayMs !== undefined && delayMs > 0)).toBe(true);
            expect(Math.max(...delaysMs.map(Number)) - Math.min(...delaysMs.map(Number))).toBeGreaterThan(2_000);
        },
    );

    it.each(["idempotent", "nonIdempotent"] as const)(
        "%s: a call that was placed before its engine named a rate goes to another one, without a retry",
        async kind => {
            const noRetries = { ratio: 0, slack: 0, windowMs: 10_000 };
            const script: EngineScript = {
                send: async ({ id }) =>
                    id === "i-3"
                        ? responseOf(200)
                        : Result.err({ kind: "unreachable", cause: "not sent", isWithdrawn: true }),
            };
            const harness = createForwardingHarness(desiredStateOf([routeOf(kind)]), script, {}, noRetries);
            harness.load(plainEngines);
            expect(await describeOutcome(await forward(harness.context, requestTo(`/${kind}/x`)))).toBe("200 ok");
            expect(plainEngines.filter(({ id }) => harness.context.health.isEjected(id))).toEqual([]);
        },
    );

    it("counts control calls, and sends none beyond the rate", async () => {
        const [engine = engineRecord("i-1")] = modelEngines;
        let sent = 0;
        const count = async (): Promise<Result<never, never>> => {
            sent += 1;
            return errorOf("notExecuted") as Result<never, never>;
        };
        const harness = createHarness({ name: "", path: "", limited: [engine.id], isServed: true });
        const { context } = harness;
        const limited = limitControlCalls(
            {
                ...context.engines,
                reserve: count,
                report: count,
                orderStage: async () => (sent += 1, "rejected"),
                connectedAtMs: () => Number.NEGATIVE_INFINITY,
                releaseCache: () => void (sent += 1),
                releaseReservation: () => void (sent += 1),
            },
            context.engineRates,
            context.directory,
            silentDecisionLog,
        );
        const order = { stage: "decode", holder: "h", fencingToken: 1, expectedSequence: 0 } as const;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
            await limited.report(engine, stepMs);
            await limited.reserve(engine, 1, stepMs, stepMs);
            await limited.orderStage(engine, order, stepMs);
            limited.releaseCache({ address: engine.address, handle: "h", tokens: 1 });
            limited.releaseReservation(engine, { id: "h", tokens: 1 });
            await harness.clock.advance(stepMs);
        }
        expect(sent).toBeLessThanOrEqual(maxCalls);
        expect(sent).toBeGreaterThan(maxCalls / 2);
    });
});
