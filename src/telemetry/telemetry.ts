/**
 * Counters and logs. Counters come first; a log line is written only when something changes state.
 */

import { StatsD } from "hot-shots";
import { createLogger, format, transports } from "winston";

/** Counts events under dotted names; values are kept locally and, if configured, sent to a StatsD address. */
export interface Counters {
    readonly add: (name: string, count?: number) => void;
    readonly set: (name: string, value: number) => void;
    readonly snapshot: () => Readonly<Record<string, number>>;
    readonly close: () => void;
}

/** Writes one structured line about a change of state. */
export interface Log {
    readonly info: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
    readonly warn: (message: string, fields?: Readonly<Record<string, unknown>>) => void;
}

export interface Telemetry {
    readonly counters: Counters;
    readonly log: Log;
}

/** Where counters go; nothing is sent without an address. */
export interface StatsdAddress {
    readonly host: string;
    readonly port: number;
}

export function createTelemetry(name: string, statsd?: StatsdAddress, quiet = false): Telemetry {
    return { counters: createCounters(name, statsd), log: createLog(name, quiet) };
}

/** Counters without a destination and a silent log. */
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
