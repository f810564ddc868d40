/**
 * Reads what entries log at the end of each request (`docs/OPERATIONS.md`); all other lines are passed over.
 */

import { z } from "zod";
import { parseJson } from "../common/json.js";

/** How one request ended; times in milliseconds. */
export interface EndedRequest {
    readonly endedAtMs: number;
    /** Status of the answer, or `broken` if it broke off. */
    readonly outcome: string;
    readonly tookMs: number;
    /** Time to the first byte of an answer. */
    readonly firstByteMs: number | undefined;
    readonly clientAccount: string | undefined;
    readonly route: string | undefined;
    readonly objectiveMs: number | undefined;
}

export interface RequestLog {
    readonly requests: readonly EndedRequest[];
    /** Lines that the entries left out because there were too many. */
    readonly linesLeftOut: number;
    /** Lines that look like log lines but can't be read. */
    readonly linesUnreadable: number;
}

const messageOfInterest = "request ended";

const lineSchema = z.object({
    message: z.string(),
    timeMs: z.number(),
    linesLeftOut: z.number().default(0),
    outcome: z.string().optional(),
    tookMs: z.number().default(0),
    firstByteMs: z.number().optional(),
    clientAccount: z.string().optional(),
    route: z.string().optional(),
    objectiveMs: z.number().optional(),
});

/** Reads a log; what stands before a line's first brace, such as a collector's own time and host, is ignored. */
export function readRequestLog(text: string): RequestLog {
    const requests: EndedRequest[] = [];
    let linesLeftOut = 0;
    let linesUnreadable = 0;
    for (const line of text.split("\n")) {
        const start = line.indexOf("{\"");
        if (start < 0) {
            continue;
        }
        const parsed = parseJson(lineSchema, line.slice(start));
        if (parsed.isErr) {
            linesUnreadable += 1;
            continue;
        }
        const { message, timeMs, outcome, linesLeftOut: leftOut, ...fields } = parsed.value;
        linesLeftOut += leftOut;
        if (message === messageOfInterest && outcome !== undefined) {
            requests.push({
                endedAtMs: timeMs,
                outcome,
                tookMs: fields.tookMs,
                firstByteMs: fields.firstByteMs,
                clientAccount: fields.clientAccount,
                route: fields.route,
                objectiveMs: fields.objectiveMs,
            });
        }
    }
    return { requests, linesLeftOut, linesUnreadable };
}
