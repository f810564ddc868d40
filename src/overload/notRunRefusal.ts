/**
 * Why a request is turned away without having been run, and when its caller may return. Admission, the queues, the limits
 * and the shutdown have this type in common; the transport makes a 503 with `Retry-After` of it.
 */

export interface NotRunRefusal {
    readonly cause: string;
    /** Delay after which the caller may repeat the request. */
    readonly retryAfterMs: number;
}

/** Without a delay, since the load balancer sends the repeat to another entry. */
export const shuttingDown: NotRunRefusal = { cause: "this entry is shutting down", retryAfterMs: 0 };
