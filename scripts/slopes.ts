/**
 * Measures the control traffic of idle entries with one configuration change per second: store reads and writes, bytes,
 * CPU time and memory per entry at several fleet sizes, each with a linear fit. Uses real processes with default
 * intervals. docs/CAPACITY.md extrapolates the fits to the design size. Run: `npm run slopes`.
 */

import { setTimeout as delay } from "node:timers/promises";
import { eventually, getJson, rpcStatus, startSite } from "../fakes/site.js";
import type { Site } from "../fakes/site.js";
import { cpuSeconds, residentBytes } from "./cpuTime.js";

interface Sample {
    readonly entries: number;
    readonly readsPerSecond: number;
    readonly hostListReadsPerSecond: number;
    readonly writesPerSecond: number;
    readonly bytesPerSecond: number;
    readonly corePercent: number;
    readonly propagationMs: number;
    readonly residentMegabytes: number;
}

interface Totals {
    readonly requests: Readonly<Record<string, number>>;
    readonly bytes: number;
    readonly cpuSeconds: number;
}

const sizes = [3, 12, 48];
const changes = 10;
const settleMs = 4_000;
const bytesPerMegabyte = 1e6;
const defaultIntervals = {
    configurationPollMs: 1_000,
    hostListPollMs: 2_000,
    limitsRebalanceMs: 5_000,
    limitsLeaseMs: 900_000,
};

async function totalsOf(site: Site): Promise<Totals> {
    const requests = await getJson<Record<string, number>>(`${site.platform.url}/requests`);
    const traffic = await Promise.all(site.entries.map(async entry => {
        const health = await getJson<
            { readonly traffic: { readonly receivedBytes: number; readonly sentBytes: number; }; }
        >(
            `${entry.url}/healthz`,
        );
        return health.traffic.receivedBytes + health.traffic.sentBytes;
    }));
    return {
        requests,
        bytes: traffic.reduce((sum, bytes) => sum + bytes, 0),
        cpuSeconds: site.entries.reduce((sum, entry) => sum + cpuSeconds(entry), 0),
    };
}

async function changeAndWait(site: Site, index: number): Promise<number> {
    const startMs = performance.now();
    const response = await site.apply([{
        kind: "template",
        name: `t${index}`,
        value: { ratePerSecond: 1, burstRequests: 1 },
    }]);
    const revision = response.kind === "accepted" ? response.revision : 0;
    await eventually("in force everywhere", async () => {
        const statuses = await Promise.all(site.entries.map(entry => rpcStatus(entry.url)));
        return statuses.every(status => status.revision >= revision);
    });
    return performance.now() - startMs;
}

async function sampleAt(entries: number): Promise<Sample> {
    const site = await startSite({ entries, entrySettings: defaultIntervals });
    try {
        await delay(settleMs);
        // Propagation time is measured before the traffic, because polling the entries for it causes traffic itself.
        const propagation: number[] = [];
        for (let index = 0; index < changes; index++) {
            propagation.push(await changeAndWait(site, index));
        }
        const before = await totalsOf(site);
        const startMs = performance.now();
        for (let index = 0; index < changes; index++) {
            await site.apply([
                { kind: "template", name: `u${index}`, value: { ratePerSecond: 1, burstRequests: 1 } },
            ]);
            await delay(1_000);
        }
        const seconds = (performance.now() - startMs) / 1_000;
        const after = await totalsOf(site);
        const rate = (path: string): number => ((after.requests[path] ?? 0) - (before.requests[path] ?? 0)) / seconds;
        return {
            entries,
            readsPerSecond: rate("/table/read") + rate("/table/scan") + rate("/object/get"),
            hostListReadsPerSecond: rate("/hosts/list"),
            writesPerSecond: rate("/table/commit") + rate("/object/put"),
            bytesPerSecond: (after.bytes - before.bytes) / seconds / entries,
            corePercent: 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / entries,
            propagationMs: Math.max(...propagation),
            residentMegabytes: Math.max(...site.entries.map(residentBytes)) / bytesPerMegabyte,
        };
    }
    finally {
        await site.stop();
    }
}

/** Least-squares fit of `value` over the number of entries: intercept and slope. */
function fit(samples: readonly Sample[], value: (sample: Sample) => number): readonly [number, number] {
    const count = samples.length;
    const meanX = samples.reduce((sum, sample) => sum + sample.entries, 0) / count;
    const meanY = samples.reduce((sum, sample) => sum + value(sample), 0) / count;
    const covariance = samples.reduce((sum, sample) => sum + (sample.entries - meanX) * (value(sample) - meanY), 0);
    const variance = samples.reduce((sum, sample) => sum + (sample.entries - meanX) ** 2, 0);
    const slope = covariance / variance;
    return [meanY - slope * meanX, slope];
}

const columns: readonly (readonly [string, (sample: Sample) => number])[] = [
    ["table reads/s, all", sample => sample.readsPerSecond],
    ["host list reads/s, all", sample => sample.hostListReadsPerSecond],
    ["writes/s, all", sample => sample.writesPerSecond],
    ["control bytes/s an entry", sample => sample.bytesPerSecond],
    ["% of a core an entry", sample => sample.corePercent],
    ["largest entry, MB resident", sample => sample.residentMegabytes],
    ["slowest change everywhere, ms", sample => sample.propagationMs],
];

const samples: Sample[] = [];
for (const size of sizes) {
    samples.push(await sampleAt(size));
}
console.log("Idle entries in one data centre, one configuration change a second for 10 s, default intervals");
console.log("");
console.log(`| | ${sizes.map(size => `${size} entries`).join(" | ")} | fit |`);
console.log(`|---|${sizes.map(() => "---|").join("")}---|`);
for (const [name, value] of columns) {
    const [intercept, slope] = fit(samples, value);
    const cells = samples.map(sample => value(sample).toFixed(2));
    console.log(`| ${name} | ${cells.join(" | ")} | ${intercept.toFixed(2)} + ${slope.toFixed(4)} n |`);
}
