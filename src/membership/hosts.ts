/**
 * The hosts that this process knows: the platform's lagging list, the settings' peers, and what calls have shown.
 *
 * A host that failed a call is passed over at once, whatever the list says, and tried again after a pause that
 * grows with repeated failures; one that comes back gets a growing part of its normal work.
 */

import type { Clock } from "../common/clock.js";
import type { HostList, HostRecord } from "../platform/ports.js";

export interface HostDirectory {
    /** Hosts of a role that are not leaving and not passed over. */
    readonly usable: (role: HostRecord["role"]) => readonly HostRecord[];
    /** All hosts of a role in the list, usable or not. */
    readonly known: (role: HostRecord["role"]) => readonly HostRecord[];
    /** The agent beside an endpoint, unless it is passed over. */
    readonly agentOf: (endpoint: string) => HostRecord | undefined;
    readonly reportFailure: (url: string) => void;
    readonly reportSuccess: (url: string) => void;
    /** From 0 to 1: how much of its normal work a host should get after it came back. */
    readonly rampUp: (url: string) => number;
    readonly refresh: () => Promise<void>;
}

interface Health {
    readonly failures: number;
    readonly avoidUntilMs: number;
    readonly recoveredAtMs: number | undefined;
}

const firstPauseMs = 500;
const maxPauseMs = 15_000;
const rampUpMs = 10_000;
const minimumRampUp = 0.1;

export function createHostDirectory(
    list: HostList,
    clock: Clock,
    staticHosts: readonly HostRecord[],
): HostDirectory {
    let hosts: readonly HostRecord[] = staticHosts;
    const healthByUrl = new Map<string, Health>();

    function isAvoided(url: string): boolean {
        const health = healthByUrl.get(url);
        return health !== undefined && clock.monotonicMs() < health.avoidUntilMs;
    }

    function known(role: HostRecord["role"]): readonly HostRecord[] {
        return hosts.filter(host => host.role === role);
    }

    return {
        known,
        usable: role => known(role).filter(host => host.state === "live" && !isAvoided(host.url)),
        agentOf: endpoint =>
            hosts.find(host => host.endpoint === endpoint && host.state === "live" && !isAvoided(host.url)),
        reportFailure: url => {
            const failures = (healthByUrl.get(url)?.failures ?? 0) + 1;
            const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (failures - 1));
            healthByUrl.set(url, {
                failures,
                avoidUntilMs: clock.monotonicMs() + pauseMs,
                recoveredAtMs: undefined,
            });
        },
        reportSuccess: url => {
            const health = healthByUrl.get(url);
            if (health !== undefined && health.failures > 0) {
                healthByUrl.set(url, { failures: 0, avoidUntilMs: 0, recoveredAtMs: clock.monotonicMs() });
            }
        },
        rampUp: url => {
            const health = healthByUrl.get(url);
            if (health === undefined) {
                return 1;
            }
            if (health.recoveredAtMs === undefined) {
                return minimumRampUp;
            }
            const sinceMs = clock.monotonicMs() - health.recoveredAtMs;
            return Math.min(1, Math.max(minimumRampUp, sinceMs / rampUpMs));
        },
        refresh: async () => {
            const listed = await list.list();
            if (listed.isErr) {
                return;
            }
            // A host missing from the list is kept only if the settings name it.
            const urls = new Set(listed.value.map(host => host.url));
            hosts = [...listed.value, ...staticHosts.filter(host => !urls.has(host.url))];
            const names = new Set(hosts.map(host => host.url));
            [...healthByUrl.keys()].filter(url => !names.has(url)).forEach(url => healthByUrl.delete(url));
        },
    };
}
