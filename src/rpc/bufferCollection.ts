/**
 * Frees the buffers into which connections were read.
 *
 * The runtime lets tens of megabytes of buffers that nothing uses pile up outside of its heap before it collects them,
 * more than a small machine has left. A collection of the young objects, which frees them, takes a few milliseconds.
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type Collect = (options: { readonly type: "minor"; }) => void;

/** A collection follows each time so many bytes have been read. */
const collectionIntervalBytes = 4 * 1_024 * 1_024;

let collect: Collect | undefined;
let readBytes = 0;

/** To be called when a connection has been read. */
export function countReadBytes(bytes: number): void {
    readBytes += bytes;
    if (readBytes < collectionIntervalBytes) {
        return;
    }
    readBytes = 0;
    collect ??= findCollect();
    collect({ type: "minor" });
}

function findCollect(): Collect {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as Collect;
}
