/**
 * The configuration of an entry: its replica, the distribution between entries and agents, and changes by operators.
 */

import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import { createDistribution } from "../configuration/distribution.js";
import type { Distribution } from "../configuration/distribution.js";
import { appendChanges } from "../configuration/log.js";
import type { ProposedChanges } from "../configuration/log.js";
import type { Key } from "../configuration/objects.js";
import { createReplica } from "../configuration/replica.js";
import type { ConfigurationReplica } from "../configuration/replica.js";
import { revisionsPerSnapshot, writeSnapshot } from "../configuration/snapshot.js";
import type { PendingWithdrawal } from "../keys/messages.js";
import type { HostDirectory } from "../membership/hosts.js";
import type { Platform } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import type { EntryFileSettings } from "../settings/settings.js";
import type { Counters } from "../telemetry/telemetry.js";

export interface EntryConfiguration {
    readonly replica: ConfigurationReplica;
    readonly distribution: Distribution;
    /** Appends an operator's changes to the log, applies them here, and announces the new revision to other entries. */
    readonly append: (proposed: ProposedChanges) => ReturnType<typeof appendChanges>;
    /** Writes a key's withdrawal to the log; resolves to whether the log contains it. */
    readonly makeWithdrawalDurable: (withdrawal: PendingWithdrawal) => Promise<boolean>;
}

export interface EntryConfigurationDependencies {
    readonly platform: Platform;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly counters: Counters;
    readonly hosts: HostDirectory;
    /** Base URL of this process. */
    readonly url: string;
    /** Base URLs of the other usable entries, in one data centre or, for `undefined`, in all. */
    readonly peersOf: (dataCentre: string | undefined) => readonly string[];
}

export function createEntryConfiguration(
    settings: EntryFileSettings,
    { platform, rpc, clock, random, counters, hosts, url, peersOf }: EntryConfigurationDependencies,
): EntryConfiguration {
    const replica = createReplica(clock);
    const distribution = createDistribution(
        { host: settings.host, dataCentre: settings.dataCentre, url, pollMs: settings.configurationPollMs },
        {
            platform,
            replica,
            rpc,
            clock,
            random,
            counters,
            localEntries: () => peersOf(settings.dataCentre),
            allEntries: () => peersOf(undefined),
            knownEntries: () => hosts.known("entry").map(host => host.url).filter(known => known !== url),
            reportFailure: hosts.reportFailure,
            reportSuccess: hosts.reportSuccess,
        },
    );

    async function append(proposed: ProposedChanges): ReturnType<typeof appendChanges> {
        const appended = await appendChanges({ tables: platform.tables, clock, random }, replica.state(), proposed);
        if (appended.isOk) {
            await distribution.applyOwnWrite(appended.value);
            void distribution.announce(appended.value.revision);
            if (appended.value.revision % revisionsPerSnapshot === 0) {
                void writeSnapshot(platform, appended.value);
            }
        }
        return appended;
    }

    async function makeWithdrawalDurable({ keyName, digestHex }: PendingWithdrawal): Promise<boolean> {
        const key = replica.state().objects.get(`key/${keyName}`)?.value as Key | undefined;
        if (key === undefined || key.digestHex !== digestHex || key.state === "withdrawn") {
            return key?.state === "withdrawn";
        }
        const value = { ...key, state: "withdrawn" };
        const changes = [{ kind: "key" as const, name: keyName, value }];
        const appended = await append({ changeId: `withdraw-${digestHex}`, operator: settings.host, changes });
        return appended.isOk;
    }

    return { replica, distribution, append, makeWithdrawalDurable };
}
