/**
 * Where the leading pieces of prompts were prefilled lately, so that later prompts with the same start can reuse the
 * engine's prefix cache.
 */

import { hash32 } from "../common/hash.js";

export interface PrefixIndex {
    /** Tokens of the prompt's start that `endpoint` probably still has in its cache. */
    readonly cachedTokens: (endpoint: string, pieces: readonly number[]) => number;
    /** Notes that an endpoint has prefilled these pieces. */
    readonly notePrefill: (endpoint: string, pieces: readonly number[]) => void;
}

/** Engines cache prompts in pieces of about this many tokens. */
export const pieceTokens = 2_000;
const charactersPerToken = 4;
const maxIndexedPieces = 20_000;
const maxPiecesPerPrompt = 16;

/** A rough token count of a text, for admission and routing. */
export function estimateTokens(text: string): number {
    return Math.ceil(text.length / charactersPerToken);
}

/** Hashes of the prompt's whole leading pieces; each covers everything before it. */
export function promptPieces(prompt: string): readonly number[] {
    const pieceCharacters = pieceTokens * charactersPerToken;
    const count = Math.min(maxPiecesPerPrompt, Math.floor(prompt.length / pieceCharacters));
    return Array.from({ length: count }, (unused, index) => hash32(prompt.slice(0, (index + 1) * pieceCharacters)));
}

export function createPrefixIndex(): PrefixIndex {
    const endpointsByPiece = new Map<number, ReadonlySet<string>>();

    return {
        cachedTokens: (endpoint, pieces) => {
            const missing = pieces.findIndex(piece => endpointsByPiece.get(piece)?.has(endpoint) !== true);
            return (missing < 0 ? pieces.length : missing) * pieceTokens;
        },
        notePrefill: (endpoint, pieces) => {
            for (const piece of pieces) {
                const endpoints = new Set(endpointsByPiece.get(piece)).add(endpoint);
                // Inserting again moves the piece to the young end of the map.
                endpointsByPiece.delete(piece);
                endpointsByPiece.set(piece, endpoints);
            }
            while (endpointsByPiece.size > maxIndexedPieces) {
                const oldest = endpointsByPiece.keys().next().value;
                endpointsByPiece.delete(oldest as number);
            }
        },
    };
}
