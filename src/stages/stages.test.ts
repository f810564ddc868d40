/**
 * Order leadership has one holder at a time despite lost writes, pauses and restarts; and the split of engines between
 * the stages.
 */

import fc from "fast-check";
import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    desiredStateOf,
    engineRecord,
    routeOf,
    silentDecisionLog,
} from "../../fakes/forwardingHarness.js";
import { createProcessGate, createVirtualClock } from "../../fakes/virtualClock.js";
import type { VirtualClock } from "../../fakes/virtualClock.js";
import type { Clock } from "../common/clock.js";
import { createEngineDirectory } from "../engines/engineDirectory.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import { createEngineLoads } from "../engines/engineLoads.js";
import type { EngineLoads, EngineWork } from "../engines/engineLoads.js";
import { createEngineNotices } from "../engines/engineNotices.js";
import type { EngineRecord, EngineReport, OrderOutcome, Stage } from "../engines/enginePort.js";
import { createEvacuations } from "../engines/evacuations.js";
import type { GenerationSize } from "../forwarding/forwardRequest.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { TableService } from "../platform/ports.js";
import type { DesiredState } from "../routes/desiredState.js";
import { createRouteTable } from "../routes/routeTable.js";
import { prefillTokensPerMs } from "../scheduling/placement.js";
import { createPrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import { createOrderLeadership } from "./orderLeadership.js";
import type { OrderLeadership } from "./orderLeadership.js";
import { createStageController } from "./stageController.js";
import type { StageController } from "./stageController.js";
import { bestImprovement, changeTowardsFraction, targetPrefillEngines } from "./stageSplit.js";
import type { StageImprovement } from "./stageSplit.js";
import { createStageWorkEstimates } from "./stageWork.js";
import type { StageWork } from "./stageWork.js";

function leadershipOf(holder: string, tables: TableService, clock: Clock, isFirstStart = true): OrderLeadership {
    return createOrderLeadership(tables, clock, silentDecisionLog, { holder, isFirstStart });
}

describe("order leadership", () => {
    it("has one holder at a time, and its fencing tokens only increase", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const leaderships = ["a", "b"].map(host => leadershipOf(host, tables, clock));
        const tokens: number[] = [];
        for (let round = 0; round < 20; round++) {
            const permits = await Promise.all(leaderships.map(leadership => leadership.claim()));
            expect(permits.filter(permit => permit !== undefined).length).toBeLessThanOrEqual(1);
            permits.forEach(permit => permit !== undefined && tokens.push(permit.fencingToken));
            await clock.advance(1_000);
        }
        expect(tokens.length).toBeGreaterThan(10);
        expect(tokens).toEqual([...tokens].sort((x, y) => x - y));
        expect(new Set(tokens).size).toBe(tokens.length);
    });

    it("moves to another host only after no order of the previous holder can be in transit", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const other = leadershipOf("b", tables, clock);
        await leadershipOf("a", tables, clock).claim();
        expect(await other.claim()).toBeUndefined();
        await clock.advance(13_900);
        expect(await other.claim()).toBeUndefined();
        await clock.advance(200);
        expect((await other.claim())?.fencingToken).toBe(2);
    });

    it("stays with the same host after a restart, without a delay", async () => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        await leadershipOf("a", tables, clock).claim();
        const restarted = leadershipOf("a", tables, clock);
        expect((await restarted.claim())?.fencingToken).toBe(2);
    });

    it("issues a permit that is stale after a pause between the write and the order", async () => {
        const clock = createVirtualClock();
        const gate = createProcessGate(clock);
        const { tables } = createMemoryPlatform();
        const permit = await leadershipOf("a", tables, gate.clock).claim();
        expect(permit?.isFresh()).toBe(true);
        await clock.advance(5_000);
        expect(permit?.isFresh()).toBe(false);
    });

    it.each(["unavailable", "unknown"] as const)("issues no permit when the outcome of the write is %s", async kind => {
        const memory = createMemoryPlatform();
        const tables: TableService = {
            ...memory.tables,
            commit: async transaction => {
                await memory.tables.commit(transaction);
                return Result.err({ kind, cause: "test" });
            },
        };
        const leadership = leadershipOf("a", tables, createVirtualClock());
        expect(await leadership.claim()).toBeUndefined();
    });
});

