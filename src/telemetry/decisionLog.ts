/**
 * Structured log lines for decisions, bounded in number and never blocking.
 *
 * Above a rate, lines are left out and counted; the count goes out with the next line. Lines are gathered for a moment and
 * written together through an asynchronous stream; while that can't keep up, lines are left out as well.
 */

import { createWriteStream } from "node:fs";
import type { Writable } from "node:stream";
import { createLogger, format, transports } from "winston";
import type { Clock } from "../common/clock.js";
import type { Log } from "./telemetry.js";

export type LogFields = Readonly<Record<string, unknown>>;

export interface DecisionLog extends Log {
    /** A decision that touches one request; left out above the rate limit. */
    readonly decision: (message: string, fields: LogFields) => void;
    /** Resolves when all lines so far are written; for the end of the process. */
    readonly flush: () => Promise<void>;
}

export interface DecisionLogSettings {
    /** Largest number of decision lines in a second. */
    readonly linesPerSecond: number;
    /** Lines are left out while more than this waits to be written. */
    readonly maxPendingBytes: number;
    /** Lines are gathered for this long, so that one write serves several. */
    readonly gatherMs: number;
}

export const defaultDecisionLogSettings: DecisionLogSettings = {
    linesPerSecond: 150,
    maxPendingBytes: 262_144,
    gatherMs: 50,
};

const msPerSecond = 1_000;
const standardOutput = 1;

/** A stream to standard output that doesn't block when the reader is slow, as the one of the process would. */
export function openStandardOutput(): Writable {
    return createWriteStream("", { fd: standardOutput, autoClose: false });
}

export function createDecisionLog(
    host: string,
    clock: Clock,
    output: Writable,
    settings: DecisionLogSettings = defaultDecisionLogSettings,
): DecisionLog {
    const logger = createLogger({
        level: "info",
        defaultMeta: { host },
        format: format.json(),
        transports: [new transports.Stream({ stream: output })],
    });
    let windowStartMs = clock.monotonicMs();
    let linesInWindow = 0;
    let leftOut = 0;
    let isGathering = false;

    async function gather(): Promise<void> {
        isGathering = true;
        output.cork();
        await clock.sleep(settings.gatherMs);
        isGathering = false;
        output.uncork();
    }

    function write(level: "info" | "warn", message: string, fields: LogFields = {}): void {
        if (output.writableLength > settings.maxPendingBytes) {
            leftOut += 1;
            return;
        }
        const counted = leftOut === 0 ? {} : { linesLeftOut: leftOut };
        leftOut = 0;
        if (!isGathering) {
            void gather();
        }
        logger.log({ level, message, timeMs: clock.wallMs(), ...fields, ...counted });
    }

    return {
        info: (message, fields) => write("info", message, fields),
        warn: (message, fields) => write("warn", message, fields),
        decision: (message, fields) => {
            const nowMs = clock.monotonicMs();
            if (nowMs - windowStartMs >= msPerSecond) {
                windowStartMs = nowMs;
                linesInWindow = 0;
            }
            if (linesInWindow >= settings.linesPerSecond) {
                leftOut += 1;
                return;
            }
            linesInWindow += 1;
            write("info", message, fields);
        },
        flush: () =>
            new Promise(resolve => {
                output.write("", () => resolve());
                output.uncork();
            }),
    };
}
