/**
 * The desired state that operators write as one versioned whole: routes, services, client accounts and the limits of
 * callers' connections. The store adapter decodes it; the entry serves by the newest version that it has seen.
 */

/** What may be repeated: `nonIdempotent` requests run at most once; streams too, unless their route is resumable. */
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
    /** Longest time that a request may be kept waiting for its whole answer. */
    readonly timeoutMs: number;
    /** Response-time objective; for streams up to the first event. */
    readonly objectiveMs: number;
    /** Longest pause between a stream's events for which its answer is still on time. */
    readonly maxGapMs: number;
    /** More than one for a split route. */
    readonly services: readonly WeightedService[];
    /** Largest number of engines on which one request may run. */
    readonly maxEngines: number;
    /** Served without a key. */
    readonly isPublic: boolean;
    readonly isResumable: boolean;
}

/** Figures of a service's model engines; `undefined` for plain services. */
export interface EngineFigures {
    readonly slots: number;
    /** KV memory of one engine, in tokens. */
    readonly kvTokens: number;
    /** How long a change of stage keeps an engine busy. */
    readonly reconfigureMs: number;
    /** Longest life of a reservation. */
    readonly maxReservationMs: number;
    /** Tokens in one event of a stream. */
    readonly tokensPerEvent: number;
}

export interface Service {
    readonly name: string;
    readonly maxConnections: number;
    readonly engine: EngineFigures | undefined;
}

export interface ClientAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Whether rate and burst count requests or tokens. */
    readonly unit: "requests" | "tokens";
    /** What a request without token figures counts as, where the unit is tokens. */
    readonly plainTokens: number;
    /** 0 means no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
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
    /** `undefined` where no request needs a key. */
    readonly clientAccounts: readonly ClientAccount[] | undefined;
    readonly limits: CallerLimits;
}
