/**
 * Peer synchronization within and between data centres: how often entries call each other, how old states get, and who
 * counts as live.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createPeerSyncFleet } from "../../fakes/peerSyncFleet.js";
import type { PeerSyncFleet } from "../../fakes/peerSyncFleet.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createPeerSync, peerSyncIntervalMs } from "./peerSync.js";

const load = { requestsPerSecond: 10, requestMs: 1_500, clientAccounts: 8, engines: 40 };

/** Advances the time; returns the age of the oldest state of a live peer at any entry meanwhile. */
async function oldestStateMs({ clock, peerSyncs }: PeerSyncFleet, durationMs: number): Promise<number> {
    let oldestMs = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
        await clock.advance(100);
        oldestMs = Math.max(oldestMs, ...peerSyncs.map(peerSync => peerSync.oldestStateMs()));
    }
    return oldestMs;
}

interface FleetCase {
    readonly entries: number;
    readonly dataCentres: number;
    /** Age that the state of a reachable peer may reach. */
    readonly maxAgeMs: number;
    /** Calls between entries of different data centres, of all in a second, at most. */
    readonly maxFarCallsPerSecond: number;
}

const pairs = (entries: number): number => entries * (entries - 1) / 2;
const roundsPerSecond = 1_000 / peerSyncIntervalMs;
const cases: readonly FleetCase[] = [
    { entries: 9, dataCentres: 3, maxAgeMs: 2 * peerSyncIntervalMs, maxFarCallsPerSecond: 27 * roundsPerSecond * 1.05 },
    { entries: 25, dataCentres: 3, maxAgeMs: 2_000, maxFarCallsPerSecond: pairs(25) * 0.7 / 1.5 },
    { entries: 60, dataCentres: 3, maxAgeMs: 2_600, maxFarCallsPerSecond: pairs(60) * 0.7 / 1.5 },
];

describe("entries in several data centres", () => {
    it.each(cases)("know states within a bounded age: $entries entries", async ({
        entries,
        dataCentres,
        maxAgeMs,
        maxFarCallsPerSecond,
    }) => {
        const fleet = createPeerSyncFleet({ entries, dataCentres, load, isEarlierVersion: false });
        await fleet.clock.advance(12_000);
        const callsBefore = fleet.counts.farCalls;
        expect(await oldestStateMs(fleet, 8_000)).toBeLessThanOrEqual(maxAgeMs);
        expect((fleet.counts.farCalls - callsBefore) / 8).toBeLessThanOrEqual(maxFarCallsPerSecond);
        expect(fleet.peerSyncs.map(peerSync => peerSync.members())).toEqual(Array(entries).fill(entries));
        expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(Array(entries).fill(1));
    });

    it("send less than half the bytes of whole states between data centres, which they call half as often", async () => {
        const [before, after] = await Promise.all([true, false].map(async isEarlierVersion => {
            const fleet = createPeerSyncFleet({ entries: 25, dataCentres: 3, load, isEarlierVersion });
            await fleet.clock.advance(12_000);
            const bytesBefore = fleet.counts.farBytes;
            await fleet.clock.advance(8_000);
            return fleet.counts.farBytes - bytesBefore;
        }));
        expect(after).toBeLessThan((before ?? 0) / 2);
    });

    it("count as live within their data centre only while it is cut off, and everywhere soon after", async () => {
        const fleet = createPeerSyncFleet({ entries: 25, dataCentres: 3, load, isEarlierVersion: false });
        await fleet.clock.advance(12_000);
        fleet.cutOff.add(2);
        await fleet.clock.advance(3_000);
        // Entries 2, 5, ... 23 are in the data centre that is cut off.
        const fractions = fleet.peerSyncs.map((unused, index) => fleet.dataCentreOf(index) === 2 ? 8 / 25 : 17 / 25);
        expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(fractions);
        expect(fleet.peerSyncs.map(peerSync => peerSync.members())).toEqual(Array(25).fill(25));
        fleet.cutOff.clear();
        await fleet.clock.advance(2_500);
        expect(fleet.peerSyncs.map(peerSync => peerSync.liveFraction())).toEqual(Array(25).fill(1));
    });
});

it("an entry keeps very many peers as members, although it sees each of them seldom", async () => {
    const clock = createVirtualClock();
    const peerUrls = Array.from({ length: 700 }, (unused, index) => `http://peer-${index}`);
    const state = { usage: {}, work: {}, reconfiguring: {}, fencingToken: 0, desiredStateVersion: 0 };
    const peerSync = createPeerSync({ url: "http://entry", start: "s", seeds: peerUrls }, {
        clock,
        rpc: {
            call: async url => Result.ok({ ...state, url, start: url, revisions: {}, entries: [] }),
            stream: () => Promise.reject(new Error("not used")),
            close: async () => undefined,
        },
        log: silentDecisionLog,
        replicas: {},
        localState: () => ({
            ...state,
            leaving: [],
            crashEvidence: [],
            engineRates: [],
            ejections: [],
            coldEngines: [],
        }),
        onState: () => undefined,
        onUsageReport: () => undefined,
        onPeerRemoved: () => undefined,
    });
    void peerSync.run(new AbortController().signal);
    await clock.advance(120_000);
    expect(peerSync.members()).toBe(701);
});
