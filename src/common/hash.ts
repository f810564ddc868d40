/**
 * Non-cryptographic hashes for placement decisions, and digests for secrets.
 */

import { createHash } from "node:crypto";
import { timingSafeEqual } from "node:crypto";
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** A 32-bit hash of `text`, equal on every host. */
export function hash32(text: string): number {
    return hasher.h32(text);
}

/** The SHA-256 digest of `text` in lower-case hexadecimal. */
export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/** Compares two hexadecimal digests in constant time. */
export function digestsEqual(left: string, right: string): boolean {
    if (left.length !== right.length) {
        return false;
    }
    return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
