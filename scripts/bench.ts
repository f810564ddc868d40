/**
 * Measures the latency, throughput and CPU time that the entry and agents add, compared with direct calls to the fake
 * engines in the same run: `npm run bench`. CPU time is read per process from the operating system; that of the engines
 * is not counted.
 */

import { complete, startSite } from "../fakes/site.js";
import type { Process, Site } from "../fakes/site.js";
import { cpuSeconds } from "./cpuTime.js";

interface Load {
    readonly name: string;
    readonly requests: number;
    readonly inFlight: number;
    readonly maxTokens: number;
}

interface LoadResult {
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    readonly meanMs: number;
}

const loads: readonly Load[] = [
    { name: "1 token a request", requests: 1_500, inFlight: 16, maxTokens: 1 },
    { name: "50 tokens a request", requests: 400, inFlight: 16, maxTokens: 50 },
    { name: "200 tokens a request", requests: 150, inFlight: 16, maxTokens: 200 },
];
const prompt = "Which trail is the driest in spring?";
const usPerSecond = 1e6;

async function runLoad(load: Load, send: () => Promise<void>): Promise<LoadResult> {
    let remainingRequests = load.requests;
    let totalMs = 0;
    const startMs = performance.now();

    async function worker(): Promise<void> {
        while (remainingRequests > 0) {
            remainingRequests -= 1;
            const sentMs = performance.now();
            await send();
            totalMs += performance.now() - sentMs;
        }
    }

    await Promise.all(Array.from({ length: load.inFlight }, () => worker()));
    const seconds = (performance.now() - startMs) / 1_000;
    const requestsPerSecond = load.requests / seconds;
    return {
        requestsPerSecond,
        tokensPerSecond: requestsPerSecond * load.maxTokens,
        meanMs: totalMs / load.requests,
    };
}

let nextRequest = 0;

async function sendDirect(prefillUrl: string, decodeUrl: string, maxTokens: number): Promise<void> {
    const requestId = `direct-${nextRequest++}`;
    const prefilled = await fetch(`${prefillUrl}/prefill`, {
        method: "POST",
        body: JSON.stringify({ requestId, attempt: 1, prompt }),
    });
    const { kvId, kvSource } = await prefilled.json() as { readonly kvId: string; readonly kvSource: string; };
    const decoded = await fetch(`${decodeUrl}/decode`, {
        method: "POST",
        body: JSON.stringify({ requestId, attempt: 1, kvId, kvSource, emittedTokens: 0, maxOutputTokens: maxTokens }),
    });
    await decoded.text();
}

function engineUrls(site: Site): readonly [string, string] {
    const [prefill] = site.byRole("prefill");
    const [decode] = site.byRole("decode");
    return [prefill?.endpoint.url ?? "", decode?.endpoint.url ?? ""];
}

async function measure(site: Site, load: Load): Promise<void> {
    const entry = site.entries[0] as Process;
    const agents = site.endpoints.map(each => each.agent);
    const [prefillUrl, decodeUrl] = engineUrls(site);
    const direct = await runLoad(load, () => sendDirect(prefillUrl, decodeUrl, load.maxTokens));
    const entryBefore = cpuSeconds(entry);
    const agentsBefore = agents.map(cpuSeconds);
    const routed = await runLoad(load, async () => {
        const completion = await complete(entry, { prompt, max_tokens: load.maxTokens });
        if (!completion.done) {
            throw new Error(JSON.stringify(completion));
        }
    });
    const entryUs = (cpuSeconds(entry) - entryBefore) * usPerSecond / load.requests;
    const agentUs = agents.map((agent, index) =>
        (cpuSeconds(agent) - (agentsBefore[index] ?? 0)) * usPerSecond / load.requests
    );
    const cells = [
        load.name,
        `${direct.meanMs.toFixed(1)} / ${routed.meanMs.toFixed(1)} ms`,
        `${Math.round(direct.requestsPerSecond)} / ${Math.round(routed.requestsPerSecond)}`,
        `${Math.round(direct.tokensPerSecond)} / ${Math.round(routed.tokensPerSecond)}`,
        `${Math.round(entryUs)}`,
        agentUs.map(value => Math.round(value)).join(" + "),
    ];
    console.log(`| ${cells.join(" | ")} |`);
}

const site = await startSite({
    ratePerSecond: 1e6,
    burstRequests: 1e6,
    slots: 64,
    timings: { tokenIntervalMs: 1, prefillMsPerThousandTokens: 1, kvLifeMs: 5_000 },
});
try {
    console.log("16 requests in flight, one entry, one prefill and one decode engine; direct / routed");
    console.log("");
    console.log("| load | mean time a request | requests/s | tokens/s | entry us a request | agents us a request |");
    console.log("|---|---|---|---|---|---|");
    for (const load of loads) {
        await measure(site, load);
    }
}
finally {
    await site.stop();
}
