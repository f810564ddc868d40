/**
 * The processor time of a started process, as the system accounts it (Linux).
 */

import { readFileSync } from "node:fs";
import type { Process } from "../fakes/site.js";

const clockTicksPerSecond = 100;
// Positions after the process's name, which is in parentheses and may contain blanks.
const userTicksField = 11;
const systemTicksField = 12;

/** User and system time so far, in seconds. */
export function processorSeconds(process: Process): number {
    const stat = readFileSync(`/proc/${process.child.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTicksField]) + Number(fields[systemTicksField])) / clockTicksPerSecond;
}

/** Resident memory now, in bytes. */
export function residentBytes(process: Process): number {
    const status = readFileSync(`/proc/${process.child.pid}/status`, "utf8");
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? "0";
    return Number(kilobytes) * 1024;
}
