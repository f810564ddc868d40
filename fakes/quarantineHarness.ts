/**
 * Test harness for the quarantine: one entry's quarantine on a virtual clock, with scripted runs at engines.
 */

import { Result } from "true-myth";
import type { EngineError, EngineReport } from "../src/engines/enginePort.js";
import { createEngineRuns } from "../src/quarantine/engineRuns.js";
import type { RunEnd } from "../src/quarantine/engineRuns.js";
import { createRequestQuarantine } from "../src/quarantine/requestQuarantine.js";
import type { RequestQuarantine } from "../src/quarantine/requestQuarantine.js";
import { engineRecord, silentDecisionLog } from "./forwardingHarness.js";
import type { VirtualClock } from "./virtualClock.js";

export type Reported = Result<EngineReport, EngineError>;

/** Nothing listens at the engine's address. */
export const refused: Reported = Result.err({ kind: "unreachable", cause: "refused", isConnectionRefused: true });

/** The quarantine of one entry, and runs of requests at engines that it hears of. */
export interface QuarantineEntry {
    readonly quarantine: RequestQuarantine;
    /** Runs a request with these parts at an engine; it writes for `outputMs`, if at all, and ends. */
    readonly run: (
        engine: string,
        parts: string,
        how: RunEnd,
        outputMs?: number,
        outputs?: number,
    ) => Promise<boolean>;
    readonly isRefused: (parts: string) => boolean;
}

const split = (parts: string): readonly string[] => parts.split(" ");

/** Engines respond to the question whether they have ended with `reports`, the last one from then on. */
export function createQuarantineEntry(clock: VirtualClock, reports: readonly Reported[] = [refused]): QuarantineEntry {
    let next = 0;
    const quarantine = createRequestQuarantine({ clock, log: silentDecisionLog, onEvidence: () => undefined });
    const runs = createEngineRuns({
        clock,
        quarantine,
        report: async () => reports[Math.min(next++, reports.length - 1)] ?? refused,
        isReplaced: () => false,
    });
    return {
        quarantine,
        run: async (engine, parts, how, outputMs, outputs = 5) => {
            const run = runs.start(engineRecord(engine, "decode"), split(parts));
            if (outputMs !== undefined) {
                Array.from({ length: outputs }, run.recordOutput);
                await clock.advance(outputMs);
            }
            const ended = run.end(how);
            await clock.advance(500);
            return ended;
        },
        isRefused: parts => quarantine.find(split(parts)) !== undefined,
    };
}
