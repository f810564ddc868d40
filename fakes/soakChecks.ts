/**
 * Checks of the fault soak on what engines received, and on how calls ended: the rates that engines name, requests under
 * which they end, calls that are left unanswered, and responses that planned work cuts off.
 */

import { deadlyBody } from "./platformEngine.js";
import type { FakePlatformEngine, NamedLimit } from "./platformEngine.js";

/** Limits of the platform: what an engine may get in a window, and from when on after it first named its rate. */
export const rateWindowMs = 4_000;
const stableWindowMs = 3_000;
const toldMs = 500;
const windowFactor = 1.5;
const windowSlack = 5;
/** Engines that may end under copies of one request before entries must react, and copies that may run later. */
const maxEnds = 3;
const maxLaterRuns = 3;
/** Engines that may end under a part of a prompt before entries must react. */
const maxPartEnds = 5;
/** Generations of a kind from which their share is judged. */
const minGenerations = 20;
const minServedShare = 0.5;
const msPerSecond = 1_000;

/** What an engine may get within one window. */
export function allowedInWindow(ratePerSecond: number): number {
    return Math.floor(windowFactor * ratePerSecond * rateWindowMs / msPerSecond) + windowSlack;
}

/** A response that a caller received, by the engine that made it; times are wall-clock times in ms. */
export interface PassedOnResponse {
    readonly engine: string | undefined;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
}

/**
 * The most requests that arrived within one window, of those that count against a limit: those that arrived some time
 * after `toldAtMs`, when a response with the limit was first passed on.
 */
export function maxInWindow(
    arrivedAtMs: readonly number[],
    { fromMs, untilMs }: NamedLimit,
    toldAtMs: number = fromMs,
): number {
    const counted = arrivedAtMs.filter(atMs => atMs >= toldAtMs + toldMs && atMs <= (untilMs ?? Infinity));
    const counts = counted
        .filter(endMs => endMs >= fromMs + stableWindowMs)
        .map(endMs => counted.filter(atMs => atMs <= endMs && atMs > endMs - rateWindowMs).length);
    return Math.max(0, ...counts);
}

type RateEngine = Pick<FakePlatformEngine, "id" | "stage" | "limits" | "arrivedAtMs">;

/** When a response with a limit was first passed on; the responses of prefill engines end at the entries. */
function toldAtMs({ id, stage }: RateEngine, { fromMs }: NamedLimit, passedOn: readonly PassedOnResponse[]): number {
    return stage === "prefill"
        ? fromMs
        : Math.min(
            ...passedOn.filter(({ engine, sentAtMs }) => engine === id && sentAtMs >= fromMs)
                .map(({ endedAtMs }) => endedAtMs),
        );
}

/** Checks that no engine got more than the rates that it named, see `maxInWindow`. */
export function checkRates(
    engines: readonly RateEngine[],
    passedOn: readonly PassedOnResponse[],
): readonly string[] {
    return engines.flatMap(engine =>
        engine.limits.flatMap(limit => {
            const { id, arrivedAtMs } = engine;
            const got = maxInWindow(arrivedAtMs, limit, toldAtMs(engine, limit, passedOn));
            const allowed = allowedInWindow(Number(limit.value));
            return got <= allowed
                ? []
                : [`${id} named a limit of ${limit.value} a second and got ${got} requests in 4 s; allowed ${allowed}`];
        })
    );
}

/** Checks that copies of a deadly request stop reaching engines some time after they have ended the third one. */
export function checkDeadlyRuns(engines: readonly FakePlatformEngine[]): readonly string[] {
    const runsByTarget = new Map<string, number[]>();
    for (const { target, body, atMs } of engines.flatMap(engine => engine.runs)) {
        if (body === deadlyBody) {
            runsByTarget.set(target, [...runsByTarget.get(target) ?? [], atMs]);
        }
    }
    return [...runsByTarget].flatMap(([target, unsorted]) => {
        const times = unsorted.sort((left, right) => left - right);
        const thirdAtMs = times[maxEnds - 1] ?? Infinity;
        const later = times.filter(atMs => atMs > thirdAtMs + stableWindowMs).length;
        return later <= maxLaterRuns
            ? []
            : [
                `${target}: ${later} deadly runs later than ${stableWindowMs} ms after the third, of ${times.length}, `
                + `at ${times.join(" ")}`,
            ];
    });
}

