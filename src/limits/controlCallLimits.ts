/**
 * Counts control calls to engines against the rates that they name: reservations, reports, orders and releases.
 *
 * Requests and prefills are passed on as they are; forwarding acquires their permits where it chooses an engine.
 */

import { Result } from "true-myth";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineError, EnginePort, EngineRecord } from "../engines/enginePort.js";
import type { Log } from "../telemetry/telemetry.js";
import type { EngineRateLimiter } from "./engineRateLimiter.js";

const statusTooManyRequests = 429;
const cause = "the engine accepts no request now, by the rate that it names";

/** Wraps `engines` so that control calls beyond an engine's rate are not sent. */
export function limitControlCalls(
    engines: EnginePort,
    rates: EngineRateLimiter,
    directory: Pick<EngineDirectory, "known">,
    log: Log,
): EnginePort {
    /** A resource that isn't released is freed when its time to live ends. */
    async function release(engine: EngineRecord | undefined, send: () => void): Promise<void> {
        if (engine === undefined || await rates.acquire(engine)) {
            send();
            return;
        }
        log.info("a resource was left to expire at an engine that accepts no request now", { engine: engine.id });
    }

    return {
        ...engines,
        reserve: async (engine, tokens, ttlMs, timeoutMs) =>
            await rates.acquire(engine) ? engines.reserve(engine, tokens, ttlMs, timeoutMs) : rejected(),
        report: async (engine, timeoutMs) =>
            await rates.acquire(engine)
                ? engines.report(engine, timeoutMs)
                : Result.err({ kind: "unreachable", cause }),
        checkStatus: async (engine, path, timeoutMs) =>
            await rates.acquire(engine) ? engines.checkStatus(engine, path, timeoutMs) : rejected(),
        orderStage: async (engine, order, timeoutMs) =>
            await rates.acquire(engine) ? engines.orderStage(engine, order, timeoutMs) : "rejected",
        releaseReservation: (engine, reservation) =>
            void release(engine, () => engines.releaseReservation(engine, reservation)),
        releaseCache: cache => {
            const engine = directory.known().find(({ address }) => address === cache.address);
            void release(engine, () => engines.releaseCache(cache));
        },
    };
}

function rejected(): Result<never, EngineError> {
    return Result.err({ kind: "notExecuted", status: statusTooManyRequests, cause });
}
