/**
 * Prints bytes a second and ages of states of peer synchronization by number of entries, in virtual time, for whole
 * states (as of entries of earlier versions) and for changes: `node dist/scripts/peerSyncTraffic.js`.
 */

import { createLoadedState, createPeerSyncFleet } from "../fakes/peerSyncFleet.js";
import { createVirtualClock } from "../fakes/virtualClock.js";
import { createRandom } from "../src/common/random.js";
import { createStateHistory } from "../src/peerSync/stateHistory.js";

const load = { requestsPerSecond: 10, requestMs: 1_500, clientAccounts: 8, engines: 40 };
const dataCentres = 3;
const warmUpMs = 15_000;
const measuredMs = 12_000;
const stepMs = 100;

async function measureFleet(entries: number, isEarlierVersion: boolean): Promise<Readonly<Record<string, unknown>>> {
    const fleet = createPeerSyncFleet({ entries, dataCentres, load, isEarlierVersion });
    await fleet.clock.advance(warmUpMs);
    const before = { ...fleet.counts };
    let oldestMs = 0;
    for (let passedMs = 0; passedMs < measuredMs; passedMs += stepMs) {
        await fleet.clock.advance(stepMs);
        oldestMs = Math.max(oldestMs, ...fleet.peerSyncs.map(peerSync => peerSync.oldestStateMs()));
    }
    const perSecond = (name: keyof typeof before, factor: number): number =>
        factor * (fleet.counts[name] - before[name]) * 1_000 / measuredMs / entries;
    // Each byte is sent by one entry and received by another one.
    return {
        entries,
        states: isEarlierVersion ? "whole" : "changes",
        nearKbPerSecond: (perSecond("nearBytes", 2) / 1_000).toFixed(2),
        farKbPerSecond: (perSecond("farBytes", 2) / 1_000).toFixed(2),
        nearCallsPerSecond: perSecond("nearCalls", 2).toFixed(1),
        farCallsPerSecond: perSecond("farCalls", 2).toFixed(1),
        oldestMs: Math.round(oldestMs),
    };
}

/** Mean bytes of the changes within `intervalMs`, without the head of the message. */
async function bytesOfChanges(intervalMs: number): Promise<number> {
    const clock = createVirtualClock();
    const state = createLoadedState(clock, load, createRandom(1));
    const history = createStateHistory();
    const contacts = 40;
    let bytes = 0;
    let since = history.update({ ...state() }, clock.monotonicMs());
    for (let contact = 0; contact < contacts; contact++) {
        await clock.advance(intervalMs);
        const number = history.update({ ...state() }, clock.monotonicMs());
        bytes += JSON.stringify(history.changesSince(since)).length;
        since = number;
    }
    return Math.round(bytes / contacts);
}

for (const entries of [9, 25, 100]) {
    for (const isEarlierVersion of [true, false]) {
        process.stdout.write(`${JSON.stringify(await measureFleet(entries, isEarlierVersion))}\n`);
    }
}
for (const intervalMs of [400, 1_600, 46_700]) {
    process.stdout.write(`${JSON.stringify({ intervalMs, bytesOfChanges: await bytesOfChanges(intervalMs) })}\n`);
}
