/**
 * The desired state that operators write as one versioned document: routes, services, client accounts and the limits of
 * callers' connections. The store adapter decodes it; an entry applies the newest version that it has seen.
 */

/** Whether requests may be repeated: `nonIdempotent` ones run at most once, as do streams unless they are resumable. */
export type RouteKind = "idempotent" | "nonIdempotent" | "stream";

export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    /** Lower case, without a port. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time from a request to the end of its response. */
    readonly timeoutMs: number;
    /** Response-time objective; for streams, the time until the first event. */
    readonly objectiveMs: number;
    /** Longest gap between a stream's events for which its response still counts as on time. */
    readonly maxGapMs: number;
    /** More than one for a split route. */
    readonly services: readonly WeightedService[];
    /** Maximum number of engines on which one request may run. */
    readonly maxEngines: number;
    /** Served without an API key. */
    readonly isPublic: boolean;
    readonly isResumable: boolean;
    /** Rank of its requests; 0 is the most urgent. A client account's own priority takes precedence. */
    readonly priority: number;
    /** Regions to whose engines its requests may go; `undefined` if every region is allowed. */
    readonly homeRegions: readonly string[] | undefined;
}

/** Properties of a service's model engines. */
export interface EngineSpec {
    readonly slots: number;
    /** KV memory of one engine, in tokens. */
    readonly kvTokens: number;
    /** How long a stage change keeps an engine busy. */
    readonly reconfigureMs: number;
    /** Maximum lifetime of a reservation; 0 if the engines take none. */
    readonly maxReservationMs: number;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
}

export interface Service {
    readonly name: string;
    readonly maxConnections: number;
    /** Requests a second that an engine accepts from all entries together while it is cold; 0 if cold engines need no limit. */
    readonly coldRequestsPerSecond: number;
    /** How long an engine is cold after its start. */
    readonly coldStartMs: number;
    /** Path of its instances' status checks; `undefined` if it names none. */
    readonly healthCheckPath?: string | undefined;
    /** `undefined` for plain services. */
    readonly engine: EngineSpec | undefined;
}

export interface ClientAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Whether the rate and the burst are in requests or in tokens. */
    readonly unit: "requests" | "tokens";
    /** Tokens charged for a request that declares no token counts, where the unit is tokens. */
    readonly plainTokens: number;
    /** 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Takes precedence over the priority of a route; `undefined` if the route's holds. */
    readonly priority: number | undefined;
    /** See `Route.homeRegions`; where both are set, both bind. */
    readonly homeRegions: readonly string[] | undefined;
}

export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface DesiredState {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** `undefined` if no request needs an API key. */
    readonly clientAccounts: readonly ClientAccount[] | undefined;
    readonly limits: CallerLimits;
}