describe("order leadership after a restoration of the store from an older copy", () => {
    const takeOverMs = 14_001;

    it("issues higher tokens than before, and none until no earlier order can be in transit", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        const [a, b] = [leadershipOf("a", platform.tables, clock), leadershipOf("b", platform.tables, clock)];
        await a.claim();
        const restore = platform.snapshot();
        // Entry b takes over, and its writes are lost: the restored row names entry a and an old token.
        await b.claim();
        await clock.advance(takeOverMs);
        const lost = [await b.claim(), await b.claim()].map(permit => permit?.fencingToken ?? 0);
        restore();
        expect([await a.claim(), await b.claim(), await leadershipOf("a", platform.tables, clock, false).claim()])
            .toEqual(Array(3).fill(undefined));
        await clock.advance(takeOverMs);
        const permit = await a.claim();
        expect(permit?.fencingToken).toBeGreaterThan(Math.max(...lost));
        expect(await b.claim()).toBeUndefined();
    });

    it("waits as well if the row itself is lost", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        const restore = platform.snapshot();
        const leadership = leadershipOf("a", platform.tables, clock);
        const first = await leadership.claim();
        restore();
        expect(await leadership.claim()).toBeUndefined();
        await clock.advance(takeOverMs);
        expect((await leadership.claim())?.fencingToken).toBeGreaterThan(first?.fencingToken ?? 0);
    });

    it.each([5, 2 ** 20 + 7])("issues no token up to %d, which another entry has seen", async seen => {
        const clock = createVirtualClock();
        const { tables } = createMemoryPlatform();
        const leadership = leadershipOf("a", tables, clock);
        leadership.recordPeerToken(seen);
        expect(await leadership.claim()).toBeUndefined();
        await clock.advance(takeOverMs);
        expect((await leadership.claim())?.fencingToken).toBe(seen + 1);
        expect(leadership.highestToken()).toBe(seen + 1);
    });

    it("issues no permit if the store is restored between the read and the write", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        const first = leadershipOf("a", platform.tables, clock);
        await first.claim();
        const restore = platform.snapshot();
        const tables: TableService = {
            ...platform.tables,
            commit: async transaction => {
                restore();
                return platform.tables.commit(transaction);
            },
        };
        expect(await leadershipOf("a", tables, clock).claim()).toBeUndefined();
    });

    it("never issues a lower token after a higher one, nor one token twice, under any order of events", async () => {
        const event = fc.constantFrom("claim a", "claim b", "claim c", "save", "restore", "wait", "restart a");
        await fc.assert(
            fc.asyncProperty(fc.array(event, { maxLength: 40 }), async events => {
                const clock = createVirtualClock();
                const platform = createMemoryPlatform();
                let restore = platform.snapshot();
                const leaderships = new Map(
                    ["a", "b", "c"].map(host => [host, leadershipOf(host, platform.tables, clock)]),
                );
                const permits: { readonly host: string; readonly token: number; readonly atMs: number; }[] = [];
                for (const name of events) {
                    const [action = "", host = ""] = name.split(" ");
                    if (action === "claim") {
                        const token = (await leaderships.get(host)?.claim())?.fencingToken;
                        if (token !== undefined) {
                            permits.push({ host, token, atMs: clock.monotonicMs() });
                        }
                    }
                    else if (action === "save") {
                        restore = platform.snapshot();
                    }
                    else if (action === "restore") {
                        restore();
                    }
                    else if (action === "restart") {
                        leaderships.set(host, leadershipOf(host, platform.tables, clock, false));
                    }
                    else {
                        await clock.advance(takeOverMs);
                    }
                }
                for (const [index, permit] of permits.entries()) {
                    const previous = permits[index - 1];
                    expect(previous === undefined || permit.token > previous.token).toBe(true);
                    expect(
                        previous === undefined || previous.host === permit.host
                            || permit.atMs - previous.atMs >= takeOverMs - 1,
                    ).toBe(true);
                }
            }),
            { seed: 20_261_204, numRuns: 300 },
        );
    });
});

