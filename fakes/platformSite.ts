/**
 * Starts a small site on a fake platform: the real entries run as separate processes, the fake store and engines in this
 * one.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { restartMs, startFakePlatformEngine } from "./platformEngine.js";
import type { FakePlatformEngine } from "./platformEngine.js";
import { startFakeStore } from "./platformStore.js";
import type { FakeStore } from "./platformStore.js";

export interface EntryProcess {
    readonly name: string;
    readonly settingsFile: string;
    readonly callersUrl: string;
    readonly readyUrl: string;
    readonly metricsUrl: string;
    /** Log output of the current process so far. */
    readonly log: () => string;
    /** Log output of all processes of this entry so far. */
    readonly wholeLog: () => string;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** Stops to read the log output of the current process. */
    readonly closeLog: () => void;
    /** Largest resident memory of the current process so far. */
    readonly peakMemoryBytes: () => number;
    /** Open descriptors of the current process. */
    readonly openDescriptors: () => number;
    /** Resolves with the exit code, or with the signal that ended the process. */
    readonly exited: Promise<number | NodeJS.Signals | null>;
    readonly restart: () => Promise<void>;
}

/** An engine of the service of model engines. */
export interface ModelEngineOptions {
    readonly id: string;
    readonly stage: "prefill" | "decode";
    /** As in the engine's registry record. */
    readonly softwareVersion: string;
}

export type PlainService = "desk" | "annex";

export interface PlatformSite {
    readonly store: FakeStore;
    readonly entries: readonly EntryProcess[];
    readonly engines: readonly FakePlatformEngine[];
    /**
     * Writes a desired state with a higher version, in which the only client account has these API keys. The plain routes
     * lead to the first plain service unless another one is given. There are `addedRoutes` more of them, none by default,
     * with the prefixes `/added-0/`, `/added-1/` and so on.
     */
    readonly publish: (keys: readonly string[], plainService?: PlainService, addedRoutes?: number) => void;
    /** Writes the registry record of an engine. */
    readonly register: (engine: FakePlatformEngine, state: "ready" | "draining") => void;
    /** Removes the registry record of an engine. */
    readonly unregister: (engine: FakePlatformEngine) => void;
    /** Lets an engine end and start again under its id and at its address without a new registry record. */
    readonly restartUnnoticed: (engine: FakePlatformEngine) => void;
    /**
     * Lets an engine end and start again under its id with another software version. The registry shows that after
     * `unnoticedMs`.
     */
    readonly release: (engine: FakePlatformEngine, softwareVersion: string, unnoticedMs: number) => Promise<void>;
    /** The software version of an engine. */
    readonly softwareVersionOf: (engineId: string) => string;
    /** Writes the newest desired state and records again, as the operator and the engines do after a restoration. */
    readonly writeAgain: () => void;
    readonly close: () => Promise<void>;
}

export interface PlatformSiteOptions {
    readonly entries: number;
    readonly events?: number;
    readonly eventMs?: number;
    /** By default one prefill engine and two decode engines of one software version. */
    readonly modelEngines?: readonly ModelEngineOptions[];
    /** Longest reservation at the model engines; 2 s by default, 0 if they grant none. */
    readonly maxReservationMs?: number;
    /** Number of instances of the first plain service, `desk`; 2 by default. */
    readonly plainEngines?: number;
    /** Number of instances of the second plain service, `annex`; none by default. */
    readonly annexEngines?: number;
    /** Data centres of engines by id; `a`, that of the entries, by default. */
    readonly dataCentres?: Readonly<Record<string, string>>;
    /** Rate of cold instances of the first plain service; none by default. */
    readonly coldRequestsPerSecond?: number;
    /** Maps an engine's address to the one that entries connect to, such as that of a proxy. */
    readonly proxyEngineAddress?: (address: string) => Promise<string>;
    /** Maps the store's address to the one that an entry connects to; called once per entry. */
    readonly proxyStoreAddress?: (address: string) => Promise<string>;
    /** Starts with an empty store: neither a desired state nor the engines are written. */
    readonly empty?: boolean;
    /** Further lines of the entries' settings files. */
    readonly settingsLines?: readonly string[];
    /** Limit on the heap of an entry, in megabytes; as in `deploy/system.toml` by default. */
    readonly heapMb?: number;
    /** Further arguments of Node.js, for the entries. */
    readonly nodeArguments?: readonly string[];
}

