/**
 * `gooseberrywell report`: computes service levels from the logs of entries and writes them as an HTML page.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { Result } from "true-myth";
import { renderReport } from "../reports/reportPage.js";
import { readRequestLog } from "../reports/requestLog.js";
import { computeServiceLevels } from "../reports/serviceLevels.js";

export interface ReportFlags {
    readonly out?: string;
    /** Percentage of eligible requests that should be good. */
    readonly target?: number;
    /** Length of a time window in seconds. */
    readonly window?: number;
}

const defaultOut = "report.html";
const defaultTargetPercent = 95;
const defaultWindowS = 2;
const msPerSecond = 1_000;
const maxPercent = 100;

/** Writes the report and returns a one-line summary; the error names the invalid flag or file. */
export function writeReport(files: readonly string[], flags: ReportFlags): Result<string, string> {
    const { out = defaultOut, target = defaultTargetPercent, window = defaultWindowS } = flags;
    if (files.length === 0) {
        return Result.err("report: at least one log file is required");
    }
    if (!(target > 0 && target < maxPercent)) {
        return Result.err(`--target: expected a percentage between 0 and 100, not ${target}`);
    }
    if (!(window > 0)) {
        return Result.err(`--window: expected a number of seconds, not ${window}`);
    }
    const serviceLevelTarget = { goodFraction: target / maxPercent, windowMs: window * msPerSecond };
    try {
        const log = readRequestLog(files.map(file => readFileSync(file, "utf8")).join("\n"));
        if (log.requests.length === 0) {
            return Result.err(`${files.join(", ")}: no 'request ended' line found`);
        }
        const levels = computeServiceLevels(log.requests, serviceLevelTarget);
        writeFileSync(out, renderReport(levels, log, serviceLevelTarget));
        const { eligible, good, burnRate } = levels.overall;
        return Result.ok(
            `${good} of ${eligible} requests owed were good, burn ${burnRate.toFixed(2)}; written to ${out}`,
        );
    }
    catch (error) {
        return Result.err((error as Error).message);
    }
}
