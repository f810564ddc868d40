/**
 * Opens the listener of a server. An error after that concerns a connection that was not accepted: it is reported, and the
 * listener goes on. Without a handler it would end the process. Where descriptors run out there is no such error: the
 * runtime closes what it cannot accept.
 */

import type { ListenOptions, Server } from "node:net";

/** Rejects if the server cannot listen; `onError` gets the errors after that. */
export async function openListener(
    server: Server,
    options: ListenOptions,
    onError: (error: Error) => void,
): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options, () => {
            server.off("error", reject);
            resolve();
        });
        server.on("error", error => {
            if (server.listening) {
                onError(error);
            }
        });
    });
}