interface BalanceCase {
    readonly name: string;
    readonly prefill: readonly string[];
    readonly decode: readonly string[];
    readonly change: string | undefined;
}

const balanceCases: readonly BalanceCase[] = [
    { name: "on target", prefill: ["p1", "p2"], decode: ["d1", "d2", "d3", "d4", "d5", "d6"], change: undefined },
    {
        name: "too many in prefill",
        prefill: ["p1", "p2", "p3"],
        decode: ["d1", "d2", "d3", "d4", "d5"],
        change: "p1 decode",
    },
    { name: "none in prefill", prefill: [], decode: ["d1", "d2", "d3", "d4"], change: "d1 prefill" },
    { name: "all in prefill", prefill: ["p1", "p2", "p3", "p4"], decode: [], change: "p1 decode" },
    { name: "a single engine is not changed", prefill: [], decode: ["d1"], change: undefined },
];

describe("split of engines between the stages", () => {
    it.each(balanceCases)("$name: $change", ({ prefill, decode, change }) => {
        const engines: readonly EngineRecord[] = [
            ...prefill.map(id => engineRecord(id, "prefill")),
            ...decode.map(id => engineRecord(id, "decode")),
        ];
        const next = changeTowardsFraction(engines, 0.25, () => 0);
        expect(next && `${next.engine.id} ${next.stage}`).toBe(change);
    });

    it("changes the least busy engine", () => {
        const engines = ["p1", "p2", "p3", "d1"].map(id => engineRecord(id, id.startsWith("p") ? "prefill" : "decode"));
        expect(changeTowardsFraction(engines, 0.25, id => id === "p2" ? 0 : 5)?.engine.id).toBe("p2");
    });

    it("keeps at least one engine in each stage if there are two or more", () => {
        for (let engines = 2; engines < 100; engines++) {
            const target = targetPrefillEngines(engines, 0.25);
            expect(target).toBeGreaterThan(0);
            expect(target).toBeLessThan(engines);
        }
    });
});

/** Ids of a number of engines of a stage. */
function enginesOf(stage: Stage, count: number): readonly EngineRecord[] {
    return Array.from({ length: count }, (unused, index) => engineRecord(`${stage}-${index + 1}`, stage));
}

interface ImprovementCase {
    readonly name: string;
    readonly prefill: number;
    readonly decode: number;
    readonly work: StageWork;
    readonly allowsLocalPrefill?: boolean;
    /** Speeds of prefill engines by id; 1 by default. */
    readonly speeds?: Readonly<Record<string, number>>;
    /** What is served while requests wait for the prefill engines; they do not by default. */
    readonly servedPerMs?: number;
    readonly improvement: Pick<StageImprovement, "stage" | "shortfall" | "lossMeanwhile"> | undefined;
}

