/** Errors of a listener: those that keep it from opening, and those after that. */

import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, expect, it } from "vitest";
import { openListener } from "./openListener.js";

let server = createServer();

afterEach(() => void server.close());

// The second failed accept, as for want of memory, would have ended the process.
it("errors after it has opened are reported, and it goes on", async () => {
    server = createServer();
    const errors: string[] = [];
    await openListener(server, { port: 0, host: "127.0.0.1" }, error => errors.push(error.message));
    server.emit("error", new Error("accept ENOBUFS"));
    server.emit("error", new Error("accept ENOMEM"));
    expect(errors).toEqual(["accept ENOBUFS", "accept ENOMEM"]);
    expect(server.listening).toBe(true);
    const other = createServer();
    const { port } = server.address() as AddressInfo;
    await expect(openListener(other, { port, host: "127.0.0.1" }, () => errors.push("reported")))
        .rejects.toMatchObject({ code: "EADDRINUSE" });
    expect(errors).toHaveLength(2);
});
