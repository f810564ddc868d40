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
    /**
     * Checks whether the engine has ended; called after work that broke off. Resolves to the wall-clock time in ms at which
     * that was found, the same one until the engine is reachable again, or to `undefined` if it is reachable.
     */
    readonly checkEnded: () => Promise<number | undefined>;
}

const probeIntervalMs = 500;

export function createEndpointHealth(
    engine: EngineClient,
    clock: Clock,
    stopped: AbortSignal,
    onChange: () => void,
): EndpointHealth {
    let down = false;
    let downSinceMs: number | undefined;

    async function probe(): Promise<void> {
        while (down && !stopped.aborted) {
            await clock.sleep(probeIntervalMs, stopped);
            const response = await engine.running();
            if (response.isOk) {
                down = false;
                downSinceMs = undefined;
                onChange();
            }
        }
    }

    function recordError(error: EngineError): void {
        if (error.kind === "unreachable" && !down) {
            down = true;
            downSinceMs = clock.wallMs();
            onChange();
            void probe();
        }
    }

    return {
        isDown: () => down,
        recordError,
        checkEnded: async () => {
            const running = down ? undefined : await engine.running();
            if (running?.isErr) {
                recordError(running.error);
            }
            return downSinceMs;
        },
    };
}