const improvementCases: readonly ImprovementCase[] = [
    {
        name: "after the loss of a decode engine of six, two prefill engines are kept, since one would always be busy",
        prefill: 2,
        decode: 3,
        work: { prefillMs: 100, decodeMs: 300 },
        improvement: undefined,
    },
    {
        name: "a fast prefill engine of five is not left alone either",
        prefill: 2,
        decode: 3,
        work: { prefillMs: 100, decodeMs: 300 },
        speeds: { "prefill-2": 1.2 },
        improvement: undefined,
    },
    {
        name: "long prompts need a second prefill engine of five",
        prefill: 1,
        decode: 4,
        work: { prefillMs: 200, decodeMs: 300 },
        improvement: { stage: "prefill", shortfall: 0.534, lossMeanwhile: 0 },
    },
    {
        name: "short prompts need no second prefill engine of six",
        prefill: 2,
        decode: 4,
        work: { prefillMs: 50, decodeMs: 400 },
        improvement: { stage: "decode", shortfall: 0.2, lossMeanwhile: 0 },
    },
    {
        name: "the engine that changes serves neither stage meanwhile",
        prefill: 2,
        decode: 2,
        work: { prefillMs: 300, decodeMs: 100 },
        improvement: { stage: "prefill", shortfall: 0.353, lossMeanwhile: 0 },
    },
    {
        name: "decode engines that read prompts themselves need no more prefill engines",
        prefill: 2,
        decode: 6,
        work: { prefillMs: 100, decodeMs: 245 },
        allowsLocalPrefill: true,
        improvement: undefined,
    },
    {
        name: "a slow prefill engine of five needs a second one",
        prefill: 1,
        decode: 4,
        work: { prefillMs: 100, decodeMs: 300 },
        speeds: { "prefill-1": 0.75 },
        improvement: { stage: "prefill", shortfall: 0.4, lossMeanwhile: 0 },
    },
    {
        name: "a prefill engine of five that reads slower than believed needs a second one",
        prefill: 1,
        decode: 4,
        work: { prefillMs: 100, decodeMs: 300 },
        servedPerMs: 0.0075,
        improvement: { stage: "prefill", shortfall: 0.25, lossMeanwhile: 0 },
    },
    {
        name: "the last engine of a stage does not change",
        prefill: 1,
        decode: 1,
        work: { prefillMs: 10, decodeMs: 1_000 },
        improvement: undefined,
    },
];

describe("what a split of the engines serves", () => {
    it.each(improvementCases)(
        "$name",
        ({ prefill, decode, work, allowsLocalPrefill = false, speeds = {}, servedPerMs, improvement }) => {
            const engines = [...enginesOf("prefill", prefill), ...enginesOf("decode", decode)];
            const prefillSpeedOf = ({ id }: EngineRecord): number => speeds[id] ?? 1;
            const best = bestImprovement(
                engines,
                { work, allowsLocalPrefill, prefillSpeedOf, servedPerMs: () => servedPerMs },
                () => 0,
            );
            expect(best && [best.stage, best.shortfall.toFixed(3), best.lossMeanwhile.toFixed(3)]).toEqual(
                improvement
                    && [improvement.stage, improvement.shortfall.toFixed(3), improvement.lossMeanwhile.toFixed(3)],
            );
        },
    );

    it("is estimated from what is to be generated, not from the short streams that end first", () => {
        const estimates = createStageWorkEstimates();
        const engineSpec = {
            slots: 100,
            kvTokens: 10_000,
            reconfigureMs: 6_000,
            maxReservationMs: 0,
            tokensPerEvent: 1,
        };
        const sizeOf = (outputTokens: number): GenerationSize => ({
            promptTokens: 500,
            maxOutputTokens: outputTokens,
            outputHintTokens: outputTokens,
        });
        for (let index = 0; index < 8; index++) {
            estimates.recordStart("models", sizeOf(100), engineSpec);
            estimates.recordStart("models", sizeOf(1_500), engineSpec);
            expect(estimates.of("models")).toBeUndefined();
            estimates.recordEnd("models", sizeOf(100), 200);
        }
        const { prefillMs = 0, decodeMs = 0 } = estimates.of("models") ?? {};
        // At 50 tokens a millisecond; at 2 ms a token, 6% of an engine for 200 ms and 20% for 3 s.
        expect([prefillMs, decodeMs].map(Math.round)).toEqual([10, (0.06 * 200 + 0.2 * 3_000) / 2]);
    });
});

