/**
 * CPU time and resident memory of a process, read from `/proc` (Linux only).
 */

import { readFileSync } from "node:fs";
import type { Process } from "../fakes/site.js";

const clockTicksPerSecond = 100;
// Field positions after the process name, which is in parentheses and may contain spaces.
const userTicksField = 11;
const systemTicksField = 12;

/** User and system CPU time since the start of the process, in seconds. */
export function cpuSeconds(process: Process): number {
    const stat = readFileSync(`/proc/${process.child.pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTicksField]) + Number(fields[systemTicksField])) / clockTicksPerSecond;
}

/** Current resident memory, in bytes. */
export function residentBytes(process: Process): number {
    const status = readFileSync(`/proc/${process.child.pid}/status`, "utf8");
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? "0";
    return Number(kilobytes) * 1024;
}
