/**
 * Gauges of peer synchronization: its traffic, and the age of what an entry knows of the others.
 */

import type { PrometheusMetrics } from "../telemetry/prometheusMetrics.js";
import type { PeerSync, PeerSyncTraffic } from "./peerSync.js";

const trafficGauges: Readonly<Record<string, readonly [string, (traffic: PeerSyncTraffic) => number]>> = {
    peerStateBytesSentNear: ["bytes of states sent to entries of this data centre", ({ near }) => near.sent],
    peerStateBytesReceivedNear: ["bytes of states received from them", ({ near }) => near.received],
    peerStateBytesSentFar: ["bytes of states sent to entries of other data centres", ({ far }) => far.sent],
    peerStateBytesReceivedFar: ["bytes of states received from them", ({ far }) => far.received],
};

export function registerPeerSyncGauges(
    metrics: Pick<PrometheusMetrics, "gauge">,
    peerSync: Pick<PeerSync, "traffic" | "oldestStateMs">,
): void {
    for (const [name, [help, read]] of Object.entries(trafficGauges)) {
        metrics.gauge(name, `${help}, since the start`, () => read(peerSync.traffic()));
    }
    metrics.gauge("oldestPeerStateMs", "age of the oldest state of a live entry", peerSync.oldestStateMs);
}
