/**
 * One run of the fault soak, see `scripts/soak.ts`.
 */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { createRandom, pickOne } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import type { EngineFault } from "./platformEngine.js";
import { callSite, isReady, siteKey, startPlatformSite, until, wholeStream } from "./platformSite.js";
import type { EntryProcess, PlatformSite, SiteAnswer } from "./platformSite.js";
import type { StoreFault } from "./platformStore.js";
import { startTcpProxy } from "./tcpProxy.js";
import type { ProxyFault, TcpProxy } from "./tcpProxy.js";

export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    /** Breaks a promise on purpose, to check the checks. */
    readonly plant: boolean;
}

export interface SoakResult {
    readonly requests: number;
    readonly faults: number;
    /** One line for each broken promise. */
    readonly broken: readonly string[];
    readonly logFile: string;
}

interface Sent {
    readonly path: string;
    readonly key: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    readonly answer: SiteAnswer;
}

interface Fault {
    readonly name: string;
    /** Injects the fault; resolves when it is over. */
    readonly play: () => Promise<void>;
}

const events = 12;
const eventMs = 15;
const callersPerEntry = 4;
const paths = ["/chat/x", "/long/x", "/pay/x", "/look/x"];
/** A withdrawn key must be refused this long after the store took the change, once the store is well again (brief). */
const withdrawnWithinMs = 5_000;
/** Longest fault and longest request, so that what they hold must be gone after this time. */
const settleMs = 6_000;
const msPerSecond = 1_000;
const mayRunTwice = (path: string): boolean => path === "/look/x" || path === "/long/x";

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const engineProxies: TcpProxy[] = [];
    const storeProxies: TcpProxy[] = [];
    const through = (proxies: TcpProxy[]) => async (address: string): Promise<string> => {
        const proxy = await startTcpProxy(address);
        proxies.push(proxy);
        return proxy.address;
    };
    const site = await startPlatformSite({
        entries: options.entries,
        events,
        eventMs,
        reachThrough: through(engineProxies),
        reachStoreThrough: through(storeProxies),
    });
    const sent: Sent[] = [];
    const timeline: string[] = [];
    const withdrawnAtMs = new Map<string, number>();
    const state = { key: siteKey, generation: 0, stopped: false, storeIllUntilMs: 0 };
    const startedAtMs = Date.now();

    function note(text: string): void {
        timeline.push(`${Date.now() - startedAtMs} ms ${text}`);
    }

    async function caller(entry: EntryProcess, random: Random): Promise<void> {
        while (!state.stopped) {
            const path = pickOne(random, paths) ?? "/look/x";
            // Some callers go on with a key that was withdrawn.
            const old = pickOne(random, [...withdrawnAtMs.keys()]);
            const key = old !== undefined && random() < 0.2 ? old : state.key;
            const sentAtMs = Date.now();
            const answer = await callSite(entry, path, key).catch(() => undefined);
            if (answer === undefined) {
                await delay(50);
                continue;
            }
            sent.push({ path, key, sentAtMs, endedAtMs: Date.now(), answer });
            await delay(random() * 30);
        }
    }

    const faults = createFaults(site, { engines: engineProxies, store: storeProxies }, createRandom(options.seed), {
        withdrawKey: () => {
            withdrawnAtMs.set(state.key, Date.now());
            state.generation += 1;
            state.key = `key-${state.generation}`;
            site.publish([state.key]);
        },
        storeIll: untilMs => {
            state.storeIllUntilMs = untilMs;
        },
    });

    try {
        await until("all entries are ready", async () => (await Promise.all(site.entries.map(isReady))).every(Boolean));
        const callers = site.entries.flatMap((entry, index) =>
            Array.from(
                { length: callersPerEntry },
                (unused, number) => caller(entry, createRandom(options.seed * 1_000 + index * 100 + number)),
            )
        );
        const played = await playFaults(faults, options, note);
        state.stopped = true;
        await Promise.all(callers);
        if (options.plant) {
            await plantSecondRun(site, sent);
        }
        await Promise.all(site.entries.map(entry => until(`${entry.name} is ready again`, () => isReady(entry))));
        const broken = [
            ...checkAnswers(sent, site, withdrawnAtMs, state.storeIllUntilMs),
            ...await checkEnd(site, state.key),
        ];
        const logFile = join(mkdtempSync(join(tmpdir(), "gooseberrywell-soak-")), `seed-${options.seed}.log`);
        if (broken.length > 0) {
            const logs = site.entries.map(entry => `== ${entry.name}\n${entry.log()}`);
            writeFileSync(logFile, [...broken, "", ...timeline, "", ...logs].join("\n"));
        }
        return { requests: sent.length, faults: played, broken, logFile };
    }
    finally {
        await site.close();
        await Promise.all([...engineProxies, ...storeProxies].map(proxy => proxy.close()));
    }
}

