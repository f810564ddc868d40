/**
 * Load patterns for experiments: arrival time, client account and size of each request. A seed determines the whole
 * sequence.
 */

import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { Arrival, FleetSpec } from "./simulatedFleet.js";

export interface LoadPattern {
    readonly fleet: FleetSpec;
    readonly arrivals: (seed: number) => readonly Arrival[];
}

/** A period with a constant mean arrival rate. */
interface LoadPhase {
    readonly durationMs: number;
    readonly requestsPerSecond: number;
    /** Fraction of the requests that come from the first client account instead of a random one. */
    readonly hotAccountFraction?: number;
}

/** The smaller of the two deployments described in docs/POLICY.md. */
const sixEngines: FleetSpec = {
    entries: 4,
    prefillEngines: 2,
    decodeEngines: 4,
    engine: {
        slots: 48,
        kvTokens: 66_786,
        decodeStepMs: 3.3,
        decodeStepMsPerRequest: 0.23,
        prefillTokensPerMs: 41,
        prefillChunkTokens: 2_048,
        tokensPerEvent: 11,
        prefillOverheadMs: 85,
        cacheLifetimeMs: 500,
    },
    objectiveMs: 900,
    maxGapMs: 300,
};

const accounts = Array.from({ length: 8 }, (unused, index) => `account-${index + 1}`);
const msPerSecond = 1_000;
const meanPromptTokens = 5_000;
const meanOutputTokens = 640;
/** Standard deviations of the logarithms of prompt and output sizes. */
const promptSigma = 0.45;
const outputSigma = 0.6;
/** Standard deviation of the logarithm of the error factor of callers' output estimates. */
const hintSigma = 0.4;
const maxTokens = 16_000;

/** Draws from the standard normal distribution by the Box-Muller transform. */
function standardNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** Draws a log-normally distributed number of tokens with the given mean, clamped to 16 up to `maxTokens`. */
function drawTokens(random: Random, mean: number, sigma: number): number {
    const sample = mean * Math.exp(sigma * standardNormal(random) - sigma * sigma / 2);
    return Math.max(16, Math.min(maxTokens, Math.round(sample)));
}

interface ArrivalOptions {
    readonly promptTokens?: number;
    /** Each client account has one of them, in turn. */
    readonly priorities?: readonly number[];
}

/** Arrivals of a Poisson process whose rate changes with each phase. */
function arrivalsOf(
    phases: readonly LoadPhase[],
    { promptTokens = meanPromptTokens, priorities = [5] }: ArrivalOptions = {},
): LoadPattern["arrivals"] {
    return seed => {
        const random = createRandom(seed);
        const arrivals: Arrival[] = [];
        let startMs = 0;
        for (const { durationMs, requestsPerSecond, hotAccountFraction = 0 } of phases) {
            let atMs = startMs;
            startMs += durationMs;
            while (atMs < startMs) {
                atMs += -Math.log(1 - random()) * msPerSecond / requestsPerSecond;
                const outputTokens = drawTokens(random, meanOutputTokens, outputSigma);
                const isHotAccount = random() < hotAccountFraction;
                const account = isHotAccount ? 0 : Math.floor(random() * accounts.length);
                arrivals.push({
                    atMs,
                    clientAccount: accounts[account] ?? "account-1",
                    priority: priorities[account % priorities.length] ?? 5,
                    size: { promptTokens: drawTokens(random, promptTokens, promptSigma), outputTokens },
                    hintTokens: Math.max(16, Math.round(outputTokens * Math.exp(hintSigma * standardNormal(random)))),
                });
            }
        }
        return arrivals.sort((a, b) => a.atMs - b.atMs);
    };
}

export const patterns: Readonly<Record<string, LoadPattern>> = {
    steady: { fleet: sixEngines, arrivals: arrivalsOf([{ durationMs: 15_000, requestsPerSecond: 9 }]) },
    burst: {
        fleet: sixEngines,
        arrivals: arrivalsOf([
            { durationMs: 5_000, requestsPerSecond: 7 },
            { durationMs: 5_000, requestsPerSecond: 20 },
            {
                durationMs: 5_000,
                requestsPerSecond: 7,
            },
        ]),
    },
    overload: { fleet: sixEngines, arrivals: arrivalsOf([{ durationMs: 15_000, requestsPerSecond: 18 }]) },
    hotAccount: {
        fleet: sixEngines,
        arrivals: arrivalsOf([{ durationMs: 4_000, requestsPerSecond: 7 }, {
            durationMs: 8_000,
            requestsPerSecond: 18,
            hotAccountFraction: 0.6,
        }, {
            durationMs: 3_000,
            requestsPerSecond: 7,
        }]),
    },
    largePrompts: {
        fleet: sixEngines,
        arrivals: arrivalsOf([{ durationMs: 15_000, requestsPerSecond: 6 }], { promptTokens: 9_000 }),
    },
    /** Mixed priorities in a burst. */
    mixedPriorities: {
        fleet: sixEngines,
        arrivals: arrivalsOf([
            { durationMs: 5_000, requestsPerSecond: 7 },
            { durationMs: 10_000, requestsPerSecond: 18 },
            { durationMs: 5_000, requestsPerSecond: 7 },
        ], { priorities: [0, 1, 2, 2] }),
    },
    /** Twice as many requests as can be served, most of them urgent. */
    mostlyUrgent: {
        fleet: sixEngines,
        arrivals: arrivalsOf([{ durationMs: 20_000, requestsPerSecond: 24 }], { priorities: [0, 0, 0, 2] }),
    },
};

export const patternNames = Object.keys(patterns);
