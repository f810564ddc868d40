/**
 * Keeps evidence against parts of requests in the store's tables, so that entries still have it after all of them were
 * killed together. Only parts under which several engines ended are written, one row each; a row is removed once its
 * evidence is refuted or has expired.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import type { TableService } from "../platform/ports.js";
import type { Log } from "../telemetry/telemetry.js";
import { evidenceLifetimeMs } from "./crashEvidence.js";
import type { CrashEvidence } from "./crashEvidence.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

export interface EvidenceStore {
    /** Loads the rows, then writes changes until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

const table = "quarantine";
const minCrashesToSave = 2;
const saveIntervalMs = 500;
const retryMs = 1_000;
const scanLimit = 200;

/** Times are of the wall clock, since entries have no other clock in common. */
const rowSchema = z.object({
    engines: z.array(z.object({ engine: z.string(), bornMs: z.number(), atWallMs: z.number() })),
});

export function createEvidenceStore(
    tables: TableService,
    clock: Clock,
    log: Log,
    quarantine: Pick<RequestQuarantine, "evidence" | "applyEvidence" | "hasOwnEvidence">,
): EvidenceStore {
    /** Number of engines in each row that this entry has read or written. */
    const savedCounts = new Map<string, number>();
    let savedInEra = tables.era();

    /** Reads all rows; returns whether the store responded. */
    async function load(): Promise<boolean> {
        const rows = await tables.scan(table, "", scanLimit);
        if (rows.isErr) {
            return false;
        }
        for (const { key: part, value } of rows.value) {
            const row = checkValue(rowSchema, value);
            if (row.isErr) {
                log.warn("a row of evidence against a part of a prompt is invalid", { part, field: row.error.path });
                continue;
            }
            const evidence = row.value.engines
                .map(({ engine, bornMs, atWallMs }): CrashEvidence => ({
                    part,
                    engine,
                    bornMs,
                    agoMs: Math.max(0, clock.wallMs() - atWallMs),
                    isRefuted: false,
                }))
                .filter(({ agoMs }) => agoMs < evidenceLifetimeMs);
            savedCounts.set(part, evidence.length);
            quarantine.applyEvidence(evidence);
        }
        return true;
    }

    async function write(part: string, items: readonly CrashEvidence[]): Promise<void> {
        const engines = items.map(({ engine, bornMs, agoMs }) => ({
            engine,
            bornMs,
            atWallMs: Math.round(clock.wallMs() - agoMs),
        }));
        const value = engines.length === 0 ? undefined : { engines };
        const outcome = await tables.commit({ conditions: [], writes: [{ table, key: part, value }] });
        if (outcome.isErr) {
            // The next round tries again.
            log.info("evidence against a part of a prompt could not be saved", { part, cause: outcome.error.cause });
            return;
        }
        if (engines.length === 0) {
            savedCounts.delete(part);
        }
        else {
            savedCounts.set(part, engines.length);
        }
    }

    async function saveChanges(): Promise<void> {
        if (tables.era() !== savedInEra) {
            // The store was restored from an older copy, which may lack the rows.
            savedCounts.clear();
            savedInEra = tables.era();
        }
        const evidence = quarantine.evidence();
        const parts = new Set([...savedCounts.keys(), ...evidence.map(({ part }) => part)]);
        for (const part of parts) {
            const items = evidence.filter(item => item.part === part && !item.isRefuted);
            const savedCount = savedCounts.get(part);
            const isNew = items.length >= minCrashesToSave && quarantine.hasOwnEvidence(part)
                && items.length !== savedCount;
            if (isNew || (savedCount !== undefined && items.length === 0)) {
                await write(part, items);
            }
        }
    }

    return {
        run: async signal => {
            while (!signal.aborted && !await load()) {
                await clock.sleep(retryMs, signal);
            }
            while (!signal.aborted) {
                await saveChanges();
                await clock.sleep(saveIntervalMs, signal);
            }
        },
    };
}
