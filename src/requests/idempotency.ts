/**
 * Runs a call at most once per idempotency key, over all entries and restarts.
 *
 * Before the call is dispatched, an intent is inserted in the table service. Whoever finds an intent already there
 * does not run the call: it replays the recorded answer, or says that the outcome is not known. A lost answer to the
 * insert is settled by reading the row: it carries a nonce of the process that wrote it.
 */

import { Result } from "true-myth";
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { sha256Hex } from "../common/digest.js";
import { checkValue } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import type { Row, RowKey, TableService } from "../platform/ports.js";
import type { ServiceOutcome } from "./callService.js";

export interface IdempotentCall {
    readonly clientAccount: string;
    /** The caller's `Idempotency-Key`. */
    readonly key: string;
    /** Everything that makes the request what it is: method, path and body. */
    readonly fingerprint: string;
}

export type IdempotencyError =
    /** The key was used before for another request. */
    | { readonly kind: "keyReused"; }
    /** The intent could not be recorded; nothing was run. */
    | { readonly kind: "storeUnavailable"; readonly cause: string; };

export interface IdempotencyDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    readonly newId: () => string;
    readonly count: (name: string) => void;
}

export interface IdempotentCalls {
    /** Runs `run` unless the key was used before; else gives the recorded outcome. */
    readonly runOnce: (
        call: IdempotentCall,
        run: () => Promise<ServiceOutcome>,
    ) => Promise<Result<ServiceOutcome, IdempotencyError>>;
    /** Deletes some expired records; called now and then. */
    readonly sweep: () => Promise<void>;
}

const recordSchema = z.discriminatedUnion("state", [
    z.object({ state: z.literal("started"), nonce: z.string(), fingerprint: z.string(), expiresAtMs: z.number() }),
    z.object({
        state: z.literal("answered"),
        fingerprint: z.string(),
        expiresAtMs: z.number(),
        status: z.number().int(),
        headers: z.record(z.string(), z.string()),
        bodyBase64: z.string(),
    }),
    z.object({ state: z.literal("unknown"), fingerprint: z.string(), expiresAtMs: z.number(), cause: z.string() }),
]);

type CallRecord = Readonly<z.output<typeof recordSchema>>;

type Claim =
    | { readonly kind: "claimed"; readonly version: number; }
    | { readonly kind: "found"; readonly record: CallRecord; };

const idempotencyTable = "idempotency";
/** Records are kept for a day. */
const recordLifeMs = 86_400_000;
const claimAttempts = 5;
const recordAttempts = 5;
const retryMs = 100;
const sweepRows = 100;
const maxRecordedBodyBytes = 64 * 1024;

