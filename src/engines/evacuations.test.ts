/**
 * Evacuated data centres: what sequences of copies of the operator's rows mean, and that nothing is sent there.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import {
    createForwardingHarness,
    describeOutcome,
    desiredStateOf,
    engineRecord,
    errorOf,
    requestTo,
    routeOf,
    silentDecisionLog,
    smallSize,
} from "../../fakes/forwardingHarness.js";
import type { EngineScript, ForwardingHarness } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { forward } from "../forwarding/forward.js";
import type { ForwardResult } from "../forwarding/forwardRequest.js";
import type { CopyOrigin } from "../peerSync/tableReplica.js";
import { createEvacuations, lostRowGraceMs } from "./evacuations.js";

interface CopyCase {
    readonly name: string;
    readonly copies: readonly (readonly [dataCentres: readonly string[], origin: CopyOrigin])[];
    readonly waitMs?: number;
    readonly evacuated: readonly string[];
    readonly changes: number;
}

const copyCases: readonly CopyCase[] = [
    { name: "no row", copies: [[[], "current"]], evacuated: [], changes: 0 },
    { name: "a row", copies: [[["a"], "current"]], evacuated: ["a"], changes: 1 },
    { name: "two rows", copies: [[["a"], "current"], [["a", "b"], "current"]], evacuated: ["a", "b"], changes: 2 },
    {
        name: "a row that is written again",
        copies: [[["a"], "current"], [["a"], "current"]],
        evacuated: ["a"],
        changes: 1,
    },
    { name: "a removed row", copies: [[["a", "b"], "current"], [["b"], "current"]], evacuated: ["b"], changes: 2 },
    {
        name: "a row removed in an outage",
        copies: [[["a"], "current"], [[], "afterOutage"]],
        evacuated: [],
        changes: 2,
    },
    {
        name: "a row that a restored store has lost",
        copies: [[["a"], "current"], [[], "afterRestoration"]],
        evacuated: ["a"],
        changes: 1,
    },
    {
        name: "a row that a restored store has lost, and that is not written again",
        copies: [[["a"], "current"], [[], "afterRestoration"], [[], "current"]],
        waitMs: lostRowGraceMs,
        evacuated: [],
        changes: 2,
    },
    {
        name: "a lost row that is written again and stays",
        copies: [[["a"], "current"], [[], "afterRestoration"], [["a"], "current"]],
        waitMs: lostRowGraceMs,
        evacuated: ["a"],
        changes: 1,
    },
    {
        name: "a lost row that is written again and removed",
        copies: [[["a"], "current"], [[], "afterRestoration"], [["a"], "current"], [[], "current"]],
        evacuated: [],
        changes: 2,
    },
];

describe("evacuated data centres", () => {
    it.each(copyCases)("$name", async ({ copies, waitMs = 0, evacuated, changes }) => {
        const clock = createVirtualClock();
        const evacuations = createEvacuations(clock, silentDecisionLog);
        let notified = 0;
        evacuations.onChange(() => (notified += 1));
        copies.forEach(([dataCentres, origin]) => evacuations.apply(dataCentres, origin));
        await clock.advance(waitMs);
        expect(evacuations.dataCentres()).toEqual(evacuated);
        expect(["a", "b", "c"].filter(evacuations.isEvacuated)).toEqual(evacuated);
        expect(notified).toBe(changes);
    });
});

describe("an evacuation that a restored store has lost", () => {
    // A timer of the runtime counts whole milliseconds from the start of the turn, so it fires a little early.
    it("ends although the timer fires early", async () => {
        const clock = createVirtualClock();
        const early = {
            ...clock,
            startTimer: (delayMs: number, run: () => void) => clock.startTimer(Math.max(1, delayMs - 2), run),
        };
        const evacuations = createEvacuations(early, silentDecisionLog);
        evacuations.apply(["a"], "current");
        evacuations.apply([], "afterRestoration");
        await clock.advance(lostRowGraceMs + 10);
        expect(evacuations.dataCentres()).toEqual([]);
    });
});

const engines = ["a", "b"].flatMap(dataCentre => [
    engineRecord(`i-${dataCentre}`, undefined, { dataCentre }),
    engineRecord(`p-${dataCentre}`, "prefill", { dataCentre }),
    engineRecord(`m-${dataCentre}`, "decode", { dataCentre }),
]);
const routes = [routeOf("idempotent"), routeOf("nonIdempotent"), routeOf("stream")];

function createHarness(script: EngineScript = {}): ForwardingHarness {
    const harness = createForwardingHarness(desiredStateOf(routes), script);
    harness.load(engines);
    return harness;
}

async function send({ context, clock }: ForwardingHarness, kind: string): Promise<ForwardResult> {
    const size = kind === "stream" ? { size: smallSize } : {};
    return forward(context, requestTo(`/${kind}/x`, { receivedAtMs: clock.monotonicMs(), ...size }));
}

const callsTo = ({ calls }: ForwardingHarness, dataCentre: string): readonly string[] =>
    calls.filter(call => call.includes(`-${dataCentre}`));

describe.each(routes.map(({ kind }) => kind))("a request of kind %s", kind => {
    it("is sent to no engine of an evacuated data centre until that is taken back", async () => {
        const harness = createHarness();
        harness.evacuations.apply(["a"], "current");
        for (let request = 0; request < 10; request++) {
            expect(await describeOutcome(await send(harness, kind))).toBe("200 ok");
        }
        expect(callsTo(harness, "a")).toEqual([]);
        harness.evacuations.apply([], "current");
        await send(harness, kind);
        expect(callsTo(harness, "a")).not.toEqual([]);
    });

    it("is refused at once, as not run, while all data centres are evacuated", async () => {
        const harness = createHarness();
        harness.evacuations.apply(["a", "b"], "current");
        const result = await send(harness, kind);
        expect(result.kind === "refused" && result.refusal.status === 503 && result.refusal.retryAfterMs)
            .toBeGreaterThan(0);
        expect(harness.calls).toEqual([]);
    });
});

interface RaceCase {
    readonly name: string;
    /** `evacuate` evacuates the data centre of the first engine that is called. */
    readonly script: (evacuate: (dataCentre: string) => void) => EngineScript;
}

