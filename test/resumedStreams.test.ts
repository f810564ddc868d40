/**
 * Streams that callers take up again while engines of two software versions serve, with entries as real processes on the
 * fake platform.
 */

import { setTimeout as delay } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { beginStream, expectedStream, isReady, resumeAtSite, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PartialStream, PlatformSite, SiteResponse } from "../fakes/platformSite.js";

const path = "/long/x";
const events = 400;
const eventMs = 5;
const streams = 12;
const eventsBeforeBreak = 3;
/** Longer than entries take to write to the store which version began a stream. */
const settleMs = 1_000;
const modelEngines = [
    { id: "p-1", stage: "prefill", softwareVersion: "v1" },
    { id: "p-2", stage: "prefill", softwareVersion: "v2" },
    { id: "m-1", stage: "decode", softwareVersion: "v1" },
    { id: "m-2", stage: "decode", softwareVersion: "v1" },
    { id: "m-3", stage: "decode", softwareVersion: "v2" },
    { id: "m-4", stage: "decode", softwareVersion: "v2" },
] as const;
let site: PlatformSite;

afterEach(() => site.close());

function entry(index: number): EntryProcess {
    const found = site.entries[index];
    if (found === undefined) {
        throw new Error(`the site has no entry ${index}`);
    }
    return found;
}

async function waitUntilReady(): Promise<void> {
    await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
}

async function start(): Promise<void> {
    site = await startPlatformSite({ entries: 2, events, eventMs, modelEngines });
    await waitUntilReady();
}

async function beginAll(): Promise<readonly PartialStream[]> {
    const begun = await Promise.all(
        Array.from({ length: streams }, () => beginStream(entry(0), path, eventsBeforeBreak)),
    );
    await delay(settleMs);
    return begun;
}

async function killAndRestart(entries: readonly EntryProcess[]): Promise<void> {
    entries.forEach(each => each.signal("SIGKILL"));
    await Promise.all(entries.map(each => each.restart()));
}

function runsOf(requestId: string): number {
    return site.engines.flatMap(engine => engine.runs).filter(run => run.requestId === requestId).length;
}

/** What became of a stream that was taken up: `joined` if another version went on with it. */
function describeResumption(began: PartialStream, resumed: SiteResponse): string {
    if (resumed.engine === undefined) {
        return `${resumed.status}, ${runsOf(resumed.requestId) === 0 ? "not run" : "run"}`;
    }
    const isWhole = resumed.body === expectedStream(resumed.requestId, events, Number(began.lastEventId));
    const isSameVersion = new Set([...began.softwareVersions, ...resumed.softwareVersions]).size === 1;
    return `${resumed.status}, ${isSameVersion ? "same version" : "joined"}${isWhole ? "" : ", incomplete"}`;
}

async function resumeAll(at: EntryProcess, begun: readonly PartialStream[]): Promise<readonly string[]> {
    return Promise.all(
        begun.map(async stream =>
            describeResumption(stream, await resumeAtSite(at, path, stream.lastEventId, stream.requestId))
        ),
    );
}

interface PlaceCase {
    readonly name: string;
    /** What happens between the break and the take-up. */
    readonly between: () => Promise<void>;
    /** Index of the entry at which the streams are taken up. */
    readonly at: number;
    readonly outcome: string;
}

const goesOn = "200, same version";
const refused = "503, not run";

const placeCases: readonly PlaceCase[] = [
    { name: "at the same entry", between: async () => undefined, at: 0, outcome: goesOn },
    { name: "at another entry", between: async () => undefined, at: 1, outcome: goesOn },
    {
        name: "at another entry, after the first was killed",
        between: async () => entry(0).signal("SIGKILL"),
        at: 1,
        outcome: goesOn,
    },
    {
        name: "after all entries were killed",
        between: async () => {
            await killAndRestart(site.entries);
            await waitUntilReady();
        },
        at: 1,
        outcome: goesOn,
    },
    {
        name: "in an outage of the store, at another entry",
        between: async () => site.store.setFault("silent"),
        at: 1,
        outcome: goesOn,
    },
    {
        name: "in an outage of the store, at another entry, after the first was killed",
        between: async () => {
            site.store.setFault("unavailable");
            entry(0).signal("SIGKILL");
        },
        at: 1,
        outcome: goesOn,
    },
    {
        name: "in an outage of the store that began when all entries were ready again after they were killed",
        between: async () => {
            await killAndRestart(site.entries);
            await waitUntilReady();
            site.store.setFault("unavailable");
        },
        at: 1,
        outcome: refused,
    },
    {
        name: "after the version has left",
        between: async () => {
            site.engines.filter(({ id }) => site.softwareVersionOf(id) === "v1" && !id.startsWith("d-"))
                .forEach(site.unregister);
            await delay(settleMs);
        },
        at: 1,
        outcome: `v1: ${refused}; v2: ${goesOn}`,
    },
];

