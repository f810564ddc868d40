/**
 * Stand-in of a client of a stream route: sends a request, keeps its channel open, and leaves as the pages say: at its
 * time limit, or after a gap in the answer that is too long.
 */

import { request as httpRequest } from "node:http";

/**
 * Resolves with how the request ended: `kind` is `answered` for a whole answer, `broken` if the channel ended early, and
 * `left` if the client gave up. `atMs` is the time of that, counted from the moment at which the request was sent.
 */
export function sendStreamRequest(
    { port, agent, host, path, key, requestId, tokenUsage, timeLimitMs, gapMs, body, headers },
) {
    return new Promise(resolve => {
        const sentAtMs = performance.now();
        let ended = false;
        let bytes = "";
        let gap;
        const finish = (kind, status) => {
            if (!ended) {
                ended = true;
                clearTimeout(gap);
                clearTimeout(limit);
                resolve({ requestId, kind, status, atMs: Math.round(performance.now() - sentAtMs), bytes });
            }
        };
        const leave = () => {
            finish("left");
            sent.destroy();
        };
        const restartGap = () => {
            clearTimeout(gap);
            gap = setTimeout(leave, gapMs);
        };
        const limit = setTimeout(leave, timeLimitMs);
        const sent = httpRequest({
            host: "127.0.0.1",
            port,
            agent,
            method: "POST",
            path,
            headers: {
                host,
                "api-key": key,
                "x-gooseberrywell-request-id": requestId,
                "x-gooseberrywell-model-name": "m",
                "x-gooseberrywell-token-usage": tokenUsage,
                "x-gooseberrywell-prompt-prefix": `aa:200,${requestId}:4800`,
                "x-gooseberrywell-request-deadline": String(timeLimitMs),
                ...headers,
            },
        }, response => {
            restartGap();
            response.on("data", chunk => {
                bytes += chunk;
                restartGap();
            });
            response.on("end", () => finish("answered", response.statusCode));
            response.on("error", () => finish("broken", response.statusCode));
        });
        sent.on("error", () => finish("broken"));
        restartGap();
        sent.end(body);
    });
}