const dataCentreOf = (id: string): string => id.slice(id.indexOf("-") + 1);
let lastReservation = 0;
const raceCases: readonly RaceCase[] = [
    {
        name: "while it waits for capacity",
        script: evacuate => {
            let refusals = 0;
            return {
                reserve: async ({ id }, tokens) => {
                    refusals += 1;
                    if (refusals > 4) {
                        return Result.ok({ id: `hold-${lastReservation += 1}`, tokens });
                    }
                    evacuate(dataCentreOf(id));
                    return errorOf("notExecuted");
                },
            };
        },
    },
    {
        name: "while its engine answers the reservation",
        script: evacuate => ({
            reserve: async ({ id }, tokens) => {
                evacuate(dataCentreOf(id));
                return Result.ok({ id: `hold-${lastReservation += 1}`, tokens });
            },
        }),
    },
    {
        name: "while its prompt is read",
        script: evacuate => ({
            prefill: async ({ id, address }) => {
                evacuate(dataCentreOf(id));
                return Result.ok({ address, handle: "h", tokens: 10 });
            },
        }),
    },
];

describe("a generation whose data centre is evacuated", () => {
    it.each(raceCases)("$name is served by the engines that are left", async ({ script }) => {
        let evacuated: string | undefined;
        let callsBefore = 0;
        const harness: ForwardingHarness = createHarness(script(dataCentre => {
            if (evacuated === undefined) {
                evacuated = dataCentre;
                callsBefore = harness.calls.length;
                harness.evacuations.apply([dataCentre], "current");
            }
        }));
        const response = send(harness, "stream");
        await harness.clock.advance(500);
        expect(await describeOutcome(await response)).toBe("200 ok");
        const later = harness.calls.slice(callsBefore).filter(call => !call.startsWith("release"));
        expect(later.filter(call => call.includes(`-${evacuated}`))).toEqual([]);
    });
});
