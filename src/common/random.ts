/**
 * Seeded random numbers, so that a test run can be reproduced.
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a number in [0, 1). */
export type Random = () => number;

const uint32Range = 0x1_0000_0000;

/** A generator whose sequence depends on `seed` alone. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / uint32Range;
}

/** One random element; `undefined` for an empty list. */
export function pickOne<Item>(random: Random, items: readonly Item[]): Item | undefined {
    return items[Math.floor(random() * items.length)];
}

/** Up to `count` distinct elements in random order. */
export function pickSome<Item>(random: Random, items: readonly Item[], count: number): readonly Item[] {
    const rest = [...items];
    const picked: Item[] = [];
    while (picked.length < count && rest.length > 0) {
        const index = Math.floor(random() * rest.length);
        picked.push(...rest.splice(index, 1));
    }
    return picked;
}

/** Exponential backoff with jitter: `baseMs * 2 ** attempt` capped at `maxMs`, then a random 50 to 100 % of that. */
export function backoffMs(random: Random, attempt: number, baseMs: number, maxMs: number): number {
    const ceilingMs = Math.min(maxMs, baseMs * 2 ** attempt);
    return ceilingMs * (0.5 + random() / 2);
}
