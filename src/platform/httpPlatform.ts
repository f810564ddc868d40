/**
 * The platform over HTTP and JSON. Every request has a time limit; a commit whose answer does not come is reported
 * as `unknown`, since it may have taken effect.
 */

import { Result } from "true-myth";
import { Agent } from "undici";
import { z } from "zod";
import { checkValue, describeInvalidInput } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import type { CommitOutcome, HostRecord, Platform, PlatformError, Row } from "./ports.js";

export interface HttpPlatformSettings {
    /** Base URL of the platform's service. */
    readonly url: string;
    readonly timeoutMs: number;
}

const jsonValue = z.json() as z.ZodType<JsonValue>;
const rowSchema = z.object({
    table: z.string(),
    key: z.string(),
    version: z.number().int(),
    value: jsonValue,
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

const platformConnections = 8;
const statusOk = 200;

export function createHttpPlatform(settings: HttpPlatformSettings): Platform {
    const dispatcher = new Agent({ connections: platformConnections, pipelining: 1 });

    async function request<Schema extends z.ZodType>(
        path: string,
        body: unknown,
        schema: Schema,
    ): Promise<Result<z.output<Schema>, PlatformError>> {
        try {
            const response = await dispatcher.request({
                origin: settings.url,
                path,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                signal: AbortSignal.timeout(settings.timeoutMs),
            });
            const answer = await response.body.json();
            if (response.statusCode !== statusOk) {
                return Result.err({ kind: "unavailable", cause: `${path}: status ${response.statusCode}` });
            }
            return checkValue(schema, answer).mapErr(invalid => ({
                kind: "unknown",
                cause: `${path}: ${describeInvalidInput(invalid)}`,
            }));
        }
        catch (error) {
            return Result.err(fromFailure(path, error));
        }
    }

    return {
        tables: {
            read: async keys => {
                const answer = await request("/table/read", { keys }, optionalRowsSchema);
                return answer.map(({ rows }): readonly (Row | undefined)[] => rows.map(row => row ?? undefined));
            },
            scan: async (table, fromKey, limit) => {
                const answer = await request("/table/scan", { table, fromKey, limit }, rowsSchema);
                return answer.map(({ rows }): readonly Row[] => rows);
            },
            commit: async transaction => {
                const writes = transaction.writes.map(write => ({ ...write, value: write.value ?? null }));
                const answer = await request("/table/commit", { ...transaction, writes }, commitSchema);
                return answer.map((outcome): CommitOutcome => outcome);
            },
        },
        objects: {
            put: async (name, body) => {
                const answer = await request("/object/put", { name, body }, z.object({}));
                return answer.map(() => undefined);
            },
            get: async name => {
                const answer = await request("/object/get", { name }, objectSchema);
                return answer.map(({ body }) => body ?? undefined);
            },
        },
        hosts: {
            list: async () => {
                const answer = await request("/hosts/list", {}, hostsSchema);
                return answer.map(({ hosts }): readonly HostRecord[] => hosts);
            },
        },
    };
}

function fromFailure(path: string, error: unknown): PlatformError {
    const cause = `${path}: ${error instanceof Error ? error.message : String(error)}`;
    const refused = (error as { readonly code?: string; }).code === "ECONNREFUSED";
    return { kind: refused ? "unavailable" : "unknown", cause };
}
