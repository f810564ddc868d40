/**
 * A request that has passed the checks of route, key and quota, with what they determined.
 */

import type { EngineRecord } from "../engines/enginePort.js";
import type { ClientAccount, EngineSpec, Route } from "../routes/desiredState.js";
import type { EngineCallBudget } from "./engineCallBudget.js";
import type { ForwardRequest, GenerationSize } from "./forwardRequest.js";

/** A request with its route, the service picked for it and its deadline. */
export interface RoutedRequest {
    readonly request: ForwardRequest;
    readonly route: Route;
    readonly service: string;
    /** Monotonic deadline for the complete response. */
    readonly deadlineMs: number;
    /** The only software version whose engines may run the request; `undefined` if each may. */
    readonly softwareVersion: string | undefined;
    /** Rank among the requests of its service; 0 is the most urgent. */
    readonly priority: number;
    /** Regions whose engines may run the request; `undefined` if all may. */
    readonly homeRegions: readonly string[] | undefined;
    /** See `fingerprintOf`. */
    readonly fingerprint: string;
}

/** The regions that a route and a client account both allow; `undefined` if neither restricts them. */
export function homeRegionsOf(route: Route, account: ClientAccount | undefined): readonly string[] | undefined {
    const accountRegions = account?.homeRegions;
    if (route.homeRegions === undefined || accountRegions === undefined) {
        return route.homeRegions ?? accountRegions;
    }
    return route.homeRegions.filter(region => accountRegions.includes(region));
}

/** Whether a request, and the KV cache of its prompt, may go to an engine: to one in a home region, if it has any. */
export function isInHomeRegion(
    { homeRegions }: Pick<RoutedRequest, "homeRegions">,
    { region }: Pick<EngineRecord, "region">,
): boolean {
    return homeRegions === undefined || (region !== undefined && homeRegions.includes(region));
}

/** Whether an engine may run the request: it is in a home region and has the software version that the request needs. */
export function mayRunAt(
    request: Pick<RoutedRequest, "homeRegions" | "softwareVersion">,
    engine: Pick<EngineRecord, "region" | "softwareVersion">,
): boolean {
    return isInHomeRegion(request, engine) && hasVersionFor(request, engine);
}

/** Whether an engine has the software version that the request needs. */
export function hasVersionFor(
    { softwareVersion }: Pick<RoutedRequest, "softwareVersion">,
    engine: Pick<EngineRecord, "softwareVersion">,
): boolean {
    return softwareVersion === undefined || engine.softwareVersion === softwareVersion;
}

/** What may be to blame if engines end under a request: the request itself, or shared parts of its prompt. */
export function suspectsOf(
    { fingerprint, request }: Pick<RoutedRequest, "fingerprint" | "request">,
): readonly string[] {
    return [fingerprint, ...request.sharedPromptParts];
}

/** A request for output tokens from a service of model engines. */
export interface GenerationRequest extends RoutedRequest {
    readonly size: GenerationSize;
    readonly engineSpec: EngineSpec;
    readonly callBudget: EngineCallBudget;
}
