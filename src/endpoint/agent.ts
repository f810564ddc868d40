/**
 * The agent is the single process beside an endpoint; all requests to the endpoint go through it. It allocates the
 * endpoint's slots and KV memory, orders queued work, and decides whether the endpoint accepts new work.
 */

import { z } from "zod";
import { systemClock } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import { describeInvalidInput, parseJson } from "../common/json.js";
import { repeat } from "../common/repeat.js";
import type { Endpoint } from "../configuration/objects.js";
import { bodyErrorStatuses, listen, readBody, sendJson } from "../rpc/httpServer.js";
import type { Handler, HttpServer } from "../rpc/httpServer.js";
import { createRpcClient } from "../rpc/rpcClient.js";
import { createRpcHandler, rpcMethod, rpcPath } from "../rpc/rpcServer.js";
import type { CallContext } from "../rpc/rpcServer.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { cancelAtEngine, cancelOrphanedAttempts } from "./cancellation.js";
import { createDecodeStreams } from "./decodeStreams.js";
import { createEndpointHealth } from "./endpointHealth.js";
import type { EndpointHealth } from "./endpointHealth.js";
import { createEndpointWatcher } from "./endpointWatcher.js";
import { createEngineClient } from "./engineClient.js";
import type { EngineClient } from "./engineClient.js";
import { defaultFairQueueSettings } from "./fairQueue.js";
import {
    agentMethods,
    decodePath,
    prefillSchema,
    reserveDecodeSchema,
    serviceCallSchema,
    startDecodeSchema,
} from "./messages.js";
import type { PrefillRequest, PrefillResponse } from "./messages.js";
import { createServiceCalls } from "./serviceCalls.js";
import { createWorkQueue } from "./workQueue.js";
import type { WorkQueue } from "./workQueue.js";

export interface AgentSettings {
    readonly host: string;
    readonly endpoint: string;
    readonly listenAddress: string;
    readonly listenPort: number;
    /** Base URL of the endpoint. */
    readonly endpointUrl: string;
    /** Base URLs of the entries from which the agent first fetches the endpoint's configuration. */
    readonly entryUrls: readonly string[];
}

export interface RunningAgent {
    readonly url: string;
    readonly queue: WorkQueue;
    /** Refuses new work, waits for running work to finish, then closes the agent. */
    readonly shutDown: () => Promise<void>;
    /** Closes the agent immediately and aborts running work. */
    readonly kill: () => Promise<void>;
}

const maxReserveBodyBytes = 64 * 1024;
/**
 * An engine that does not confirm cancellations delays a shutdown for so long at most. The next agent of the endpoint
 * cancels what its engine still runs.
 */
const cancellationGraceMs = 5_000;
const watchRestartMs = 500;
const zeroCapacity = { slots: 0, kvCapacityBytes: 0 };

