/**
 * Fingerprints of requests: copies of a request have the same one, also if they arrive at other entries, under other
 * request ids and with other headers.
 */

import { sha256Hex } from "../common/digest.js";

/** What copies of a request have in common. */
export interface RequestContent {
    readonly method: string;
    /** Name of the host or pool to which it is addressed. */
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** `undefined` on routes that are open to all. */
    readonly clientAccount: string | undefined;
    readonly body: Buffer | string;
}

const prefix = "request:";
/** Characters of the digest; two requests of a day have the same ones with negligible probability. */
const digestLength = 32;

/** Whether a part of a request is the fingerprint of a whole one, and not a part of a prompt. */
export function isFingerprint(part: string): boolean {
    return part.startsWith(prefix);
}

export function fingerprintOf({ method, host, target, clientAccount, body }: RequestContent): string {
    const head = JSON.stringify([method, host.toLowerCase(), target, clientAccount ?? null]);
    return `${prefix}${sha256Hex(head, body).slice(0, digestLength)}`;
}
