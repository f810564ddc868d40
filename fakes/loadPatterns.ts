/**
 * Patterns of load for experiments: when requests come, from whom, and how large they are. The seed decides everything.
 */

import { createRandom } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { Arrival, FleetShape } from "./modelFleet.js";

export interface LoadPattern {
    readonly shape: FleetShape;
    readonly arrivals: (seed: number) => readonly Arrival[];
}

/** One stretch of time with its own rate. */
interface Stretch {
    readonly forMs: number;
    readonly perSecond: number;
    /** Part of the requests that come from one client account. */
    readonly hotPart?: number;
}

/** Six engines as on the smaller of the two deployments in docs/POLICY.md. */
const sixEngines: FleetShape = {
    entries: 4,
    prefillEngines: 2,
    decodeEngines: 4,
    engine: {
        slots: 48,
        kvTokens: 66_786,
        stepMs: 3.3,
        stepMsPerRequest: 0.23,
        readTokensPerMs: 41,
        pieceTokens: 2_048,
        tokensPerEvent: 11,
        prefillSetUpMs: 85,
        cacheLifeMs: 500,
    },
    objectiveMs: 900,
    maxGapMs: 300,
};

const accounts = Array.from({ length: 8 }, (unused, index) => `account-${index + 1}`);
const msPerSecond = 1_000;
const meanPromptTokens = 5_000;
const meanOutputTokens = 640;
/** Spread of sizes: the standard deviation of their logarithm. */
const promptSpread = 0.45;
const outputSpread = 0.6;
/** The callers' estimates are off by a factor of this spread. */
const hintSpread = 0.4;
const largestTokens = 16_000;

function normal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** A size around `mean` whose logarithm is normally distributed. */
function size(random: Random, mean: number, spread: number): number {
    const drawn = mean * Math.exp(spread * normal(random) - spread * spread / 2);
    return Math.max(16, Math.min(largestTokens, Math.round(drawn)));
}

function arrivalsOf(stretches: readonly Stretch[], promptTokens = meanPromptTokens): LoadPattern["arrivals"] {
    return seed => {
        const random = createRandom(seed);
        const arrivals: Arrival[] = [];
        let startMs = 0;
        for (const { forMs, perSecond, hotPart = 0 } of stretches) {
            let atMs = startMs;
            startMs += forMs;
            while (atMs < startMs) {
                atMs += -Math.log(1 - random()) * msPerSecond / perSecond;
                const outputTokens = size(random, meanOutputTokens, outputSpread);
                const isHot = random() < hotPart;
                arrivals.push({
                    atMs,
                    clientAccount: accounts[isHot ? 0 : Math.floor(random() * accounts.length)] ?? "account-1",
                    size: { promptTokens: size(random, promptTokens, promptSpread), outputTokens },
                    hintTokens: Math.max(16, Math.round(outputTokens * Math.exp(hintSpread * normal(random)))),
                });
            }
        }
        return arrivals.sort((a, b) => a.atMs - b.atMs);
    };
}

export const patterns: Readonly<Record<string, LoadPattern>> = {
    steady: { shape: sixEngines, arrivals: arrivalsOf([{ forMs: 15_000, perSecond: 9 }]) },
    burst: {
        shape: sixEngines,
        arrivals: arrivalsOf([{ forMs: 5_000, perSecond: 7 }, { forMs: 5_000, perSecond: 20 }, {
            forMs: 5_000,
            perSecond: 7,
        }]),
    },
    overload: { shape: sixEngines, arrivals: arrivalsOf([{ forMs: 15_000, perSecond: 18 }]) },
    hotAccount: {
        shape: sixEngines,
        arrivals: arrivalsOf([{ forMs: 4_000, perSecond: 7 }, { forMs: 8_000, perSecond: 18, hotPart: 0.6 }, {
            forMs: 3_000,
            perSecond: 7,
        }]),
    },
    largePrompts: { shape: sixEngines, arrivals: arrivalsOf([{ forMs: 15_000, perSecond: 6 }], 9_000) },
};

export const patternNames = Object.keys(patterns);