async function playFaults(
    faults: (random: Random) => Fault | undefined,
    options: SoakOptions,
    note: (text: string) => void,
): Promise<number> {
    const random = createRandom(options.seed + 1);
    const running: Promise<void>[] = [];
    const endAtMs = Date.now() + options.seconds * msPerSecond;
    let played = 0;
    while (Date.now() < endAtMs) {
        const fault = faults(random);
        if (fault !== undefined) {
            played += 1;
            note(`begin ${fault.name}`);
            running.push(fault.play().then(() => note(`end ${fault.name}`)));
        }
        await delay(150 + random() * 700);
    }
    await Promise.all(running);
    return played;
}

interface FaultHooks {
    readonly withdrawKey: () => void;
    readonly storeIll: (untilMs: number) => void;
}

interface SoakProxies {
    readonly engines: readonly TcpProxy[];
    /** One for each entry. */
    readonly store: readonly TcpProxy[];
}

/** Faults overlap, but one process or connection has only one at a time. */
function createFaults(
    site: PlatformSite,
    proxies: SoakProxies,
    lengths: Random,
    hooks: FaultHooks,
): (random: Random) => Fault | undefined {
    const busy = new Set<unknown>();

    function on<Target>(
        target: Target | undefined,
        name: string,
        play: (target: Target) => Promise<void>,
    ): Fault | undefined {
        if (target === undefined || busy.has(target)) {
            return undefined;
        }
        return {
            name,
            play: async () => {
                busy.add(target);
                await play(target);
                busy.delete(target);
            },
        };
    }

    async function replace(entry: EntryProcess, signal: NodeJS.Signals): Promise<void> {
        entry.signal(signal);
        await entry.restart();
        await until(`${entry.name} is ready after ${signal}`, () => isReady(entry));
    }

    async function pause(entry: EntryProcess): Promise<void> {
        entry.signal("SIGSTOP");
        await delay(200 + lengths() * 1_500);
        entry.signal("SIGCONT");
    }

    async function harmStore(fault: StoreFault): Promise<void> {
        site.store.setFault(fault);
        await delay(300 + lengths() * 2_000);
        site.store.setFault("none");
        hooks.storeIll(Date.now());
    }

    function harmConnections(random: Random, name: string, of: readonly TcpProxy[]): Fault | undefined {
        const fault = pickOne<ProxyFault>(random, ["delay", "reset", "silence", "cutAnswers"]) ?? "reset";
        return on(pickOne(random, of), `${name} ${fault}`, async proxy => {
            proxy.setFault(fault);
            await delay(200 + lengths() * 1_000);
            proxy.setFault("none");
        });
    }

    const kinds: readonly ((random: Random) => Fault | undefined)[] = [
        random => on(pickOne(random, site.entries), "SIGTERM", entry => replace(entry, "SIGTERM")),
        random => on(pickOne(random, site.entries), "SIGKILL", entry => replace(entry, "SIGKILL")),
        random => on(pickOne(random, site.entries), "SIGSTOP", pause),
        random => on(pickOne(random, site.entries), "SIGHUP", async entry => entry.signal("SIGHUP")),
        random => {
            const fault = pickOne<StoreFault>(random, ["unavailable", "tooMany", "silent", "reset", "lostAnswer"])
                ?? "reset";
            return on(site.store, `store ${fault}`, () => harmStore(fault));
        },
        random => {
            const fault = pickOne<EngineFault>(random, ["shed", "reset", "silent", "cut", "lost", "error"]) ?? "shed";
            return on(pickOne(random, site.engines), `engine ${fault}`, async engine => {
                engine.setFault(fault);
                await delay(200 + lengths() * 1_000);
                engine.setFault("none");
            });
        },
        random => harmConnections(random, "connections", proxies.engines),
        random => harmConnections(random, "one entry's connections to the store", proxies.store),
        () => on(hooks, "key withdrawn", async () => hooks.withdrawKey()),
        () => on(hooks.storeIll, "history dropped", async () => site.store.compact()),
        random => {
            const engine = pickOne(random, site.engines.filter(({ stage }) => stage !== "prefill"));
            return on(engine, "engine drains", async draining => {
                site.register(draining, "draining");
                await delay(500 + lengths() * 1_000);
                site.register(draining, "ready");
            });
        },
    ];
    return random => pickOne(random, kinds)?.(random);
}

