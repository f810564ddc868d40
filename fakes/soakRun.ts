/**
 * One run of the fault soak, see `scripts/soak.ts`. Callers send requests to a site while faults are injected into its
 * processes, connections, store and engines; afterwards the run checks the invariants that the router guarantees.
 */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { createRandom, pickOne } from "../src/common/random.js";
import type { Random } from "../src/common/random.js";
import { bodyOfDuration, deadlyBody, deadlyPromptPart } from "./platformEngine.js";
import type { EngineFault, EngineRun, FakePlatformEngine } from "./platformEngine.js";
import { callSite, expectedStream, isReady, nextRequestId, siteKey, startPlatformSite, until } from "./platformSite.js";
import type { EntryProcess, PlatformSite, SiteResponse } from "./platformSite.js";
import type { StoreFault } from "./platformStore.js";
import { checkDeadlyParts, checkDeadlyRuns, checkLateCalls, checkRates, checkWholeResponses } from "./soakChecks.js";
import { checkTakenUp, soakModelEngines, softwareVersions, takeUpOnce } from "./soakStreams.js";
import type { TakenUpStream } from "./soakStreams.js";
import { createSlowLink, startTcpProxy } from "./tcpProxy.js";
import type { ProxyFault, SlowLink, TcpProxy } from "./tcpProxy.js";

export interface SoakOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    /** Injects planned work only: stops, reloads, new desired states and engines that drain. */
    readonly isPlanned: boolean;
    /** Executes one payment twice, to verify that the checks detect a violation. */
    readonly runPaymentTwice: boolean;
}

export interface SoakResult {
    readonly requests: number;
    /** Streams that their callers took up, and those of them that went on. */
    readonly takenUp: number;
    readonly goingOn: number;
    readonly faults: number;
    /** One line for each violated invariant. */
    readonly broken: readonly string[];
    readonly logFile: string;
}

/** A request with its response. */
interface CompletedRequest {
    readonly path: string;
    readonly key: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    readonly response: SiteResponse;
    /** Prompt parts that the request named. */
    readonly promptPrefix: string | undefined;
}

interface Fault {
    readonly name: string;
    /** Injects the fault; resolves when it is over. */
    readonly inject: () => Promise<void>;
}

const events = 12;
const eventMs = 15;
const callersPerEntry = 4;
const paths = ["/chat/x", "/long/x", "/pay/x", "/look/x"];
/** Paths of calls that end engines with `deadlyBody`, and the fraction of calls on them that have it. */
const deadlyPaths: ReadonlySet<string> = new Set(["/pay/x", "/look/x"]);
const deadlyFraction = 0.01;
/** Fraction of the generations whose prompts have parts, and of these, of those that have the deadly one. */
const partsFraction = 0.5;
const deadlyPartFraction = 0.1;
/** Fraction of the other calls on these paths that last longer, and how long at most. */
const slowFraction = 0.2;
const maxSlowMs = 2_800;
/**
 * The project requires that a withdrawn key is refused within this time, counted from the withdrawal or from the end of
 * the last store fault, whichever is later.
 */
