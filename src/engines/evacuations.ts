/**
 * Data centres that the operator has evacuated: nothing more is sent to their engines until they are taken back.
 *
 * The operator's rows in the store are the only state. Each copy of their table replaces what was known, whether it came
 * from the store or from another entry. Only a store that was restored from an older copy may have lost a row that the
 * operator has not removed, so a data centre that such a copy omits stays evacuated while the operator writes the lost
 * rows again.
 */

import type { Clock } from "../common/clock.js";
import type { CopyOrigin } from "../peerSync/tableReplica.js";
import type { Log } from "../telemetry/telemetry.js";

export interface Evacuations {
    readonly isEvacuated: (dataCentre: string) => boolean;
    /** Names of the evacuated data centres. */
    readonly dataCentres: () => readonly string[];
    /** Replaces what is known by the data centres that the rows of a copy name. */
    readonly apply: (dataCentres: readonly string[], origin: CopyOrigin) => void;
    /** Calls `listener` with the data centres that have been taken back, after each change. */
    readonly onChange: (listener: (takenBack: readonly string[]) => void) => void;
}

/** Time for which the operator may need to write rows again that a restored store has lost. */
export const lostRowGraceMs = 30_000;

export function createEvacuations(clock: Clock, log: Log): Evacuations {
    let named: ReadonlySet<string> = new Set();
    /** Monotonic times until which data centres stay evacuated whose rows a restored store has lost. */
    const lostUntilMs = new Map<string, number>();
    let evacuated: ReadonlySet<string> = new Set();
    let stopTimer: (() => void) | undefined;
    const listeners: ((takenBack: readonly string[]) => void)[] = [];

    function update(): void {
        const nowMs = clock.monotonicMs();
        for (const [dataCentre, untilMs] of lostUntilMs) {
            if (untilMs <= nowMs || named.has(dataCentre)) {
                lostUntilMs.delete(dataCentre);
            }
        }
        // A timer may fire a little early, so a further one is started while a row is left.
        stopTimer?.();
        stopTimer = lostUntilMs.size === 0
            ? undefined
            : clock.startTimer(Math.max(1, Math.min(...lostUntilMs.values()) - nowMs), update);
        const next = new Set([...named, ...lostUntilMs.keys()]);
        const added = [...next].filter(dataCentre => !evacuated.has(dataCentre));
        const takenBack = [...evacuated].filter(dataCentre => !next.has(dataCentre));
        evacuated = next;
        added.forEach(dataCentre => log.info("a data centre is evacuated", { dataCentre }));
        takenBack.forEach(dataCentre => log.info("a data centre is taken back", { dataCentre }));
        if (added.length > 0 || takenBack.length > 0) {
            listeners.forEach(listener => listener(takenBack));
        }
    }

    return {
        isEvacuated: dataCentre => evacuated.has(dataCentre),
        dataCentres: () => [...evacuated],
        apply: (dataCentres, origin) => {
            const lost = origin === "afterRestoration"
                ? [...named].filter(dataCentre => !dataCentres.includes(dataCentre))
                : [];
            for (const dataCentre of lost) {
                log.warn("a restored store has lost the evacuation of a data centre", { dataCentre, lostRowGraceMs });
                lostUntilMs.set(dataCentre, clock.monotonicMs() + lostRowGraceMs);
            }
            named = new Set(dataCentres);
            update();
        },
        onChange: listener => void listeners.push(listener),
    };
}
