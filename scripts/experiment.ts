/**
 * Compares load policies in virtual time, with the production forwarding code and simulated engines.
 *
 *     npm run experiment -- --pattern burst --policy inForce,atRandom --seeds 3
 *
 * Prints for each policy the responses within both latency targets, wasted prefill work, the worst-served client
 * account and refusals; and, of patterns with several priorities, what became of the requests of each. Earlier policies
 * are kept as baselines.
 */

import { cac } from "cac";
import { patternNames, patterns } from "../fakes/loadPatterns.js";
import { policies, policyNames } from "../fakes/loadPolicies.js";
import type { FleetMetrics, PriorityMetrics } from "../fakes/simulatedFleet.js";
import { simulateFleet } from "../fakes/simulatedFleet.js";
import { formatTable } from "../src/cli/table.js";

const exitUsageError = 2;

/** Looks up the items of a comma-separated list; exits with an error message if a name is unknown. */
function choose<Item>(what: string, list: string, items: Readonly<Record<string, Item>>): readonly [string, Item][] {
    return list.split(",").map(name => {
        const item = items[name];
        if (item === undefined) {
            process.stderr.write(`experiment: unknown ${what} "${name}"; known: ${Object.keys(items).join(", ")}\n`);
            process.exit(exitUsageError);
        }
        return [name, item];
    });
}

function percent(fraction: number): string {
    return `${(100 * fraction).toFixed(1)}%`;
}

function meanOf(runs: readonly FleetMetrics[], measure: (run: FleetMetrics) => number): number {
    return runs.reduce((sum, run) => sum + measure(run), 0) / runs.length;
}

/** One row for each priority of a pattern that has several. */
function priorityRows(pattern: string, policy: string, runs: readonly FleetMetrics[]): string[][] {
    const priorities = (runs[0]?.byPriority ?? []).map(({ priority }) => priority);
    if (priorities.length < 2) {
        return [];
    }
    return priorities.map(priority => {
        const mean = (measure: (metrics: PriorityMetrics) => number): number =>
            meanOf(runs, run =>
                run.byPriority.filter(item => item.priority === priority).reduce(
                    (sum, item) => sum + measure(item),
                    0,
                ));
        return [
            pattern,
            policy,
            String(priority),
            mean(metrics => metrics.requestCount).toFixed(0),
            percent(mean(metrics => metrics.goodFraction)),
            percent(mean(metrics => metrics.lateFraction)),
            percent(mean(metrics => metrics.refusedFraction)),
            percent(mean(metrics => metrics.brokenFraction)),
            mean(metrics => metrics.refusedAfterMs).toFixed(0),
        ];
    });
}

const program = cac("experiment");
program
    .command("", "Runs load patterns against policies")
    .option("--pattern <names>", `Patterns, separated by commas: ${patternNames.join(", ")}`, {
        default: patternNames.join(","),
    })
    .option("--policy <names>", `Policies, separated by commas: ${policyNames.join(", ")}`, {
        default: policyNames.join(","),
    })
    .option("--seeds <number>", "Number of seeds per pattern and policy, counted from 1", { default: 2 })
    .example("npm run experiment -- --pattern burst --policy inForce,atRandom --seeds 3")
    .action(async (flags: Readonly<Record<string, string | number>>) => {
        const chosenPatterns = choose("pattern", String(flags["pattern"]), patterns);
        const chosenPolicies = choose("policy", String(flags["policy"]), policies);
        const seeds = Array.from({ length: Number(flags["seeds"]) }, (unused, index) => index + 1);
        const rows: string[][] = [];
        const rowsByPriority: string[][] = [];
        for (const [patternName, { fleet, arrivals }] of chosenPatterns) {
            for (const [policyName, policy] of chosenPolicies) {
                const runs: FleetMetrics[] = [];
                for (const seed of seeds) {
                    runs.push(
                        await simulateFleet(policy.divideEngines(fleet), arrivals(seed), policy.createScheduler, seed),
                    );
                }
                rowsByPriority.push(...priorityRows(patternName, policyName, runs));
                rows.push([
                    patternName,
                    policyName,
                    meanOf(runs, run => run.goodputPerSecond).toFixed(2),
                    percent(meanOf(runs, run => run.goodFraction)),
                    percent(meanOf(runs, run => run.wastedPrefillFraction)),
                    percent(meanOf(runs, run => run.worstAccountFraction)),
                    percent(meanOf(runs, run => run.refusedFraction)),
                ]);
            }
        }
        const headings = ["pattern", "policy", "good/s", "good", "prefill wasted", "worst account", "refused"];
        console.log(formatTable(headings, rows));
        if (rowsByPriority.length > 0) {
            const priorityHeadings = [
                "pattern",
                "policy",
                "priority",
                "requests",
                "on time",
                "late",
                "refused",
                "failed",
                "refused after ms",
            ];
            console.log(formatTable(priorityHeadings, rowsByPriority));
        }
    });
program.help();
program.parse();
