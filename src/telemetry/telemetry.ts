/**
 * StatsD counters and structured logs. Frequent events are only counted; a log line is written for a change of state.
 */

import { StatsD } from "hot-shots";
import { createLogger, format, transports } from "winston";

/** Counters and gauges under dotted names, kept in memory and, if configured, sent to a StatsD server. */
export interface Counters {
    readonly add: (name: string, count?: number) => void;
    readonly set: (name: string, value: number) => void;
    /** The current values by name. */
    readonly snapshot: () => Readonly<Record<string, number>>;
    readonly close: () => void;
}

/** Writes one structured line for each change of state. */
export interface Log {
    readonly info: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
}

export interface Telemetry {
    readonly counters: Counters;
    readonly log: Log;
}

/** Address of the StatsD server; without it, counters stay in memory. */
export interface StatsdAddress {
    readonly host: string;
    readonly port: number;
}

export function createTelemetry(name: string, statsd?: StatsdAddress, quiet = false): Telemetry {
    return { counters: createCounters(name, statsd), log: createLog(name, quiet) };
}

/** Telemetry that keeps counters in memory only and logs nothing. */
export function silentTelemetry(): Telemetry {
    return createTelemetry("silent", undefined, true);
}

function createCounters(name: string, statsd: StatsdAddress | undefined): Counters {
    const values = new Map<string, number>();
    const client = statsd === undefined
        ? undefined
        : new StatsD({ host: statsd.host, port: statsd.port, prefix: "gooseberrywell.", globalTags: { name } });
    return {
        add: (counter, count = 1) => {
            values.set(counter, (values.get(counter) ?? 0) + count);
            client?.increment(counter, count);
        },
        set: (gauge, value) => {
            values.set(gauge, value);
            client?.gauge(gauge, value);
        },
        snapshot: () => Object.fromEntries(values),
        close: () => client?.close(),
    };
}

function createLog(name: string, quiet: boolean): Log {
    const logger = createLogger({
        silent: quiet,
        level: "info",
        defaultMeta: { host: name },
        format: format.combine(format.timestamp(), format.json()),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info"] })],
    });
    return {
        info: (message, fields) => void logger.info(message, fields),
        warn: (message, fields) => void logger.warn(message, fields),
    };
}
