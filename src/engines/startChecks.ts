/**
 * Checks that the process at an engine's address is still the start that the registry names. An engine may start again at
 * its address and under its id, also with another software version, and the registry's copy may not show that yet: for
 * seconds, or throughout an outage of the store.
 *
 * A connection leads to one process, so a start that has been confirmed holds until another connection is opened.
 */

import type { Clock } from "../common/clock.js";
import type { Log } from "../telemetry/telemetry.js";
import { startKey } from "./engineNotices.js";
import type { EnginePort, EngineRecord } from "./enginePort.js";

export interface StartChecks {
    /** Whether all connections to the engine are known to lead to this start of it. */
    readonly isConfirmed: (engine: EngineRecord) => Promise<boolean>;
    /** Forgets the starts that are not in `engines`. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
}

const reportTimeoutMs = 300;

export function createStartChecks(
    { report, connectedAtMs }: Pick<EnginePort, "report" | "connectedAtMs">,
    clock: Clock,
    log: Log,
): StartChecks {
    const confirmedAtMs = new Map<string, number>();

    async function confirm(engine: EngineRecord): Promise<boolean> {
        const reported = await report(engine, reportTimeoutMs);
        const { id, bornMs } = engine;
        if (reported.isErr || reported.value.bornMs !== bornMs) {
            log.info("an engine could not be confirmed to be the start that its record names", {
                engine: id,
                bornMs,
                cause: reported.isErr ? reported.error.cause : `it started at ${reported.value.bornMs}`,
            });
            return false;
        }
        confirmedAtMs.set(startKey(engine), clock.monotonicMs());
        return true;
    }

    return {
        isConfirmed: async engine => {
            const confirmedMs = confirmedAtMs.get(startKey(engine)) ?? Number.NEGATIVE_INFINITY;
            return confirmedMs >= connectedAtMs(engine) || confirm(engine);
        },
        keepOnly: engines => {
            const kept = new Set(engines.map(startKey));
            [...confirmedAtMs.keys()].filter(key => !kept.has(key)).forEach(key => confirmedAtMs.delete(key));
        },
    };
}
