/**
 * Structured, rate-limited logging that never blocks the event loop.
 *
 * Decision lines above a rate limit are dropped and counted; the next line that is written reports the count as
 * `linesLeftOut`. Lines are batched and written through an asynchronous stream; while the stream's buffer exceeds its
 * limit, all lines are dropped.
 */

import { write as writeToDescriptor } from "node:fs";
import { Writable } from "node:stream";
import { createLogger, format, transports } from "winston";
import type { Clock } from "../common/clock.js";
import type { Log } from "./telemetry.js";

export type LogFields = Readonly<Record<string, unknown>>;

export interface DecisionLog extends Log {
    readonly error: (message: string, fields: LogFields) => void;
    /** Logs a decision about a single request; dropped above the rate limit. */
    readonly decision: (message: string, fields: LogFields) => void;
    /** Resolves when all lines logged so far are written; called before the process exits. */
    readonly flush: () => Promise<void>;
}

export interface DecisionLogSettings {
    /** Maximum number of decision lines per second. */
    readonly linesPerSecond: number;
    /** Lines are dropped while more bytes than this wait to be written. */
    readonly maxPendingBytes: number;
    /** Time for which lines are collected before they are written together. */
    readonly batchIntervalMs: number;
}

export const defaultDecisionLogSettings: DecisionLogSettings = {
    linesPerSecond: 150,
    maxPendingBytes: 262_144,
    batchIntervalMs: 50,
};

const msPerSecond = 1_000;
const standardOutput = 1;
/** Until the output is tried again while its reader is behind. */
const outputRetryMs = 50;

/** Writes some of the bytes to standard output; `done` gets the number of those written. */
export type WriteOutput = (bytes: Buffer, done: (error: NodeJS.ErrnoException | null, written: number) => void) => void;

/**
 * Opens a stream to standard output that does not block on a slow reader, as `process.stdout` would, and that never
 * fails: an entry goes on without its log. While the reader of a descriptor that does not block is behind, the bytes are
 * written again later; after another error, such as that the reader has gone, they are dropped.
 */
export function openStandardOutput(
    clock: Pick<Clock, "sleep">,
    write: WriteOutput = (bytes, done) => writeToDescriptor(standardOutput, bytes, done),
): Writable {
    const writeAll = (bytes: Buffer, done: () => void): void =>
        write(bytes, (error, written) => {
            const isBehind = error?.code === "EAGAIN";
            const rest = isBehind ? bytes : bytes.subarray(written);
            if (error !== null && !isBehind || rest.length === 0) {
                done();
            }
            else if (isBehind || written === 0) {
                void clock.sleep(outputRetryMs).then(() => writeAll(rest, done));
            }
            else {
                writeAll(rest, done);
            }
        });
    return new Writable({
        write: (chunk: Buffer, encoding, done) => writeAll(chunk, done),
        writev: (chunks, done) => writeAll(Buffer.concat(chunks.map(({ chunk }) => chunk as Buffer)), done),
    });
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
    let droppedLines = 0;
    let isBatching = false;

    async function startBatch(): Promise<void> {
        isBatching = true;
        output.cork();
        await clock.sleep(settings.batchIntervalMs);
        isBatching = false;
        output.uncork();
    }

    function write(level: "info" | "warn" | "error", message: string, fields: LogFields = {}): void {
        if (output.writableLength > settings.maxPendingBytes) {
            droppedLines += 1;
            return;
        }
        const dropCount = droppedLines === 0 ? {} : { linesLeftOut: droppedLines };
        droppedLines = 0;
        if (!isBatching) {
            void startBatch();
        }
        logger.log({ ...fields, level, message, timeMs: clock.wallMs(), ...dropCount });
    }

    return {
        info: (message, fields) => write("info", message, fields),
        warn: (message, fields) => write("warn", message, fields),
        error: (message, fields) => write("error", message, fields),
        decision: (message, fields) => {
            const nowMs = clock.monotonicMs();
            if (nowMs - windowStartMs >= msPerSecond) {
                windowStartMs = nowMs;
                linesInWindow = 0;
            }
            if (linesInWindow >= settings.linesPerSecond) {
                droppedLines += 1;
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
