/**
 * The regression runs: which deployments are played on the users' bench before a landing, and how.
 *
 * A newer set of site files replaces the oldest one once its gate has been passed.
 */

export interface RegressionStep {
    /** Name of the step in the state file. */
    readonly name: string;
    /** Site files, relative to the directory of the deployments. */
    readonly sites: readonly string[];
    /** Arguments of the bench besides the site files. */
    readonly verb: "score" | "hunt";
    readonly options: readonly string[];
}

const huntDays = 40;
/** For sites of 60 machines and more. */
const largeHuntDays = 8;

const further = "further/crgsa-grind.toml";
const furtherGrown = "further-grown/crgsa-grind-grown.toml";
const large = "large/epg-field-large.toml";
const earlier = [
    "grown/epg-field-grown.toml",
    "grown/cwtch-heat-grown.toml",
    "shifted/epg-field-now-grown.toml",
];

function hunt(name: string, site: string, days: number): RegressionStep {
    return { name, sites: [site], verb: "hunt", options: ["--days", String(days)] };
}

/** All steps in the order in which they are run: the ones that find broken rules first. */
export const regressionSteps: readonly RegressionStep[] = [
    hunt("hunt-further", further, huntDays),
    hunt("hunt-further-grown", furtherGrown, huntDays),
    hunt("hunt-large", large, largeHuntDays),
    { name: "quick-earlier", sites: earlier, verb: "score", options: ["--quick"] },
    { name: "score-further", sites: [further, furtherGrown], verb: "score", options: [] },
    { name: "score-large", sites: [large], verb: "score", options: [] },
];

/** A finished step: the commit that it ran on and its bench time. */
export interface FinishedStep {
    readonly name: string;
    readonly commit: string;
    readonly tookS: number;
    readonly exitCode: number;
}

/** The steps that have not succeeded on `commit` yet; a step that was interrupted or failed is run again. */
export function remainingSteps(
    steps: readonly RegressionStep[],
    finished: readonly FinishedStep[],
    commit: string,
): readonly RegressionStep[] {
    const done = new Set(
        finished.filter(step => step.commit === commit && step.exitCode === 0).map(step => step.name),
    );
    return steps.filter(step => !done.has(step.name));
}

/** Arguments with which the bench plays a step; `sitesDirectory` holds the deployments. */
export function benchArguments(
    { name, sites, verb, options }: RegressionStep,
    sitesDirectory: string,
): readonly string[] {
    return [verb, ...sites.map(site => `${sitesDirectory}/${site}`), ...options, "--why", `regression: ${name}`];
}
