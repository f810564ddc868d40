/**
 * A request on its way: what the guards have found out about it.
 */

import type { EngineFigures, Route } from "../routes/desiredState.js";
import type { Arrivals } from "./arrivals.js";
import type { ForwardRequest, GenerationSize } from "./forwardRequest.js";

/** A request that passed all guards. */
export interface RoutedRequest {
    readonly request: ForwardRequest;
    readonly route: Route;
    readonly service: string;
    /** Monotonic time by which the whole answer is due. */
    readonly dueAtMs: number;
}

/** A request for tokens from a service of model engines. */
export interface GenerationRequest extends RoutedRequest {
    readonly size: GenerationSize;
    readonly figures: EngineFigures;
    readonly arrivals: Arrivals;
}
