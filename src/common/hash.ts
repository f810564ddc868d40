/**
 * Non-cryptographic hashes for placement decisions.
 */

import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** A 32-bit hash of `text`, equal on every host. */
export function hash32(text: string): number {
    return hasher.h32(text);
}
