/**
 * Keeps the newest desired state in force, from the store and from other entries.
 *
 * A version in force is never replaced by a lower one, also not when the store was restored from an older copy. Such a
 * store may hold a lower version than other entries until the operator has written the newer one again, so an entry that
 * starts then, or that could not read the newer version before, takes it from an entry that has it in force.
 */

import type { Result } from "true-myth";
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import type { DesiredState } from "../routes/desiredState.js";
import { createRouteTable } from "../routes/routeTable.js";
import type { RouteTable } from "../routes/routeTable.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Log } from "../telemetry/telemetry.js";
import { desiredStateResponseSchema, peerSyncMethods } from "./messages.js";
import type { EntryState } from "./messages.js";
import type { TableCopy } from "./tableReplica.js";

export interface DesiredStateSyncDependencies {
    readonly clock: Clock;
    readonly rpc: RpcClient;
    readonly log: Log;
    /** Key of the desired state's row. */
    readonly key: string;
    readonly decode: (value: JsonValue) => Result<DesiredState, string>;
    /** Whether the table with the desired state, or changes of it, are arriving from the store or another entry. */
    readonly isArriving: () => boolean;
    /** Called with each desired state that comes into force. */
    readonly onChange: (state: DesiredState) => void;
}

export interface DesiredStateSync {
    /** The routes in force; `undefined` until a desired state is known. */
    readonly routes: () => RouteTable | undefined;
    /** Version in force; 0 for none. */
    readonly version: () => number;
    /** Puts the desired state of a copy of the store's table into force, if it is newer. */
    readonly applyCopy: (copy: TableCopy) => void;
    /** Whether another entry has had a newer desired state in force lately. */
    readonly isOutdated: () => boolean;
    /** Asks another entry for its desired state if that has been newer for a while. */
    readonly applyPeerState: (state: Pick<EntryState, "url" | "desiredStateVersion">) => Promise<void>;
    readonly methods: RpcMethods;
}

/** A newer version usually arrives from the store within this time, without a call to another entry. */
const waitForStoreMs = 600;
const callTimeoutMs = 700;
/** Longer than the time between two messages of an entry in a large fleet. */
const newerVersionLifetimeMs = 5_000;
const noVersion = 0;

export function createDesiredStateSync(dependencies: DesiredStateSyncDependencies): DesiredStateSync {
    const { clock, rpc, log, key, decode } = dependencies;
    let inForce: { readonly value: JsonValue; readonly routes: RouteTable; } | undefined;
    let behindSinceMs: number | undefined;
    let isCallPending = false;
    let newest = { version: noVersion, heardAtMs: Number.NEGATIVE_INFINITY };

    const version = (): number => inForce?.routes.state.version ?? noVersion;

    function apply(value: JsonValue, source: string): void {
        const decoded = decode(value);
        if (decoded.isErr) {
            log.warn("the desired state can't be read; the last one stays in force", { source, cause: decoded.error });
            return;
        }
        const before = version();
        if (inForce !== undefined && decoded.value.version <= before) {
            return;
        }
        inForce = { value, routes: createRouteTable(decoded.value) };
        behindSinceMs = undefined;
        dependencies.onChange(decoded.value);
        log.info("a desired state is in force", { version: decoded.value.version, before, source });
    }

    async function fetchFrom(url: string): Promise<void> {
        isCallPending = true;
        const response = await rpc.call(url, peerSyncMethods.desiredState, {}, { timeoutMs: callTimeoutMs });
        isCallPending = false;
        if (response.isErr) {
            log.warn("the desired state of another entry did not arrive", { entry: url, cause: response.error.cause });
        }
        const checked = response.isOk ? checkValue(desiredStateResponseSchema, response.value) : undefined;
        if (checked?.isOk && checked.value.value !== undefined) {
            apply(checked.value.value, url);
        }
    }

    return {
        routes: () => inForce?.routes,
        version,
        applyCopy: ({ rows, position }) => {
            const row = rows.find(candidate => candidate.key === key);
            if (row !== undefined) {
                apply(row.value, `store, era ${position.era}, revision ${position.revision}`);
            }
        },
        isOutdated: () => newest.version > version() && clock.monotonicMs() - newest.heardAtMs < newerVersionLifetimeMs,
        applyPeerState: async state => {
            if (state.desiredStateVersion <= version()) {
                return;
            }
            newest = {
                version: Math.max(newest.version, state.desiredStateVersion),
                heardAtMs: clock.monotonicMs(),
            };
            if (behindSinceMs === undefined || dependencies.isArriving()) {
                behindSinceMs = clock.monotonicMs();
            }
            if (!isCallPending && clock.monotonicMs() - behindSinceMs >= waitForStoreMs) {
                await fetchFrom(state.url);
            }
        },
        methods: {
            [peerSyncMethods.desiredState]: rpcMethod(z.object({}), async () => ({ value: inForce?.value })),
        },
    };
}
