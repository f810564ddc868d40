/**
 * Reservations of a slot and KV memory at decode engines. An engine's response decides whether it has capacity; an engine
 * that granted none is left out for a moment.
 */

import type { Clock } from "../common/clock.js";
import type { EngineDirectory } from "../engines/engineDirectory.js";
import type { EngineHealth } from "../engines/engineHealth.js";
import type { EngineLoads } from "../engines/engineLoads.js";
import type { EnginePort, EngineRecord, Reservation } from "../engines/enginePort.js";
import type { GenerationSize } from "../forwarding/forwardRequest.js";
import type { GenerationRequest } from "../forwarding/routedRequest.js";
import type { EngineRateLimiter } from "../limits/engineRateLimiter.js";
import type { DecisionLog } from "../telemetry/decisionLog.js";
import { prefillTokensPerMs } from "./placement.js";
import type { StreamDurations } from "./streamDurations.js";

/** A slot and KV memory at one decode engine for one request. */
export interface DecodeAllocation {
    readonly engine: EngineRecord;
    /** `undefined` at engines that do not support reservations, and at those that name a rate. */
    readonly reservation: Reservation | undefined;
    /** Whether a permit for the request has been taken, which its engine needs if it is limited. */
    readonly hasPermit: boolean;
    /** Stops counting this work at the engine. It does not release the reservation; the engine ends that itself. */
    readonly end: () => void;
}

export interface DecodeReservations {
    /** `undefined` if the engine refuses or does not respond. */
    readonly tryAllocateAt: (
        generation: GenerationRequest,
        engine: EngineRecord,
    ) => Promise<DecodeAllocation | undefined>;
    /** Whether an engine recently refused a reservation or did not respond to the request for it. */
    readonly isInBackoff: (engine: EngineRecord) => boolean;
}

export interface DecodeReservationsContext {
    readonly clock: Clock;
    readonly directory: EngineDirectory;
    readonly health: EngineHealth;
    readonly loads: EngineLoads;
    readonly engines: EnginePort;
    readonly engineRates: EngineRateLimiter;
    readonly log: DecisionLog;
    readonly durations: StreamDurations;
}

/** Time until an engine that granted no reservation is asked again: about the interval at which its streams end. */
const reservationBackoffMs = 60;
/** An engine that does not respond to a reservation request within this time is treated as unresponsive. */
const reserveTimeoutMs = 300;
/** Added to the expected prefill time to give a reservation's time to live. */
const reservationMarginMs = 1_200;

/** Number of output tokens that a generation is expected to produce. */
export function expectedOutputTokens(size: GenerationSize): number {
    return Math.min(size.maxOutputTokens, size.outputHintTokens ?? Math.ceil(size.maxOutputTokens / 2));
}

/** KV memory in tokens that a generation is expected to need at its end. */
export function expectedKvTokens(size: GenerationSize): number {
    return size.promptTokens + expectedOutputTokens(size);
}

/** `reservedOutputFraction`: see `DecodeSchedulerSettings`. */
export function createDecodeReservations(
    { clock, directory, health, loads, engines, engineRates, log, durations }: DecodeReservationsContext,
    reservedOutputFraction: number,
): DecodeReservations {
    const backoffUntilMs = new Map<string, number>();

    /**
     * Asks one engine for a reservation; `undefined` if it refuses or does not respond. An engine that does not support
     * reservations is used without asking, and so is one that names a rate: a reservation would count as a request.
     */
    async function tryAllocateAt(
        generation: GenerationRequest,
        engine: EngineRecord,
    ): Promise<DecodeAllocation | undefined> {
        const { size, engineSpec, request, service } = generation;
        const isLimited = engineRates.isLimited(engine);
        if (isLimited && !await engineRates.acquire(engine)) {
            return undefined;
        }
        const requestedTokens = size.promptTokens
            + Math.ceil(expectedOutputTokens(size) * reservedOutputFraction);
        const startedAtMs = clock.monotonicMs();
        const endWork = loads.start(engine.id, { requests: 1, kvTokens: expectedKvTokens(size), prefillTokens: 0 });
        const end = (): void => {
            endWork();
            durations.record(service, clock.monotonicMs() - startedAtMs, expectedOutputTokens(size));
        };
        if (isLimited || engineSpec.maxReservationMs === 0) {
            return { engine, reservation: undefined, hasPermit: isLimited, end };
        }
        const reservationTtlMs = Math.min(
            engineSpec.maxReservationMs,
            size.promptTokens / prefillTokensPerMs + reservationMarginMs,
        );
        const reserved = await engines.reserve(engine, requestedTokens, Math.ceil(reservationTtlMs), reserveTimeoutMs);
        if (reserved.isOk && directory.isUsable(engine)) {
            return { engine, reservation: reserved.value, hasPermit: isLimited, end };
        }
        endWork();
        if (reserved.isOk) {
            // The engine has announced meanwhile that it accepts no more requests.
            engines.releaseReservation(engine, reserved.value);
            return undefined;
        }
        backoffUntilMs.set(engine.id, clock.monotonicMs() + reservationBackoffMs);
        if (reserved.error.kind !== "notExecuted") {
            health.recordNoResponse(engine.id, reserved.error);
            log.decision("an engine did not answer a reservation", {
                requestId: request.requestId,
                engine: engine.id,
                service,
                cause: reserved.error.cause,
            });
        }
        return undefined;
    }

    return {
        tryAllocateAt,
        isInBackoff: ({ id }) => (backoffUntilMs.get(id) ?? 0) > clock.monotonicMs(),
    };
}
