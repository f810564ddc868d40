/**
 * Port to model engines and to instances of plain services. An adapter implements the wire protocol; all other modules
 * use only these types.
 */

import type { Readable } from "node:stream";
import type { Result } from "true-myth";
import type { JsonValue } from "../common/json.js";

export type Stage = "prefill" | "decode";

/** Registry record of an engine. `id` and `bornMs` together identify one start of one instance. */
export interface EngineRecord {
    readonly id: string;
    /** Unix milliseconds of the start; 0 if the engine does not report it. */
    readonly bornMs: number;
    readonly service: string;
    /**
     * Version of the engine's software, not of the weights of its model; versions have no order. What engines of
     * different versions write does not fit together: neither streams nor KV caches go from one to the other.
     */
    readonly softwareVersion: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    /** Region of its data centre, by the settings; `undefined` if they name none. */
    readonly region?: string | undefined;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** `undefined` for an instance of a plain service. */
    readonly stage: Stage | undefined;
    /** Increases with each record that the engine writes after its start. */
    readonly recordSequence: number;
    /** Remaining time for which the engine is slow after its start. */
    readonly coldRemainingMs: number;
}

/** Why a call returned no usable response. Only `notExecuted` and `unreachable` prove that the request did not run. */
export type EngineError =
    | { readonly kind: "notExecuted"; readonly status: number; readonly cause: string; }
    | {
        readonly kind: "unreachable";
        readonly cause: string;
        /** Nothing listens at the engine's address, although its host responds. */
        readonly isConnectionRefused?: boolean;
        /** The request was not written, because the engine accepts it no more since it was placed. */
        readonly isWithdrawn?: boolean;
    }
    | { readonly kind: "interrupted"; readonly cause: string; }
    | { readonly kind: "timeout"; readonly cause: string; }
    | { readonly kind: "cancelled"; readonly cause: string; };

/** Whether the error proves that the engine did not run the request. */
export function provesNotRun(error: EngineError): boolean {
    return error.kind === "notExecuted" || error.kind === "unreachable";
}

/** Whether nothing listens at the engine's address: its process has ended. */
export function isConnectionRefused(error: EngineError): boolean {
    return error.kind === "unreachable" && error.isConnectionRefused === true;
}

/** Whether the request was not written, which tells nothing of the engine's health. */
export function isWithdrawn(error: EngineError): boolean {
    return error.kind === "unreachable" && error.isWithdrawn === true;
}

/** KV cache that an engine holds after a prefill. */
export interface PrefilledCache {
    readonly address: string;
    readonly handle: string;
    readonly tokens: number;
}

/** A slot and KV memory for `tokens` tokens that an engine has reserved. */
export interface Reservation {
    readonly id: string;
    readonly tokens: number;
}

/** Request as the caller sent it, without hop-by-hop headers and headers that only this system sets. */
export interface EngineRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly target: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly clientAccount: string | undefined;
}

export interface SendOptions {
    /** Time left for the complete response. */
    readonly remainingMs: number;
    readonly signal: AbortSignal;
    readonly reservation?: Reservation;
    readonly cache?: PrefilledCache;
    /** Resumes a stream after this event. */
    readonly lastEventId?: string;
}

/** What marks the end of a response's body: its announced length, its last chunk, or the end of its connection. */
export type BodyFraming = "length" | "chunks" | "connection";

/** The framing that the headers of a response announce. */
export function framingOf(header: (name: string) => string | undefined): BodyFraming {
    if (header("transfer-encoding")?.toLowerCase().includes("chunked") === true) {
        return "chunks";
    }
    return header("content-length") === undefined ? "connection" : "length";
}

/** Response from an engine. Reading `body` fails if the engine ends the response early. */
export interface EngineResponse {
    /** Id of the engine. */
    readonly engine: string;
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly framing: BodyFraming;
    readonly body: Readable;
}

/** Current state of an engine, as the engine itself reports it. */
export interface EngineReport {
    readonly stage: Stage | undefined;
    readonly bornMs: number;
    /** A change of stage is in progress. */
    readonly isReconfiguring: boolean;
    /** Number of orders accepted since the start. */
    readonly orderSequence: number;
    readonly running: number;
    readonly queued: number;
    /** KV memory that cannot be evicted, in tokens. */
    readonly kvUsedTokens: number;
    /** Total KV memory, in tokens. */
    readonly kvTotalTokens: number;
}

/** Order to an engine to change its stage. */
export interface StageOrder {
    readonly stage: Stage;
    /** Host of the entry that has the order leadership. */
    readonly holder: string;
    readonly fencingToken: number;
    /** `orderSequence` of the engine's last report. */
    readonly expectedSequence: number;
}

/**
 * Response to an order: `alreadyHolds` if the order changes nothing, `unknown` if no response arrived, so that the
 * engine may still carry the order out.
 */
export type OrderOutcome = "accepted" | "alreadyHolds" | "rejected" | "unknown";

export interface EnginePort {
    /** Sends a request that the engine runs. */
    readonly send: (
        engine: EngineRecord,
        request: EngineRequest,
        options: SendOptions,
    ) => Promise<Result<EngineResponse, EngineError>>;
    /** Runs only the prefill of a request; may be repeated. */
    readonly prefill: (
        engine: EngineRecord,
        request: EngineRequest,
        options: SendOptions,
    ) => Promise<Result<PrefilledCache, EngineError>>;
    /** Frees a KV cache that will not be used. */
    readonly releaseCache: (cache: PrefilledCache) => void;
    /** Reserves a slot and KV memory for `tokens` tokens, for at most `ttlMs`. */
    readonly reserve: (
        engine: EngineRecord,
        tokens: number,
        ttlMs: number,
        timeoutMs: number,
    ) => Promise<Result<Reservation, EngineError>>;
    readonly releaseReservation: (engine: EngineRecord, reservation: Reservation) => void;
    readonly report: (engine: EngineRecord, timeoutMs: number) => Promise<Result<EngineReport, EngineError>>;
    /** Requests an instance's status at `path`; whether it considers itself healthy. */
    readonly checkStatus: (
        engine: EngineRecord,
        path: string,
        timeoutMs: number,
    ) => Promise<Result<boolean, EngineError>>;
    readonly orderStage: (engine: EngineRecord, order: StageOrder, timeoutMs: number) => Promise<OrderOutcome>;
    /** Monotonic time at which the newest connection to an engine was opened; infinite if there is none. */
    readonly connectedAtMs: (engine: EngineRecord) => number;
    /** Closes the connections to engines that are not in `engines`, once their requests have ended. */
    readonly keepOnly: (engines: readonly EngineRecord[]) => void;
    /** Sets the number of connections that each engine of a service accepts. */
    readonly setMaxConnections: (service: string, maxConnections: number) => void;
    readonly close: () => Promise<void>;
}

/** Decodes one row of the registry; the error says why the row is not an engine record. */
export type EngineRecordDecoder = (id: string, value: JsonValue) => Result<EngineRecord, string>;