/** A generation by its caller; times are wall-clock times in ms. */
export interface Generation {
    /** Whether its prompt has parts, the first of which requests with the deadly part have as well. */
    readonly hasSharedPart: boolean;
    readonly sentAtMs: number;
    readonly hasBegun: boolean;
}

/**
 * Checks the requests with a part that ends engines (`deadlyRunsAtMs`) and the sound ones beside them: few of the former
 * reach engines some time after the fifth, and from the double of that time on, those of the latter that share their
 * first part begin at least half as often as those without any part.
 */
export function checkDeadlyParts(
    deadlyRunsAtMs: readonly number[],
    generations: readonly Generation[],
): readonly string[] {
    const times = deadlyRunsAtMs.toSorted((left, right) => left - right);
    const fifthAtMs = times[maxPartEnds - 1] ?? times.at(-1) ?? Infinity;
    const later = times.filter(atMs => atMs > fifthAtMs + stableWindowMs).length;
    const counted = generations.filter(({ sentAtMs }) => sentAtMs > fifthAtMs + 2 * stableWindowMs);
    const [sharing, others] = [true, false].map(hasSharedPart => {
        const sent = counted.filter(generation => generation.hasSharedPart === hasSharedPart);
        const { length: begun } = sent.filter(({ hasBegun }) => hasBegun);
        return { sent: sent.length, share: begun / sent.length };
    });
    // Where few begin at all, because an entry shuts down, the shares differ by chance.
    const isServing = (others?.share ?? 0) >= minServedShare;
    const isJudged = isServing && Math.min(sharing?.sent ?? 0, others?.sent ?? 0) >= minGenerations;
    const isLost = isJudged && (sharing?.share ?? 0) < (others?.share ?? 0) / 2;
    return [
        ...later > maxLaterRuns
            ? [`${later} runs with the deadly part later than ${stableWindowMs} ms after the fifth`]
            : [],
        ...isLost
            ? [`beside the deadly part, ${sharing?.share} of those with its first part begin, ${others?.share} of others`]
            : [],
    ];
}

/** How a call ended for its caller; times are wall-clock times in ms. */
export interface EndedCall {
    readonly path: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    readonly response: {
        readonly requestId: string;
        readonly status: number;
        /** `undefined` if the connection failed before its end. */
        readonly body: string | undefined;
    };
}

/** Far beyond the time limit of all calls, 5 s, and of any fault; a call that lasts longer is left unanswered. */
const maxCallMs = 15_000;
const unknownOutcomes: ReadonlySet<number> = new Set([502, 504]);

export function checkLateCalls(calls: readonly EndedCall[]): readonly string[] {
    return calls.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > maxCallMs).map(
        ({ path, sentAtMs, endedAtMs, response }) =>
            `${response.requestId} ${path}: ended ${endedAtMs - sentAtMs} ms after it was sent`,
    );
}

/** Checks, for a run without unplanned faults, that each call that ran got its whole response. */
export function checkWholeResponses(
    calls: readonly EndedCall[],
    unanswered: readonly string[],
    engines: readonly { readonly runs: readonly { readonly requestId: string; }[]; }[],
): readonly string[] {
    const executed = new Set(engines.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
    const cut = calls.filter(({ response: { status, body } }) => body === undefined || unknownOutcomes.has(status))
        .map(({ path, response: { requestId, status } }) => ({
            requestId,
            how: `${path}: ${status}, without its end`,
        }));
    return [...cut, ...unanswered.map(requestId => ({ requestId, how: "closed without a response" }))]
        .filter(({ requestId }) => executed.has(requestId))
        .map(({ requestId, how }) => `${requestId} ${how}, but ran`);
}
