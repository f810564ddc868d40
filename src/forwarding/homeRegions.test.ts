/**
 * Requests with home regions: neither they nor the KV caches of their prompts leave those regions.
 */

import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    requestTo,
    routeOf,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { RouteKind } from "../routes/desiredState.js";
import { forward } from "./forward.js";

const regions = ["north", "south", undefined];
const engines = regions.flatMap(region => [
    engineRecord(`i-${region}`, undefined, { region }),
    engineRecord(`p-${region}`, "prefill", { region }),
    engineRecord(`m-${region}`, "decode", { region }),
]);
/** Few enough for the memory of one engine. */
const requests = 6;

interface HomeCase {
    readonly name: string;
    readonly routeHomes: readonly string[] | undefined;
    readonly accountHomes: readonly string[] | undefined;
    /** Regions whose engines are called, in alphabetical order; `undefined` stands for engines without a region. */
    readonly called: readonly string[];
}

const cases: readonly HomeCase[] = [
    { name: "no homes", routeHomes: undefined, accountHomes: undefined, called: ["north", "south", "undefined"] },
    { name: "homes of the route", routeHomes: ["north"], accountHomes: undefined, called: ["north"] },
    { name: "homes of the account", routeHomes: undefined, accountHomes: ["south"], called: ["south"] },
    { name: "homes of both", routeHomes: ["north", "south"], accountHomes: ["south", "west"], called: ["south"] },
    { name: "no home in common", routeHomes: ["north"], accountHomes: ["south"], called: [] },
    { name: "a home without engines", routeHomes: ["west"], accountHomes: undefined, called: [] },
];

async function regionsCalled(kind: RouteKind, { routeHomes, accountHomes }: HomeCase) {
    const state = desiredStateOf([routeOf(kind, { homeRegions: routeHomes, isPublic: false })]);
    const clientAccounts = state.clientAccounts?.map(account => ({
        ...account,
        ratePerSecond: 0,
        homeRegions: accountHomes,
    })) ?? [];
    const harness = createForwardingHarness({ ...state, clientAccounts });
    harness.load(engines);
    const size = kind === "stream" ? { size: smallSize } : {};
    const responses = Array.from(
        { length: requests },
        (unused, index) =>
            forward(harness.context, requestTo(`/${kind}/x`, { requestId: `r-${index}`, key: "key", ...size })),
    );
    await harness.clock.advance(3_000);
    const outcomes = await Promise.all((await Promise.all(responses)).map(describeOutcome));
    const called = harness.calls.map(call => call.slice(call.indexOf("-") + 1).replace(/:.*$/u, ""));
    return { called: [...new Set(called)].sort(), outcomes: [...new Set(outcomes)] };
}

describe.each(["idempotent", "nonIdempotent", "stream"] as const)("requests of kind %s", kind => {
    it.each(cases)("with $name go to the engines of those regions only", async homeCase => {
        const { called, outcomes } = await regionsCalled(kind, homeCase);
        expect(called).toEqual(homeCase.called);
        expect(outcomes.includes("200 ok")).toBe(homeCase.called.length > 0);
        expect(outcomes.includes("503")).toBe(homeCase.called.length === 0);
    });
});
