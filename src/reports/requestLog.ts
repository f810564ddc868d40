/**
 * Parses the line that an entry logs at the end of each request (`docs/OPERATIONS.md`); other lines are ignored.
 */

import { z } from "zod";
import { parseJson } from "../common/json.js";

/** How one request ended. Optional fields are `undefined` if the line lacks them. */
export interface EndedRequest {
    /** Unix time. */
    readonly endedAtMs: number;
    /** HTTP status of the response, or `broken` if the response was interrupted. */
    readonly outcome: string;
    readonly tookMs: number;
    /** Time to the first byte of the response. */
    readonly firstByteMs: number | undefined;
    readonly clientAccount: string | undefined;
    readonly route: string | undefined;
    /** Response-time objective of the route. */
    readonly objectiveMs: number | undefined;
}

export interface RequestLog {
    readonly requests: readonly EndedRequest[];
    /** Lines that the entries dropped because there were too many. */
    readonly linesLeftOut: number;
    /** Lines with a JSON object that could not be parsed as a log line. */
    readonly linesUnreadable: number;
}

const requestEndedMessage = "request ended";

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

/** Parses a log. Text before a line's JSON object, such as the time and host from a log collector, is ignored. */
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
        const { message, timeMs, outcome, linesLeftOut: droppedLines, ...fields } = parsed.value;
        linesLeftOut += droppedLines;
        if (message === requestEndedMessage && outcome !== undefined) {
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
