/**
 * Streams that callers of the soak begin, leave and take up again while engines of several software versions serve and are
 * replaced, and the check that none is joined from two versions.
 */

import { setTimeout as delay } from "node:timers/promises";
import { pickOne } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { FakePlatformEngine } from "./platformEngine.js";
import { beginStream, resumeAtSite } from "./platformSite.js";
import type { EntryProcess, ModelEngineOptions, PartialStream, SiteResponse } from "./platformSite.js";

export const softwareVersions = ["v1", "v2"] as const;

/** Prefill and decode engines of each version. */
export const soakModelEngines: readonly ModelEngineOptions[] = softwareVersions.flatMap((softwareVersion, index) => [
    { id: `p-${index + 1}`, stage: "prefill", softwareVersion },
    { id: `m-${2 * index + 1}`, stage: "decode", softwareVersion },
    { id: `m-${2 * index + 2}`, stage: "decode", softwareVersion },
]);

export interface TakenUpStream {
    /** The stream as it began, and as it was taken up once before, if it was. */
    readonly parts: readonly PartialStream[];
    readonly resumed: SiteResponse;
}

const path = "/long/x";
const maxEventsBeforeBreak = 4;
const maxPauseMs = 1_500;
const twiceFraction = 0.3;

/** Begins a stream at an entry, leaves it, and takes it up after a pause at any entry; some streams twice in a row. */
export async function takeUpOnce(
    entry: EntryProcess,
    entries: readonly EntryProcess[],
    key: string,
    random: Random,
): Promise<TakenUpStream> {
    const events = (): number => 1 + Math.floor(random() * maxEventsBeforeBreak);
    const pauseAndPick = async (): Promise<EntryProcess> => {
        await delay(random() * maxPauseMs);
        return pickOne(random, entries) ?? entry;
    };
    const began = await beginStream(entry, path, events(), undefined, key);
    const again = random() < twiceFraction
        ? await beginStream(await pauseAndPick(), path, events(), began, key).catch(() => undefined)
        : undefined;
    const { lastEventId } = again ?? began;
    const resumed = await resumeAtSite(await pauseAndPick(), path, lastEventId, began.requestId, key);
    return { parts: again === undefined ? [began] : [began, again], resumed };
}

/** Checks that no stream has events of two versions, and that a take-up that is said not to have run has not. */
export function checkTakenUp(
    streams: readonly TakenUpStream[],
    engines: readonly Pick<FakePlatformEngine, "runs">[],
): readonly string[] {
    const executed = new Set(engines.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
    return streams.flatMap(({ parts, resumed }) => {
        const versions = new Set([...parts, resumed].flatMap(each => each.softwareVersions));
        const ids = [...parts, resumed].map(({ requestId }) => requestId).join(", ");
        return [
            ...versions.size > 1 ? [`${ids}: a stream is joined from versions ${[...versions].join(" and ")}`] : [],
            ...resumed.status === 503 && executed.has(resumed.requestId)
                ? [`${ids}: a take-up was answered 503, but ran`]
                : [],
        ];
    });
}
