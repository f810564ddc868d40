/**
 * Index of the endpoints that can serve a model or a route, from the configuration and the known hosts.
 */

import type { Endpoint, Pool } from "../configuration/objects.js";
import { listObjects } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";
import type { HostDirectory } from "../membership/hosts.js";
import type { Candidate } from "./choose.js";

/** A model's pool and the pool's name. */
export interface NamedPool {
    readonly name: string;
    readonly pool: Pool;
}

interface PoolEndpoint {
    readonly name: string;
    readonly endpoint: Endpoint;
}

export interface CandidateIndex {
    readonly poolOfModel: (model: string) => NamedPool | undefined;
    /** Names of the models that have serving endpoints; plain services are not listed. */
    readonly models: () => readonly string[];
    /** Serving endpoints of a pool and role that are not in `excluded` and whose agents are usable. */
    readonly candidates: (
        pool: string,
        role: Endpoint["role"],
        excluded: ReadonlySet<string>,
    ) => readonly Candidate[];
    /** Rebuilds the index from a new configuration. */
    readonly load: (state: ConfigurationState) => void;
}

export function createCandidateIndex(hosts: HostDirectory): CandidateIndex {
    let endpointsByPool = new Map<string, readonly PoolEndpoint[]>();
    let poolsByModel = new Map<string, NamedPool>();

    function toCandidate({ name, endpoint }: PoolEndpoint): readonly Candidate[] {
        const agent = hosts.agentOf(name);
        if (agent === undefined) {
            return [];
        }
        return [{
            endpoint: name,
            agentUrl: agent.url,
            dataCentre: agent.dataCentre,
            slots: endpoint.slots,
            rampUp: hosts.rampUp(agent.url),
        }];
    }

    return {
        poolOfModel: model => poolsByModel.get(model),
        models: () =>
            [...poolsByModel.values()]
                .filter(({ name }) =>
                    (endpointsByPool.get(name) ?? []).some(({ endpoint }) => endpoint.role !== "plain")
                )
                .map(({ pool }) => pool.model),
        candidates: (pool, role, excluded) =>
            (endpointsByPool.get(pool) ?? [])
                .filter(({ name, endpoint }) => endpoint.role === role && !excluded.has(name))
                .flatMap(toCandidate),
        load: state => {
            const byPool = new Map<string, PoolEndpoint[]>();
            for (const { name, value } of listObjects(state, "endpoint")) {
                const endpoint = value as Endpoint;
                if (endpoint.state === "serving") {
                    byPool.set(endpoint.pool, [...byPool.get(endpoint.pool) ?? [], { name, endpoint }]);
                }
            }
            endpointsByPool = byPool;
            poolsByModel = new Map(
                listObjects(state, "pool").map(({ name, value }) => [
                    (value as Pool).model,
                    { name, pool: value as Pool },
                ]),
            );
        },
    };
}
