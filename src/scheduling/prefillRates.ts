/**
 * Rates at which prefill engines read prompts, measured while they are busy; engines of one service differ.
 *
 * The tokens in flight at an engine are its rate times the time that a prompt spends there (Little's law). All entries'
 * tokens are known from their reports, some tenths of a second late, which does not matter for a mean; the time is that of
 * this entry's prompts. An engine that is not busy reads less than it could, so it is not measured then.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import { startKey } from "../engines/engineNotices.js";
import type { EngineStart } from "../engines/engineNotices.js";
import { prefillTokensPerMs } from "./placement.js";

export interface PrefillRates {
    /** Prompt tokens that an engine reads in a millisecond; the usual rate before it has been measured. */
    readonly rateOf: (engine: EngineStart) => number;
    /** Counts a prompt that is sent to an engine now. The returned function is called with the time until its result. */
    readonly recordSend: (engine: EngineStart, tokens: number) => (tookMs: number) => void;
    /** Counts the prompt tokens in flight at the prefill engines at a fixed interval, until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

const intervalMs = 250;
/** An engine is busy with more tokens than it reads in this time, which is longer than a prompt takes at an idle engine. */
const busyMs = 300;
/** Prompts and counts that a measured rate needs. */
const minSamples = 8;
/** With so many, the earlier ones lose half of their weight, so that the rate follows the engine. */
const maxSamples = 64;
/** A rate is forgotten when its engine has not been busy for this long, so that a wrong one does not keep it idle. */
const forgetAfterMs = 30_000;
/** A measured rate differs from the usual one at most by this factor. */
const maxRateFactor = 2;

/** Sums over the time in which an engine was busy. */
interface BusySums {
    readonly counts: number;
    readonly tokensInFlight: number;
    readonly prompts: number;
    readonly promptTokens: number;
    /** Times of the prompts, each times its tokens. */
    readonly tokenMs: number;
}

const noSums: BusySums = { counts: 0, tokensInFlight: 0, prompts: 0, promptTokens: 0, tokenMs: 0 };

export function createPrefillRates(
    clock: Clock,
    directory: Pick<EngineDirectory, "known">,
    loads: Pick<EngineLoads, "reported">,
): PrefillRates {
    const sumsByStart = new Map<string, BusySums>();
    const busyStarts = new Set<string>();
    const lastBusyAtMs = new Map<string, number>();

    function add(key: string, change: BusySums): void {
        const sums = sumsByStart.get(key) ?? noSums;
        const kept = Math.max(sums.counts, sums.prompts) >= maxSamples ? 1 / 2 : 1;
        sumsByStart.set(key, {
            counts: sums.counts * kept + change.counts,
            tokensInFlight: sums.tokensInFlight * kept + change.tokensInFlight,
            prompts: sums.prompts * kept + change.prompts,
            promptTokens: sums.promptTokens * kept + change.promptTokens,
            tokenMs: sums.tokenMs * kept + change.tokenMs,
        });
    }

    function recordInFlight(engine: EngineStart, tokens: number): void {
        const key = startKey(engine);
        if (tokens < busyMs * prefillTokensPerMs) {
            busyStarts.delete(key);
            if (clock.monotonicMs() - (lastBusyAtMs.get(key) ?? 0) > forgetAfterMs) {
                forget(key);
            }
            return;
        }
        busyStarts.add(key);
        lastBusyAtMs.set(key, clock.monotonicMs());
        add(key, { ...noSums, counts: 1, tokensInFlight: tokens });
    }

    function keepOnly(engines: readonly EngineStart[]): void {
        const keys = new Set(engines.map(startKey));
        [...sumsByStart.keys()].filter(key => !keys.has(key)).forEach(forget);
    }

    function forget(key: string): void {
        sumsByStart.delete(key);
        busyStarts.delete(key);
        lastBusyAtMs.delete(key);
    }

    return {
        rateOf: engine => {
            const { counts, tokensInFlight, prompts, promptTokens, tokenMs } = sumsByStart.get(startKey(engine))
                ?? noSums;
            if (counts < minSamples || prompts < minSamples || tokenMs <= 0) {
                return prefillTokensPerMs;
            }
            const rate = (tokensInFlight / counts) * (promptTokens / tokenMs);
            return Math.min(prefillTokensPerMs * maxRateFactor, Math.max(prefillTokensPerMs / maxRateFactor, rate));
        },
        recordSend: (engine, tokens) => {
            const key = startKey(engine);
            const isBusy = busyStarts.has(key);
            return tookMs => {
                if (isBusy && sumsByStart.has(key)) {
                    add(key, { ...noSums, prompts: 1, promptTokens: tokens, tokenMs: tokens * tookMs });
                }
            };
        },
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(intervalMs, signal);
                const engines = directory.known().filter(({ stage }) => stage === "prefill");
                keepOnly(engines);
                engines.forEach(engine => recordInFlight(engine, loads.reported(engine.id).prefillTokens));
            }
        },
    };
}
