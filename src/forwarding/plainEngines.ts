/**
 * The order in which the instances of a plain service are tried for a call.
 *
 * An instance in doubt gets one call at a time, one that may be repeated. If none comes within a while after its ejection,
 * its status is checked. Calls that may run once go to the other instances until then.
 */

import type { EngineRecord } from "../engines/enginePort.js";
import { rankForPlain } from "../scheduling/placement.js";
import type { ForwardContext } from "./context.js";
import { hasVersionFor } from "./routedRequest.js";
import type { RoutedRequest } from "./routedRequest.js";

/**
 * The engines that have not been tried, the best ones first; ejected ones are the last resort. A call that may run once
 * goes to engines in doubt only if there are no others.
 */
export function* plainEnginesInOrder(
    context: ForwardContext,
    routed: RoutedRequest,
    isRepeatable: boolean,
    triedEngines: ReadonlySet<string>,
): Generator<EngineRecord> {
    const usable = context.directory.usable(routed.service).filter(engine => hasVersionFor(routed, engine));
    const inUse = context.health.withoutEjected(usable);
    if (!isRepeatable) {
        checkDoubtful(context, routed.service, inUse);
    }
    const trusted = isRepeatable ? withoutBusyTrials(context, inUse) : context.health.withoutDoubtful(usable);
    const isProtected = !isRepeatable && trusted.some(engine => !context.health.isDoubtful(engine.id))
        && usable.some(engine => context.health.isDoubtful(engine.id));
    for (const engines of isProtected ? [trusted] : [trusted, inUse, usable]) {
        yield* rankForPlain(context.view, engines).filter(engine => !triedEngines.has(engine.id));
    }
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
