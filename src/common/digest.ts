/**
 * Digests of secrets, and their comparison in constant time.
 */

import { createHash, timingSafeEqual } from "node:crypto";

/** The SHA-256 digest of `text` in lowercase hexadecimal. */
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
