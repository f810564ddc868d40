/**
 * Selection of usable hosts while the platform's list is out of date and calls fail.
 */

import { Result } from "true-myth";
import { expect, test } from "vitest";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import type { HostRecord } from "../platform/ports.js";
import { createHostDirectory } from "./hosts.js";

const location = { dataCentre: "khomas-a", region: "khomas" };

function agentAt(port: number, state: HostRecord["state"] = "live"): HostRecord {
    return {
        host: `h${port}`,
        role: "agent",
        url: `http://127.0.0.1:${port}`,
        endpoint: `e${port}`,
        state,
        ...location,
    };
}

test("leaving hosts and failed hosts are not used, regardless of the list", async () => {
    const clock = createVirtualClock();
    const listed = [agentAt(1), agentAt(2, "leaving"), agentAt(3)];
    const hosts = createHostDirectory({ list: async () => Result.ok(listed) }, clock, []);
    await hosts.refresh();
    expect(hosts.usable("agent").map(host => host.host)).toEqual(["h1", "h3"]);
    hosts.reportFailure(agentAt(3).url);
    await hosts.refresh();
    expect(hosts.usable("agent").map(host => host.host)).toEqual(["h1"]);
    expect(hosts.agentOf("e3")).toBeUndefined();
    expect(hosts.agentOf("e2")).toBeUndefined();
});

test("each consecutive failure doubles the time for which a host is ejected", async () => {
    const clock = createVirtualClock();
    const hosts = createHostDirectory({ list: async () => Result.ok([agentAt(1)]) }, clock, []);
    await hosts.refresh();
    const { url } = agentAt(1);
    for (const backoffMs of [500, 1_000, 2_000]) {
        hosts.reportFailure(url);
        await clock.advance(backoffMs - 1);
        expect(hosts.usable("agent").length).toBe(0);
        await clock.advance(1);
        expect(hosts.usable("agent").length).toBe(1);
    }
});

test("a recovered host receives an increasing fraction of its normal traffic", async () => {
    const clock = createVirtualClock();
    const hosts = createHostDirectory({ list: async () => Result.ok([agentAt(1)]) }, clock, []);
    await hosts.refresh();
    const { url } = agentAt(1);
    expect(hosts.rampUp(url)).toBe(1);
    hosts.reportFailure(url);
    hosts.reportSuccess(url);
    const rampUps: number[] = [];
    for (let second = 0; second <= 10; second += 5) {
        rampUps.push(hosts.rampUp(url));
        await clock.advance(5_000);
    }
    expect(rampUps).toEqual([0.1, 0.5, 1]);
});

test("the last list is kept while the platform does not respond; hosts from the settings are always known", async () => {
    let isDown = false;
    const list = async (): ReturnType<Parameters<typeof createHostDirectory>[0]["list"]> =>
        isDown ? Result.err({ kind: "unavailable", cause: "down" }) : Result.ok([agentAt(1)]);
    const hosts = createHostDirectory({ list }, createVirtualClock(), [agentAt(9)]);
    await hosts.refresh();
    isDown = true;
    await hosts.refresh();
    expect(hosts.known("agent").map(host => host.host)).toEqual(["h1", "h9"]);
});
