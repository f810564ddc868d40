/**
 * RPC methods of an entry for operators: configuration changes, key withdrawal, object lists and status.
 */

import type { Result } from "true-myth";
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { Distribution } from "../configuration/distribution.js";
import type { AppendError, ProposedChanges } from "../configuration/log.js";
import type { Endpoint, Key } from "../configuration/objects.js";
import { listObjects, valueOf } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";
import type { Withdrawals } from "../keys/withdrawal.js";
import type { HostDirectory } from "../membership/hosts.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { applySchema, listSchema, operatorMethods, withdrawKeySchema } from "./messages.js";
import type { ApplyResponse, ListResponse, StatusResponse, WithdrawKeyResponse } from "./messages.js";

export interface OperatorDependencies {
    readonly host: string;
    /** Internal address of this entry. */
    readonly url: string;
    readonly configuration: () => ConfigurationState;
    readonly append: (proposed: ProposedChanges) => Promise<Result<ConfigurationState, AppendError>>;
    readonly withdrawals: Withdrawals;
    readonly distribution: Distribution;
    readonly hosts: HostDirectory;
    readonly clock: Clock;
    readonly telemetry: Telemetry;
    /** Why this entry does not serve callers; `undefined` if it does. */
    readonly unavailable: () => string | undefined;
}

export function createOperatorMethods(dependencies: OperatorDependencies): RpcMethods {
    const { configuration, distribution, telemetry, clock } = dependencies;

    async function apply(proposed: ProposedChanges): Promise<ApplyResponse> {
        const appended = await dependencies.append(proposed);
        if (appended.isErr) {
            return appended.error;
        }
        const { revision } = appended.value;
        telemetry.log.info("configuration changed", { revision, operator: proposed.operator });
        return { kind: "accepted", revision };
    }

    async function withdrawKey(name: string): Promise<WithdrawKeyResponse> {
        const key = valueOf<Key>(configuration(), "key", name);
        if (key === undefined) {
            return { kind: "unknownKey" };
        }
        const durable = await dependencies.withdrawals.withdraw({ keyName: name, digestHex: key.digestHex });
        return { kind: "inForce", durable };
    }

    function status(): StatusResponse {
        const state = configuration();
        return {
            host: dependencies.host,
            revision: state.revision,
            ageMs: distribution.ageMs(),
            unavailable: dependencies.unavailable(),
            pendingWithdrawals: dependencies.withdrawals.pending().map(withdrawal => withdrawal.keyName),
            entryUrls: [...new Set([dependencies.url, ...dependencies.hosts.known("entry").map(host => host.url)])],
            hosts: distribution.hostRevisions().map(({ host, revision, seenAtMs }) => ({
                host,
                revision,
                seenMsAgo: Math.round(clock.monotonicMs() - seenAtMs),
            })),
            endpoints: listObjects(state, "endpoint").map(({ name, value }) => {
                const { pool, role, state: endpointState } = value as Endpoint;
                return {
                    endpoint: name,
                    pool,
                    role,
                    state: endpointState,
                    agent: dependencies.hosts.agentOf(name)?.url,
                };
            }),
            counters: telemetry.counters.snapshot(),
        };
    }

    function list(kind: z.output<typeof listSchema>["kind"]): ListResponse {
        const state = configuration();
        const objects = listObjects(state, kind).map(({ name, version, value }) => ({ name, version, value }));
        return { revision: state.revision, objects };
    }

    return {
        [operatorMethods.apply]: rpcMethod(applySchema, apply),
        [operatorMethods.list]: rpcMethod(listSchema, async ({ kind }) => list(kind)),
        [operatorMethods.withdrawKey]: rpcMethod(withdrawKeySchema, ({ name }) => withdrawKey(name)),
        [operatorMethods.status]: rpcMethod(z.object({}), async () => status()),
    };
}
