/**
 * What yields when there is too little room: the order in which waiting requests get it. Those at the end of the order
 * cost their callers least by room, so they wait, and leave a full queue first.
 *
 * The rule. A request's rank is the latest time at which it may start and still meet its objective. Later in the order is
 * also
 * - a request that can no longer meet its objective, since a late response earns its caller least;
 * - a request of a client account that has got much lately, by `accountPenaltyMs`;
 * - a request that is less urgent than another waiting one, by `yieldMsPerStep` for each step of priority between them,
 *   more for a request that needs more room than the average and less for one that needs less, within bounds.
 *
 * Neither is the order strict by priority nor blind to it. Requests of a priority, or of a priority and size, that are
 * served less than half as often as all requests lately are owed room (`ServedShares`): they rank as the most urgent ones
 * until they are served that often again. So none starve, however long more urgent requests alone could fill the room, and
 * none are served more often than more urgent ones for that.
 *
 * Room that is nearly full is kept for those who pay most for a delay: a less urgent request gets room only if
 * `keptRoomFraction` of the whole stays free, unless it is owed room or nothing more urgent has arrived lately.
 *
 * Priority only counts between requests that differ in it. Among equal ones the order is by time and account alone.
 */

/** A request that waits for room. Times are monotonic. */
export interface WaitingRequest {
    readonly clientAccount: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Latest time of a start that still meets the request's objective. */
    readonly latestStartMs: number;
    /** Room that the request needs, such as tokens or the expected time of a call: any unit, the same for all in a queue. */
    readonly work: number;
}

/** What the order of a queue depends on besides the requests in it. */
export interface YieldView {
    /** Whether requests like this one have been served too seldom lately. */
    readonly isOwed: (request: WaitingRequest) => boolean;
    /** How far a client account is moved back because of what it has got lately. */
    readonly accountPenaltyMs: (clientAccount: string) => number;
}

/** Ranks of requests that wait together; the lowest comes first. */
export interface YieldOrder {
    readonly rankOf: (request: WaitingRequest) => number;
    /** Whether `waiting` gives way to `arrival`: it is less urgent, comes later in the order and is owed nothing. */
    readonly yieldsTo: (waiting: WaitingRequest, arrival: WaitingRequest) => boolean;
}

/** How far back a request of average work is moved for each step of priority below the most urgent waiting one. */
const yieldMsPerStep = 500;
/** Bounds of the factor for the work of a request relative to the average. */
const minWorkFactor = 0.5;
const maxWorkFactor = 2;
/** Fraction of the room that is kept free for each step of priority, and at most. */
const keptFractionPerStep = 0.02;
const maxKeptFraction = 0.04;
/** Moves late requests behind all others. */
const latePenaltyMs = 1e9;

/** Fraction of the whole room that must stay free after a request gets some that is `stepsBehind` the most urgent ones. */
export function keptRoomFraction(stepsBehind: number): number {
    return Math.min(maxKeptFraction, stepsBehind * keptFractionPerStep);
}

/** The order of the requests that wait at one time, `waiting`, including any that has just arrived. */
export function yieldOrderOf(
    waiting: readonly WaitingRequest[],
    { isOwed, accountPenaltyMs }: YieldView,
    nowMs: number,
): YieldOrder {
    const mostUrgent = Math.min(...waiting.map(({ priority }) => priority));
    const meanWork = waiting.reduce((sum, { work }) => sum + work, 0) / Math.max(1, waiting.length);

    function stepsBehind(request: WaitingRequest): number {
        return request.priority === mostUrgent || isOwed(request) ? 0 : request.priority - mostUrgent;
    }

    function rankOf(request: WaitingRequest): number {
        const { clientAccount, latestStartMs, work } = request;
        const workFactor = meanWork > 0 ? Math.min(maxWorkFactor, Math.max(minWorkFactor, work / meanWork)) : 1;
        const yieldMs = stepsBehind(request) * yieldMsPerStep * workFactor;
        const lateMs = nowMs > latestStartMs ? latePenaltyMs : 0;
        return lateMs + latestStartMs + accountPenaltyMs(clientAccount) + yieldMs;
    }

    return {
        rankOf,
        yieldsTo: (request, arrival) =>
            request.priority > arrival.priority && !isOwed(request) && rankOf(request) > rankOf(arrival),
    };
}
