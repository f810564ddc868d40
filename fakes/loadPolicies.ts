/**
 * Load policies for experiments: the one in force, and those that were weighed against it (docs/POLICY.md).
 */

import { Result } from "true-myth";
import { createDecodePlaces, defaultPlaceSettings, expectedOutputTokens } from "../src/scheduling/decodePlaces.js";
import type { DecodePlaces, PlaceDependencies, PlaceSettings } from "../src/scheduling/decodePlaces.js";
import type { FleetShape, PlacesFactory } from "./modelFleet.js";

export interface LoadPolicy {
    readonly createPlaces: PlacesFactory;
    /** The fleet with the engines divided as the policy wants. */
    readonly shapeOf: (shape: FleetShape) => FleetShape;
}

// For the baselines without a line: what the first entry on the platform did.
const retryAfterMs = 1_000;
const reservationMs = 1_800;
const reserveTimeoutMs = 300;
/** Mean time of an answer (bench, both sites). */
const answerMs = 3_600;

function withSettings(settings: Partial<PlaceSettings>): PlacesFactory {
    return dependencies => createDecodePlaces(dependencies, { ...defaultPlaceSettings, ...settings });
}

/** Asks one engine, chosen by `pick`, and refuses if it has no room: no line, no estimate. */
function withoutLine(pick: (engines: number) => number): (dependencies: PlaceDependencies) => DecodePlaces {
    return ({ view, loads, engines }) => ({
        expectedAnswerMs: () => answerMs,
        retryAfterMs: () => retryAfterMs,
        waiting: () => 0,
        obtain: async ({ service, size }) => {
            const decode = view.staged(service, "decode");
            const engine = decode[pick(decode.length)];
            if (engine === undefined) {
                return Result.err({ cause: "no decode engine is available", retryAfterMs });
            }
            const output = expectedOutputTokens(size);
            const tokens = size.promptTokens + Math.ceil(output * defaultPlaceSettings.reservedOutputPart);
            const reserved = await engines.reserve(engine, tokens, reservationMs, reserveTimeoutMs);
            if (reserved.isErr) {
                return Result.err({ cause: "the engine has no room", retryAfterMs });
            }
            const kvTokens = size.promptTokens + output;
            const end = loads.start(engine.id, { requests: 1, kvTokens, prefillTokens: 0 });
            return Result.ok({ engine, reservation: reserved.value, end });
        },
    });
}

function split(prefillEngines: number): LoadPolicy["shapeOf"] {
    return shape => ({
        ...shape,
        prefillEngines,
        decodeEngines: shape.decodeEngines + shape.prefillEngines - prefillEngines,
    });
}

const same: LoadPolicy["shapeOf"] = shape => shape;

export const policies: Readonly<Record<string, LoadPolicy>> = {
    inForce: { createPlaces: withSettings({}), shapeOf: same },
    onePrefillEngine: { createPlaces: withSettings({}), shapeOf: split(1) },
    threePrefillEngines: { createPlaces: withSettings({}), shapeOf: split(3) },
    /** Requests that have missed their objective wait on for 0.6 s: in force until 2026-12-04. */
    waitsWhenLate: { createPlaces: withSettings({ waitPart: 1.67 }), shapeOf: same },
    waitsUntilLate: { createPlaces: withSettings({ waitPart: 1 }), shapeOf: same },
    allMemoryAsked: { createPlaces: withSettings({ memoryPart: 100 }), shapeOf: same },
    reserveWholeOutput: { createPlaces: withSettings({ reservedOutputPart: 1 }), shapeOf: same },
    inTurn: {
        createPlaces: dependencies => {
            let turn = 0;
            return withoutLine(engines => turn++ % engines)(dependencies);
        },
        shapeOf: same,
    },
    atRandom: {
        createPlaces: (dependencies, random) => withoutLine(engines => Math.floor(random() * engines))(dependencies),
        shapeOf: same,
    },
};

export const policyNames = Object.keys(policies);