interface ControllerCase {
    readonly name: string;
    /** Engines in each stage, and those that leave after 5 s. */
    readonly prefill: number;
    readonly decode: number;
    readonly leaving?: readonly string[];
    /** Engines whose data centre is evacuated from the start. */
    readonly evacuated?: readonly string[];
    /** Stage that requests wait for. */
    readonly shortStage?: Stage;
    readonly work?: StageWork;
    /** Decode engines that the running streams would fill; all by default. */
    readonly busyDecodeEngines?: number;
    /** Orders sent within 7 s and within 15 s. */
    readonly early: readonly string[];
    readonly late: readonly string[];
}

const usualWork: StageWork = { prefillMs: 100, decodeMs: 300 };

const controllerCases: readonly ControllerCase[] = [
    {
        name: "leaves the split as it is when a decode engine of six is lost in a burst",
        prefill: 2,
        decode: 4,
        leaving: ["decode-1"],
        shortStage: "decode",
        work: usualWork,
        early: [],
        late: [],
    },
    {
        name: "adds a second prefill engine of five if the only one reads slower than believed",
        prefill: 1,
        decode: 4,
        shortStage: "prefill",
        work: { prefillMs: 100, decodeMs: 300 },
        busyDecodeEngines: 2.25,
        early: ["decode-1 prefill"],
        late: ["decode-1 prefill"],
    },
    {
        name: "adds none if the decode engines are full",
        prefill: 1,
        decode: 4,
        shortStage: "prefill",
        work: { prefillMs: 100, decodeMs: 300 },
        busyDecodeEngines: 4,
        early: [],
        late: [],
    },
    {
        name: "changes nothing under load while no request waits",
        prefill: 1,
        decode: 5,
        work: usualWork,
        early: [],
        late: [],
    },
    {
        name: "changes nothing while requests wait for the stage that would lose an engine",
        prefill: 1,
        decode: 5,
        shortStage: "decode",
        work: usualWork,
        early: [],
        late: [],
    },
    {
        name: "changes nothing under load before the work of generations is known",
        prefill: 1,
        decode: 7,
        shortStage: "prefill",
        early: [],
        late: [],
    },
    {
        name: "fills a stage without any engine at once",
        prefill: 1,
        decode: 5,
        leaving: ["prefill-1"],
        shortStage: "prefill",
        work: usualWork,
        early: ["decode-1 prefill"],
        late: ["decode-1 prefill"],
    },
    {
        name: "neither counts nor orders the engines of an evacuated data centre",
        prefill: 1,
        decode: 5,
        evacuated: ["decode-1", "decode-2", "decode-3"],
        shortStage: "prefill",
        work: usualWork,
        early: [],
        late: [],
    },
];

interface VersionSplitCase {
    readonly name: string;
    /** Engines as `version stage`. */
    readonly engines: readonly string[];
    /** The next change as `version stage`; `undefined` for none. */
    readonly change: string | undefined;
}

const versionSplitCases: readonly VersionSplitCase[] = [
    {
        name: "a version without a prefill engine gets one, although there are enough of another version",
        engines: ["v1 prefill", "v1 decode", "v1 decode", "v2 decode", "v2 decode", "v2 decode"],
        change: "v2 prefill",
    },
    {
        name: "a version without a decode engine gets one first",
        engines: ["v1 decode", "v1 decode", "v1 decode", "v2 prefill", "v2 prefill"],
        change: "v2 decode",
    },
    {
        name: "the last engine of a version generates, since it serves no other version",
        engines: ["v1 prefill", "v2 prefill", "v2 decode", "v2 decode", "v2 decode"],
        change: "v1 decode",
    },
    {
        name: "both versions have both stages",
        engines: ["v1 prefill", "v1 decode", "v2 prefill", "v2 decode"],
        change: undefined,
    },
];

