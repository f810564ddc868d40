/**
 * Runs a complete site in one process for `npm start`: an entry, agents, fake engines and a fake service on an in-memory
 * platform.
 */

import { systemClock } from "../src/common/clock.js";
import { sha256Hex } from "../src/common/digest.js";
import { appendChanges } from "../src/configuration/log.js";
import { emptyState } from "../src/configuration/state.js";
import type { Change } from "../src/configuration/state.js";
import { createMemoryPlatform, createTelemetry, startAgent, startEntry } from "../src/index.js";
import type { HostRecord } from "../src/index.js";
import { parseSettings } from "../src/settings/settings.js";
import type { EntryFileSettings } from "../src/settings/settings.js";
import { startFakeEngine } from "./engine.js";
import { startFakeService } from "./service.js";

const demoKey = "demo-key";
const callersPort = Number(process.env["GOOSEBERRYWELL_PORT"] ?? "8080");
const location = { dataCentre: "local-a", region: "local" };
const endpoints = [
    { name: "prefill-1", pool: "chat", role: "prefill", slots: 2, kvCapacityBytes: 4e9 },
    { name: "prefill-2", pool: "chat", role: "prefill", slots: 2, kvCapacityBytes: 4e9 },
    { name: "decode-1", pool: "chat", role: "decode", slots: 20, kvCapacityBytes: 4e9 },
    { name: "decode-2", pool: "chat", role: "decode", slots: 20, kvCapacityBytes: 4e9 },
    { name: "bookings-1", pool: "bookings", role: "plain", slots: 50, kvCapacityBytes: 1 },
] as const;

const changes: readonly Change[] = [
    { kind: "template", name: "standard", value: { ratePerSecond: 50, burstRequests: 100 } },
    { kind: "account", name: "demo", value: { template: "standard" } },
    { kind: "key", name: "demo-1", value: { clientAccount: "demo", digestHex: sha256Hex(demoKey) } },
    { kind: "pool", name: "chat", value: { model: "guide", kvBytesPerToken: 1_000, maxOutputTokens: 4_000 } },
    { kind: "pool", name: "bookings", value: { model: "bookings", kvBytesPerToken: 1, maxOutputTokens: 1 } },
    ...endpoints.map(({ name, ...value }): Change => ({ kind: "endpoint", name, value })),
    {
        kind: "route",
        name: "payments",
        value: { method: "POST", path: "/payments", pool: "bookings", idempotent: false },
    },
];

const entryText = JSON.stringify({
    role: "entry",
    host: "entry-1",
    ...location,
    listen: { address: "127.0.0.1", port: 0 },
    callersListen: { address: "127.0.0.1", port: callersPort },
    platform: { url: "http://127.0.0.1:1" },
    hostListPollMs: 200,
});

async function startSite(): Promise<void> {
    const platform = createMemoryPlatform();
    const dependencies = { tables: platform.tables, clock: systemClock, random: Math.random };
    const seeded = await appendChanges(dependencies, emptyState, { changeId: "seed", operator: "site", changes });
    if (seeded.isErr) {
        throw new Error(JSON.stringify(seeded.error));
    }
    const settings = parseSettings("embedded", entryText);
    if (settings.isErr) {
        throw new Error(settings.error.cause);
    }
    const entry = await startEntry(settings.value as EntryFileSettings, platform, createTelemetry("entry-1"));
    const agents = await Promise.all(endpoints.map(async ({ name, role }): Promise<HostRecord> => {
        const endpoint = role === "plain" ? await startFakeService() : await startFakeEngine();
        const agent = await startAgent({
            host: `host-${name}`,
            endpoint: name,
            listenAddress: "127.0.0.1",
            listenPort: 0,
            endpointUrl: endpoint.url,
            entryUrls: [entry.url],
        }, createTelemetry(`host-${name}`, undefined, true));
        return { host: `host-${name}`, role: "agent", url: agent.url, endpoint: name, ...location, state: "live" };
    }));
    platform.setHosts([{ host: "entry-1", role: "entry", url: entry.url, ...location, state: "live" }, ...agents]);
    await systemClock.sleep(1_000);
    const body = JSON.stringify({ model: "guide", prompt: "Tell me of the trail", max_tokens: 20, stream: true });
    console.log(`A site with ${endpoints.length} endpoints is running. Try:

  curl -N ${entry.callersUrl}/v1/completions -H 'Authorization: Bearer ${demoKey}' -d '${body}'

  node dist/src/cli/main.js status --entry ${entry.url}
`);
}

await startSite();
