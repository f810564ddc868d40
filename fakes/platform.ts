/**
 * Fake platform service over HTTP that keeps its data in memory. Faults: outages, delays, and commits that take effect
 * but whose responses are lost.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { JsonValue } from "../src/common/json.js";
import { createMemoryPlatform } from "../src/platform/memoryPlatform.js";
import type { MemoryPlatform } from "../src/platform/memoryPlatform.js";
import type { HostRecord, RowKey, Transaction } from "../src/platform/ports.js";
import { listen, readBody, sendJson } from "../src/rpc/httpServer.js";

/** Faults to inject, as in the body of `/faults`; they apply until the next call replaces them. */
export interface PlatformFaults {
    readonly down?: boolean;
    readonly delayMs?: number;
    /** Commits take effect, but their responses are lost. */
    readonly loseCommitAnswers?: boolean;
    /** The next commit takes effect, its response is lost, and the platform is down from then on. */
    readonly downAfterCommit?: boolean;
}

export interface FakePlatform {
    readonly url: string;
    readonly memory: MemoryPlatform;
    readonly setFaults: (faults: PlatformFaults) => void;
    /** Number of requests received so far, by path. */
    readonly requests: () => Readonly<Record<string, number>>;
    readonly close: () => Promise<void>;
}

interface RequestBody {
    readonly keys: readonly RowKey[];
    readonly table: string;
    readonly fromKey: string;
    readonly limit: number;
    readonly name: string;
    readonly body: string;
    readonly hosts: readonly HostRecord[];
    readonly conditions: Transaction["conditions"];
    readonly writes: readonly (RowKey & { readonly value: JsonValue; })[];
}

const maxBodyBytes = 64 * 1024 * 1024;

export async function startFakePlatform(port = 0): Promise<FakePlatform> {
    const memory = createMemoryPlatform();
    const counts: Record<string, number> = {};
    let faults: PlatformFaults = {};

    async function handle(path: string, body: RequestBody): Promise<unknown> {
        switch (path) {
            case "/table/read": {
                const rows = (await memory.tables.read(body.keys)).unwrapOr([]);
                return { rows: rows.map(row => row ?? null) };
            }
            case "/table/scan":
                return { rows: (await memory.tables.scan(body.table, body.fromKey, body.limit)).unwrapOr([]) };
            case "/table/commit": {
                const writes = body.writes.map(write => ({ ...write, value: write.value ?? undefined }));
                const outcome = await memory.tables.commit({ conditions: body.conditions, writes });
                return outcome.isOk ? outcome.value : undefined;
            }
            case "/object/put":
                await memory.objects.put(body.name, body.body);
                return {};
            case "/object/get":
                return { body: (await memory.objects.get(body.name)).unwrapOr(undefined) ?? null };
            case "/hosts/list":
                return { hosts: (await memory.hosts.list()).unwrapOr([]) };
            case "/hosts/set":
                memory.setHosts(body.hosts);
                return {};
            default:
                return undefined;
        }
    }

    const server = await listen("127.0.0.1", port, (method, path) => async (request, response) => {
        const read = await readBody(request, maxBodyBytes);
        const body = JSON.parse(read.isOk ? read.value.toString("utf8") || "{}" : "{}") as RequestBody;
        if (path === "/faults") {
            faults = body as PlatformFaults;
            sendJson(response, 200, {});
            return;
        }
        if (path === "/requests") {
            sendJson(response, 200, counts);
            return;
        }
        counts[path] = (counts[path] ?? 0) + 1;
        const isControl = path === "/hosts/set";
        if (faults.down === true && !isControl) {
            response.destroy();
            return;
        }
        await delay(faults.delayMs ?? 0);
        const value = await handle(path, body);
        if (path === "/table/commit" && (faults.loseCommitAnswers === true || faults.downAfterCommit === true)) {
            faults = faults.downAfterCommit === true ? { down: true } : faults;
            response.destroy();
            return;
        }
        sendJson(response, value === undefined ? 404 : 200, value ?? {});
    });
    return {
        url: server.url,
        memory,
        setFaults: next => {
            faults = next;
        },
        requests: () => ({ ...counts }),
        close: () => server.close(),
    };
}