describe("a stream that its caller takes up goes on only at the software version that began it", () => {
    it.each(placeCases)("$name: $outcome", async ({ between, at, outcome }) => {
        await start();
        const begun = await beginAll();
        expect(new Set(begun.map(({ engine }) => site.softwareVersionOf(engine)))).toEqual(new Set(["v1", "v2"]));
        await between();
        const outcomes = await resumeAll(entry(at), begun);
        const expected = ({ engine }: PartialStream): string =>
            outcome.split("; ").find(part => part.startsWith(`${site.softwareVersionOf(engine)}: `))?.slice(4)
                ?? outcome;
        expect(outcomes).toEqual(begun.map(expected));
    });

    it("when the store was restored to a state before the stream, while entries run and after they were killed", async () => {
        await start();
        await delay(settleMs);
        const earlier = site.store.revision();
        const begun = await beginAll();
        site.store.restore(earlier);
        site.writeAgain();
        expect(await resumeAll(entry(1), begun)).toEqual(begun.map(() => goesOn));
        const lost = await beginAll();
        entry(0).signal("SIGKILL");
        entry(1).signal("SIGKILL");
        await Promise.all(site.entries.map(each => each.exited));
        site.store.restore(earlier);
        site.writeAgain();
        await Promise.all(site.entries.map(each => each.restart()));
        await waitUntilReady();
        expect(await resumeAll(entry(1), lost)).toEqual(lost.map(() => refused));
    });

    it("when it is taken up twice in a row", async () => {
        await start();
        const begun = await beginAll();
        const first = await Promise.all(begun.map(stream => beginStream(entry(1), path, eventsBeforeBreak, stream)));
        await killAndRestart(site.entries);
        await waitUntilReady();
        const again = begun.map((stream, index) => ({ ...stream, lastEventId: first[index]?.lastEventId ?? "" }));
        expect(await resumeAll(entry(0), again)).toEqual(begun.map(() => goesOn));
    });

    // The registry still named the version of the engine's earlier start.
    it("when its engine has started again under its id, and the registry does not show that", async () => {
        const [prefill, decode] = [modelEngines[0], modelEngines[2]];
        site = await startPlatformSite({ entries: 2, events, eventMs, modelEngines: [prefill, decode] });
        await waitUntilReady();
        const begun = await beginAll();
        const restarted = site.engines.find(({ id }) => id === decode.id);
        if (restarted === undefined) {
            throw new Error(`the site has no engine ${decode.id}`);
        }
        site.restartUnnoticed(restarted);
        await delay(settleMs);
        const begunLater = await beginStream(entry(1), path, eventsBeforeBreak);
        for (const outcome of await resumeAll(entry(1), [...begun, begunLater])) {
            expect(outcome).toMatch(/^50[23], /u);
        }
    });

    // Elsewhere, an entry that stood still while a version joined let streams of that version go on at another one.
    it("when it is taken up at an entry that stood still while the version joined", async () => {
        await start();
        await delay(settleMs);
        entry(1).signal("SIGSTOP");
        const joining = site.engines.filter(({ id }) => id === "m-2" || id === "p-2");
        await Promise.all(joining.map(engine => site.release(engine, "v3", 0)));
        await delay(settleMs);
        const begun = await beginAll();
        const isNew = ({ engine }: PartialStream): boolean => site.softwareVersionOf(engine) === "v3";
        expect(begun.filter(isNew).length).toBeGreaterThan(0);
        const resumed = resumeAll(entry(1), begun);
        entry(1).signal("SIGCONT");
        for (const outcome of await resumed) {
            expect(outcome).toMatch(/^(?:200, same version|50[23], .*)$/u);
        }
    });

    // One report that came late left a stream without an origin: all take-ups were refused, while new streams began.
    it("when the reports of its engines are late", async () => {
        await start();
        site.engines.forEach(engine => engine.setFault("lateReports"));
        const begun = await beginAll();
        await delay(settleMs);
        expect(await resumeAll(entry(1), begun)).toEqual(begun.map(() => goesOn));
    });

    it.each([
        { name: "does not say with which request it began", began: undefined },
        { name: "says that it began with a request that is not known", began: "r-unknown" },
    ])("a request that $name is refused, and not run", async ({ began }) => {
        await start();
        const response = await resumeAtSite(entry(0), path, "3", began);
        expect([response.status, runsOf(response.requestId)]).toEqual([503, 0]);
    });
});