const withdrawalDeadlineMs = 5_000;
/** Longer than any fault and any request, so engines must have released all resources after this time. */
const releaseTimeoutMs = 6_000;
const msPerSecond = 1_000;
const engineFaults: readonly EngineFault[] = [
    "shed",
    "reset",
    "silent",
    "cut",
    "endInEvent",
    "lost",
    "error",
    "rest",
    "leaving",
    "endless",
    "endlessHead",
    "endlessBody",
];
/** Fraction of the calls that begin a stream, leave it and take it up. */
const takeUpFraction = 0.15;
/** An entry is ready within about this time after its start. */
const maxStartMs = 600;
/** Longest time after which the registry shows that an engine has started again. */
const maxUnnoticedMs = 1_500;
/** With little processor time, an entry runs for this time, and then rests for a time up to the other. */
const processorOnMs = 10;
const maxProcessorOffMs = 40;
/** The first entry reaches the store over a link of 7 Mbit/s. */
const slowLinkBytesPerSecond = 875_000;
/** Routes added at once, and in all; a desired state with all of them takes about 1 MB of a response. */
const routesPerGrowth = 1_400;
const maxAddedRoutes = 3 * routesPerGrowth;
/** A desired state is in force this long after its acknowledgement, at entries in touch. */
const applyMs = 3_000;
/** Revisions that a restoration of the store loses at most. */
const maxLostRevisions = 8;
const mayRunTwice = (path: string): boolean => path === "/look/x" || path === "/long/x";

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const engineProxies: TcpProxy[] = [];
    const storeProxies: TcpProxy[] = [];
    const proxiedInto = (proxies: TcpProxy[], links: readonly SlowLink[] = []) => {
        const unusedLinks = [...links];
        return async (address: string): Promise<string> => {
            const proxy = await startTcpProxy(address, unusedLinks.shift());
            proxies.push(proxy);
            return proxy.address;
        };
    };
    const site = await startPlatformSite({
        entries: options.entries,
        events,
        eventMs,
        modelEngines: soakModelEngines,
        proxyEngineAddress: proxiedInto(engineProxies),
        proxyStoreAddress: proxiedInto(storeProxies, [createSlowLink(slowLinkBytesPerSecond)]),
    });
    site.engines.forEach(engine => {
        engine.endOnDeadlyBody();
        engine.endOnDeadlyPart();
    });
    const completed: CompletedRequest[] = [];
    /** Ids of requests whose connections ended without the head of a response. */
    const unanswered: string[] = [];
    const takenUp: TakenUpStream[] = [];
    const timeline: string[] = [];
    const withdrawnAtMs = new Map<string, number>();
    const state = { key: siteKey, keyNumber: 0, addedRoutes: 0, stopped: false, storeFaultEndMs: 0 };
    const publish = (): void => site.publish([state.key], "desk", state.addedRoutes);
    const startedAtMs = Date.now();

    function logEvent(text: string): void {
        timeline.push(`${Date.now() - startedAtMs} ms ${text}`);
    }

    async function caller(entry: EntryProcess, random: Random): Promise<void> {
        while (!state.stopped) {
            if (random() < takeUpFraction) {
                const stream = await takeUpOnce(entry, site.entries, state.key, random).catch(() => undefined);
                if (stream !== undefined) {
                    takenUp.push(stream);
                }
                continue;
            }
            const path = pickOne(random, paths) ?? "/look/x";
            // Some callers continue with a withdrawn key.
            const withdrawnKey = pickOne(random, [...withdrawnAtMs.keys()]);
            const key = withdrawnKey !== undefined && random() < 0.2 ? withdrawnKey : state.key;
            const sentAtMs = Date.now();
            const body = deadlyPaths.has(path) ? plainBody(random, !options.isPlanned) : undefined;
            const promptPrefix = deadlyPaths.has(path) ? undefined : promptPrefixOf(random, !options.isPlanned);
            const requestId = nextRequestId();
            const response = await callSite(entry, path, key, undefined, promptPrefix, body, requestId)
                .catch(() => undefined);
            if (response === undefined) {
                unanswered.push(requestId);
                await delay(50);
                continue;
            }
            completed.push({ path, key, sentAtMs, endedAtMs: Date.now(), response, promptPrefix });
            await delay(random() * 30);
        }
    }

    const proxies = { engines: engineProxies, store: storeProxies };
    const nextFault = createFaults(site, proxies, createRandom(options.seed), options.isPlanned, {
        withdrawKey: () => {
            withdrawnAtMs.set(state.key, Date.now());
            state.keyNumber += 1;
            state.key = `key-${state.keyNumber}`;
            publish();
        },
        publishAgain: publish,
        addRoutes: () => {
            state.addedRoutes = Math.min(maxAddedRoutes, state.addedRoutes + routesPerGrowth);
            publish();
        },
        onStoreFaultEnd: endMs => {
            state.storeFaultEndMs = endMs;
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
        const slowEntry = options.isPlanned ? site.entries[options.seed % options.entries] : undefined;
        const limited = slowEntry === undefined
            ? undefined
            : limitProcessor(slowEntry, createRandom(options.seed + 2), () => state.stopped);
        const injected = await injectFaults(nextFault, options, logEvent);
        state.stopped = true;
        await Promise.all([...callers, limited]);
        if (options.runPaymentTwice) {
            await injectDuplicateRun(site, completed);
        }
        await Promise.all(site.entries.map(entry => until(`${entry.name} is ready again`, () => isReady(entry))));
        const violations = [
            ...checkResponses(completed, site, withdrawnAtMs, state.storeFaultEndMs),
            ...await checkRecovery(site, state.key),
            ...state.addedRoutes > 0 ? await checkAddedRoute(site, state.key, `/added-${state.addedRoutes - 1}/x`) : [],
            ...checkRates(
                site.engines,
                completed.map(({ sentAtMs, endedAtMs, response }) => ({
                    engine: response.engine,
                    sentAtMs,
                    endedAtMs,
                })),
            ),
            ...checkDeadlyRuns(site.engines),
            ...checkDeadlyParts(
                site.engines.flatMap(engine => engine.runs).filter(isDeadlyRun).map(({ atMs }) => atMs),
                completed.filter(isSoundGeneration).map(({ promptPrefix, sentAtMs, response }) => ({
                    hasSharedPart: promptPrefix !== undefined,
                    sentAtMs,
                    hasBegun: response.status === statusOk,
                })),
            ),
            ...checkLateCalls(completed),
            ...options.isPlanned ? checkWholeResponses(completed, unanswered, site.engines) : [],
            ...checkTakenUp(takenUp, site.engines),
        ];
        const logFile = join(mkdtempSync(join(tmpdir(), "gooseberrywell-soak-")), `seed-${options.seed}.log`);
        if (violations.length > 0) {
            const logs = site.entries.map(entry => `== ${entry.name}\n${entry.wholeLog()}`);
            writeFileSync(logFile, [...violations, "", ...timeline, "", ...logs].join("\n"));
        }
        const { length: goingOn } = takenUp.filter(({ resumed }) => resumed.status === statusOk);
        return {
            requests: completed.length,
            takenUp: takenUp.length,
            goingOn,
            faults: injected,
            broken: violations,
            logFile,
        };
    }
    finally {
        await site.close();
        await Promise.all([...engineProxies, ...storeProxies].map(proxy => proxy.close()));
    }
}

/** Body of a plain call: deadly, lasting some time, or neither. */
function plainBody(random: Random, mayBeDeadly: boolean): string | undefined {
    if (mayBeDeadly && random() < deadlyFraction) {
        return deadlyBody;
    }
    return random() < slowFraction ? bodyOfDuration(Math.round(random() * maxSlowMs)) : undefined;
}

/** Gives an entry little processor time until `isOver`. */
async function limitProcessor(entry: EntryProcess, random: Random, isOver: () => boolean): Promise<void> {
    while (!isOver()) {
        entry.signal("SIGSTOP");
        await delay(random() * maxProcessorOffMs);
        entry.signal("SIGCONT");
        await delay(processorOnMs);
    }
}

/** Prompt parts of a generation: none, a shared one and another, or the deadly one between these. */
function promptPrefixOf(random: Random, mayBeDeadly: boolean): string | undefined {
    if (random() >= partsFraction) {
        return undefined;
    }
    const isDeadly = mayBeDeadly && random() < deadlyPartFraction;
    const other = pickOne(random, ["d1", "d2", "d3"]) ?? "d1";
    return ["c0:300", ...isDeadly ? [`${deadlyPromptPart}:100`] : [], `${other}:100`, "own:50"].join(",");
}

const hasDeadlyPart = (promptPrefix: string | undefined): boolean =>
    promptPrefix?.includes(`${deadlyPromptPart}:`) ?? false;

function isDeadlyRun({ headers }: EngineRun): boolean {
    return hasDeadlyPart(headers["x-gooseberrywell-prompt-prefix"]);
}

function isSoundGeneration({ path, promptPrefix }: CompletedRequest): boolean {
    return !deadlyPaths.has(path) && !hasDeadlyPart(promptPrefix);
}

async function injectFaults(
    nextFault: (random: Random) => Fault | undefined,
    options: SoakOptions,
    logEvent: (text: string) => void,
): Promise<number> {
    const random = createRandom(options.seed + 1);
    const running: Promise<void>[] = [];
    const endAtMs = Date.now() + options.seconds * msPerSecond;
    let injected = 0;
    while (Date.now() < endAtMs) {
        const fault = nextFault(random);
        if (fault !== undefined) {
            injected += 1;
            logEvent(`begin ${fault.name}`);
            running.push(fault.inject().then(() => logEvent(`end ${fault.name}`)));
        }
        await delay(150 + random() * 700);
    }
    await Promise.all(running);
    return injected;
}

/** Draws a fault; `undefined` if its target has one already. */
type FaultFactory = (random: Random) => Fault | undefined;

interface FaultHooks {
    readonly withdrawKey: () => void;
    /** Writes the desired state once more, as a newer version. */
    readonly publishAgain: () => void;
    /** Writes a desired state with many more routes. */
    readonly addRoutes: () => void;
    readonly onStoreFaultEnd: (endMs: number) => void;
}

interface SoakProxies {
    readonly engines: readonly TcpProxy[];
    /** One per entry. */
    readonly store: readonly TcpProxy[];
}

/** Returns a function that draws the next fault. Faults overlap, but each target has only one at a time. */
function createFaults(
    site: PlatformSite,
    proxies: SoakProxies,
    durations: Random,
    isPlanned: boolean,
    hooks: FaultHooks,
): FaultFactory {
    const busy = new Set<unknown>();

    function exclusiveFault<Target>(
        target: Target | undefined,
        name: string,
        inject: (target: Target) => Promise<void>,
    ): Fault | undefined {
        if (target === undefined || busy.has(target)) {
            return undefined;
        }
        return {
            name,
            inject: async () => {
                busy.add(target);
                await inject(target);
                busy.delete(target);
            },
        };
    }

    async function restartAfterSignal(entry: EntryProcess, signal: NodeJS.Signals): Promise<void> {
        entry.signal(signal);
        while (durations() < 0.4) {
            // Further signals while the process drains, if it still runs.
            await delay(durations() * 400);
            entry.signal(pickOne<NodeJS.Signals>(durations, ["SIGTERM", "SIGHUP"]) ?? "SIGHUP");
        }
        await entry.restart();
        await until(`${entry.name} is ready after ${signal}`, () => isReady(entry));
    }

    /** Stops an entry again while it is still starting. */
    async function stopWhileStarting(entry: EntryProcess): Promise<void> {
        entry.signal("SIGTERM");
        await entry.restart();
        await delay(durations() * maxStartMs);
        await restartAfterSignal(entry, "SIGTERM");
    }

    /** A fault of all entries, unless one of them has another fault. */
    function faultOfAll(name: string, inject: (entry: EntryProcess, index: number) => Promise<void>): FaultFactory {
        return () => {
            if (site.entries.some(entry => busy.has(entry))) {
                return undefined;
            }
            return {
                name,
                inject: async () => {
                    site.entries.forEach(entry => busy.add(entry));
                    await Promise.all(site.entries.map(inject));
                    site.entries.forEach(entry => busy.delete(entry));
                },
            };
        };
    }

    /** The engine leaves, with or without announcing that it drains; it serves on and comes back as a new start. */
    async function leaveAndReturn(engine: FakePlatformEngine): Promise<void> {
        if (durations() < 0.5) {
            site.register(engine, "draining");
            await delay(durations() * 1_000);
        }
        site.unregister(engine);
        await delay(500 + durations() * 1_000);
        site.register(engine, "ready");
    }

    async function pause(entry: EntryProcess): Promise<void> {
        entry.signal("SIGSTOP");
        await delay(200 + durations() * 1_500);
        entry.signal("SIGCONT");
    }

    async function injectStoreFault(fault: StoreFault): Promise<void> {
        site.store.setFault(fault);
        await delay(300 + durations() * 2_000);
        site.store.setFault("none");
        hooks.onStoreFaultEnd(Date.now());
    }

    /** The store is away for a moment and comes back from an older copy; the operator and the engines write again. */
    async function restoreStore(): Promise<void> {
        site.store.setFault("reset");
        await delay(100 + durations() * 500);
        site.store.restore(Math.max(1, site.store.revision() - Math.ceil(durations() * maxLostRevisions)));
        site.store.setFault("none");
        await delay(durations() * 500);
        site.writeAgain();
        hooks.onStoreFaultEnd(Date.now());
    }

    function connectionFault(random: Random, name: string, targets: readonly TcpProxy[]): Fault | undefined {
        const fault = pickOne<ProxyFault>(random, ["delay", "reset", "silence", "dropResponses"]) ?? "reset";
        return exclusiveFault(pickOne(random, targets), `${name} ${fault}`, async proxy => {
            proxy.setFault(fault);
            await delay(200 + durations() * 1_000);
            proxy.setFault("none");
        });
    }

    const planned: readonly FaultFactory[] = [
        random =>
            exclusiveFault(pickOne(random, site.entries), "SIGTERM", entry => restartAfterSignal(entry, "SIGTERM")),
        random => exclusiveFault(pickOne(random, site.entries), "SIGHUP", async entry => entry.signal("SIGHUP")),
        faultOfAll("SIGTERM of all entries in turn", async (entry, index) => {
            await delay(index * (200 + durations() * 800));
            await restartAfterSignal(entry, "SIGTERM");
        }),
        random => exclusiveFault(pickOne(random, site.entries), "SIGTERM while starting", stopWhileStarting),
        () => exclusiveFault(hooks, "key withdrawn", async () => hooks.withdrawKey()),
        () =>
            exclusiveFault(hooks.publishAgain, "desired states in quick succession", async () => {
                for (let change = 0; change < 4; change++) {
                    hooks.publishAgain();
                    await delay(durations() * 300);
                }
            }),
        () => exclusiveFault(hooks.addRoutes, "many routes added", async () => hooks.addRoutes()),
        random =>
            exclusiveFault(
                pickOne(random, site.engines.filter(({ stage }) => stage !== "prefill")),
                "engine leaves and returns",
                leaveAndReturn,
            ),
        random => {
            const engine = pickOne(random, site.engines.filter(({ stage }) => stage !== "prefill"));
            return exclusiveFault(engine, "engine draining", async draining => {
                site.register(draining, "draining");
                await delay(500 + durations() * 1_000);
                site.register(draining, "ready");
            });
        },
    ];
    const unplanned: readonly FaultFactory[] = [
        random =>
            exclusiveFault(pickOne(random, site.entries), "SIGKILL", entry => restartAfterSignal(entry, "SIGKILL")),
        faultOfAll("SIGKILL of all entries", entry => restartAfterSignal(entry, "SIGKILL")),
        random => exclusiveFault(pickOne(random, site.entries), "SIGSTOP", pause),
        random =>
            exclusiveFault(
                pickOne(random, site.engines.filter(({ stage }) => stage === "decode")),
                "engine released with another version",
                engine =>
                    site.release(engine, pickOne(durations, softwareVersions) ?? "v1", durations() * maxUnnoticedMs),
            ),
        random => {
            const fault = pickOne<StoreFault>(random, ["unavailable", "tooMany", "silent", "reset", "lostAnswer"])
                ?? "reset";
            return exclusiveFault(site.store, `store ${fault}`, () => injectStoreFault(fault));
        },
        random => {
            const fault = pickOne(random, engineFaults) ?? "shed";
            return exclusiveFault(pickOne(random, site.engines), `engine ${fault}`, async engine => {
                engine.setFault(fault);
                await delay(200 + durations() * 1_000);
                engine.setFault("none");
                if (fault === "leaving") {
                    // An engine that has announced that it is leaving is used again only after a new start.
                    site.register(engine, "ready");
                }
            });
        },
        random =>
            exclusiveFault(
                pickOne(random, site.engines.map(engine => engine.limits)),
                "engine names a limit",
                async limits => {
                    const engine = site.engines.find(each => each.limits === limits);
                    for (let change = 0; change < 2; change++) {
                        engine?.nameLimit((1 + durations() * 9).toFixed(1));
                        await delay(500 + durations() * 3_500);
                    }
                    engine?.nameLimit(undefined);
                },
            ),
        random => connectionFault(random, "connections", proxies.engines),
        random => connectionFault(random, "one entry's connections to the store", proxies.store),
        () => exclusiveFault(site.store, "store restored from an older copy", restoreStore),
        // Withdrawals and compactions have no target; an object that no other fault uses makes each of them exclusive.
        () => exclusiveFault(hooks.onStoreFaultEnd, "store history compacted", async () => site.store.compact()),
    ];
    const faults = isPlanned ? planned : [...planned, ...unplanned];
    return random => pickOne(random, faults)?.(random);
}

function expectedBody(path: string, requestId: string): string {
    return path === "/chat/x" || path === "/long/x" ? expectedStream(requestId, events) : `done ${requestId}`;
}

const statusOk = 200;
const statusUnauthorized = 401;
/** Statuses that guarantee to the caller that the request was not executed. */
const notExecutedStatuses = new Set([408, 421, 429, 503]);

function checkResponses(
    completed: readonly CompletedRequest[],
    site: PlatformSite,
    withdrawnAtMs: ReadonlyMap<string, number>,
    storeFaultEndMs: number,
): readonly string[] {
    const violations: string[] = [];
    const runs = new Map<string, number>();
    site.engines.flatMap(engine => engine.runs).forEach(run =>
        runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1)
    );
    for (const { path, key, sentAtMs, response } of completed) {
        const { requestId, status, body } = response;
        const runCount = runs.get(requestId) ?? 0;
        const isUnexpectedBody = status === statusOk && body !== undefined && body !== expectedBody(path, requestId);
        if (isUnexpectedBody) {
            violations.push(`${requestId} ${path}: unexpected response: ${JSON.stringify(body)}`);
        }
        if (runCount > 1 && !mayRunTwice(path)) {
            violations.push(`${requestId} ${path}: ran ${runCount} times`);
        }
        if (notExecutedStatuses.has(status) && runCount > 0 && !mayRunTwice(path)) {
            violations.push(`${requestId} ${path}: responded with ${status}, but ran`);
        }
        const keyWithdrawnAtMs = withdrawnAtMs.get(key);
        const mustBeRefused = keyWithdrawnAtMs !== undefined
            && sentAtMs > Math.max(keyWithdrawnAtMs, storeFaultEndMs) + withdrawalDeadlineMs;
        if (mustBeRefused && status !== statusUnauthorized && status !== 503) {
            violations.push(
                `${requestId} ${path}: ${status} for a key withdrawn ${sentAtMs - keyWithdrawnAtMs} ms before`,
            );
        }
    }
    const keys = [siteKey, ...withdrawnAtMs.keys()];
    const leaks = site.engines.flatMap(engine => engine.seen).filter(text =>
        keys.some(key => text.includes(`"${key}"`))
    );
    return [...violations, ...leaks.map(text => `an engine received a key: ${text}`)];
}