export async function startAgent(
    settings: AgentSettings,
    telemetry: Telemetry,
    clock: Clock = systemClock,
): Promise<RunningAgent> {
    const { counters, log } = telemetry;
    const stopping = new AbortController();
    const cancellationsEnded = new AbortController();
    const engine = createEngineClient(settings.endpointUrl);
    const queue = createWorkQueue(zeroCapacity, clock, defaultFairQueueSettings);
    const streams = createDecodeStreams({
        engine,
        queue,
        clock,
        counters,
        stopped: cancellationsEnded.signal,
        onEngineError: error => health.recordError(error),
        checkEnded: () => health.checkEnded(),
    });
    const services = createServiceCalls(
        settings.endpointUrl,
        queue,
        clock,
        counters,
        () => health.checkEnded(),
    );
    const rpc = createRpcClient();
    const health = createEndpointHealth(engine, clock, stopping.signal, () => applyAvailability());
    let shuttingDown = false;
    // The capacity is zero until the endpoint's configuration is known, so work is refused instead of queued.
    let leaving = true;
    queue.setUnavailable("draining");

    function applyAvailability(): void {
        if (shuttingDown || leaving) {
            queue.setUnavailable("draining");
            return;
        }
        queue.setUnavailable(health.isDown() ? "endpointDown" : undefined);
    }

    function applyEndpoint(endpoint: Endpoint | undefined): void {
        const { slots, kvCapacityBytes } = endpoint ?? zeroCapacity;
        queue.setCapacity({ slots, kvCapacityBytes });
        const nowLeaving = endpoint === undefined || endpoint.state === "leaving";
        if (nowLeaving !== leaving) {
            leaving = nowLeaving;
            log.info(nowLeaving ? "endpoint is leaving" : "endpoint is serving", { endpoint: settings.endpoint });
        }
        applyAvailability();
    }

    const rpcHandler = createRpcHandler({
        [agentMethods.prefill]: rpcMethod(
            prefillSchema,
            (params, call) =>
                runPrefill(params, call, engine, queue, clock, telemetry, cancellationsEnded.signal, health),
        ),
        [agentMethods.startDecode]: rpcMethod(startDecodeSchema, async params => streams.start(params)),
        [agentMethods.callService]: rpcMethod(
            serviceCallSchema,
            (params, { signal }) => services.call(params, signal),
        ),
        [agentMethods.load]: rpcMethod(z.object({}), async () => queue.load()),
    });

    const decodeHandler: Handler = async (request, response) => {
        const body = await readBody(request, maxReserveBodyBytes);
        if (body.isErr) {
            const { kind } = body.error;
            sendJson(response, bodyErrorStatuses[kind], { error: { message: `request body: ${kind}`, notRun: true } });
            return;
        }
        const reserve = parseJson(reserveDecodeSchema, body.value.toString("utf8"));
        if (reserve.isErr) {
            sendJson(response, 400, { error: { message: describeInvalidInput(reserve.error), notRun: true } });
            return;
        }
        await streams.serve(reserve.value, response);
    };

    const server: HttpServer = await listen(settings.listenAddress, settings.listenPort, (method, path) => {
        if (method === "POST" && path === rpcPath) {
            return rpcHandler;
        }
        if (method === "POST" && path === decodePath) {
            return decodeHandler;
        }
        return method === "GET" && path === "/healthz"
            ? async (request, response) => sendJson(response, 200, { ...queue.load(), counters: counters.snapshot() })
            : undefined;
    });

    void cancelOrphanedAttempts(engine, clock, counters, stopping.signal);
    const watcher = createEndpointWatcher(settings.host, settings.endpoint, rpc, clock, () => settings.entryUrls);
    void repeat(
        clock,
        stopping.signal,
        watchRestartMs,
        () => watcher.watch(stopping.signal, applyEndpoint),
        error => log.warn("the endpoint's configuration could not be applied", { cause: String(error) }),
    );
    log.info("agent started", { endpoint: settings.endpoint, url: server.url });

    async function closeAll(): Promise<void> {
        stopping.abort();
        cancellationsEnded.abort();
        await server.close();
        await Promise.all([rpc.close(), engine.close(), services.close()]);
        counters.close();
    }

    return {
        url: server.url,
        queue,
        shutDown: async () => {
            shuttingDown = true;
            applyAvailability();
            server.announceClose();
            log.info("agent is draining", { endpoint: settings.endpoint });
            const stopTimer = clock.startTimer(cancellationGraceMs, () => cancellationsEnded.abort());
            // The listener stays open until then: the start of a reserved decode comes on a connection of its own.
            await queue.whenIdle();
            stopTimer();
            await server.drain();
            await closeAll();
        },
        kill: closeAll,
    };
}

async function runPrefill(
    prefill: PrefillRequest,
    call: CallContext,
    engine: EngineClient,
    queue: WorkQueue,
    clock: Clock,
    { counters }: Telemetry,
    stopped: AbortSignal,
    health: EndpointHealth,
): Promise<PrefillResponse> {
    const granted = await queue.acquire({ ...prefill, costTokens: prefill.promptTokens, kvBytes: 0 }, call.signal);
    if (granted.isErr) {
        return { kind: "refused", reason: granted.error, load: queue.load() };
    }
    let computedTokens: number | undefined;
    try {
        const { requestId, attempt, model, prompt } = prefill;
        const priority = prefill.requestClass === "interactive" ? 1 : 0;
        const result = await engine.prefill({ requestId, attempt, model, prompt, priority }, call.signal);
        if (result.isErr) {
            counters.add("endpoint.prefillFailed");
            health.recordError(result.error);
            const endpointEndedAtMs = result.error.kind === "failed" && !call.signal.aborted
                ? await health.checkEnded()
                : undefined;
            if (endpointEndedAtMs !== undefined) {
                return { kind: "engineFailed", cause: result.error.cause, endpointEndedAtMs, load: queue.load() };
            }
            if (result.error.kind === "failed") {
                await cancelAtEngine(engine, clock, counters, prefill, stopped);
            }
            return { kind: "engineFailed", cause: result.error.cause, load: queue.load() };
        }
        computedTokens = result.value.promptTokens - result.value.cachedTokens;
        return { kind: "prefilled", ...result.value, load: queue.load() };
    }
    finally {
        granted.value.release(computedTokens);
    }
}
