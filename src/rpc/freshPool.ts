/**
 * Connection pool that stops using connections that have gone silent.
 *
 * All open connections to a peer may go silent at once, without a reset, while new ones work. Only a call without a
 * response shows it, and each idle connection would cost another call its whole time limit. So a call that gets no
 * response in its time limit closes the idle connections that have delivered nothing in the last part of its wait, and
 * the next calls open new ones. A part of a response is a delivery as well: while a large one fills a slow link, other
 * calls get no response in time. Calls that are running elsewhere are left to their own time limits, because they may have
 * been performed; only those with `endsOnSilence`, such as long polls, are ended.
 *
 * A slow peer is not called more often for it: nothing is repeated here, and only unused connections are opened again.
 */

import { Pool } from "undici";
import type { buildConnector, Client, Dispatcher } from "undici";
import { systemClock } from "../common/clock.js";
import { GuardedClient } from "./guardedClient.js";
import type { CheckedRequestOptions } from "./guardedClient.js";

export interface FreshPoolOptions extends Pool.Options {
    readonly connect: buildConnector.connector;
}

export interface FreshRequestOptions extends CheckedRequestOptions {
    /** The request fails at once when its connection is suspected of silence; see `isSilence`. */
    readonly endsOnSilence?: boolean;
}

/** The connections to one peer, which may be in several pools: a call without a response concerns all of them. */
export type ConnectionGroup = Set<Pick<Connection, "endIfSilent">>;

const silentErrorCode = "CONNECTION_SILENT";
/**
 * A call that waited for less than this on its connection shows nothing, for example one that waited in the queue for most
 * of its time limit. Below the shortest time limit of a call, a reservation's 300 ms.
 */
const minSilenceMs = 200;
/**
 * A connection that has delivered a response within this time before the end of a silent call, while that waited, works.
 * Not longer, because the silence may have begun at any time of a long wait.
 */
const maxProofMs = 500;

/** Whether a request failed because it got no response in time, or because its connection was suspected of silence. */
export function isSilence(error: unknown): boolean {
    return isTimeout(error) || (error as { readonly code?: string; } | undefined)?.code === silentErrorCode;
}

function isTimeout(error: unknown): boolean {
    return (error as { readonly name?: string; } | undefined)?.name === "TimeoutError";
}

export class FreshPool extends Pool {
    constructor(
        origin: string | URL,
        { connect, ...options }: FreshPoolOptions,
        connections: ConnectionGroup = new Set(),
    ) {
        super(origin, {
            ...options,
            connect,
            factory: (url, clientOptions) => {
                const connection = new Connection(url, clientOptions, connect, sinceMs => {
                    connections.forEach(other => other.endIfSilent(sinceMs));
                });
                connections.add(connection);
                // The pool drops a connection that could not be opened.
                connection.on("connectionError", () => connections.delete(connection));
                return connection;
            },
        });
    }
}

/** One connection of a pool; it is opened again when it is needed after it was closed. */
class Connection extends GuardedClient {
    readonly #onSilence: (sinceMs: number) => void;
    /** Monotonic time at which the connection was opened or has delivered the latest part of a response. */
    #deliveredAtMs = Number.NEGATIVE_INFINITY;
    #endRunning: (() => void) | undefined;

    constructor(
        url: URL,
        options: Client.Options,
        connect: buildConnector.connector,
        onSilence: (sinceMs: number) => void,
    ) {
        super(url, { ...options, connect });
        this.#onSilence = onSilence;
        this.on("connect", () => this.#recordDelivery());
    }

    #recordDelivery(): void {
        this.#deliveredAtMs = systemClock.monotonicMs();
    }

    /** Closes the connection, or ends its request if that asked for it, if nothing was delivered since then. */
    endIfSilent(sinceMs: number): void {
        if (this.#deliveredAtMs >= sinceMs) {
            return;
        }
        if (this.stats.size === 0) {
            this.closeSocket();
            return;
        }
        this.#endRunning?.();
    }

    override dispatch(options: FreshRequestOptions, handler: Dispatcher.DispatchHandler): boolean {
        const onConnect = handler.onConnect?.bind(handler);
        const onHeaders = handler.onHeaders?.bind(handler);
        const onData = handler.onData?.bind(handler);
        const onComplete = handler.onComplete?.bind(handler);
        const onError = handler.onError?.bind(handler);
        /** Monotonic time since which the request has waited for a response. */
        let waitingSinceMs: number | undefined;
        handler.onConnect = abort => {
            waitingSinceMs = systemClock.monotonicMs();
            this.#endRunning = options.endsOnSilence === true
                ? () => abort(Object.assign(new Error("the connection is silent"), { code: silentErrorCode }))
                : undefined;
            onConnect?.(abort);
        };
        handler.onHeaders = (...head) => {
            waitingSinceMs = undefined;
            this.#recordDelivery();
            return onHeaders?.(...head) ?? true;
        };
        handler.onData = chunk => {
            this.#recordDelivery();
            return onData?.(chunk) ?? true;
        };
        handler.onComplete = trailers => {
            this.#endRunning = undefined;
            this.#recordDelivery();
            onComplete?.(trailers);
        };
        handler.onError = error => {
            this.#endRunning = undefined;
            const waitedMs = waitingSinceMs === undefined ? 0 : systemClock.monotonicMs() - waitingSinceMs;
            if (isTimeout(error) && waitedMs >= minSilenceMs) {
                this.#onSilence(systemClock.monotonicMs() - Math.min(maxProofMs, waitedMs));
            }
            onError?.(error);
        };
        return super.dispatch(options, handler);
    }
}
