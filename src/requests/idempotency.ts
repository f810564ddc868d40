/**
 * Runs a call at most once per idempotency key, across all entries and restarts.
 *
 * Before the call is dispatched, an intent record is inserted into the table service. A process that finds an existing
 * record does not run the call: it replays the recorded response or reports the outcome as unknown. If the response to
 * the insert is lost, the row is read again: its nonce identifies the request that wrote it.
 */

import { Result } from "true-myth";
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { sha256Hex } from "../common/digest.js";
import { checkValue } from "../common/json.js";
import type { JsonValue } from "../common/json.js";
import type { Row, RowKey, TableService } from "../platform/ports.js";
import type { ServiceOutcome } from "./callService.js";

/** A call that carries an idempotency key. Keys are scoped to the client account. */
export interface IdempotentCall {
    readonly clientAccount: string;
    /** Value of the caller's `Idempotency-Key` header. */
    readonly key: string;
    /** Digest of method, path and body; a repeat must have the same one. */
    readonly fingerprint: string;
}

export type IdempotencyError =
    /** The key was already used for a different request. */
    | { readonly kind: "keyReused"; }
    /** The intent record could not be written, so the call was not run. */
    | { readonly kind: "storeUnavailable"; readonly cause: string; };

/** The call was not admitted and has not run; `refusal` says why. */
export interface NotAdmitted<Refusal> {
    readonly kind: "notAdmitted";
    readonly refusal: Refusal;
}

export interface IdempotencyDependencies {
    readonly tables: TableService;
    readonly clock: Clock;
    /** Returns a random unique id. */
    readonly newId: () => string;
    /** Increments a counter. */
    readonly count: (name: string) => void;
}

export interface IdempotentCalls {
    /**
     * Runs `run` if the key is unused and `admit` succeeds; otherwise resolves to the recorded outcome. A repeat runs
     * nothing, so it is not subject to admission: a refusal would state that the call has not run, although it may have.
     */
    readonly runOnce: <Refusal>(
        call: IdempotentCall,
        admit: () => Promise<Result<undefined, Refusal>>,
        run: () => Promise<ServiceOutcome>,
    ) => Promise<Result<ServiceOutcome, IdempotencyError | NotAdmitted<Refusal>>>;
    /** Deletes expired and invalid records in one batch of rows from a random key on; called periodically. */
    readonly deleteExpired: () => Promise<void>;
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
/** How long a record is kept: 24 hours. */
const recordTtlMs = 86_400_000;
const maxClaimAttempts = 5;
const maxRecordAttempts = 5;
const retryDelayMs = 100;
const maxScanRows = 100;
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

    /** Admits the call and inserts the intent record, or returns the existing record of the key. */
    async function claim<Refusal>(
        call: IdempotentCall,
        admit: () => Promise<Result<undefined, Refusal>>,
    ): Promise<Result<Claim, IdempotencyError | NotAdmitted<Refusal>>> {
        const key = rowKey(call);
        const nonce = newId();
        let isAdmitted = false;
        let cause = "the intent could not be recorded";
        for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
            const rows = await tables.read([key]);
            if (rows.isErr) {
                cause = rows.error.cause;
                await clock.sleep(retryDelayMs);
                continue;
            }
            const row = rows.value[0];
            const record = unexpiredRecord(row);
            if (row !== undefined && record !== undefined) {
                // An earlier insert by this call may have been committed although its response was lost.
                const isOwn = record.state === "started" && record.nonce === nonce;
                return Result.ok(isOwn ? { kind: "claimed", version: row.version } : { kind: "found", record });
            }
            if (!isAdmitted) {
                const admitted = await admit();
                if (admitted.isErr) {
                    return Result.err({ kind: "notAdmitted", refusal: admitted.error });
                }
                isAdmitted = true;
            }
            const version = row?.version ?? 0;
            const { fingerprint } = call;
            const expiresAtMs = clock.wallMs() + recordTtlMs;
            const inserted = await write(key, version, { state: "started", nonce, fingerprint, expiresAtMs });
            if (inserted.isErr) {
                cause = inserted.error.cause;
            }
            // The next iteration reads the row to see whether this insert was committed, lost or superseded.
        }
        count("requests.idempotency.storeUnavailable");
        void releaseClaim(key, nonce);
        return Result.err({ kind: "storeUnavailable", cause });
    }

    /** Deletes an intent record that may have been inserted despite the errors, so that the key can be used again. */
    async function releaseClaim(key: RowKey, nonce: string): Promise<void> {
        for (let attempt = 0; attempt < maxRecordAttempts; attempt++) {
            await clock.sleep(retryDelayMs * 2 ** attempt);
            const row = (await tables.read([key])).unwrapOr([])[0];
            const record = unexpiredRecord(row);
            if (row !== undefined && record?.state === "started" && record.nonce === nonce) {
                await write(key, row.version, undefined);
            }
        }
    }

    function unexpiredRecord(row: Row | undefined): CallRecord | undefined {
        const record = row === undefined ? undefined : checkValue(recordSchema, row.value).unwrapOr(undefined as never);
        return record === undefined || record.expiresAtMs <= clock.wallMs() ? undefined : record;
    }

    /** Records the outcome of the call. If that fails, repeats get the outcome `unknown`. */
    async function recordOutcome(call: IdempotentCall, version: number, outcome: ServiceOutcome): Promise<void> {
        const record = toRecord(call, outcome, clock.wallMs() + recordTtlMs);
        for (let attempt = 0; attempt < maxRecordAttempts; attempt++) {
            const written = await write(rowKey(call), version, record);
            if (written.isOk) {
                return;
            }
            await clock.sleep(retryDelayMs * 2 ** attempt);
        }
        count("requests.idempotency.outcomeNotRecorded");
    }

    return {
        runOnce: async (call, admit, run) => {
            const claimed = await claim(call, admit);
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
        deleteExpired: async () => {
            const rows = await tables.scan(idempotencyTable, newId(), maxScanRows);
            const expired = rows.unwrapOr([]).filter(row => unexpiredRecord(row) === undefined);
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
            // The call was not run, so the record is deleted and the key can be used again.
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
