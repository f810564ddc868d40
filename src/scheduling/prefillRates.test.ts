/**
 * Measured rates of prefill engines, with simulated engines that read the prompts of several entries one after another.
 */

import { describe, expect, it } from "vitest";
import { engineRecord } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import { createEngineLoads } from "../engines/engineLoads.js";
import { prefillTokensPerMs, prefillWaitMs } from "./placement.js";
import { createPrefillRates } from "./prefillRates.js";

const engine = engineRecord("p-1", "prefill");
const promptTokens = 5_000;
const overheadMs = 100;
const peerReportMs = 400;
const stepMs = 10;

interface RateCase {
    readonly name: string;
    /** Rate of the engine, and the mean time between two prompts of each of two entries. */
    readonly tokensPerMs: number;
    readonly promptEveryMs: number;
    /** Lowest and highest rate that may be measured. */
    readonly expected: readonly [number, number];
}

const rateCases: readonly RateCase[] = [
    { name: "a slow engine that is busy", tokensPerMs: 38, promptEveryMs: 260, expected: [34, 42] },
    { name: "a usual engine that is busy", tokensPerMs: 55, promptEveryMs: 180, expected: [50, 60] },
    { name: "a much slower engine, at most by half", tokensPerMs: 15, promptEveryMs: 600, expected: [25, 25] },
    { name: "an engine that is not busy", tokensPerMs: 38, promptEveryMs: 1_000, expected: [50, 50] },
];

// Guards against plans with one speed for all engines, which send too much to the slow ones and leave too few of them.
describe("the rate of a prefill engine", () => {
    it.each(rateCases)("$name", async ({ tokensPerMs, promptEveryMs, expected }) => {
        const clock = createVirtualClock();
        const loads = createEngineLoads(clock, prefillTokensPerMs);
        const rates = createPrefillRates(clock, { known: () => [engine] }, loads);
        const stopping = new AbortController();
        void rates.run(stopping.signal);
        let freeAtMs = 0;
        let peerPrompts = 0;
        const readOne = async (): Promise<number> => {
            const sentAtMs = clock.monotonicMs();
            freeAtMs = Math.max(freeAtMs, sentAtMs) + promptTokens / tokensPerMs;
            await clock.sleep(freeAtMs - sentAtMs + overheadMs);
            return clock.monotonicMs() - sentAtMs;
        };
        const readOwn = async (): Promise<void> => {
            const endLoad = loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: promptTokens });
            const recordRead = rates.recordSend(engine, promptTokens);
            recordRead(await readOne());
            endLoad();
        };
        const readOfPeer = async (): Promise<void> => {
            peerPrompts += 1;
            await readOne();
            peerPrompts -= 1;
        };
        // Prompts that wait longer than 600 ms are sent later.
        const isFull = (): boolean => freeAtMs - clock.monotonicMs() > 600;
        const random = createRandom(20_261_207);
        const isSent = (): boolean => random() < stepMs / promptEveryMs && !isFull();
        for (let nowMs = 0; nowMs < 20_000; nowMs += stepMs) {
            if (nowMs % peerReportMs === 0) {
                const prefillTokens = peerPrompts * promptTokens;
                loads.setPeer("peer", { [engine.id]: { requests: peerPrompts, kvTokens: 0, prefillTokens } });
            }
            if (isSent()) {
                void readOwn();
            }
            if (isSent()) {
                void readOfPeer();
            }
            await clock.advance(stepMs);
        }
        const [lowest, highest] = expected;
        expect(rates.rateOf(engine)).toBeGreaterThanOrEqual(lowest);
        expect(rates.rateOf(engine)).toBeLessThanOrEqual(highest);
        const view = {
            dataCentre: "a",
            workAt: () => ({ requests: 1, kvTokens: 0, prefillTokens: promptTokens }),
            prefillRateOf: rates.rateOf,
            isCold: () => false,
            enginesFor: () => [engine],
            entries: () => 2,
            random: () => 0,
        };
        expect(prefillWaitMs(view, engine)).toBe(promptTokens / rates.rateOf(engine));
        stopping.abort();
    });
});
