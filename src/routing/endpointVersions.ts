/**
 * The software version that each endpoint named last. It may have started again with another version since, so it decides
 * which endpoints are tried; what an endpoint names in the course of an attempt decides whether the attempt goes on.
 */

import { removeOldest } from "../common/bounded.js";

export interface EndpointVersions {
    readonly record: (endpoint: string, softwareVersion: string) => void;
    /** Whether an endpoint may have a version: it named this one last, or none yet. */
    readonly mayHave: (endpoint: string, softwareVersion: string) => boolean;
    /** `undefined` if the endpoint named none yet. */
    readonly versionOf: (endpoint: string) => string | undefined;
}

const maxEndpoints = 20_000;

export function createEndpointVersions(): EndpointVersions {
    const versionByEndpoint = new Map<string, string>();
    return {
        record: (endpoint, softwareVersion) => {
            versionByEndpoint.delete(endpoint);
            versionByEndpoint.set(endpoint, softwareVersion);
            removeOldest(versionByEndpoint, maxEndpoints);
        },
        mayHave: (endpoint, softwareVersion) =>
            (versionByEndpoint.get(endpoint) ?? softwareVersion) === softwareVersion,
        versionOf: endpoint => versionByEndpoint.get(endpoint),
    };
}
