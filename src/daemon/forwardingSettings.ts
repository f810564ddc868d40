/**
 * Settings of an entry that forwards to engines directly.
 */

import type { RetryBudgetSettings } from "../limits/fleetRetryBudget.js";

export interface ListenAddress {
    readonly ip: string;
    readonly port: number;
}

export interface ForwardingSettings {
    readonly host: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Where callers connect. */
    readonly callers: ListenAddress;
    /** Where the balancer asks whether this entry takes new connections. */
    readonly readiness: ListenAddress;
    /** Where the other entries call. */
    readonly exchange: ListenAddress;
    readonly metrics: ListenAddress;
    /** Base URLs of some entries; they may be out of date. */
    readonly seeds: readonly string[];
    /** IP address and port of the store. */
    readonly storeAddress: string;
    /** Time from the signal to stop until the process is killed. */
    readonly graceMs: number;
    readonly retryBudget: RetryBudgetSettings;
    /** Units that the fleet may admit beyond rate and burst in one window. */
    readonly quotaSlack: number;
}
