/**
 * The status of the whole fleet: each entry reports its own revision and those of the hosts that get their
 * configuration from it.
 */

import { Result } from "true-myth";
import { operatorMethods, statusResponseSchema } from "../operators/messages.js";
import type { StatusResponse } from "../operators/messages.js";
import { callEntry } from "./operatorClient.js";
import { formatTable } from "./table.js";

/** A host and the last known revision of its configuration. */
export interface HostStatus {
    readonly host: string;
    readonly revision: number;
    /** Number of revisions behind the highest one in the fleet. */
    readonly behind: number;
    readonly seenMsAgo: number;
}

export interface FleetStatus {
    /** The highest revision reported by any entry. */
    readonly revision: number;
    readonly hosts: readonly HostStatus[];
    /** Entries that could not be reached or sent an invalid response. */
    readonly silent: readonly { readonly url: string; readonly cause: string; }[];
    /** Entries that are unavailable to callers, by host. */
    readonly refusing: readonly { readonly host: string; readonly cause: string; }[];
    /** Names of withdrawn keys whose withdrawal is not yet in the store. */
    readonly pendingWithdrawals: readonly string[];
    readonly endpoints: StatusResponse["endpoints"];
    /** Counters of each entry, by host. */
    readonly counters: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

const maxConcurrentCalls = 32;

/** Queries the entry at `entryUrl`, then all entries that it knows; fails only if the first call fails. */
export async function readFleetStatus(entryUrl: string): Promise<Result<FleetStatus, string>> {
    const first = await callEntry(entryUrl, operatorMethods.status, {}, statusResponseSchema);
    if (first.isErr) {
        return Result.err(first.error);
    }
    const responses: StatusResponse[] = [];
    const silent: { readonly url: string; readonly cause: string; }[] = [];
    const urls = [...first.value.entryUrls];
    while (urls.length > 0) {
        await Promise.all(
            urls.splice(0, maxConcurrentCalls).map(async url => {
                const response = await callEntry(url, operatorMethods.status, {}, statusResponseSchema);
                if (response.isOk) {
                    responses.push(response.value);
                }
                else {
                    silent.push({ url, cause: response.error });
                }
            }),
        );
    }
    return Result.ok({ ...mergeResponses(first.value, responses), silent });
}

function mergeResponses(first: StatusResponse, responses: readonly StatusResponse[]): Omit<FleetStatus, "silent"> {
    const revision = Math.max(first.revision, ...responses.map(response => response.revision));
    const statusByHost = new Map<string, HostStatus>();
    const followers = responses.flatMap(response => response.hosts);
    const entries = responses.map(response => ({ host: response.host, revision: response.revision, seenMsAgo: 0 }));
    for (const { host, revision: hostRevision, seenMsAgo } of [...followers, ...entries]) {
        const known = statusByHost.get(host);
        if (known === undefined || seenMsAgo <= known.seenMsAgo) {
            statusByHost.set(host, { host, revision: hostRevision, behind: revision - hostRevision, seenMsAgo });
        }
    }
    return {
        revision,
        hosts: [...statusByHost.values()].sort((left, right) => left.host < right.host ? -1 : 1),
        refusing: responses.flatMap(({ host, unavailable }) =>
            unavailable === undefined ? [] : [{ host, cause: unavailable }]
        ),
        pendingWithdrawals: [...new Set(responses.flatMap(response => response.pendingWithdrawals))],
        endpoints: first.endpoints,
        counters: Object.fromEntries(responses.map(response => [response.host, response.counters])),
    };
}

export function formatFleetStatus(status: FleetStatus): string {
    const hosts = status.hosts.map(({ host, revision, behind, seenMsAgo }) => [
        host,
        String(revision),
        String(behind),
        String(seenMsAgo),
    ]);
    const endpoints = status.endpoints.map(each => [
        each.endpoint,
        each.pool,
        each.role,
        each.state,
        each.agent ?? "none",
    ]);
    return [
        `revision ${status.revision}`,
        ...status.silent.map(({ url, cause }) => `no answer from ${url}: ${cause}`),
        ...status.refusing.map(({ host, cause }) => `${host} takes no requests: ${cause}`),
        `withdrawn keys not yet durable: ${status.pendingWithdrawals.join(", ") || "none"}`,
        "",
        formatTable(["host", "revision", "behind", "seen ms ago"], hosts),
        "",
        formatTable(["endpoint", "pool", "role", "state", "agent"], endpoints),
    ].join("\n");
}
