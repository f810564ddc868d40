/**
 * Measures requests within the rate limit that are refused although a single global token bucket admits them: shares
 * with borrowed tokens, compared with an equal static split and with one owner per account. Runs in virtual time; the
 * arrivals are the same for all columns. Run: `npm run measure:limits`.
 */

import { compareLimits, limitsPatterns } from "./limitsRun.js";

const seeds = [1, 2, 3];
const fleets = [
    { holders: 3, limits: { ratePerSecond: 10, burstRequests: 20 } },
    { holders: 3, limits: { ratePerSecond: 50, burstRequests: 50 } },
    { holders: 12, limits: { ratePerSecond: 50, burstRequests: 50 } },
    { holders: 12, limits: { ratePerSecond: 10, burstRequests: 20 } },
] as const;

function percent(part: number, whole: number): string {
    return `${(100 * part / Math.max(1, whole)).toFixed(2)}%`;
}

function formatRange(values: readonly number[], whole: number): string {
    return `${percent(Math.min(...values), whole)}..${percent(Math.max(...values), whole)}`;
}

console.log("Refused beyond one naive bucket, as part of the requests that it admits; seeds 1 to 3");
console.log("");
console.log(
    "| holders | rate/s | burst | arrivals | offered | shares | calls a request | static split | one owner (10 s pause) |",
);
console.log("|---|---|---|---|---|---|---|---|---|");
for (const fleet of fleets) {
    for (const pattern of limitsPatterns) {
        const runs = [];
        for (const seed of seeds) {
            runs.push(await compareLimits({ ...fleet, pattern, seed }));
        }
        const admitted = runs.reduce((sum, run) => sum + run.naiveAdmitted, 0) / runs.length;
        const offered = runs.reduce((sum, run) => sum + run.offered, 0) / runs.length;
        const cells = [
            fleet.holders,
            fleet.limits.ratePerSecond,
            fleet.limits.burstRequests,
            pattern.name,
            Math.round(offered),
            formatRange(runs.map(run => run.naiveAdmitted - run.sharesAdmitted), admitted),
            (runs.reduce((sum, run) => sum + run.borrowCalls / run.offered, 0) / runs.length).toFixed(2),
            formatRange(runs.map(run => run.naiveAdmitted - run.staticSplitAdmitted), admitted),
            formatRange(runs.map(run => run.naiveAdmitted - run.singleOwnerAdmitted), admitted),
        ];
        console.log(`| ${cells.join(" | ")} |`);
    }
}
