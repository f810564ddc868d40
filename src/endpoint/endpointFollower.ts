/**
 * Keeps an agent informed about its endpoint's configuration by asking one entry after another.
 */

import type { Clock } from "../common/clock.js";
import { hash32 } from "../common/hash.js";
import { checkValue } from "../common/json.js";
import { configurationMethods, waitEndpointAnswerSchema } from "../configuration/messages.js";
import { objectSchemas } from "../configuration/objects.js";
import type { Endpoint } from "../configuration/objects.js";
import type { RpcClient } from "../rpc/rpcClient.js";

export interface EndpointFollower {
    /** Follows until `stopped` aborts; `onChange` gets each new configuration, `undefined` if it was deleted. */
    readonly follow: (stopped: AbortSignal, onChange: (endpoint: Endpoint | undefined) => void) => Promise<void>;
    readonly revision: () => number;
}

const longPollMs = 3_000;
const longPollMarginMs = 1_500;
const retryMs = 300;
const maxKnownEntries = 16;

export function createEndpointFollower(
    host: string,
    endpoint: string,
    rpc: RpcClient,
    clock: Clock,
    seedEntryUrls: () => readonly string[],
): EndpointFollower {
    let entryUrls: readonly string[] = [];
    let revision = 0;
    let version = -1;

    function candidates(): readonly string[] {
        const urls = [...new Set([...entryUrls, ...seedEntryUrls()])];
        return urls.sort((left, right) => hash32(host + left) - hash32(host + right));
    }

    async function ask(url: string, onChange: (endpoint: Endpoint | undefined) => void): Promise<boolean> {
        const params = { endpoint, afterVersion: version, timeoutMs: longPollMs, host };
        const answer = await rpc.call(url, configurationMethods.waitEndpoint, params, {
            timeoutMs: longPollMs + longPollMarginMs,
        });
        const checked = answer.isOk ? checkValue(waitEndpointAnswerSchema, answer.value) : undefined;
        if (checked === undefined || checked.isErr) {
            entryUrls = entryUrls.filter(known => known !== url);
            return false;
        }
        const news = checked.value;
        entryUrls = [...new Set([...news.entryUrls, ...entryUrls])].slice(0, maxKnownEntries);
        if (news.revision < revision) {
            // An entry that lags behind what this agent has already seen.
            return false;
        }
        revision = news.revision;
        if (news.version !== version) {
            version = news.version;
            onChange(news.endpoint === undefined ? undefined : objectSchemas.endpoint.parse(news.endpoint));
        }
        return true;
    }

    return {
        revision: () => revision,
        follow: async (stopped, onChange) => {
            let skipped = 0;
            while (!stopped.aborted) {
                const urls = candidates();
                const url = urls[skipped % Math.max(1, urls.length)];
                const answered = url !== undefined && await ask(url, onChange);
                if (!answered) {
                    skipped += 1;
                    await clock.sleep(retryMs, stopped);
                }
            }
        },
    };
}