describe("split of the engines of several software versions", () => {
    it.each(versionSplitCases)("$name", ({ engines, change }) => {
        const records = engines.map((text, index) => {
            const [softwareVersion = "", stage] = text.split(" ");
            return engineRecord(`i-${index}`, stage === "prefill" ? "prefill" : "decode", { softwareVersion });
        });
        const next = changeTowardsFraction(records, 0.25, () => 0);
        expect(next === undefined ? undefined : `${next.engine.softwareVersion} ${next.stage}`).toBe(change);
    });
});

interface ControllerFixture {
    readonly clock: VirtualClock;
    readonly controller: StageController;
    readonly directory: EngineDirectory;
    readonly loads: EngineLoads;
    /** Orders sent so far as `id stage`. */
    readonly sent: readonly string[];
    readonly stop: () => void;
}

interface ControllerOptions {
    readonly evacuatedDataCentres?: readonly string[];
    readonly orderOutcome?: OrderOutcome;
    /** Whether the engines say that they are changing their stage, by the time since the start. */
    readonly isReconfiguringAt?: (nowMs: number) => boolean;
    /** Stage that requests wait for; none by default. */
    readonly shortStage?: Stage;
    /** Unknown by default. */
    readonly work?: StageWork;
}

const idleReport: EngineReport = {
    stage: "decode",
    bornMs: 1,
    isReconfiguring: false,
    orderSequence: 0,
    running: 0,
    queued: 0,
    kvUsedTokens: 0,
    kvTotalTokens: 1,
};

/** A desired state with a route for which decode engines must not read prompts beside their streams. */
function strictState(): DesiredState {
    const state = desiredStateOf([routeOf("stream")]);
    const services = state.services.map(service =>
        service.engine === undefined ? service : { ...service, engine: { ...service.engine, tokensPerEvent: 1_000 } }
    );
    return { ...state, services };
}

/** Runs a controller that holds the order leadership. */
function startController(options: ControllerOptions = {}): ControllerFixture {
    const { evacuatedDataCentres = [], orderOutcome = "accepted", isReconfiguringAt = () => false } = options;
    const { shortStage, work } = options;
    const clock = createVirtualClock();
    const evacuations = createEvacuations(clock, silentDecisionLog);
    evacuations.apply(evacuatedDataCentres, "current");
    const state = strictState();
    const notices = createEngineNotices(clock, silentDecisionLog);
    const directory = createEngineDirectory(clock, silentDecisionLog, notices, evacuations);
    const loads = createEngineLoads(clock, 50);
    const sent: string[] = [];
    const controller = createStageController({
        clock,
        directory,
        loads,
        engines: {
            ...createForwardingHarness(state).context.engines,
            report: async () => Result.ok({ ...idleReport, isReconfiguring: isReconfiguringAt(clock.monotonicMs()) }),
            orderStage: async (engine, { stage }) => {
                sent.push(`${engine.id} ${stage}`);
                return orderOutcome;
            },
        },
        leadership: {
            claim: async () => ({ holder: "a", fencingToken: 1, isFresh: () => true }),
            highestToken: () => 1,
            recordPeerToken: () => undefined,
        },
        log: silentDecisionLog,
        metrics: createPrometheusMetrics(),
        routes: () => createRouteTable(state),
        shortStage: () => shortStage,
        stageWork: { of: () => work },
        prefillRates: { rateOf: () => prefillTokensPerMs },
    }, { initialPrefillFraction: 0.25 });
    const stopping = new AbortController();
    void controller.run(stopping.signal);
    return { clock, controller, directory, loads, sent, stop: () => stopping.abort() };
}

/** KV memory of an engine in the harness's desired state. */
const engineKvTokens = 10_000;
const requestWork: EngineWork = { requests: 1, kvTokens: 1, prefillTokens: 0 };

