/**
 * Directory of the known hosts. It combines the platform's host list, which may be out of date, the peers in the
 * settings, and the health observed in calls.
 *
 * A host that fails a call is ejected immediately, regardless of the list, for a time that doubles with each
 * consecutive failure, up to `maxBackoffMs`. A recovered host receives an increasing fraction of its normal traffic.
 */

import type { Clock } from "../common/clock.js";
import type { HostList, HostRecord } from "../platform/ports.js";

export interface HostDirectory {
    /** Hosts of a role that are neither leaving nor ejected. */
    readonly usable: (role: HostRecord["role"]) => readonly HostRecord[];
    /** All hosts of a role from the list and the settings, usable or not. */
    readonly known: (role: HostRecord["role"]) => readonly HostRecord[];
    /** The agent of an endpoint, unless it is leaving or ejected. */
    readonly agentOf: (endpoint: string) => HostRecord | undefined;
    readonly reportFailure: (url: string) => void;
    readonly reportSuccess: (url: string) => void;
    /** Fraction of its normal traffic, from 0 to 1, that a host should receive after it recovered. */
    readonly rampUp: (url: string) => number;
    /** Reads the platform's host list; if that fails, the last list stays in use. */
    readonly refresh: () => Promise<void>;
}

interface Health {
    /** Consecutive failures. */
    readonly failures: number;
    readonly ejectedUntilMs: number;
    readonly recoveredAtMs: number | undefined;
}

const initialBackoffMs = 500;
const maxBackoffMs = 15_000;
const rampUpMs = 10_000;
const minRampUp = 0.1;

export function createHostDirectory(
    hostList: HostList,
    clock: Clock,
    staticHosts: readonly HostRecord[],
): HostDirectory {
    let hosts: readonly HostRecord[] = staticHosts;
    const healthByUrl = new Map<string, Health>();

    function isEjected(url: string): boolean {
        const health = healthByUrl.get(url);
        return health !== undefined && clock.monotonicMs() < health.ejectedUntilMs;
    }

    function known(role: HostRecord["role"]): readonly HostRecord[] {
        return hosts.filter(host => host.role === role);
    }

    return {
        known,
        usable: role => known(role).filter(host => host.state === "live" && !isEjected(host.url)),
        agentOf: endpoint =>
            hosts.find(host => host.endpoint === endpoint && host.state === "live" && !isEjected(host.url)),
        reportFailure: url => {
            const failures = (healthByUrl.get(url)?.failures ?? 0) + 1;
            const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1));
            healthByUrl.set(url, {
                failures,
                ejectedUntilMs: clock.monotonicMs() + backoffMs,
                recoveredAtMs: undefined,
            });
        },
        reportSuccess: url => {
            const health = healthByUrl.get(url);
            if (health !== undefined && health.failures > 0) {
                healthByUrl.set(url, { failures: 0, ejectedUntilMs: 0, recoveredAtMs: clock.monotonicMs() });
            }
        },
        rampUp: url => {
            const health = healthByUrl.get(url);
            if (health === undefined) {
                return 1;
            }
            if (health.recoveredAtMs === undefined) {
                return minRampUp;
            }
            const sinceRecoveryMs = clock.monotonicMs() - health.recoveredAtMs;
            return Math.min(1, Math.max(minRampUp, sinceRecoveryMs / rampUpMs));
        },
        refresh: async () => {
            const listed = await hostList.list();
            if (listed.isErr) {
                return;
            }
            // A host that is missing from the list is kept only if it is in the settings.
            const listedUrls = new Set(listed.value.map(host => host.url));
            hosts = [...listed.value, ...staticHosts.filter(host => !listedUrls.has(host.url))];
            const knownUrls = new Set(hosts.map(host => host.url));
            [...healthByUrl.keys()].filter(url => !knownUrls.has(url)).forEach(url => healthByUrl.delete(url));
        },
    };
}
