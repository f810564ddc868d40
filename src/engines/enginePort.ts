/**
 * What the entry asks of an engine or of an instance of a plain service. An adapter speaks the wire; everything else
 * sees these types only.
 */

import type { Readable } from "node:stream";
import type { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";

export type Stage = "prefill" | "decode";

/** An engine as the registry names it. An engine is one start of one instance: id and `bornMs` together. */
export interface EngineRecord {
    readonly id: string;
    /** Unix milliseconds of its start; 0 if it doesn't say. */
    readonly bornMs: number;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** `undefined` for an instance of a plain service. */
    readonly stage: Stage | undefined;
    /** Grows with each record that the engine writes since its start. */
    readonly recordSequence: number;
    /** How much longer it stays slow after its start. */
    readonly coldMs: number;
}

/** Why a send gave no usable answer. Only `notExecuted` and `unreachable` prove that the request did not run. */
export type EngineError =
    | { readonly kind: "notExecuted"; readonly status: number; readonly cause: string; }
    | { readonly kind: "unreachable"; readonly cause: string; }
    | { readonly kind: "interrupted"; readonly cause: string; }
    | { readonly kind: "timeout"; readonly cause: string; }
    | { readonly kind: "cancelled"; readonly cause: string; };

/** Whether an error proves that the engine did not run the request. */
export function provesNotRun(error: EngineError): boolean {
    return error.kind === "notExecuted" || error.kind === "unreachable";
}

/** A KV cache that an engine keeps after a prefill. */
export interface PrefilledCache {
    readonly address: string;
    readonly handle: string;
    readonly tokens: number;
}

export interface Reservation {
    readonly id: string;
    readonly tokens: number;
}

/** The request as a caller sent it, without what concerns one connection or is the system's to set. */
export interface EngineRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly target: string;
    /** Name and value in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly clientAccount: string | undefined;
}

export interface SendOptions {
    /** Time that is left for the whole answer. */
    readonly remainingMs: number;
    readonly signal: AbortSignal;
    readonly reservation?: Reservation;
    readonly cache?: PrefilledCache;
    /** Continues a stream after this event. */
    readonly lastEventId?: string;
}

/** An engine's own answer. Reading `body` fails if the engine breaks off. */
export interface EngineAnswer {
    /** Id of the engine. */
    readonly engine: string;
    readonly status: number;
    /** Name and value in turn, without what concerns one connection. */
    readonly headers: readonly string[];
    readonly body: Readable;
}

export interface EngineReport {
    readonly stage: Stage | undefined;
    readonly bornMs: number;
    /** An order is in progress. */
    readonly isReconfiguring: boolean;
    /** Orders that it has accepted since its start. */
    readonly orderSequence: number;
    readonly running: number;
    readonly waiting: number;
    /** KV memory that can't yield, and all of it, in tokens. */
    readonly kvUsedTokens: number;
    readonly kvTotalTokens: number;
}

export interface StageOrder {
    readonly stage: Stage;
    readonly holder: string;
    readonly fencingToken: number;
    readonly expectedSequence: number;
}

export type OrderOutcome = "accepted" | "alreadyHolds" | "rejected" | "unknown";

export interface EnginePort {
    /** Sends a request to run. */
    readonly send: (
        engine: EngineRecord,
        request: EngineRequest,
        options: SendOptions,
    ) => Promise<Result<EngineAnswer, EngineError>>;
    /** Has only the prompt read; may be repeated. */
    readonly prefill: (
        engine: EngineRecord,
        request: EngineRequest,
        options: SendOptions,
    ) => Promise<Result<PrefilledCache, EngineError>>;
    /** Frees a cache that will not be used. */
    readonly releaseCache: (cache: PrefilledCache) => void;
    /** Reserves a slot and KV memory. */
    readonly reserve: (
        engine: EngineRecord,
        tokens: number,
        lifeMs: number,
        timeoutMs: number,
    ) => Promise<Result<Reservation, EngineError>>;
    readonly releaseReservation: (engine: EngineRecord, reservation: Reservation) => void;
    readonly report: (engine: EngineRecord, timeoutMs: number) => Promise<Result<EngineReport, EngineError>>;
    readonly orderStage: (engine: EngineRecord, order: StageOrder, timeoutMs: number) => Promise<OrderOutcome>;
    /** Closes the connections to engines that are not in `engines`, once their requests have ended. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
    /** Tells how many connections an engine accepts. */
    readonly setMaxConnections: (service: string, maxConnections: number) => void;
    readonly close: () => Promise<void>;
}

/** Decodes one row of the registry; the error tells why it names no engine. */
export type DecodeEngine = (id: string, value: JsonValue) => Result<EngineRecord, string>;
