/**
 * Plays the regression runs on the users' bench, one after the other, and prints the bench time of each. A run that was
 * interrupted continues with the first step that has not succeeded on the current commit.
 *
 *     npm run regression -- --bench PATH --sites DIRECTORY
 */

import { cac } from "cac";
import { execFileSync, spawn } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { z } from "zod";
import { benchArguments, regressionSteps, remainingSteps } from "./regressionPlan.js";
import type { FinishedStep, RegressionStep } from "./regressionPlan.js";

const msPerSecond = 1_000;
const exitFailed = 1;
const exitUsage = 2;
const stateSchema = z.array(
    z.object({ name: z.string(), commit: z.string(), tookS: z.number(), exitCode: z.number() }),
);

function readState(file: string): readonly FinishedStep[] {
    return existsSync(file) ? stateSchema.parse(JSON.parse(readFileSync(file, "utf8"))) : [];
}

async function play(bench: string, step: RegressionStep, sites: string, commit: string): Promise<FinishedStep> {
    const startedAtMs = performance.now();
    const child = spawn(bench, benchArguments(step, sites), { stdio: "inherit" });
    const exitCode = await new Promise<number>((resolve, reject) => {
        child.once("error", reject);
        child.once("exit", code => resolve(code ?? exitFailed));
    });
    return { name: step.name, commit, tookS: Math.round((performance.now() - startedAtMs) / msPerSecond), exitCode };
}

const program = cac("regression");
program
    .command("", "Plays the regression runs that have not succeeded on the current commit")
    .option("--bench <path>", "The bench's program")
    .option("--sites <directory>", "Directory with the deployments' site files")
    .option("--state <file>", "Where finished steps are recorded", { default: "target/regression.json" })
    .option("--list", "Prints the steps that would be run")
    .action(async (flags: Readonly<Record<string, string | boolean | undefined>>) => {
        const { bench, sites, state } = flags;
        if (typeof bench !== "string" || typeof sites !== "string" || typeof state !== "string") {
            console.error("regression: --bench and --sites are needed");
            process.exitCode = exitUsage;
            return;
        }
        const commit = execFileSync("git", ["rev-parse", "HEAD"], { encoding: "utf8" }).trim();
        let finished = readState(state);
        for (const step of remainingSteps(regressionSteps, finished, commit)) {
            if (flags["list"] === true) {
                console.log(`${step.name}: ${benchArguments(step, sites).join(" ")}`);
                continue;
            }
            const result = await play(bench, step, sites, commit);
            console.log(`${result.name}: ${result.tookS} s, exit code ${result.exitCode}`);
            finished = [...finished, result];
            mkdirSync(dirname(state), { recursive: true });
            writeFileSync(state, JSON.stringify(finished, undefined, 4));
            if (result.exitCode !== 0) {
                process.exitCode = exitFailed;
            }
        }
    });
program.help();
program.parse();
