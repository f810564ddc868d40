/**
 * Digests of secrets, and their comparison in constant time.
 */

import { createHash, timingSafeEqual } from "node:crypto";

/** The SHA-256 digest of the concatenated `chunks` in lowercase hexadecimal. */
export function sha256Hex(...chunks: readonly (string | Buffer)[]): string {
    const hash = createHash("sha256");
    chunks.forEach(chunk => hash.update(chunk));
    return hash.digest("hex");
}

/** Compares two hexadecimal digests in constant time. */
export function digestsEqual(left: string, right: string): boolean {
    if (left.length !== right.length) {
        return false;
    }
    return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
