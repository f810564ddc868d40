/**
 * The HTTP interface for callers: completions, chat, models, routes to plain services, health.
 */

import { findRoute } from "../configuration/state.js";
import { pathOf, sendJson } from "../rpc/httpServer.js";
import type { Handler, Router } from "../rpc/httpServer.js";
import { bearerKey, createAccessControl } from "./accessControl.js";
import { createCompletionHandlers } from "./completions.js";
import type { CallersDependencies } from "./dependencies.js";
import { sendError } from "./errors.js";
import { createRouteHandler } from "./serviceRoutes.js";

export function createCallersRouter(dependencies: CallersDependencies): Router {
    const accessControl = createAccessControl(dependencies);
    const completionHandler = createCompletionHandlers(dependencies, accessControl);
    const handleRoute = createRouteHandler(dependencies, accessControl);

    const handleModels: Handler = async (request, response) => {
        const caller = accessControl.authenticate(bearerKey(request));
        if (caller.isErr) {
            sendError(response, caller.error);
            return;
        }
        const data = dependencies.candidates.models().map(id => ({ id, object: "model", owned_by: "gooseberrywell" }));
        sendJson(response, 200, { object: "list", data });
    };

    const handleReady: Handler = async (request, response) => {
        const reason = dependencies.notReady();
        sendJson(response, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
    };

    const fixedRoutes: Readonly<Record<string, Handler>> = {
        "POST /v1/completions": completionHandler("completion"),
        "POST /v1/chat/completions": completionHandler("chat"),
        "GET /v1/models": handleModels,
        "GET /healthz": async (request, response) => sendJson(response, 200, { alive: true }),
        "GET /readyz": handleReady,
    };

    return (method, path) => {
        const fixed = fixedRoutes[`${method} ${path}`];
        if (fixed !== undefined) {
            return fixed;
        }
        const route = findRoute(dependencies.configuration(), method, path);
        if (route !== undefined) {
            return (request, response) => handleRoute(request, response, route);
        }
        return async (request, response) => {
            const message = `no route for ${request.method} ${pathOf(request)}`;
            sendError(response, { code: "route_not_found", message, notRun: true });
        };
    };
}
