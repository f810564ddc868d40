/**
 * Proxy of TCP connections. `silence` lets the connections that are open at that moment go silent for good, in both
 * directions and without a reset; new connections work.
 */

import { connect, createServer } from "node:net";

export async function startSilencingProxy(targetAddress) {
    const [host, port] = targetAddress.split(":");
    const pairs = new Set();
    const server = createServer(near => {
        const far = connect(Number(port), host);
        const pair = { isSilent: false };
        pairs.add(pair);
        for (const [from, to] of [[near, far], [far, near]]) {
            from.setNoDelay(true);
            from.on("error", () => undefined);
            from.on("data", chunk => pair.isSilent || to.write(chunk));
            from.on("close", () => {
                pairs.delete(pair);
                if (!pair.isSilent) {
                    to.destroy();
                }
            });
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Returns the number of connections that went silent. */
        silence: () => {
            const open = [...pairs].filter(({ isSilent }) => !isSilent);
            open.forEach(pair => {
                pair.isSilent = true;
            });
            return open.length;
        },
    };
}
