/**
 * The regression runs: what is left to run after an interruption, a failure or a new commit.
 */

import { expect, it } from "vitest";
import { benchArguments, regressionSteps, remainingSteps } from "../scripts/regressionPlan.js";
import type { FinishedStep, RegressionStep } from "../scripts/regressionPlan.js";

const steps: readonly RegressionStep[] = ["a", "b"].map(name => ({
    name,
    sites: [`${name}.toml`],
    verb: "score",
    options: ["--quick"],
}));
const finished = (name: string, commit: string, exitCode = 0): FinishedStep => ({ name, commit, tookS: 1, exitCode });

interface RemainingCase {
    readonly name: string;
    readonly finished: readonly FinishedStep[];
    readonly remaining: readonly string[];
}

const cases: readonly RemainingCase[] = [
    { name: "nothing has run", finished: [], remaining: ["a", "b"] },
    { name: "the first step has succeeded", finished: [finished("a", "c1")], remaining: ["b"] },
    { name: "the first step has failed", finished: [finished("a", "c1", 1)], remaining: ["a", "b"] },
    {
        name: "a failed step has succeeded later",
        finished: [finished("a", "c1", 1), finished("a", "c1")],
        remaining: ["b"],
    },
    {
        name: "the steps ran on another commit",
        finished: [finished("a", "c0"), finished("b", "c0")],
        remaining: ["a", "b"],
    },
];

it.each(cases)("$name: $remaining", ({ finished: done, remaining }) => {
    expect(remainingSteps(steps, done, "c1").map(step => step.name)).toEqual(remaining);
});

it("passes the site files and the reason to the bench", () => {
    expect(steps.slice(0, 1).map(step => benchArguments(step, "sites"))).toEqual([
        ["score", "sites/a.toml", "--quick", "--why", "regression: a"],
    ]);
});

it("names each step once", () => {
    const names = regressionSteps.map(step => step.name);
    expect(new Set(names).size).toBe(names.length);
});
