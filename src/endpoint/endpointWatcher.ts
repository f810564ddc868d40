/**
 * Watches the configuration of an agent's endpoint by long polling an entry; after a failed poll it tries the next one.
 */

import type { Clock } from "../common/clock.js";
import { hash32 } from "../common/hash.js";
import { checkValue } from "../common/json.js";
import { configurationMethods, waitEndpointResponseSchema } from "../configuration/messages.js";
import { objectSchemas } from "../configuration/objects.js";
import type { Endpoint } from "../configuration/objects.js";
import type { RpcClient } from "../rpc/rpcClient.js";

export interface EndpointWatcher {
    /** Polls until `stopped` aborts; `onChange` receives each new configuration, `undefined` if it was deleted. */
    readonly watch: (stopped: AbortSignal, onChange: (endpoint: Endpoint | undefined) => void) => Promise<void>;
    /** The highest configuration revision received; 0 before the first response. */
    readonly revision: () => number;
}

const longPollTimeoutMs = 3_000;
const responseMarginMs = 1_500;
const retryDelayMs = 300;
const maxKnownEntries = 16;

export function createEndpointWatcher(
    host: string,
    endpoint: string,
    rpc: RpcClient,
    clock: Clock,
    seedEntryUrls: () => readonly string[],
): EndpointWatcher {
    let entryUrls: readonly string[] = [];
    let revision = 0;
    let version = -1;

    /** Orders the entries by a hash of host and URL, so that hosts spread their polls over the entries. */
    function orderedEntryUrls(): readonly string[] {
        const urls = [...new Set([...entryUrls, ...seedEntryUrls()])];
        return urls.sort((left, right) => hash32(host + left) - hash32(host + right));
    }

    /** Returns whether the entry gave a valid, current response. */
    async function poll(url: string, onChange: (endpoint: Endpoint | undefined) => void): Promise<boolean> {
        const params = { endpoint, afterVersion: version, timeoutMs: longPollTimeoutMs, host };
        const response = await rpc.call(url, configurationMethods.waitEndpoint, params, {
            timeoutMs: longPollTimeoutMs + responseMarginMs,
        });
        const checked = response.isOk ? checkValue(waitEndpointResponseSchema, response.value) : undefined;
        if (checked === undefined || checked.isErr) {
            entryUrls = entryUrls.filter(known => known !== url);
            return false;
        }
        const update = checked.value;
        entryUrls = [...new Set([...update.entryUrls, ...entryUrls])].slice(0, maxKnownEntries);
        if (update.revision < revision) {
            // The entry's configuration is older than what this agent has already received.
            return false;
        }
        revision = update.revision;
        if (update.version !== version) {
            version = update.version;
            onChange(update.endpoint === undefined ? undefined : objectSchemas.endpoint.parse(update.endpoint));
        }
        return true;
    }

    return {
        revision: () => revision,
        watch: async (stopped, onChange) => {
            let failedPolls = 0;
            while (!stopped.aborted) {
                const urls = orderedEntryUrls();
                const url = urls[failedPolls % Math.max(1, urls.length)];
                const succeeded = url !== undefined && await poll(url, onChange);
                if (!succeeded) {
                    failedPolls += 1;
                    await clock.sleep(retryDelayMs, stopped);
                }
            }
        },
    };
}
