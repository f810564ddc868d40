/**
 * How an entry loads the configuration when it starts.
 */

import { Result } from "true-myth";
import { expect, it } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createRandom } from "../common/random.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { Platform } from "../platform/ports.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { silentTelemetry } from "../telemetry/telemetry.js";
import { createDistribution } from "./distribution.js";
import { createReplica } from "./replica.js";

const rpc: RpcClient = {
    call: async () => Result.err({ kind: "timeout", delivered: "maybe", cause: "nobody is called" }),
    stream: () => Promise.reject(new Error("not used")),
    close: async () => undefined,
};

// Each try began another read of the snapshot and forgot the one before, so that none ended on a slow link.
it.each([500, 4_000, 9_000])(
    "an entry without peers loads a snapshot that takes %d ms with one read",
    async snapshotMs => {
        const clock = createVirtualClock();
        const memory = createMemoryPlatform();
        let reads = 0;
        const platform: Platform = {
            ...memory,
            objects: {
                ...memory.objects,
                get: async name => {
                    reads += 1;
                    await clock.sleep(snapshotMs);
                    return memory.objects.get(name);
                },
            },
        };
        const distribution = createDistribution({ host: "h", dataCentre: "a", url: "http://h", pollMs: 1_000 }, {
            platform,
            replica: createReplica(clock),
            rpc,
            clock,
            random: createRandom(1),
            counters: silentTelemetry().counters,
            localEntries: () => [],
            allEntries: () => [],
            knownEntries: () => [],
            reportFailure: () => undefined,
            reportSuccess: () => undefined,
        });
        let isLoaded = false;
        void (async () => {
            while (!isLoaded) {
                isLoaded = await distribution.loadInitial();
            }
        })();
        await clock.advance(10_000);
        expect([isLoaded, reads]).toEqual([true, 1]);
    },
);