// Guards against a split that follows the number of engines, whatever the work is and whatever a change costs.
describe("the stage controller", () => {
    it.each(controllerCases)("$name", async testCase => {
        const { prefill, decode, leaving = [], evacuated = [], shortStage, work, early, late } = testCase;
        const { busyDecodeEngines = decode } = testCase;
        const { clock, directory, loads, sent, stop } = startController({
            evacuatedDataCentres: ["evacuated"],
            // An ordered engine takes longer to change than the test lasts.
            isReconfiguringAt: () => sent.length > 0,
            ...shortStage === undefined ? {} : { shortStage },
            ...work === undefined ? {} : { work },
        });
        const engines = [...enginesOf("prefill", prefill), ...enginesOf("decode", decode)].map(engine =>
            evacuated.includes(engine.id) ? { ...engine, dataCentre: "evacuated" } : engine
        );
        directory.load(engines, "current");
        // The first engine of each stage is the least busy one.
        engines.flatMap(engine => engine.id.endsWith("-1") ? [engine] : [engine, engine])
            .forEach(({ id }) => loads.start(id, requestWork));
        const streamTokens = { requests: 0, kvTokens: busyDecodeEngines * engineKvTokens, prefillTokens: 0 };
        loads.start("decode-2", streamTokens);
        await clock.advance(5_000);
        directory.load(engines.filter(({ id }) => !leaving.includes(id)), "current");
        await clock.advance(2_000);
        expect(sent).toEqual(early);
        await clock.advance(8_000);
        expect(sent).toEqual(late);
        stop();
    });

    it("changes an engine only once the split has cost as much as the change", async () => {
        const { clock, directory, loads, sent, stop } = startController({
            isReconfiguringAt: () => sent.length > 0,
            shortStage: "prefill",
            work: usualWork,
        });
        const engines = [...enginesOf("prefill", 1), ...enginesOf("decode", 5)];
        directory.load(engines, "current");
        // Two prefill engines and four for decode would serve a quarter more than is served: a fifth of that is lost.
        const streams = { requests: 1, kvTokens: 3.2 * engineKvTokens / engines.length, prefillTokens: 0 };
        engines.forEach(({ id }) => loads.start(id, id.startsWith("prefill") ? requestWork : streams));
        loads.start("decode-2", streams);
        // Half of a sixth of the change time of 6 s is lost by the change.
        await clock.advance(2_250);
        expect(sent).toEqual([]);
        await clock.advance(500);
        expect(sent).toHaveLength(1);
        stop();
    });

    it("splits by a fixed fraction before the first request", async () => {
        const { clock, directory, sent, stop } = startController();
        directory.load([...enginesOf("prefill", 3), ...enginesOf("decode", 3)], "current");
        await clock.advance(5_000);
        expect(sent).toEqual(["prefill-1 decode"]);
        stop();
    });
});

interface ChangeCase {
    readonly name: string;
    readonly orderOutcome: OrderOutcome;
    /** When the engine begins its change and when its new stage is listed, after the order; never by default. */
    readonly changesAtMs?: number;
    readonly listedAtMs?: number;
    /** Whether the engine is in use at times after the order. */
    readonly isInUse: readonly (readonly [afterMs: number, isInUse: boolean])[];
}

const changeCases: readonly ChangeCase[] = [
    {
        name: "an engine that first ends its streams is not used until its new stage is listed",
        orderOutcome: "accepted",
        changesAtMs: 0,
        listedAtMs: 14_000,
        isInUse: [[1_000, false], [9_000, false], [13_500, false], [14_500, true]],
    },
    {
        name: "an engine that changes fast is used as soon as its new stage is listed",
        orderOutcome: "accepted",
        changesAtMs: 0,
        listedAtMs: 3_000,
        isInUse: [[2_500, false], [3_500, true]],
    },
    {
        name: "an engine that accepted an order and does not change is used again",
        orderOutcome: "accepted",
        isInUse: [[1_000, false], [9_000, true]],
    },
    {
        name: "an engine that does not answer an order goes on until it changes",
        orderOutcome: "unknown",
        changesAtMs: 6_000,
        listedAtMs: 13_000,
        isInUse: [[500, true], [5_000, true], [8_000, false], [12_500, false], [13_500, true]],
    },
    {
        name: "an engine that does not answer an order and never carries it out stays in use",
        orderOutcome: "unknown",
        isInUse: [[500, true], [8_000, true], [14_000, true]],
    },
    { name: "an engine that rejects an order stays in use", orderOutcome: "rejected", isInUse: [[500, true]] },
];

