/**
 * Calls to plain services. An answer is read whole before it is passed on, so that a broken one can be replaced while
 * the caller has seen nothing.
 *
 * A call is sent again only if the engine's own word proves that it did not run, or if its route says that it may be
 * repeated; each repeat draws on the fleet's retry budget.
 */

import { Readable } from "node:stream";
import { Result } from "true-myth";
import { provesNotRun } from "../engines/enginePort.js";
import type { EngineAnswer, EngineError, EngineRecord } from "../engines/enginePort.js";
import { rankForPlain } from "../scheduling/placement.js";
import type { ForwardContext } from "./context.js";
import { answered, refuse } from "./forwardRequest.js";
import type { ForwardOutcome } from "./forwardRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

/** Sends of one call, the first included, before the caller is told to come back. */
const maxSends = 3;
/** Part of the remaining time that one try of an idempotent call may use while another could follow. */
const tryPart = 0.5;
/** Shortest time that one try gets: several times the usual work of a plain service. */
const minimumTryMs = 200;
/** How soon a caller should come back when all instances are full. */
const fullRetryMs = 250;
const serverError = 500;

interface Attempted {
    readonly engine: EngineRecord;
    readonly result: Result<EngineAnswer, EngineError>;
}

export async function callPlain(context: ForwardContext, routed: RoutedRequest): Promise<ForwardOutcome> {
    const { route, request } = routed;
    const isRepeatable = route.kind === "idempotent" || route.isResumable;
    const tried = new Set<string>();
    let enginesThatRan = 0;
    let last: Attempted | undefined;
    for (let send = 0; send < maxSends; send++) {
        const engine = nextEngine(context, routed.service, tried);
        if (engine === undefined || (send > 0 && !context.retryBudget.take(routed.service))) {
            break;
        }
        tried.add(engine.id);
        const mayFollow = isRepeatable && enginesThatRan + 1 < route.maxEngines;
        const result = await attempt(context, routed, engine, mayFollow);
        last = { engine, result };
        const ran = result.isOk || !provesNotRun(result.error);
        enginesThatRan += ran ? 1 : 0;
        const isFinal = result.isOk && result.value.status < serverError;
        const isSpent = ran && (!isRepeatable || enginesThatRan >= route.maxEngines);
        if (isFinal || isSpent || request.callerGone.aborted || timeLeft(context, routed) <= 0) {
            break;
        }
        logRepeat(context, routed, last);
    }
    return conclude(context, routed, last, enginesThatRan);
}

function timeLeft(context: ForwardContext, routed: RoutedRequest): number {
    return routed.dueAtMs - context.clock.monotonicMs();
}

function nextEngine(context: ForwardContext, service: string, tried: ReadonlySet<string>): EngineRecord | undefined {
    const usable = context.directory.usable(service);
    const ranked = rankForPlain(context.view, context.health.withoutAvoided(usable));
    return ranked.find(engine => !tried.has(engine.id))
        ?? rankForPlain(context.view, usable).find(engine => !tried.has(engine.id));
}

async function attempt(
    context: ForwardContext,
    routed: RoutedRequest,
    engine: EngineRecord,
    mayFollow: boolean,
): Promise<Result<EngineAnswer, EngineError>> {
    const { request } = routed;
    const remainingMs = Math.max(1, timeLeft(context, routed));
    const tryMs = mayFollow ? Math.min(remainingMs, Math.max(minimumTryMs, remainingMs * tryPart)) : remainingMs;
    const timeout = context.clock.timeout(tryMs);
    const end = context.loads.start(engine.id, { requests: 1, kvTokens: 0, prefillTokens: 0 });
    const sent = await context.engines.send(engine, request, {
        remainingMs,
        ...request.lastEventId === undefined ? {} : { lastEventId: request.lastEventId },
        signal: AbortSignal.any([timeout, request.callerGone]),
    });
    const result = sent.isErr ? sent : await readWhole(sent.value);
    end();
    noteHealth(context, engine, result, timeout.aborted, request.callerGone.aborted);
    return timeout.aborted && result.isErr && result.error.kind === "cancelled"
        ? Result.err({ kind: "timeout", cause: "no whole answer in time" })
        : result;
}

function noteHealth(
    context: ForwardContext,
    engine: EngineRecord,
    result: Result<EngineAnswer, EngineError>,
    timedOut: boolean,
    callerGone: boolean,
): void {
    if (callerGone) {
        return;
    }
    if (result.isOk) {
        context.health.note(engine.id, result.value.status >= serverError ? "failed" : "succeeded");
        return;
    }
    const isUnresponsive = timedOut || result.error.kind === "unreachable";
    context.health.note(engine.id, isUnresponsive ? "unresponsive" : "failed");
}

/** Replaces the body by the whole answer, read; fails if the engine broke off. */
async function readWhole(answer: EngineAnswer): Promise<Result<EngineAnswer, EngineError>> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of answer.body as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
    }
    catch (error) {
        return Result.err({ kind: "interrupted", cause: `the answer broke off: ${(error as Error).message}` });
    }
    return Result.ok({ ...answer, body: Readable.from(chunks.length === 0 ? [] : [Buffer.concat(chunks)]) });
}

function logRepeat(context: ForwardContext, routed: RoutedRequest, { engine, result }: Attempted): void {
    context.metrics.count("repeats", routed.service);
    context.log.decision("sending the call to another engine", {
        requestId: routed.request.requestId,
        engine: engine.id,
        cause: result.isErr ? result.error.cause : `status ${result.value.status}`,
    });
}

function conclude(
    context: ForwardContext,
    routed: RoutedRequest,
    last: Attempted | undefined,
    enginesThatRan: number,
): ForwardOutcome {
    if (last?.result.isOk) {
        return answered(last.result.value);
    }
    const cause = last?.result.isErr ? `${last.engine.id}: ${last.result.error.cause}` : "no engine is available";
    if (enginesThatRan > 0) {
        const isLate = timeLeft(context, routed) <= 0;
        return refuse(isLate ? 504 : 502, `the outcome is unknown: ${cause}`);
    }
    return refuse(503, cause, fullRetryMs);
}
