/**
 * Settings of an entry that forwards to engines directly.
 */

import type { RetryBudgetSettings } from "../limits/fleetRetryBudget.js";

export interface ListenAddress {
    readonly ip: string;
    readonly port: number;
}

/** What the host offers to the process. */
export interface HostLimits {
    /** Memory of the process, in bytes; it is killed beyond that. */
    readonly memoryBytes: number | undefined;
    /** Descriptors that the process may have open. */
    readonly maxDescriptors: number | undefined;
    /** Fraction of a core. */
    readonly cpuShare: number | undefined;
    readonly linkMbps: number | undefined;
}

export interface ForwardingSettings {
    readonly host: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Listener for callers. */
    readonly callers: ListenAddress;
    /** Listener for the load balancer's readiness checks. */
    readonly readiness: ListenAddress;
    /** Listener for peer synchronization, which other entries call. */
    readonly exchange: ListenAddress;
    /** Listener for metrics; port 0 disables it. */
    readonly metrics: ListenAddress;
    /** Base URLs of some entries, for discovering the others; the list may be out of date. */
    readonly seeds: readonly string[];
    /** IP address and port of the store. */
    readonly storeAddress: string;
    /** Whether all entries start for the first time, so that the store contains nothing of theirs yet. */
    readonly isFirstStart: boolean;
    /** Time from SIGTERM until the process is killed. */
    readonly graceMs: number;
    readonly retryBudget: RetryBudgetSettings;
    /** Cost (see `FleetQuota`) that the fleet may admit beyond rate and burst in one window. */
    readonly quotaSlack: number;
    readonly hostLimits: HostLimits;
    /** Multiple of the rate of a cold engine, and requests besides, that it may get in one second. */
    readonly coldRate: { readonly overshoot: number; readonly slack: number; };
    /** Region of each data centre. */
    readonly regions: Readonly<Record<string, string>>;
}
