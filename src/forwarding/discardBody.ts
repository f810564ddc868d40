/**
 * Ends a response that is not passed on.
 */

import type { Readable } from "node:stream";

/** Closes the connection of a response; errors of its body concern nobody any more. */
export function discardBody(body: Readable): void {
    body.on("error", () => undefined);
    body.destroy();
}
