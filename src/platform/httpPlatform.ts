/**
 * Platform adapter that uses HTTP with JSON bodies. Every request has a timeout. A commit without a response is
 * reported as `unknown`, because it may have taken effect.
 */

import { Result } from "true-myth";
import { z } from "zod";
import { runLimited } from "../common/callLimit.js";
import type { CallLimit } from "../common/callLimit.js";
import { checkValue, describeInvalidInput } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import { readText } from "../common/readText.js";
import { createGuardedAgent } from "../rpc/guardedClient.js";
import { createGuardedConnector } from "../rpc/guardedConnector.js";
import type { CommitOutcome, HostRecord, Platform, PlatformError, Row } from "./ports.js";

export interface HttpPlatformSettings {
    /** Base URL of the platform's service. */
    readonly url: string;
    readonly timeoutMs: number;
}

const jsonValueSchema = z.json() as z.ZodType<JsonValue>;
const rowSchema = z.object({
    table: z.string(),
    key: z.string(),
    version: z.number().int(),
    value: jsonValueSchema,
});
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const optionalRowsSchema = z.object({ rows: z.array(rowSchema.nullable()) });
const commitSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("committed") }),
    z.object({ kind: z.literal("conflict"), key: z.object({ table: z.string(), key: z.string() }) }),
]);
const objectSchema = z.object({ body: z.string().nullable() });
const hostsSchema = z.object({
    hosts: z.array(z.object({
        host: z.string(),
        role: z.enum(["entry", "agent"]),
        url: z.string(),
        dataCentre: z.string(),
        region: z.string(),
        endpoint: z.string().optional(),
        state: z.enum(["live", "leaving"]),
    })),
});

const maxConnections = 8;
/** The largest objects are snapshots of the configuration. */
const maxResponseBytes = 64 * 1_024 * 1_024;
const statusOk = 200;
const statusUnavailable = 503;
const minClientError = 400;
const minServerError = 500;

/** Whether a status means that a service refused the request; after any other failure it may have been performed. */
export function provesNothingDone(status: number): boolean {
    return status === statusUnavailable || (status >= minClientError && status < minServerError);
}

export function createHttpPlatform(settings: HttpPlatformSettings): Platform {
    const dispatcher = createGuardedAgent({
        connect: createGuardedConnector(settings.timeoutMs),
        connections: maxConnections,
        pipelining: 1,
    });

    function request<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<Result<z.output<Schema>, PlatformError>> {
        return runLimited({ timeoutMs: settings.timeoutMs }, limit => send(path, body, schema, limit));
    }

    async function send<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
        { signal, recordBytes }: CallLimit,
    ): Promise<Result<z.output<Schema>, PlatformError>> {
        try {
            const response = await dispatcher.request({
                origin: settings.url,
                path,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                signal,
            });
            const responseBody: unknown = JSON.parse(await readText(response.body, maxResponseBytes, recordBytes));
            if (response.statusCode !== statusOk) {
                const kind = provesNothingDone(response.statusCode) ? "unavailable" : "unknown";
                return Result.err({ kind, cause: `${path}: status ${response.statusCode}` });
            }
            return checkValue(schema, responseBody).mapErr(invalid => ({
                kind: "unknown",
                cause: `${path}: ${describeInvalidInput(invalid)}`,
            }));
        }
        catch (error) {
            return Result.err(toPlatformError(path, error));
        }
    }

    return {
        tables: {
            read: async keys => {
                const response = await request("/table/read", { keys }, optionalRowsSchema);
                return response.map(({ rows }): readonly (Row | undefined)[] => rows.map(row => row ?? undefined));
            },
            scan: async (table, fromKey, limit) => {
                const response = await request("/table/scan", { table, fromKey, limit }, rowsSchema);
                return response.map(({ rows }): readonly Row[] => rows);
            },
            commit: async transaction => {
                const writes = transaction.writes.map(write => ({ ...write, value: write.value ?? null }));
                const response = await request("/table/commit", { ...transaction, writes }, commitSchema);
                return response.map((outcome): CommitOutcome => outcome);
            },
            // This protocol reports no restorations.
            era: () => 0,
            wasRestored: () => false,
        },
        objects: {
            put: async (name, body) => {
                const response = await request("/object/put", { name, body }, z.object({}));
                return response.map(() => undefined);
            },
            get: async name => {
                const response = await request("/object/get", { name }, objectSchema);
                return response.map(({ body }) => body ?? undefined);
            },
        },
        hosts: {
            list: async () => {
                const response = await request("/hosts/list", {}, hostsSchema);
                return response.map(({ hosts }): readonly HostRecord[] => hosts);
            },
        },
    };
}

function toPlatformError(path: string, error: unknown): PlatformError {
    const cause = `${path}: ${error instanceof Error ? error.message : String(error)}`;
    const isConnectionRefused = (error as { readonly code?: string; }).code === "ECONNREFUSED";
    return { kind: isConnectionRefused ? "unavailable" : "unknown", cause };
}
