/**
 * Indexes of one desired state: routes by host and path prefix, client accounts by the digests of their API keys.
 */

import { digestsEqual, sha256Hex } from "../common/digest.js";
import type { Random } from "../common/random.js";
import type { ClientAccount, DesiredState, Route, Service } from "./desiredState.js";

export interface RouteTable {
    readonly state: DesiredState;
    /** The route of `host` with the longest path prefix that matches `path`. */
    readonly find: (host: string, path: string) => Route | undefined;
    readonly accountOf: (key: string) => ClientAccount | undefined;
    readonly service: (name: string) => Service | undefined;
}

/** The host name without its port, in lower case. */
export function normalizeHost(host: string): string {
    const portStart = host.lastIndexOf(":");
    return (portStart < 0 ? host : host.slice(0, portStart)).toLowerCase();
}

export function createRouteTable(state: DesiredState): RouteTable {
    const routesByHost = new Map<string, Map<string, Route>>();
    for (const route of state.routes) {
        const hostRoutes = routesByHost.get(route.host) ?? new Map<string, Route>();
        hostRoutes.set(route.pathPrefix, route);
        routesByHost.set(route.host, hostRoutes);
    }
    const accountsByDigest = new Map<string, ClientAccount>();
    for (const account of state.clientAccounts ?? []) {
        account.keys.forEach(key => accountsByDigest.set(sha256Hex(key), account));
    }
    const services = new Map(state.services.map(service => [service.name, service]));

    return {
        state,
        find: (host, path) => {
            const hostRoutes = routesByHost.get(normalizeHost(host));
            if (hostRoutes === undefined) {
                return undefined;
            }
            // One lookup per path segment: the cost does not depend on the number of routes.
            for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
                const route = hostRoutes.get(path.slice(0, end + 1));
                if (route !== undefined) {
                    return route;
                }
            }
            return undefined;
        },
        accountOf: key => {
            const digest = sha256Hex(key);
            const account = accountsByDigest.get(digest);
            return account !== undefined && account.keys.some(accountKey => digestsEqual(sha256Hex(accountKey), digest))
                ? account
                : undefined;
        },
        service: name => services.get(name),
    };
}

/** Picks a service of a split route at random, by weight. */
export function pickService(route: Route, random: Random): string | undefined {
    const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = random() * totalWeight;
    for (const { service, weight } of route.services) {
        remainingWeight -= weight;
        if (remainingWeight < 0) {
            return service;
        }
    }
    return route.services.at(-1)?.service;
}