// Guards against requests sent to an engine that is changing its stage, and engines left unused that are not.
describe("an engine under order", () => {
    it.each(changeCases)("$name", async ({ orderOutcome, changesAtMs, listedAtMs, isInUse }) => {
        let sentAtMs = Number.POSITIVE_INFINITY;
        const { clock, controller, directory, loads, sent, stop } = startController({
            orderOutcome,
            shortStage: "prefill",
            work: usualWork,
            isReconfiguringAt: nowMs =>
                changesAtMs !== undefined && nowMs >= sentAtMs + changesAtMs
                && nowMs < sentAtMs + (listedAtMs ?? Number.POSITIVE_INFINITY),
        });
        const others = ["d-2", "d-3", "d-4", "d-5"].map(id => engineRecord(id, "decode"));
        directory.load([engineRecord("p-1", "prefill"), engineRecord("d-1", "decode"), ...others], "current");
        others.forEach(({ id }) => loads.start(id, requestWork));
        for (let waitedMs = 0; waitedMs < 10_000 && sent.length === 0; waitedMs += 50) {
            await clock.advance(50);
        }
        expect(sent).toEqual(["d-1 prefill"]);
        sentAtMs = clock.monotonicMs();
        // Another entry, which orders nothing itself.
        const peer = startController();
        peer.stop();
        for (const [afterMs, expected] of isInUse) {
            while (clock.monotonicMs() < sentAtMs + afterMs) {
                const isListed = clock.monotonicMs() >= sentAtMs + (listedAtMs ?? Number.POSITIVE_INFINITY);
                const changed = engineRecord("d-1", isListed ? "prefill" : "decode", { recordSequence: 2 });
                directory.load([engineRecord("p-1", "prefill"), changed, ...others], "current");
                peer.directory.load([changed], "current");
                peer.controller.recordPeerReconfiguring(controller.reconfiguring());
                await clock.advance(100);
                await peer.clock.advance(100);
            }
            expect([afterMs, !controller.isReconfiguring("d-1"), !peer.controller.isReconfiguring("d-1")])
                .toEqual([afterMs, expected, expected]);
        }
        stop();
    });

    // Guards against a pause after an order whose engine has ended, as if the order had been refused.
    it.each([
        ["its record is removed", undefined],
        ["it has started again", 2],
    ])("is replaced by another one if it ends: %s", async (name, bornMs) => {
        const { clock, directory, loads, sent, stop } = startController({
            shortStage: "prefill",
            work: { prefillMs: 200, decodeMs: 300 },
        });
        const others = [
            engineRecord("p-1", "prefill"),
            ...["d-2", "d-3", "d-4", "d-5"].map(id => engineRecord(id, "decode")),
        ];
        others.forEach(({ id }) => loads.start(id, requestWork));
        directory.load([engineRecord("d-1", "decode"), ...others], "current");
        await clock.advance(8_000);
        expect(sent).toEqual(["d-1 prefill"]);
        const again = bornMs === undefined ? [] : [engineRecord("d-1", "decode", { bornMs, slots: 9 })];
        again.forEach(({ id }) => [1, 2].forEach(() => loads.start(id, requestWork)));
        directory.load([...again, ...others], "current");
        await clock.advance(5_000);
        expect(sent).toEqual(["d-1 prefill", "d-2 prefill"]);
        stop();
    });
});