function expectedBody(path: string, requestId: string): string {
    return path === "/chat/x" || path === "/long/x" ? wholeStream(requestId, events) : `done ${requestId}`;
}

const statusOk = 200;
const statusUnauthorized = 401;
const promises = new Set([408, 421, 429, 503]);

function checkAnswers(
    sent: readonly Sent[],
    site: PlatformSite,
    withdrawnAtMs: ReadonlyMap<string, number>,
    storeIllUntilMs: number,
): readonly string[] {
    const broken: string[] = [];
    const runs = new Map<string, number>();
    site.engines.flatMap(engine => engine.runs).forEach(run =>
        runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1)
    );
    for (const { path, key, sentAtMs, answer } of sent) {
        const { requestId, status, body } = answer;
        const ran = runs.get(requestId) ?? 0;
        const isFailedAnswer = status === statusOk && body !== undefined && body !== expectedBody(path, requestId);
        if (isFailedAnswer) {
            broken.push(`${requestId} ${path}: not its own whole answer: ${JSON.stringify(body)}`);
        }
        if (ran > 1 && !mayRunTwice(path)) {
            broken.push(`${requestId} ${path}: ran ${ran} times`);
        }
        if (promises.has(status) && ran > 0 && !mayRunTwice(path)) {
            broken.push(`${requestId} ${path}: answered ${status} and ran`);
        }
        const withdrawn = withdrawnAtMs.get(key);
        const isDue = withdrawn !== undefined && sentAtMs > Math.max(withdrawn, storeIllUntilMs) + withdrawnWithinMs;
        if (isDue && status !== statusUnauthorized && status !== 503) {
            broken.push(`${requestId} ${path}: ${status} for a key withdrawn ${sentAtMs - withdrawn} ms before`);
        }
    }
    const keys = [siteKey, ...withdrawnAtMs.keys()];
    const leaks = site.engines.flatMap(engine => engine.seen).filter(text =>
        keys.some(key => text.includes(`"${key}"`))
    );
    return [...broken, ...leaks.map(text => `an engine saw a key: ${text}`)];
}

async function checkEnd(site: PlatformSite, key: string): Promise<readonly string[]> {
    const broken: string[] = [];
    const deadline = Date.now() + settleMs;
    while (site.engines.some(engine => engine.held() > 0) && Date.now() < deadline) {
        await delay(50);
    }
    site.engines.filter(engine => engine.held() > 0).forEach(engine =>
        broken.push(`${engine.id} still holds ${engine.held()} for requests that are gone`)
    );
    for (const entry of site.entries) {
        const served = async (path: string): Promise<boolean> =>
            (await callSite(entry, path, key).catch(() => undefined))?.status === statusOk;
        for (const path of paths) {
            await until("", () => served(path)).catch(() => broken.push(`${entry.name} does not serve ${path} again`));
        }
    }
    return broken;
}

/** Sends a payment that has run to an engine once more, past the entries. */
async function plantSecondRun(site: PlatformSite, sent: readonly Sent[]): Promise<void> {
    const paid = sent.find(({ path, answer }) => path === "/pay/x" && answer.status === statusOk);
    const engine = site.engines.find(({ stage }) => stage === undefined);
    if (paid === undefined || engine === undefined) {
        throw new Error("no payment has run that could be planted");
    }
    const response = await request(`http://${engine.address}${paid.path}`, {
        method: "POST",
        headers: {
            "x-gooseberrywell-request-id": paid.answer.requestId,
            "x-gooseberrywell-expected-instance": engine.id,
        },
    });
    await response.body.dump();
}
