/**
 * Tracks whether the engine beside this agent is reachable. Without this check, an engine that is down would report
 * the lowest load and attract requests.
 */

import type { Clock } from "../common/clock.js";
import type { EngineClient, EngineError } from "./engineClient.js";

export interface EndpointHealth {
    readonly isDown: () => boolean;
    /** Records a failed call; an unreachable engine is considered down until a probe succeeds. */
    readonly recordError: (error: EngineError) => void;
}

const probeIntervalMs = 500;

export function createEndpointHealth(
    engine: EngineClient,
    clock: Clock,
    stopped: AbortSignal,
    onChange: () => void,
): EndpointHealth {
    let down = false;

    async function probe(): Promise<void> {
        while (down && !stopped.aborted) {
            await clock.sleep(probeIntervalMs, stopped);
            const response = await engine.running();
            if (response.isOk) {
                down = false;
                onChange();
            }
        }
    }

    return {
        isDown: () => down,
        recordError: error => {
            if (error.kind === "unreachable" && !down) {
                down = true;
                onChange();
                void probe();
            }
        },
    };
}
