/**
 * Notices that the engine beside this agent does not answer, and when it does again. Without this, a dead engine
 * would look like the least loaded one and attract work.
 */

import type { Clock } from "../common/clock.js";
import type { EngineClient, EngineError } from "./engineClient.js";

export interface EndpointHealth {
    readonly isDown: () => boolean;
    /** Notes a failed call; an engine that can't be reached counts as down until a probe succeeds. */
    readonly noteError: (error: EngineError) => void;
}

const probeMs = 500;

export function createEndpointHealth(
    engine: EngineClient,
    clock: Clock,
    stopped: AbortSignal,
    onChange: () => void,
): EndpointHealth {
    let down = false;

    async function probe(): Promise<void> {
        while (down && !stopped.aborted) {
            await clock.sleep(probeMs, stopped);
            const answer = await engine.running();
            if (answer.isOk) {
                down = false;
                onChange();
            }
        }
    }

    return {
        isDown: () => down,
        noteError: error => {
            if (error.kind === "unreachable" && !down) {
                down = true;
                onChange();
                void probe();
            }
        },
    };
}
