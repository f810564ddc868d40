/**
 * Fake plain service that records every call that it executed.
 */

import { setTimeout as delay } from "node:timers/promises";
import { listen, readBody, sendJson } from "../src/rpc/httpServer.js";

/** Faults to inject, as in the body of `/faults`; they apply until the next call replaces them. */
export interface ServiceFaults {
    /** Executes the call, then closes the connection without a response. */
    readonly loseAnswer?: boolean;
    readonly delayMs?: number;
    /** Ends this process when it runs a call whose path or body contains this text. */
    readonly endOn?: string;
}

/** One executed call. */
export interface ServiceRun {
    readonly method: string;
    readonly path: string;
    readonly headers: string;
    readonly body: string;
}

export interface FakeService {
    readonly url: string;
    readonly runs: readonly ServiceRun[];
    readonly setFaults: (faults: ServiceFaults) => void;
    readonly close: () => Promise<void>;
}

const maxBodyBytes = 4 * 1024 * 1024;

export async function startFakeService(port = 0): Promise<FakeService> {
    const runs: ServiceRun[] = [];
    let faults: ServiceFaults = {};
    const server = await listen("127.0.0.1", port, (method, path) => async (request, response) => {
        const body = await readBody(request, maxBodyBytes);
        const text = body.isOk ? body.value.toString("utf8") : "";
        if (method === "POST" && path === "/running") {
            sendJson(response, 200, { requests: [] });
            return;
        }
        if (path === "/faults") {
            faults = JSON.parse(text) as ServiceFaults;
            sendJson(response, 200, {});
            return;
        }
        if (path === "/record") {
            sendJson(response, 200, { runs });
            return;
        }
        runs.push({ method, path: request.url ?? path, headers: JSON.stringify(request.headers), body: text });
        if (faults.endOn !== undefined && `${request.url} ${text}`.includes(faults.endOn)) {
            process.exit(1);
        }
        await delay(faults.delayMs ?? 0);
        if (faults.loseAnswer === true) {
            response.destroy();
            return;
        }
        sendJson(response, 200, { run: runs.length, echo: text });
    });
    return {
        url: server.url,
        runs,
        setFaults: next => {
            faults = next;
        },
        close: () => server.close(),
    };
}
