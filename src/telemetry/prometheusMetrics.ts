/**
 * Prometheus counters, gauges and latency histograms, served in the text format on the metrics address.
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

const counterHelp = {
    requests: "requests by service and outcome",
    repeats: "sends to a further engine",
    hedges: "calls also sent to another instance because the first took unusually long",
    resumes: "streams continued at another engine",
    resumptionsRefused: "requests to take up a stream that were refused, by route",
    ownPrefills: "prompts that a decode engine read itself because the prefill engines were busy",
    prefillsDiscarded: "prefills whose result was not used",
    callersGone: "requests whose callers went away",
    connectionsYielded: "connections whose requests were refused for what connections hold, by cause",
    quarantined: "requests refused because engines ended under a part of their prompts",
    exhausted: "requests refused because all engines have got as many as the rates that they name",
    ejections:
        "verdicts on instances of plain services by this entry's own requests, by failure; `cleared` ends a doubt",
    ejectionsHeard: "other entries' verdicts on instances of plain services that this entry applied",
    callsTurnedAway: "plain calls refused because no instance had room in time, by cause",
    statusChecks: "status checks of instances after their ejection, by result",
    turnedAway: "generations refused for lack of room, by cause (displaced, notAdmitted, expired) and priority",
    stageFull: "generations refused for lack of room, by service and the stage whose engines had none",
    storeCalls: "calls to the platform's store by outcome",
    ordersSent: "orders to engines by outcome",
} as const;

const histogramHelp = {
    placeWaitMs: "time that requests waited for a place at a decode engine",
    slotWaitMs: "time that plain calls waited for a slot, of those that found none on arrival",
    prefillMs: "time from the send of a prefill to its result",
    firstByteMs: "time from a request's arrival to the first byte of its answer",
    wholeAnswerMs: "time from a request's arrival to the end of its answer",
} as const;

export type CounterName = keyof typeof counterHelp;
export type HistogramName = keyof typeof histogramHelp;

export interface PrometheusMetrics {
    readonly count: (name: CounterName, label: string, outcome?: string) => void;
    readonly observe: (name: HistogramName, label: string, valueMs: number) => void;
    /** Registers a gauge whose value is read each time the metrics are served. */
    readonly gauge: (name: string, help: string, read: () => number) => void;
    /** All metrics in the Prometheus text format. */
    readonly text: () => Promise<string>;
}

/** Upper bounds of the histogram buckets: from the latency of a plain service call to that of the longest request. */
const bucketsMs = [5, 10, 20, 50, 100, 200, 400, 600, 900, 1_500, 3_000, 6_000, 14_000];

function metricName(name: string): string {
    return `gooseberrywell_${name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}`;
}

export function createPrometheusMetrics(): PrometheusMetrics {
    const registry = new Registry();
    const counters = new Map<CounterName, Counter>();
    const histograms = new Map<HistogramName, Histogram>();
    for (const [name, help] of Object.entries(counterHelp)) {
        const counter = new Counter({
            name: metricName(name),
            help,
            labelNames: ["label", "outcome"],
            registers: [registry],
        });
        counters.set(name as CounterName, counter);
    }
    for (const [name, help] of Object.entries(histogramHelp)) {
        const histogram = new Histogram({
            name: metricName(name),
            help,
            labelNames: ["label"],
            buckets: bucketsMs,
            registers: [registry],
        });
        histograms.set(name as HistogramName, histogram);
    }
    return {
        count: (name, label, outcome = "") => counters.get(name)?.inc({ label, outcome }),
        observe: (name, label, valueMs) => histograms.get(name)?.observe({ label }, valueMs),
        gauge: (name, help, read) =>
            void new Gauge({
                name: metricName(name),
                help,
                registers: [registry],
                collect() {
                    this.set(read());
                },
            }),
        text: () => registry.metrics(),
    };
}
