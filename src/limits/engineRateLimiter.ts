/**
 * Limits the requests to engines that name a rate for all entries together (see `engineRates`), and to cold engines (see
 * `coldEngines`); where both hold, the lower rate does.
 *
 * One entry, the counter of an engine, has the only token bucket for that engine; every request to the engine takes a
 * token there first. Dividing the rate among entries instead would add up their bursts, and leave parts unused where no
 * requests arrive. All entries choose the same counter by rendezvous hashing of the engine over the entries that are
 * live and have been running for some time, so that a new entry takes over only once all others know it.
 *
 * A new counter starts with an empty bucket, so a change of the counter admits no second burst. A counter that doesn't
 * respond is replaced by the next entry in the order, after that one has tried to reach it as well. A counter that sees
 * only some of the entries uses only their fraction of the rate: entries that are cut off from each other choose
 * different counters.
 */

import { removeOldest } from "../common/bounded.js";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import { chooseByRendezvous } from "../common/rendezvous.js";
import type { ColdEngines } from "../engines/coldEngines.js";
import { startKey } from "../engines/engineNotices.js";
import type { EngineStart } from "../engines/engineNotices.js";
import type { EngineRates } from "../engines/engineRates.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Log } from "../telemetry/telemetry.js";
import { createBucket } from "./bucket.js";
import type { BucketLimits, TokenBucket } from "./bucket.js";
import { acquirePermitSchema, engineRateMethods, permitResponseSchema } from "./messages.js";
import type { PermitResponse } from "./messages.js";
import { createRetryPacing } from "./retryPacing.js";

export interface EngineRateLimiter {
    /** Takes a permit for one request; resolves to false if the engine accepts none now. */
    readonly acquire: (engine: EngineStart) => Promise<boolean>;
    /** Base URL of the entry that counts the requests to an engine, as this entry sees it. */
    readonly counterOf: (engine: EngineStart) => string;
    /** Whether the engine names a rate, or is cold. */
    readonly isLimited: (engine: EngineStart) => boolean;
    /** Whether there are engines and each of them is known to accept no request now. */
    readonly areExhausted: (engines: readonly EngineStart[]) => boolean;
    /** Delay in ms for the next caller of a service that is refused because all of its `engines` are exhausted. */
    readonly retryAfterMs: (service: string, engines: readonly EngineStart[]) => number;
    /** Methods that other entries call. */
    readonly methods: RpcMethods;
}

/** In any second, a cold engine may get its rate times `overshoot`, and `slack` requests besides. */
export interface ColdRateTolerance {
    readonly overshoot: number;
    readonly slack: number;
}

export interface EngineRateLimiterDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly rpc: RpcClient;
    readonly log: Log;
    readonly rates: EngineRates;
    readonly coldEngines: Pick<ColdEngines, "rateOf" | "remainingMs" | "suspect">;
    readonly coldRate: ColdRateTolerance;
    /** Base URL of this entry. */
    readonly url: string;
    /** Base URLs of the entries that may be counters, see `PeerSync`. */
    readonly stableEntries: () => readonly string[];
    /** Fraction of the entries that are live, from 0 to 1. */
    readonly liveFraction: () => number;
}

/** An engine that names 0 still gets a request at this rate: only a response tells that it accepts more again. */
const minRatePerSecond = 0.1;
/** Tokens that a bucket holds: the requests of this time, but at least one. */
const burstS = 0.5;
/**
 * Fraction of the tolerance of a cold engine's rate that its bucket holds; the rest is for requests that arrive closer
 * together than they were sent, and for two entries that count at the same time.
 */
