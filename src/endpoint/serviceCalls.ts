/**
 * Sends an agent's calls to a plain service. A non-idempotent call is sent at most once per request id.
 */

import type { Dispatcher } from "undici";
import { runLimited } from "../common/callLimit.js";
import type { Clock } from "../common/clock.js";
import { readBytes } from "../common/readText.js";
import { framingOf } from "../engines/enginePort.js";
import { createEventBoundaryTracker, findMissingEnd, isEventStreamType } from "../forwarding/eventStream.js";
import { createGuardedAgent } from "../rpc/guardedClient.js";
import { createGuardedConnector } from "../rpc/guardedConnector.js";
import type { Counters } from "../telemetry/telemetry.js";
import type { EndpointHealth } from "./endpointHealth.js";
import type { ServiceCall, ServiceResponse } from "./messages.js";
import type { WorkQueue } from "./workQueue.js";

export interface ServiceCalls {
    readonly call: (call: ServiceCall, signal: AbortSignal) => Promise<ServiceResponse>;
    readonly close: () => Promise<void>;
}

/** How long the request ids of sent calls are kept, so that a repeated non-idempotent call is detected. */
const sentRequestIdTtlMs = 600_000;
const maxServiceConnections = 256;
const connectTimeoutMs = 10_000;
const plainCallCostTokens = 1;
const statusOk = 200;
/** As base64 in a message, such a response takes less than the limit on messages between entries and agents. */
const maxResponseBytes = 8 * 1_024 * 1_024;
const forwardedResponseHeaders: ReadonlySet<string> = new Set(["content-type", "cache-control", "etag", "location"]);
/** Errors after which it is certain that the service received nothing. */
const notSentErrorCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

export function createServiceCalls(
    serviceUrl: string,
    queue: WorkQueue,
    clock: Clock,
    counters: Counters,
    checkEnded: EndpointHealth["checkEnded"],
): ServiceCalls {
    const dispatcher = createGuardedAgent({
        connections: maxServiceConnections,
        pipelining: 1,
        connect: createGuardedConnector(connectTimeoutMs),
    });
    const sentAtMs = new Map<string, number>();

    function wasSent(requestId: string): boolean {
        const nowMs = clock.monotonicMs();
        for (const [id, atMs] of sentAtMs) {
            if (nowMs - atMs < sentRequestIdTtlMs) {
                break;
            }
            sentAtMs.delete(id);
        }
        return sentAtMs.has(requestId);
    }

    function send(call: ServiceCall, disconnected: AbortSignal): Promise<ServiceResponse> {
        // A non-idempotent call is not aborted when the caller disconnects; only the timeout ends it.
        const cancelledBy = call.idempotent ? [disconnected] : [];
        return runLimited({ timeoutMs: call.timeoutMs, cancelledBy }, ({ signal }) => sendLimited(call, signal));
    }

    async function sendLimited(call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
        try {
            const response = await dispatcher.request({
                origin: serviceUrl,
                path: call.path,
                method: call.method as "POST",
                headers: call.headers,
                body: call.bodyBase64 === "" ? undefined : Buffer.from(call.bodyBase64, "base64"),
                signal,
            });
            const body = await readBytes(response.body, maxResponseBytes);
            failIfIncomplete(response, body);
            return {
                kind: "answered",
                status: response.statusCode,
                headers: forwardedHeaders(response.headers),
                bodyBase64: body.toString("base64"),
                load: queue.load(),
            };
        }
        catch (error) {
            const { code, message: cause } = error as { readonly code?: string; readonly message: string; };
            const kind = notSentErrorCodes.has(code ?? "") ? "unreachable" : "unknown";
            if (kind === "unreachable") {
                sentAtMs.delete(call.requestId);
            }
            counters.add(`endpoint.serviceCalls.${kind}`);
            if (kind === "unreachable" || signal.aborted) {
                return { kind, cause, load: queue.load() };
            }
            return { kind, cause, endpointEndedAtMs: await checkEnded(), load: queue.load() };
        }
    }

    return {
        call: async (call, signal) => {
            const granted = await queue.acquire({ ...call, costTokens: plainCallCostTokens, kvBytes: 0 }, signal);
            if (granted.isErr) {
                return { kind: "refused", reason: granted.error, load: queue.load() };
            }
            try {
                if (!call.idempotent && wasSent(call.requestId)) {
                    counters.add("endpoint.serviceCalls.repeated");
                    return { kind: "unknown", cause: "this request was sent before", load: queue.load() };
                }
                sentAtMs.set(call.requestId, clock.monotonicMs());
                return await send(call, signal);
            }
            finally {
                granted.value.release();
            }
        },
        close: () => dispatcher.destroy(),
    };
}

/** Throws if the response is a stream of events that ended too early. */
function failIfIncomplete({ statusCode, headers }: Dispatcher.ResponseData, body: Buffer): void {
    if (statusCode !== statusOk || !isEventStreamType(String(headers["content-type"]))) {
        return;
    }
    const boundaries = createEventBoundaryTracker();
    boundaries.push(body);
    const missing = findMissingEnd(boundaries, framingOf(name => headers[name]?.toString()));
    if (missing !== undefined) {
        throw new Error(missing);
    }
}

function forwardedHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
    const entries = Object.entries(headers)
        .filter(([name, value]) => forwardedResponseHeaders.has(name) && value !== undefined)
        .map(([name, value]) => [name, String(value)] as const);
    return Object.fromEntries(entries);
}
