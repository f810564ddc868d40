/**
 * Load policies side by side, in virtual time: the product's own forwarding over model engines.
 *
 *     npm run experiment -- --pattern burst --policy inForce,atRandom --seeds 3
 *
 * Prints the brief's measures for each policy: answers within both latency targets, prompts read in vain, the
 * worst-served client account, refusals. Earlier policies are kept as baselines.
 */

import { cac } from "cac";
import { patternNames, patterns } from "../fakes/loadPatterns.js";
import { policies, policyNames } from "../fakes/loadPolicies.js";
import type { FleetMeasures } from "../fakes/modelFleet.js";
import { playFleet } from "../fakes/modelFleet.js";
import { formatTable } from "../src/cli/table.js";

const exitBadUse = 2;

/** The named items of a table; ends the program with a message that names the unknown one. */
function choose<Item>(what: string, list: string, items: Readonly<Record<string, Item>>): readonly [string, Item][] {
    return list.split(",").map(name => {
        const item = items[name];
        if (item === undefined) {
            process.stderr.write(`experiment: unknown ${what} "${name}"; known: ${Object.keys(items).join(", ")}\n`);
            process.exit(exitBadUse);
        }
        return [name, item];
    });
}

function percent(part: number): string {
    return `${(100 * part).toFixed(1)}%`;
}

function meanOf(runs: readonly FleetMeasures[], figure: (run: FleetMeasures) => number): number {
    return runs.reduce((sum, run) => sum + figure(run), 0) / runs.length;
}

const program = cac("experiment");
program
    .command("", "Plays patterns of load against policies")
    .option("--pattern <names>", `Patterns, separated by commas: ${patternNames.join(", ")}`, {
        default: patternNames.join(","),
    })
    .option("--policy <names>", `Policies, separated by commas: ${policyNames.join(", ")}`, {
        default: policyNames.join(","),
    })
    .option("--seeds <number>", "Seeds played of each, from 1", { default: 2 })
    .example("npm run experiment -- --pattern burst --policy inForce,atRandom --seeds 3")
    .action(async (flags: Readonly<Record<string, string | number>>) => {
        const chosenPatterns = choose("pattern", String(flags["pattern"]), patterns);
        const chosenPolicies = choose("policy", String(flags["policy"]), policies);
        const seeds = Array.from({ length: Number(flags["seeds"]) }, (unused, index) => index + 1);
        const rows: string[][] = [];
        for (const [patternName, { shape, arrivals }] of chosenPatterns) {
            for (const [policyName, policy] of chosenPolicies) {
                const runs: FleetMeasures[] = [];
                for (const seed of seeds) {
                    runs.push(await playFleet(policy.shapeOf(shape), arrivals(seed), policy.createPlaces, seed));
                }
                rows.push([
                    patternName,
                    policyName,
                    meanOf(runs, run => run.goodputPerSecond).toFixed(2),
                    percent(meanOf(runs, run => run.goodPart)),
                    percent(meanOf(runs, run => run.wastedPrefillPart)),
                    percent(meanOf(runs, run => run.worstAccountPart)),
                    percent(meanOf(runs, run => run.refusedPart)),
                ]);
            }
        }
        const headings = ["pattern", "policy", "good/s", "good", "prefill wasted", "worst account", "refused"];
        console.log(formatTable(headings, rows));
    });
program.help();
program.parse();