const coldBurstFraction = 0.25;
const callTimeoutMs = 200;
/** Less than `callTimeoutMs`, so that the caller still gets the response of the entry that it asked. */
const forwardTimeoutMs = 120;
/** An entry that didn't respond is not asked again for this time. */
const suspicionMs = 2_000;
/** Calls in progress to the counter of one engine; further requests use other engines. */
const maxPendingCalls = 8;
/** An exhausted engine's counter is asked again after this time for each entry at the earliest, to bound its load. */
const minPausePerEntryMs = 1;
/** Starts of engines whose state is kept; the least recently used one is forgotten first. */
const maxTrackedStarts = 2_000;
/** Time after which an engine is asked for again whose rate its counter does not know yet. */
const unknownRateWaitMs = 100;
const granted: PermitResponse = { isGranted: true, waitMs: 0 };

export function createEngineRateLimiter(dependencies: EngineRateLimiterDependencies): EngineRateLimiter {
    const { clock, random, rpc, log, rates, coldEngines, url, stableEntries, liveFraction } = dependencies;
    const buckets = new Map<string, TokenBucket>();
    const exhaustedUntilMs = new Map<string, number>();
    /** The choice for each engine, and the entries from which it was made: hashing hundreds of them takes time. */
    const counters = new Map<string, { readonly entryList: string; readonly counter: string; }>();
    const pendingCalls = new Map<string, number>();
    const suspectedUntilMs = new Map<string, number>();
    const pacing = createRetryPacing(clock, random);

    function counterOf(engine: EngineStart): string {
        const nowMs = clock.monotonicMs();
        const entries = stableEntries().filter(entry => (suspectedUntilMs.get(entry) ?? 0) <= nowMs);
        const key = startKey(engine);
        const entryList = entries.join(" ");
        const known = counters.get(key);
        if (known?.entryList === entryList) {
            return known.counter;
        }
        const counter = chooseByRendezvous(key, entries) ?? url;
        counters.set(key, { entryList, counter });
        removeOldest(counters, maxTrackedStarts);
        return counter;
    }

    function isLimited(engine: EngineStart): boolean {
        return rates.rateOf(engine) !== undefined || coldEngines.rateOf(engine) !== undefined;
    }

    function effectiveRate(engine: EngineStart): number {
        const namedRate = rates.rateOf(engine) ?? Number.POSITIVE_INFINITY;
        return Math.max(minRatePerSecond, Math.min(namedRate, coldEngines.rateOf(engine) ?? Number.POSITIVE_INFINITY));
    }

    /** Limits of the one bucket of an engine. */
    function limitsOf(engine: EngineStart): BucketLimits {
        const ratePerSecond = effectiveRate(engine) * liveFraction();
        const coldRate = coldEngines.rateOf(engine);
        const { overshoot, slack } = dependencies.coldRate;
        const coldBurst = coldRate === undefined
            ? Number.POSITIVE_INFINITY
            : ((overshoot - 1) * coldRate + slack) * coldBurstFraction * liveFraction();
        return { ratePerSecond, burstRequests: Math.max(1, Math.min(ratePerSecond * burstS, coldBurst)) };
    }

    /** Takes a token from the bucket of this entry. */
    function grant(engine: EngineStart): PermitResponse {
        if (!isLimited(engine)) {
            return granted;
        }
        const key = startKey(engine);
        const nowMs = clock.monotonicMs();
        const limits = limitsOf(engine);
        const bucket = buckets.get(key) ?? createEmptyBucket(limits, nowMs);
        buckets.delete(key);
        buckets.set(key, bucket);
        removeOldest(buckets, maxTrackedStarts);
        bucket.setLimits(limits, nowMs);
        return bucket.take(1, nowMs) ? granted : { isGranted: false, waitMs: bucket.waitMs(1, nowMs) };
    }

    /** Asks another entry for a permit; resolves to `undefined` if it doesn't respond. */
    async function ask(entry: string, engine: EngineStart, isForwarded: boolean): Promise<PermitResponse | undefined> {
        const coldRemainingMs = coldEngines.remainingMs(engine);
        const params = { ...rates.noticeOf(engine), isForwarded, coldRemainingMs };
        const timeoutMs = isForwarded ? forwardTimeoutMs : callTimeoutMs;
        const response = await rpc.call(entry, engineRateMethods.acquire, params, { timeoutMs });
        const permit = response.isOk ? checkValue(permitResponseSchema, response.value) : undefined;
        if (permit?.isOk) {
            return permit.value;
        }
        suspectedUntilMs.set(entry, clock.monotonicMs() + suspicionMs);
        log.info("the entry that counts the requests to an engine did not respond", {
            entry,
            engine: engine.id,
            cause: response.isErr ? response.error.cause : "invalid response",
        });
        return undefined;
    }

    async function askCounter(key: string, counter: string, engine: EngineStart): Promise<PermitResponse | undefined> {
        pendingCalls.set(key, (pendingCalls.get(key) ?? 0) + 1);
        const response = await ask(counter, engine, false);
        const remaining = (pendingCalls.get(key) ?? 1) - 1;
        if (remaining === 0) {
            pendingCalls.delete(key);
        }
        else {
            pendingCalls.set(key, remaining);
        }
        return response;
    }

    function isExhausted(engine: EngineStart): boolean {
        return isLimited(engine)
            && (exhaustedUntilMs.get(startKey(engine)) ?? 0) > clock.monotonicMs();
    }

    function recordExhausted(key: string, waitMs: number): void {
        const pauseMs = Math.max(waitMs, stableEntries().length * minPausePerEntryMs);
        exhaustedUntilMs.delete(key);
        exhaustedUntilMs.set(key, clock.monotonicMs() + pauseMs);
        removeOldest(exhaustedUntilMs, maxTrackedStarts);
    }

    async function acquire(engine: EngineStart): Promise<boolean> {
        if (!isLimited(engine)) {
            return true;
        }
        const key = startKey(engine);
        if (isExhausted(engine) || (pendingCalls.get(key) ?? 0) >= maxPendingCalls) {
            return false;
        }
        const counter = counterOf(engine);
        const response = counter === url ? grant(engine) : await askCounter(key, counter, engine);
        if (response?.isGranted === false) {
            recordExhausted(key, response.waitMs);
        }
        return response?.isGranted === true;
    }

    /** Handles the call of an entry for which this one is the counter, or the next one after a counter it can't reach. */
    async function handleAcquire(engine: EngineStart, isForwarded: boolean): Promise<PermitResponse> {
        const counter = counterOf(engine);
        const forwarded = counter === url || isForwarded ? undefined : await ask(counter, engine, true);
        return forwarded ?? grant(engine);
    }

    return {
        acquire,
        counterOf,
        isLimited,
        areExhausted: engines => engines.length > 0 && engines.every(isExhausted),
        retryAfterMs: (service, engines) => {
            const nowMs = clock.monotonicMs();
            const waitsMs = engines.map(engine => (exhaustedUntilMs.get(startKey(engine)) ?? 0) - nowMs);
            const ratePerSecond = engines.reduce((sum, engine) => sum + effectiveRate(engine), 0);
            return pacing.nextDelayMs(
                service,
                Math.max(0, Math.min(...waitsMs)),
                ratePerSecond / Math.max(1, stableEntries().length),
            );
        },
        methods: {
            [engineRateMethods.acquire]: rpcMethod(
                acquirePermitSchema,
                async ({ engine, bornMs, ratePerSecond, agoMs, isForwarded, coldRemainingMs }) => {
                    rates.apply([{ engine, bornMs, ratePerSecond, agoMs }]);
                    if (coldRemainingMs > 0) {
                        coldEngines.suspect({ id: engine, bornMs }, coldRemainingMs);
                    }
                    if (coldRemainingMs > 0 && !isLimited({ id: engine, bornMs })) {
                        // This entry's copies do not show the engine or its service's rate yet.
                        return { isGranted: false, waitMs: unknownRateWaitMs };
                    }
                    return handleAcquire({ id: engine, bornMs }, isForwarded);
                },
            ),
        },
    };
}

function createEmptyBucket(limits: BucketLimits, nowMs: number): TokenBucket {
    const bucket = createBucket(limits, nowMs);
    bucket.setFraction(1, nowMs);
    return bucket;
}
