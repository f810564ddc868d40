/**
 * The decision log: batched writes, the rate limit, and the count of dropped lines.
 */

import { Writable } from "node:stream";
import { describe, expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createDecisionLog, openStandardOutput } from "./decisionLog.js";

const settings = { linesPerSecond: 5, maxPendingBytes: 10_000, batchIntervalMs: 50 };

/** Creates a stream that records the chunks of each write. */
function createOutput(): { readonly output: Writable; readonly writes: string[][]; } {
    const writes: string[][] = [];
    const output = new Writable({
        write: (chunk: Buffer, encoding, done) => {
            writes.push([chunk.toString()]);
            done();
        },
        writev: (chunks, done) => {
            writes.push(chunks.map(({ chunk }) => (chunk as Buffer).toString()));
            done();
        },
    });
    return { output, writes };
}

function linesOf(writes: readonly (readonly string[])[]): readonly Record<string, unknown>[] {
    return writes.flat().join("").trim().split("\n").map(line => JSON.parse(line) as Record<string, unknown>);
}

describe("the decision log", () => {
    it("writes the lines of one batch interval together", async () => {
        const clock = createVirtualClock();
        const { output, writes } = createOutput();
        const log = createDecisionLog("h", clock, output, settings);
        log.info("one", { a: 1 });
        log.decision("two", { b: 2 });
        expect(writes).toHaveLength(0);
        await clock.advance(settings.batchIntervalMs);
        expect(writes).toHaveLength(1);
        expect(linesOf(writes)).toMatchObject([{ message: "one", a: 1, host: "h" }, { message: "two", b: 2 }]);
        log.warn("three", {});
        await clock.advance(settings.batchIntervalMs);
        expect(writes).toHaveLength(2);
    });

    it("drops decisions above the rate limit, and reports their number with the next line", async () => {
        const clock = createVirtualClock();
        const { output, writes } = createOutput();
        const log = createDecisionLog("h", clock, output, settings);
        for (let line = 0; line < 8; line++) {
            log.decision("decided", { line });
        }
        log.info("an event of its own", {});
        await clock.advance(1_000);
        const lines = linesOf(writes);
        expect(lines).toHaveLength(settings.linesPerSecond + 1);
        expect(lines.at(-1)).toMatchObject({ message: "an event of its own", linesLeftOut: 3 });
    });

    it("drops lines while the reader is too slow", async () => {
        const clock = createVirtualClock();
        let release: (() => void) | undefined;
        const written: string[] = [];
        const output = new Writable({
            write: (chunk: Buffer, encoding, done) => {
                written.push(chunk.toString());
                release = done;
            },
        });
        const log = createDecisionLog("h", clock, output, { ...settings, maxPendingBytes: 200 });
        for (let line = 0; line < 20; line++) {
            log.info("a line", { line });
        }
        await clock.advance(settings.batchIntervalMs);
        while (release !== undefined) {
            const done = release;
            release = undefined;
            done();
            await clock.settle();
        }
        log.info("later", {});
        await clock.advance(settings.batchIntervalMs);
        expect(written.length).toBeLessThan(10);
        expect(JSON.parse(written.at(-1) ?? "{}")).toHaveProperty("linesLeftOut");
    });

    it("writes the current batch on flush", async () => {
        const clock = createVirtualClock();
        const { output, writes } = createOutput();
        const log = createDecisionLog("h", clock, output, settings);
        log.info("the last line", {});
        await log.flush();
        expect(linesOf(writes)).toMatchObject([{ message: "the last line" }]);
    });
});

describe("standard output", () => {
    // Any of these errors ended the entry, with every request that it had read.
    it.each([
        { name: "its reader is behind", failures: ["EAGAIN", "EAGAIN", "EAGAIN"], lost: 0 },
        { name: "its reader is behind for long", failures: Array.from({ length: 40 }, () => "EAGAIN"), lost: 0 },
        { name: "its reader has gone", failures: ["EPIPE"], lost: 1 },
        { name: "there is no space left", failures: ["ENOSPC", "ENOSPC"], lost: 2 },
    ])("$name: it goes on, and loses no bytes but those that cannot be written", async ({ failures, lost }) => {
        const clock = createVirtualClock();
        const pending = [...failures];
        let written = "";
        const output = openStandardOutput(clock, (bytes, done) => {
            const code = pending.shift();
            // Writes a few bytes at a time, as a pipe does that is nearly full.
            const count = code === undefined ? Math.min(7, bytes.length) : 0;
            written += bytes.subarray(0, count).toString();
            const error = code === undefined ? null : Object.assign(new Error(code), { code });
            setImmediate(() => done(error, count));
        });
        for (let line = 0; line < 4; line++) {
            output.write(`line ${line} of the log\n`);
            await clock.advance(2_500);
        }
        await clock.advance(2_500);
        const lines = [0, 1, 2, 3].map(line => `line ${line} of the log\n`);
        expect(written).toBe(lines.slice(lost).join(""));
    });
});
