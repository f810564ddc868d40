/**
 * Reads bodies of bounded size from other processes. A faulty sender may send bytes until its connection is closed.
 */

import type { Readable } from "node:stream";

/** The body is larger than its kind of message can be. */
export class BodyTooLargeError extends Error {
    constructor(readonly maxBytes: number) {
        super(`the body is larger than ${maxBytes} bytes`);
        this.name = "BodyTooLargeError";
    }
}

/** Called with the size of each part of a body as it arrives. */
export type BytesListener = (sizeBytes: number) => void;

/**
 * Reads a whole body as UTF-8 text. Rejects with `BodyTooLargeError` and destroys the body, which closes its connection,
 * if it is larger than `maxBytes`; rejects with the body's own error if it breaks off.
 */
export async function readText(body: Readable, maxBytes: number, onBytes?: BytesListener): Promise<string> {
    return (await readBytes(body, maxBytes, onBytes)).toString("utf8");
}

/** Reads a whole body, as `readText` does. */
export async function readBytes(body: Readable, maxBytes: number, onBytes?: BytesListener): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    // Leaving the loop by an error destroys the body.
    for await (const chunk of body as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        onBytes?.(chunk.length);
        if (sizeBytes > maxBytes) {
            throw new BodyTooLargeError(maxBytes);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