export function createIdempotentCalls(dependencies: IdempotencyDependencies): IdempotentCalls {
    const { tables, clock, newId, count } = dependencies;

    function rowKey({ clientAccount, key }: IdempotentCall): RowKey {
        return { table: idempotencyTable, key: `${clientAccount}/${sha256Hex(key)}` };
    }

    async function write(
        key: RowKey,
        version: number,
        record: CallRecord | undefined,
    ): ReturnType<TableService["commit"]> {
        return tables.commit({
            conditions: [{ ...key, version }],
            writes: [{ ...key, value: record as unknown as JsonValue | undefined }],
        });
    }

    /** Inserts the intent, or finds the record that is there already. */
    async function claim(call: IdempotentCall): Promise<Result<Claim, IdempotencyError>> {
        const key = rowKey(call);
        const nonce = newId();
        let cause = "the intent could not be recorded";
        for (let attempt = 0; attempt < claimAttempts; attempt++) {
            const rows = await tables.read([key]);
            if (rows.isErr) {
                cause = rows.error.cause;
                await clock.sleep(retryMs);
                continue;
            }
            const row = rows.value[0];
            const record = liveRecord(row);
            if (row !== undefined && record !== undefined) {
                // An earlier insert of this very call may have taken effect without an answer.
                const isOwn = record.state === "started" && record.nonce === nonce;
                return Result.ok(isOwn ? { kind: "claimed", version: row.version } : { kind: "found", record });
            }
            const version = row?.version ?? 0;
            const { fingerprint } = call;
            const expiresAtMs = clock.wallMs() + recordLifeMs;
            const inserted = await write(key, version, { state: "started", nonce, fingerprint, expiresAtMs });
            if (inserted.isErr) {
                cause = inserted.error.cause;
            }
            // Whether it was committed, lost or beaten by another insert, the row tells.
        }
        count("requests.idempotency.storeUnavailable");
        void withdrawClaim(key, nonce);
        return Result.err({ kind: "storeUnavailable", cause });
    }

    /** Removes an intent that may have been inserted after all, so that the caller can use its key again. */
    async function withdrawClaim(key: RowKey, nonce: string): Promise<void> {
        for (let attempt = 0; attempt < recordAttempts; attempt++) {
            await clock.sleep(retryMs * 2 ** attempt);
            const row = (await tables.read([key])).unwrapOr([])[0];
            const record = liveRecord(row);
            if (row !== undefined && record?.state === "started" && record.nonce === nonce) {
                await write(key, row.version, undefined);
            }
        }
    }

    function liveRecord(row: Row | undefined): CallRecord | undefined {
        const record = row === undefined ? undefined : checkValue(recordSchema, row.value).unwrapOr(undefined as never);
        return record === undefined || record.expiresAtMs <= clock.wallMs() ? undefined : record;
    }

    /** Records how the call ended. If it can't be, repeats are told that the outcome is not known. */
    async function recordOutcome(call: IdempotentCall, version: number, outcome: ServiceOutcome): Promise<void> {
        const record = toRecord(call, outcome, clock.wallMs() + recordLifeMs);
        for (let attempt = 0; attempt < recordAttempts; attempt++) {
            const written = await write(rowKey(call), version, record);
            if (written.isOk) {
                return;
            }
            await clock.sleep(retryMs * 2 ** attempt);
        }
        count("requests.idempotency.outcomeNotRecorded");
    }

    return {
        runOnce: async (call, run) => {
            const claimed = await claim(call);
            if (claimed.isErr) {
                return Result.err(claimed.error);
            }
            if (claimed.value.kind === "found") {
                count("requests.idempotency.repeated");
                return replay(call, claimed.value.record);
            }
            const outcome = await run();
            await recordOutcome(call, claimed.value.version, outcome);
            return Result.ok(outcome);
        },
        sweep: async () => {
            const rows = await tables.scan(idempotencyTable, newId(), sweepRows);
            const expired = rows.unwrapOr([]).filter(row => liveRecord(row) === undefined);
            for (const row of expired) {
                await write({ table: row.table, key: row.key }, row.version, undefined);
            }
        },
    };
}

function toRecord(call: IdempotentCall, outcome: ServiceOutcome, expiresAtMs: number): CallRecord | undefined {
    const { fingerprint } = call;
    switch (outcome.kind) {
        case "answered":
            if (outcome.body.length > maxRecordedBodyBytes) {
                return { state: "unknown", fingerprint, expiresAtMs, cause: "the answer was too large to be kept" };
            }
            return {
                state: "answered",
                fingerprint,
                expiresAtMs,
                status: outcome.status,
                headers: outcome.headers,
                bodyBase64: outcome.body.toString("base64"),
            };
        case "notRun":
            // Nothing was run, so the key may be used again.
            return undefined;
        case "unknown":
            return { state: "unknown", fingerprint, expiresAtMs, cause: outcome.cause };
    }
}

function replay(call: IdempotentCall, record: CallRecord): Result<ServiceOutcome, IdempotencyError> {
    if (record.fingerprint !== call.fingerprint) {
        return Result.err({ kind: "keyReused" });
    }
    switch (record.state) {
        case "answered": {
            const { status, headers } = record;
            return Result.ok({ kind: "answered", status, headers, body: Buffer.from(record.bodyBase64, "base64") });
        }
        case "started":
            return Result.ok({ kind: "unknown", cause: "a request with this key runs, or was cut off while it ran" });
        case "unknown":
            return Result.ok({ kind: "unknown", cause: record.cause });
    }
}
