/**
 * Runs one fake as a process: `node dist/fakes/main.js engine|service|platform [PORT] [TIMINGS-JSON]`.
 */

import { defaultTimings, startFakeEngine } from "./engine.js";
import type { EngineTimings } from "./engine.js";
import { startFakePlatform } from "./platform.js";
import { startFakeService } from "./service.js";

const [kind, port = "0", timings = "{}"] = process.argv.slice(2);

async function start(): Promise<{ readonly url: string; }> {
    switch (kind) {
        case "engine":
            return startFakeEngine(
                { ...defaultTimings, ...JSON.parse(timings) as Partial<EngineTimings> },
                Number(port),
            );
        case "service":
            return startFakeService(Number(port));
        case "platform":
            return startFakePlatform(Number(port));
        default:
            throw new Error(`unknown fake "${kind}"; expected engine, service or platform`);
    }
}

const started = await start();
console.log(JSON.stringify({ url: started.url }));