/** Each entry serves the newest route in time, also one that has just started. */
async function checkAddedRoute(site: PlatformSite, key: string, path: string): Promise<readonly string[]> {
    const deadlineMs = Date.now() + applyMs;
    const statuses = await Promise.all(site.entries.map(async entry => {
        let status: number | undefined;
        while (status !== statusOk && Date.now() < deadlineMs) {
            status = (await callSite(entry, path, key).catch(() => undefined))?.status;
        }
        return { entry, status };
    }));
    return statuses.filter(({ status }) => status !== statusOk)
        .map(({ entry, status }) => `${entry.name} answers ${status} on a route that was added (${path})`);
}

async function checkRecovery(site: PlatformSite, key: string): Promise<readonly string[]> {
    const violations: string[] = [];
    const deadline = Date.now() + releaseTimeoutMs;
    while (site.engines.some(engine => engine.held() > 0) && Date.now() < deadline) {
        await delay(50);
    }
    site.engines.filter(engine => engine.held() > 0).forEach(engine =>
        violations.push(`${engine.id} still holds ${engine.held()} reservations, caches or streams of ended requests`)
    );
    for (const entry of site.entries) {
        const isServed = async (path: string): Promise<boolean> =>
            (await callSite(entry, path, key).catch(() => undefined))?.status === statusOk;
        for (const path of paths) {
            await until("", () => isServed(path)).catch(() =>
                violations.push(`${entry.name} does not serve ${path} after the faults`)
            );
        }
    }
    return violations;
}

/** Sends an executed payment directly to an engine a second time. */
async function injectDuplicateRun(site: PlatformSite, completed: readonly CompletedRequest[]): Promise<void> {
    const payment = completed.find(({ path, response }) => path === "/pay/x" && response.status === statusOk);
    const engine = site.engines.find(({ stage }) => stage === undefined);
    if (payment === undefined || engine === undefined) {
        throw new Error("no payment has succeeded that could be executed again");
    }
    const response = await request(`http://${engine.address}${payment.path}`, {
        method: "POST",
        headers: {
            "x-gooseberrywell-request-id": payment.response.requestId,
            "x-gooseberrywell-expected-instance": engine.id,
        },
    });
    await response.body.dump();
}
