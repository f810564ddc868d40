/**
 * The status of the whole fleet: each entry tells its own revision and those of the hosts that follow it.
 */

import { Result } from "true-myth";
import { operatorMethods, statusAnswerSchema } from "../operators/messages.js";
import type { StatusAnswer } from "../operators/messages.js";
import { callEntry } from "./operatorClient.js";
import { formatTable } from "./table.js";

/** One process and the revision it was last seen at. */
export interface HostLine {
    readonly host: string;
    readonly revision: number;
    readonly behind: number;
    readonly seenMsAgo: number;
}

export interface FleetStatus {
    /** The highest revision that any entry reports. */
    readonly revision: number;
    readonly hosts: readonly HostLine[];
    /** Entries that did not answer, with the cause. */
    readonly silent: readonly { readonly url: string; readonly cause: string; }[];
    readonly refusing: readonly { readonly host: string; readonly cause: string; }[];
    readonly pendingWithdrawals: readonly string[];
    readonly endpoints: StatusAnswer["endpoints"];
    readonly counters: Readonly<Record<string, Readonly<Record<string, number>>>>;
}

const askedAtOnce = 32;

/** Asks the entry at `entryUrl`, then every entry that it knows. */
export async function readFleetStatus(entryUrl: string): Promise<Result<FleetStatus, string>> {
    const first = await callEntry(entryUrl, operatorMethods.status, {}, statusAnswerSchema);
    if (first.isErr) {
        return Result.err(first.error);
    }
    const answers: StatusAnswer[] = [];
    const silent: { readonly url: string; readonly cause: string; }[] = [];
    const urls = [...first.value.entryUrls];
    while (urls.length > 0) {
        await Promise.all(
            urls.splice(0, askedAtOnce).map(async url => {
                const answer = await callEntry(url, operatorMethods.status, {}, statusAnswerSchema);
                if (answer.isOk) {
                    answers.push(answer.value);
                }
                else {
                    silent.push({ url, cause: answer.error });
                }
            }),
        );
    }
    return Result.ok({ ...merge(first.value, answers), silent });
}

function merge(first: StatusAnswer, answers: readonly StatusAnswer[]): Omit<FleetStatus, "silent"> {
    const revision = Math.max(first.revision, ...answers.map(answer => answer.revision));
    const lines = new Map<string, HostLine>();
    const followers = answers.flatMap(answer => answer.hosts);
    const entries = answers.map(answer => ({ host: answer.host, revision: answer.revision, seenMsAgo: 0 }));
    for (const { host, revision: seen, seenMsAgo } of [...followers, ...entries]) {
        const known = lines.get(host);
        if (known === undefined || seenMsAgo <= known.seenMsAgo) {
            lines.set(host, { host, revision: seen, behind: revision - seen, seenMsAgo });
        }
    }
    return {
        revision,
        hosts: [...lines.values()].sort((left, right) => left.host < right.host ? -1 : 1),
        refusing: answers.flatMap(({ host, unavailable }) =>
            unavailable === undefined ? [] : [{ host, cause: unavailable }]
        ),
        pendingWithdrawals: [...new Set(answers.flatMap(answer => answer.pendingWithdrawals))],
        endpoints: first.endpoints,
        counters: Object.fromEntries(answers.map(answer => [answer.host, answer.counters])),
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
