/**
 * Finds out where a stream may go on that a caller takes up: at the service and the software version that began it. What
 * two versions write does not fit together and engines do not check this, so a request is refused unless the origin of
 * its stream is known.
 */

import { Result } from "true-myth";
import type { KnownOrigin } from "../resumption/streamOrigins.js";
import type { Route } from "../routes/desiredState.js";
import type { ForwardContext } from "./context.js";
import type { ForwardRequest, Refusal } from "./forwardRequest.js";

/** Retry delay while the origin may become known: the store does not answer, or the first engine is not confirmed yet. */
const unknownOriginRetryMs = 1_000;
const unavailable = 503;

/** Whether a request takes up a stream. */
export function isResumed(route: Route, { lastEventId }: ForwardRequest): boolean {
    return route.kind === "stream" && lastEventId !== undefined;
}

/** The origin of the stream that a request takes up, or why the request is refused; nothing has been run. */
export async function findResumedOrigin(
    context: ForwardContext,
    request: ForwardRequest,
    route: Route,
): Promise<Result<KnownOrigin, Refusal>> {
    const { requestId, resumedRequestId } = request;
    const refused = (cause: string, retryAfterMs?: number): Result<never, Refusal> => {
        context.metrics.count("resumptionsRefused", route.name);
        context.log.decision("a stream is not taken up", { requestId, resumedRequestId, route: route.name, cause });
        return Result.err({ status: unavailable, cause, ...retryAfterMs === undefined ? {} : { retryAfterMs } });
    };
    if (!route.isResumable) {
        return refused(`streams of route ${route.name} can't be resumed`);
    }
    if (resumedRequestId === undefined) {
        return refused("the request does not say with which request its stream began");
    }
    const found = await context.streamOrigins.find(resumedRequestId);
    if (found.kind === "unknown") {
        return refused(
            `it is not known with which version the stream began: ${found.cause}`,
            found.isFinal ? undefined : unknownOriginRetryMs,
        );
    }
    const { origin } = found;
    if (!route.services.some(({ service, weight }) => service === origin.service && weight > 0)) {
        return refused(`the stream began at service ${origin.service}, which route ${route.name} does not name`);
    }
    const isServed = context.directory.known().some(({ service, softwareVersion }) =>
        service === origin.service && softwareVersion === origin.softwareVersion
    );
    return isServed
        ? Result.ok(origin)
        : refused(`no engine is left with version ${origin.softwareVersion}, which began the stream`);
}
