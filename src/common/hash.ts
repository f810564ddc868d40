/**
 * Non-cryptographic hashes, for choices that every process makes in the same way.
 */

import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** A 32-bit hash of `text`; every host computes the same value. */
export function hash32(text: string): number {
    return hasher.h32(text);
}
