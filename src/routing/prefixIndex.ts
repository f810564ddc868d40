/**
 * Index of the endpoints that recently prefilled the leading blocks of prompts, so that later prompts with the same
 * prefix can reuse the engine's prefix cache.
 */

import { hash32 } from "../common/hash.js";

export interface PrefixIndex {
    /** Tokens of the prompt's prefix that `endpoint` probably still has in its prefix cache. */
    readonly cachedTokens: (endpoint: string, blockHashes: readonly number[]) => number;
    /** Records that an endpoint has prefilled these blocks. */
    readonly recordPrefill: (endpoint: string, blockHashes: readonly number[]) => void;
}

/** Engines cache prompts in blocks of about this many tokens. */
export const blockTokens = 2_000;
const charactersPerToken = 4;
const maxIndexedBlocks = 20_000;
const maxBlocksPerPrompt = 16;

/** Rough token count of a text, for admission and routing. */
export function estimateTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Hashes of the prompt's complete leading blocks; each hash covers the prompt up to the end of its block. */
export function promptBlockHashes(prompt: string): readonly number[] {
    const blockCharacters = blockTokens * charactersPerToken;
    const count = Math.min(maxBlocksPerPrompt, Math.floor(prompt.length / blockCharacters));
    return Array.from({ length: count }, (unused, index) => hash32(prompt.slice(0, (index + 1) * blockCharacters)));
}

export function createPrefixIndex(): PrefixIndex {
    const endpointsByBlock = new Map<number, ReadonlySet<string>>();

    return {
        cachedTokens: (endpoint, blockHashes) => {
            const firstMissing = blockHashes.findIndex(blockHash =>
                endpointsByBlock.get(blockHash)?.has(endpoint) !== true
            );
            return (firstMissing < 0 ? blockHashes.length : firstMissing) * blockTokens;
        },
        recordPrefill: (endpoint, blockHashes) => {
            for (const blockHash of blockHashes) {
                const endpoints = new Set(endpointsByBlock.get(blockHash)).add(endpoint);
                // Deleting and inserting again makes the block the most recently used one in the map's order.
                endpointsByBlock.delete(blockHash);
                endpointsByBlock.set(blockHash, endpoints);
            }
            while (endpointsByBlock.size > maxIndexedBlocks) {
                const oldest = endpointsByBlock.keys().next().value;
                endpointsByBlock.delete(oldest as number);
            }
        },
    };
}