export const siteKey = "key-of-the-walkers";
const host = "site.example";
const defaultSoftwareVersion = "v1";
const annexPrefix = "x-";
const defaultModelEngines: readonly ModelEngineOptions[] = [
    { id: "p-1", stage: "prefill", softwareVersion: defaultSoftwareVersion },
    { id: "m-1", stage: "decode", softwareVersion: defaultSoftwareVersion },
    { id: "m-2", stage: "decode", softwareVersion: defaultSoftwareVersion },
];
const graceS = 6;
const waitTimeoutMs = 20_000;
const bytesPerKilobyte = 1_024;
/** As in `deploy/system.toml`. */
const defaultHeapMb = 110;

/**
 * Ports for the entries' listeners. They lie below the range from which the operating system takes ports of outgoing
 * connections: a port of that range may be taken by any process between its choice here and the entry's start. Each test
 * process begins at another port, since several may run at the same time.
 */
const firstPort = 10_000;
const endPort = 30_000;
const portsPerProcess = 64;
let nextPort = firstPort + process.pid * portsPerProcess % (endPort - firstPort);

async function isFree(port: number): Promise<boolean> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

async function freePorts(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = nextPort;
        nextPort = nextPort + 1 < endPort ? nextPort + 1 : firstPort;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Polls until `check` returns true; throws after `waitTimeoutMs`. */
export async function until(what: string, check: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = Date.now() + waitTimeoutMs;
    while (!await check()) {
        if (Date.now() > deadline) {
            throw new Error(`gave up waiting for: ${what}`);
        }
        await delay(20);
    }
}

export async function isReady(entry: EntryProcess): Promise<boolean> {
    return fetch(entry.readyUrl).then(response => response.status === 200, () => false);
}

interface EntryChild {
    readonly child: ChildProcess;
    readonly log: () => string;
    readonly closeLog: () => void;
}

function startProcess(
    settingsFile: string,
    heapMb: number,
    nodeArguments: readonly string[],
): EntryChild {
    const child = spawn(
        process.execPath,
        [`--max-old-space-size=${heapMb}`, ...nodeArguments, "dist/platform/main.js"],
        {
            env: { GOOSEBERRYWELL_BOOT: settingsFile, PATH: process.env["PATH"] },
            stdio: ["ignore", "pipe", "pipe"],
        },
    );
    let text = "";
    child.stdout.on("data", (chunk: Buffer) => (text += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (text += chunk.toString()));
    return {
        child,
        log: () => text,
        closeLog: () => {
            child.stdout.destroy();
            child.stderr.destroy();
        },
    };
}

async function startEntryProcess(
    index: number,
    directory: string,
    storeAddress: string,
    ports: readonly number[],
    seedAddress: string,
    { settingsLines = [], heapMb = defaultHeapMb, nodeArguments = [] }: Pick<
        PlatformSiteOptions,
        "settingsLines" | "heapMb" | "nodeArguments"
    >,
): Promise<EntryProcess> {
    const [front, readiness, control, metrics] = ports;
    const file = join(directory, `entry-${index}.conf`);
    writeFileSync(
        file,
        [
            `node_name=entry-${index}`,
            "ip=127.0.0.1",
            "zone=a",
            `listen.front=127.0.0.1:${front}`,
            `listen.readiness=127.0.0.1:${readiness}`,
            `listen.control=127.0.0.1:${control}`,
            `port_range=${metrics},${metrics}`,
            `seeds=${seedAddress}`,
            `platform.address=${storeAddress}`,
            `bounds.grace_s=${graceS}`,
            "bounds.retry_budget_ratio=0.2",
            "bounds.budget_slack=1000",
            "bounds.budget_window_s=10",
            "bounds.drain_ms=2000",
            "bounds.config_apply_ms=2000",
            ...settingsLines,
        ].join("\n"),
    );
    const state = { current: startProcess(file, heapMb, nodeArguments), earlierLog: "" };
    const exitOf = (child: ChildProcess): EntryProcess["exited"] =>
        new Promise(resolve => child.once("exit", (code, signal) => resolve(code ?? signal)));
    const entry = {
        name: `entry-${index}`,
        settingsFile: file,
        callersUrl: `http://127.0.0.1:${front}`,
        readyUrl: `http://127.0.0.1:${readiness}/ready`,
        metricsUrl: `http://127.0.0.1:${metrics}/metrics`,
        log: () => state.current.log(),
        wholeLog: () => state.earlierLog + state.current.log(),
        signal: (signal: NodeJS.Signals) => void state.current.child.kill(signal),
        closeLog: () => state.current.closeLog(),
        peakMemoryBytes: () => {
            const status = readFileSync(`/proc/${state.current.child.pid}/status`, "utf8");
            return Number(/^VmHWM:\s*(\d+) kB$/mu.exec(status)?.[1]) * bytesPerKilobyte;
        },
        openDescriptors: () => readdirSync(`/proc/${state.current.child.pid}/fd`).length,
        exited: exitOf(state.current.child),
        restart: async () => {
            await entry.exited;
            state.earlierLog = entry.wholeLog();
            state.current = startProcess(file, heapMb, nodeArguments);
            entry.exited = exitOf(state.current.child);
        },
    };
    return entry;
}

export async function startPlatformSite(options: PlatformSiteOptions): Promise<PlatformSite> {
    const directory = mkdtempSync(join(tmpdir(), "gooseberrywell-"));
    const store = await startFakeStore();
    let version = 0;
    /** Start version of each engine as the engine reports it, and the restarts that the registry does not show. */
    const reportedStarts = new Map<string, number>();
    const unnoticedRestarts = new Set<string>();
    const modelEngines = options.modelEngines ?? defaultModelEngines;
    const softwareVersions = new Map(modelEngines.map(({ id, softwareVersion }) => [id, softwareVersion]));
    const softwareVersionOf = (engineId: string): string => softwareVersions.get(engineId) ?? defaultSoftwareVersion;
    const engineOf = (id: string, stage: FakePlatformEngine["stage"]): Promise<FakePlatformEngine> =>
        startFakePlatformEngine({
            id,
            stage,
            events: options.events ?? 5,
            eventMs: options.eventMs ?? 10,
            capacity: 50,
            softwareVersion: () => softwareVersionOf(id),
            bornMs: () => reportedStarts.get(id),
            onRestart: () => {
                const restarted = engines.find(engine => engine.id === id);
                if (unnoticedRestarts.delete(id)) {
                    version += 1;
                    reportedStarts.set(id, version);
                }
                else if (restarted !== undefined) {
                    register(restarted, "ready");
                }
            },
        });
    const engines: readonly FakePlatformEngine[] = await Promise.all([
        ...modelEngines.map(({ id, stage }) => engineOf(id, stage)),
        ...Array.from({ length: options.plainEngines ?? 2 }, (unused, index) => engineOf(`d-${index + 1}`, undefined)),
        ...Array.from(
            { length: options.annexEngines ?? 0 },
            (unused, index) => engineOf(`${annexPrefix}${index + 1}`, undefined),
        ),
    ]);
    const unproxied = async (address: string): Promise<string> => address;
    const { proxyEngineAddress = unproxied, proxyStoreAddress = unproxied } = options;
    const addresses = new Map<string, string>();
    for (const engine of engines) {
        addresses.set(engine.id, await proxyEngineAddress(engine.address));
    }
    /** Start version of each engine; each registration as ready counts as a new start. */
    const startVersions = new Map<string, number>();

    const written = new Map<string, readonly [table: string, key: string, text: string]>();
    function write(table: string, key: string, text: string): void {
        written.set(`${table} ${key}`, [table, key, text]);
        store.put(table, key, text);
    }

    function publish(keys: readonly string[], plainService: PlainService = "desk", addedRoutes = 0): void {
        version += 3;
        const route = { host, timeout_ms: 5_000, target_latency_ms: 900, priority: 1, attempts: 2, public: false };
        const engineSpec = { slots: 50, kv_tokens: 100_000, hold_ms: options.maxReservationMs ?? 2_000, stride: 1 };
        write(
            "op",
            "config",
            JSON.stringify({
                version,
                routes: [
                    { ...route, name: "chat", prefix: "/chat/", kind: "stream", service: "models" },
                    { ...route, name: "long", prefix: "/long/", kind: "stream", service: "models", resumable: true },
                    { ...route, name: "pay", prefix: "/pay/", kind: "non_idempotent", service: plainService },
                    { ...route, name: "look", prefix: "/look/", kind: "idempotent", service: plainService },
                    ...Array.from({ length: addedRoutes }, (unused, index) => ({
                        ...route,
                        name: `added-${index}`,
                        prefix: `/added-${index}/`,
                        kind: "idempotent",
                        service: plainService,
                    })),
                ],
                services: [
                    { name: "models", max_connections: 400, engine: engineSpec },
                    { name: "desk", max_connections: 100, cold_per_s: options.coldRequestsPerSecond ?? 0 },
                    { name: "annex", max_connections: 100 },
                ],
                tenants: [{ name: "walkers", api_keys: keys }],
            }),
        );
    }

    function register(engine: FakePlatformEngine, state: "ready" | "draining"): void {
        const plainService: PlainService = engine.id.startsWith(annexPrefix) ? "annex" : "desk";
        const service = engine.stage === undefined ? plainService : "models";
        const stage = engine.stage === undefined ? {} : { stage: engine.stage };
        version += 1;
        if (state === "ready") {
            startVersions.set(engine.id, version);
            reportedStarts.set(engine.id, version);
            const limit = engine.limits.at(-1);
            if (limit?.untilMs === undefined) {
                // The new start names the limit for the first time with its own first response.
                engine.nameLimit(limit?.value);
            }
        }
        write(
            "servers",
            engine.id,
            JSON.stringify({
                service,
                address: addresses.get(engine.id),
                zone: options.dataCentres?.[engine.id] ?? "a",
                version: softwareVersionOf(engine.id),
                slots: 50,
                state,
                sequence: version,
                born: startVersions.get(engine.id),
                ...stage,
            }),
        );
    }

    if (options.empty !== true) {
        publish([siteKey]);
        engines.forEach(engine => register(engine, "ready"));
    }
    const ports = await freePorts(options.entries * 4);
    const seedAddress = `127.0.0.1:${ports[2]}`;
    const entries = await Promise.all(
        Array.from(
            { length: options.entries },
            async (unused, index) => {
                const storeAddress = await proxyStoreAddress(store.address);
                return startEntryProcess(
                    index,
                    directory,
                    storeAddress,
                    ports.slice(index * 4, index * 4 + 4),
                    seedAddress,
                    options,
                );
            },
        ),
    );
    return {
        store,
        entries,
        engines,
        publish,
        register,
        unregister: ({ id }) => {
            written.delete(`servers ${id}`);
            store.remove("servers", id);
        },
        restartUnnoticed: engine => {
            unnoticedRestarts.add(engine.id);
            engine.restart();
        },
        release: async (engine, softwareVersion, unnoticedMs) => {
            softwareVersions.set(engine.id, softwareVersion);
            unnoticedRestarts.add(engine.id);
            engine.restart();
            await delay(restartMs + unnoticedMs);
            register(engine, "ready");
        },
        softwareVersionOf,
        writeAgain: () => written.forEach(row => store.put(...row)),
        close: async () => {
            entries.forEach(entry => entry.signal("SIGKILL"));
            await Promise.all(entries.map(entry => entry.exited));
            await Promise.all(engines.map(engine => engine.close()));
            await store.close();
            rmSync(directory, { recursive: true, force: true });
        },
    };
}

let lastRequestNumber = 0;

export interface SiteResponse {
    readonly requestId: string;
    readonly status: number;
    /** Without the software versions that events name; `undefined` if the connection failed before the end of the body. */
    readonly body: string | undefined;
    /** The software versions that events name, each once. */
    readonly softwareVersions: readonly string[];
    readonly retryAfter: string | null;
    /** Id of the engine that made the response; `undefined` for a response of the entry. */
    readonly engine: string | undefined;
}

/** Sends one request as a caller; rejects if no response head arrives. */
export async function callSite(
    entry: EntryProcess,
    path: string,
    key: string = siteKey,
    signal?: AbortSignal,
    promptPrefix?: string,
    requestBody?: string,
    requestId: string = nextRequestId(),
): Promise<SiteResponse> {
    const prefixHeaders: Readonly<Record<string, string>> = promptPrefix === undefined
        ? {}
        : { "x-gooseberrywell-prompt-prefix": promptPrefix };
    const response = await sendToSite(entry, path, key, requestId, prefixHeaders, requestBody, signal);
    return readResponse(requestId, response);
}

/** Takes up a stream as its caller does; `began` is absent in a request that does not say with which one it began. */
export async function resumeAtSite(
    entry: EntryProcess,
    path: string,
    lastEventId: string,
    began?: string,
    key: string = siteKey,
): Promise<SiteResponse> {
    const requestId = nextRequestId();
    const headers = { "last-event-id": lastEventId, ...began === undefined ? {} : { resumes: began } };
    return readResponse(requestId, await sendToSite(entry, path, key, requestId, headers));
}

/** A stream that its caller left, or that broke off, after some events. */
export interface PartialStream {
    readonly requestId: string;
    readonly engine: string;
    readonly lastEventId: string;
    /** The software versions that its events name, each once. */
    readonly softwareVersions: readonly string[];
}

/** Begins a stream, or takes one up, and leaves it after its next `events` events. */
export async function beginStream(
    entry: EntryProcess,
    path: string,
    events: number,
    resumed?: PartialStream,
    key: string = siteKey,
): Promise<PartialStream> {
    const requestId = nextRequestId();
    const headers: Record<string, string> = resumed === undefined
        ? {}
        : { "last-event-id": resumed.lastEventId, resumes: resumed.requestId };
    const response = await sendToSite(entry, path, key, requestId, headers);
    const engine = engineOfResponse(response);
    if (engine === undefined) {
        throw new Error(`no stream began: status ${response.statusCode}`);
    }
    let text = "";
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        text += chunk.toString();
        const ids = [...text.matchAll(/^id: (\d+)\ndata: .*\n\n/gmu)].map(match => match[1] ?? "");
        if (ids.length >= events) {
            response.body.destroy();
            return { requestId, engine, lastEventId: ids.at(-1) ?? "", softwareVersions: versionsIn(text) };
        }
    }
    throw new Error(`the stream ended after ${text.length} bytes`);
}

const versionInEvent = /^(data: \S+) (\S+)$/gmu;

function versionsIn(events: string): readonly string[] {
    return [...new Set([...events.matchAll(versionInEvent)].map(match => match[2] ?? ""))];
}

export function nextRequestId(): string {
    lastRequestNumber += 1;
    return `r-${lastRequestNumber}`;
}

async function sendToSite(
    entry: EntryProcess,
    path: string,
    key: string,
    requestId: string,
    headers: Readonly<Record<string, string>>,
    requestBody?: string,
    signal?: AbortSignal,
): Promise<Dispatcher.ResponseData> {
    const isGeneration = path.startsWith("/chat/") || path.startsWith("/long/");
    return request(`${entry.callersUrl}${path}`, {
        method: "POST",
        headers: {
            host,
            "api-key": key,
            "x-gooseberrywell-request-id": requestId,
            "x-gooseberrywell-request-deadline": "5000",
            ...isGeneration ? { "x-gooseberrywell-token-usage": "1000,100" } : {},
            ...headers,
        },
        body: requestBody ?? `body of ${requestId}`,
        ...signal === undefined ? {} : { signal },
    });
}

/** Id of the engine that made a response; `undefined` for a response of the entry. */
function engineOfResponse(response: Dispatcher.ResponseData): string | undefined {
    const seal = response.headers["x-gooseberrywell-response-seal"];
    return seal === undefined ? undefined : String(seal).replace(/^seal-/u, "");
}

async function readResponse(requestId: string, response: Dispatcher.ResponseData): Promise<SiteResponse> {
    const text = await response.body.text().catch(() => undefined);
    const retryAfter = response.headers["retry-after"];
    return {
        requestId,
        status: response.statusCode,
        body: text?.replace(versionInEvent, "$1"),
        softwareVersions: versionsIn(text ?? ""),
        retryAfter: retryAfter === undefined ? null : String(retryAfter),
        engine: engineOfResponse(response),
    };
}

/** The stream that an engine sends for a request: all events, or those after `lastEventId`. */
export function expectedStream(requestId: string, events: number, lastEventId = 0): string {
    return Array.from({ length: events }, (unused, index) => `id: ${index + 1}\ndata: ${requestId}\n\n`)
        .slice(lastEventId)
        .join("");
}
