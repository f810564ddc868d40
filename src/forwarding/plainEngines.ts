/**
 * The order in which the instances of a plain service are tried for a call.
 *
 * An instance in doubt gets one call at a time, one that may be repeated. If none comes within a while after its ejection,
 * its status is checked. Calls that may run once go to the other instances until then.
 */

import type { EngineRecord } from "../engines/enginePort.js";
import { rankByCompletion, rankForPlain } from "../scheduling/placement.js";
import { hasRoom } from "../scheduling/plainQueue.js";
import type { ForwardContext } from "./context.js";
import { mayRunAt } from "./routedRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

export function isRepeatable({ route }: Pick<RoutedRequest, "route">): boolean {
    return route.kind === "idempotent" || route.isResumable;
}

/** The engines to which the call goes while any of them is left; one that may run once avoids those in doubt. */
export function trustedEngines(context: ForwardContext, routed: RoutedRequest): readonly EngineRecord[] {
    const usable = usableEngines(context, routed);
    return isRepeatable(routed)
        ? withoutBusyTrials(context, context.health.withoutEjected(usable))
        : context.health.withoutDoubtful(usable);
}

/**
 * The engines that have not been tried, the best ones first; ejected ones are the last resort. A call that may run once
 * goes to engines in doubt only if there are no others.
 */
export function* plainEnginesInOrder(
    context: ForwardContext,
    routed: RoutedRequest,
    triedEngines: ReadonlySet<string>,
): Generator<EngineRecord> {
    const { health } = context;
    const usable = usableEngines(context, routed);
    const inUse = health.withoutEjected(usable);
    if (!isRepeatable(routed)) {
        checkDoubtful(context, routed.service, inUse);
    }
    const trusted = trustedEngines(context, routed);
    const isProtected = !isRepeatable(routed) && trusted.some(({ id }) => !health.isDoubtful(id))
        && usable.some(({ id }) => health.isDoubtful(id));
    for (const engines of isProtected ? [trusted] : [trusted, inUse, usable]) {
        yield* rank(context, routed, engines).filter(engine => !triedEngines.has(engine.id));
    }
}

/** Whether a further instance would run a hedge at once. One of unknown load may. */
export function hasSlotForHedge(
    context: ForwardContext,
    routed: RoutedRequest,
    triedEngines: ReadonlySet<string>,
): boolean {
    const left = trustedEngines(context, routed).filter(engine => !triedEngines.has(engine.id));
    return left.length === 0
        || left.map(context.instanceLoads.loadOf).some(load => load === undefined || load.inFlight < load.slots);
}

function usableEngines({ directory }: ForwardContext, routed: RoutedRequest): readonly EngineRecord[] {
    return directory.usable(routed.service).filter(engine => mayRunAt(routed, engine));
}

/** The instances by their load, or by when they would end the call if they say how long work takes; full ones last. */
function rank(
    { clock, instanceLoads, view }: ForwardContext,
    { request, route, service }: RoutedRequest,
    engines: readonly EngineRecord[],
): readonly EngineRecord[] {
    const loads = new Map(engines.map(engine => [engine.id, instanceLoads.loadOf(engine)]));
    const isSpeedKnown = [...loads.values()].some(load => load?.slowdown !== undefined);
    const ranked = isSpeedKnown
        ? rankByCompletion(view, engines, ({ id }) => loads.get(id))
        : rankForPlain(view, engines);
    const usualMs = instanceLoads.usualMs(service);
    if (usualMs === undefined) {
        return ranked;
    }
    const call = { objectiveMs: route.objectiveMs, elapsedMs: clock.monotonicMs() - request.receivedAtMs };
    const isFull = ({ id }: EngineRecord): boolean => {
        const load = loads.get(id);
        return load !== undefined && !hasRoom(load, usualMs, call);
    };
    return [...ranked.filter(engine => !isFull(engine)), ...ranked.filter(isFull)];
}

/** Leaves out the instances in doubt at which a call is running whose outcome will tell. */
function withoutBusyTrials(
    { health, view }: ForwardContext,
    engines: readonly EngineRecord[],
): readonly EngineRecord[] {
    const free = engines.filter(({ id }) => !health.isDoubtful(id) || view.workAt(id).requests === 0);
    return free.length === 0 ? engines : free;
}

/** Checks the status of instances that no call has tried since their ejections ended. */
function checkDoubtful(context: ForwardContext, service: string, engines: readonly EngineRecord[]): void {
    const path = context.routes()?.state.services.find(({ name }) => name === service)?.healthCheckPath;
    if (path !== undefined) {
        engines.filter(({ id }) => context.health.isDoubtful(id)).forEach(engine =>
            context.statusChecks.checkIfDue(engine, path)
        );
    }
}
