/**
 * `gooseberrywell report`: service levels from entries' logs, as an HTML page and a line on the terminal.
 */

import { readFileSync, writeFileSync } from "node:fs";
import { Result } from "true-myth";
import { renderReport } from "../reports/reportPage.js";
import { readRequestLog } from "../reports/requestLog.js";
import { computeServiceLevels } from "../reports/serviceLevels.js";

export interface ReportFlags {
    readonly out?: string;
    /** Percent. */
    readonly target?: number;
    /** Seconds. */
    readonly window?: number;
}

const defaultOut = "report.html";
const defaultTargetPercent = 95;
const defaultWindowS = 2;
const msPerSecond = 1_000;
const whole = 100;

/** Writes the report; the result is a summary, or names the flag or file at fault. */
export function writeReport(files: readonly string[], flags: ReportFlags): Result<string, string> {
    const { out = defaultOut, target = defaultTargetPercent, window = defaultWindowS } = flags;
    if (files.length === 0) {
        return Result.err("report: at least one log file is required");
    }
    if (!(target > 0 && target < whole)) {
        return Result.err(`--target: expected percent between 0 and 100, not ${target}`);
    }
    if (!(window > 0)) {
        return Result.err(`--window: expected a number of seconds, not ${window}`);
    }
    const levelTarget = { goodPart: target / whole, windowMs: window * msPerSecond };
    try {
        const log = readRequestLog(files.map(file => readFileSync(file, "utf8")).join("\n"));
        if (log.requests.length === 0) {
            return Result.err(`${files.join(", ")}: no line tells of a request that ended`);
        }
        const levels = computeServiceLevels(log.requests, levelTarget);
        writeFileSync(out, renderReport(levels, log, levelTarget));
        const { owed, good, burn } = levels.whole;
        return Result.ok(`${good} of ${owed} requests owed were good, burn ${burn.toFixed(2)}; written to ${out}`);
    }
    catch (error) {
        return Result.err((error as Error).message);
    }
}
