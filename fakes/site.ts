/**
 * Starts a site of real processes on loopback for tests: the built daemon and the fakes, on ports that the operating
 * system assigns.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { randomUUID } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";
import { sha256Hex } from "../src/common/digest.js";
import type { Change } from "../src/configuration/state.js";
import { operatorMethods } from "../src/operators/messages.js";
import type { ApplyResponse } from "../src/operators/messages.js";
import type { HostRecord } from "../src/platform/ports.js";
import { createRpcClient } from "../src/rpc/rpcClient.js";

export const callerKey = "gw-test-key-of-walkers";
export const otherKey = "gw-test-key-of-desk";

/** A process started by the test. */
export interface Process {
    readonly url: string;
    readonly callersUrl: string;
    readonly child: ChildProcess;
    readonly kill: (signal?: NodeJS.Signals) => Promise<void>;
    readonly exited: Promise<number | null>;
    readonly log: () => string;
}

export interface EndpointProcess {
    readonly name: string;
    readonly role: "prefill" | "decode" | "plain";
    readonly endpoint: Process;
    agent: Process;
}

export interface SiteOptions {
    readonly entries?: number;
    readonly prefill?: number;
    readonly decode?: number;
    readonly plain?: number;
    readonly ratePerSecond?: number;
    readonly burstRequests?: number;
    readonly slots?: number;
    readonly timings?: Readonly<Record<string, number>>;
    readonly entrySettings?: Readonly<Record<string, unknown>>;
}

export interface Site {
    readonly platform: Process;
    readonly entries: Process[];
    readonly endpoints: EndpointProcess[];
    readonly byRole: (role: EndpointProcess["role"]) => readonly EndpointProcess[];
    readonly setHosts: () => Promise<void>;
    readonly startEntry: (name: string, settings?: Readonly<Record<string, unknown>>) => Promise<Process>;
    readonly startAgent: (name: string, endpointUrl: string) => Promise<Process>;
    readonly apply: (changes: readonly Change[], entry?: Process) => Promise<ApplyResponse>;
    readonly stop: () => Promise<void>;
}

const startTimeoutMs = 20_000;
const location = { dataCentre: "khomas-a", region: "khomas" };
const loopback = { address: "127.0.0.1", port: 0 };

/** Polls until `check` returns a value other than `undefined` or `false`; throws after `timeoutMs`. */
export async function eventually<Value>(
    what: string,
    check: () => Promise<Value | undefined | false>,
    timeoutMs = 30_000,
): Promise<Value> {
    const deadlineMs = Date.now() + timeoutMs;
    while (Date.now() < deadlineMs) {
        const value = await check().catch(() => undefined);
        if (value !== undefined && value !== false) {
            return value;
        }
        await delay(25);
    }
    throw new Error(`gave up waiting for: ${what}`);
}

export async function post(url: string, body: unknown): Promise<unknown> {
    const response = await fetch(url, { method: "POST", body: JSON.stringify(body) });
    return response.json();
}

export async function getJson<Value>(url: string, key?: string): Promise<Value> {
    const response = await fetch(url, key === undefined ? {} : { headers: { authorization: `Bearer ${key}` } });
    return await response.json() as Value;
}

function startProcess(file: string, args: readonly string[]): Promise<Process> {
    const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "pipe", "pipe"] });
    let log = "";
    child.stderr.on("data", (chunk: Buffer) => {
        log += chunk.toString();
    });
    const exited = new Promise<number | null>(resolve => child.once("exit", code => resolve(code)));
    return new Promise((resolve, reject) => {
        const timer = setTimeout(
            () => {
                child.kill("SIGKILL");
                reject(new Error(`${file} ${args.join(" ")} did not start: ${log}`));
            },
            startTimeoutMs,
        );
        void exited.then(code => reject(new Error(`${file} ${args.join(" ")} ended with ${code}: ${log}`)));
        createInterface({ input: child.stdout }).once("line", line => {
            clearTimeout(timer);
            const { url, callersUrl = "" } = JSON.parse(line) as {
                readonly url: string;
                readonly callersUrl?: string;
            };
            resolve({
                url,
                callersUrl,
                child,
                exited,
                log: () => log,
                kill: async (signal = "SIGKILL") => {
                    child.kill(signal);
                    if (signal === "SIGKILL") {
                        await exited;
                    }
                },
            });
        });
    });
}

export async function startSite(options: SiteOptions = {}): Promise<Site> {
    const started: Process[] = [];
    try {
        return await startProcesses(options, started);
    }
    catch (error) {
        await Promise.all(started.map(each => each.kill()));
        throw error;
    }
}

/** Resolves like `Promise.all`, but does not reject before all promises have settled. */
async function settleAll<Value>(promises: readonly Promise<Value>[]): Promise<Value[]> {
    await Promise.allSettled(promises);
    return Promise.all(promises);
}

/** Starts the processes of a site and adds each to `started` once it runs. */
async function startProcesses(options: SiteOptions, started: Process[]): Promise<Site> {
    const folder = mkdtempSync(join(tmpdir(), "gooseberrywell-"));
    const rpc = createRpcClient();

    async function launch(file: string, args: readonly string[]): Promise<Process> {
        const launched = await startProcess(file, args);
        started.push(launched);
        return launched;
    }

    function startFake(kind: string): Promise<Process> {
        return launch("dist/fakes/main.js", [kind, "0", JSON.stringify(options.timings ?? {})]);
    }

    function startDaemon(name: string, settings: unknown): Promise<Process> {
        const file = join(folder, `${name}-${randomUUID()}.jsonc`);
        writeFileSync(file, `// Settings of ${name}.\n${JSON.stringify(settings, undefined, 4)}\n`);
        return launch("dist/src/daemon/main.js", [file]);
    }

    const platform = await startFake("platform");

    function startEntry(name: string, settings: Readonly<Record<string, unknown>> = {}): Promise<Process> {
        return startDaemon(name, {
            role: "entry",
            host: name,
            ...location,
            listen: loopback,
            callersListen: loopback,
            platform: { url: platform.url, timeoutMs: 1_000 },
            configurationPollMs: 200,
            hostListPollMs: 200,
            limitsRebalanceMs: 500,
            drainDelayMs: 100,
            ...options.entrySettings,
            ...settings,
        });
    }

    const entries: Process[] = [];
    for (let index = 0; index < (options.entries ?? 1); index++) {
        entries.push(await startEntry(`entry-${index + 1}`));
    }

    function startAgent(name: string, endpointUrl: string): Promise<Process> {
        return startDaemon(`agent-${name}`, {
            role: "agent",
            host: `host-${name}`,
            ...location,
            listen: loopback,
            endpoint: name,
            endpointUrl,
            entryUrls: entries.map(entry => entry.url),
        });
    }

    async function startEndpoint(role: EndpointProcess["role"], index: number): Promise<EndpointProcess> {
        const name = `${role}-${index + 1}`;
        const endpoint = await startFake(role === "plain" ? "service" : "engine");
        return { name, role, endpoint, agent: await startAgent(name, endpoint.url) };
    }

    const counts = { prefill: options.prefill ?? 1, decode: options.decode ?? 1, plain: options.plain ?? 0 } as const;
    const roles = ["prefill", "decode", "plain"] as const;
    const endpoints = await settleAll(
        roles.flatMap(role => Array.from({ length: counts[role] }, (unused, index) => startEndpoint(role, index))),
    );

    async function setHosts(): Promise<void> {
        const entryHosts = entries.map((entry, index): HostRecord => ({
            host: `entry-${index + 1}`,
            role: "entry",
            url: entry.url,
            ...location,
            state: "live",
        }));
        const agentHosts = endpoints.map((each): HostRecord => ({
            host: `host-${each.name}`,
            role: "agent",
            url: each.agent.url,
            endpoint: each.name,
            ...location,
            state: "live",
        }));
        await post(`${platform.url}/hosts/set`, { hosts: [...entryHosts, ...agentHosts] });
    }

    async function apply(changes: readonly Change[], entry = entries[0]): Promise<ApplyResponse> {
        const params = { changeId: randomUUID(), operator: "test", changes };
        const response = await rpc.call(entry?.url ?? "", operatorMethods.apply, params, { timeoutMs: 10_000 });
        return response.isOk ? response.value as ApplyResponse : Promise.reject(new Error(response.error.cause));
    }

    async function stop(): Promise<void> {
        await Promise.all(started.map(async each => {
            await each.kill("SIGCONT");
            await each.kill();
        }));
        await rpc.close();
        rmSync(folder, { recursive: true });
    }

    const site: Site = {
        platform,
        entries,
        endpoints,
        byRole: role => endpoints.filter(each => each.role === role),
        setHosts,
        startEntry,
        startAgent,
        apply,
        stop,
    };
    await setHosts();
    await configure(site, options);
    return site;
}

async function configure(site: Site, options: SiteOptions): Promise<void> {
    const endpoints = site.endpoints.map(({ name, role }): Change => ({
        kind: "endpoint",
        name,
        value: { pool: role === "plain" ? "desk" : "chat", role, slots: options.slots ?? 20, kvCapacityBytes: 1e9 },
    }));
    const { ratePerSecond = 200, burstRequests = 200 } = options;
    await eventually("configuration accepted", async () =>
        (await site.apply([
            { kind: "template", name: "standard", value: { ratePerSecond, burstRequests } },
            { kind: "account", name: "walkers", value: { template: "standard" } },
            { kind: "account", name: "desk", value: { template: "standard" } },
            { kind: "key", name: "walkers-1", value: { clientAccount: "walkers", digestHex: sha256Hex(callerKey) } },
            { kind: "key", name: "desk-1", value: { clientAccount: "desk", digestHex: sha256Hex(otherKey) } },
            { kind: "pool", name: "chat", value: { model: "guide", kvBytesPerToken: 1_000, maxOutputTokens: 1_000 } },
            { kind: "pool", name: "desk", value: { model: "desk", kvBytesPerToken: 1, maxOutputTokens: 1 } },
            ...endpoints,
            { kind: "route", name: "pay", value: { method: "POST", path: "/pay", pool: "desk", idempotent: false } },
            { kind: "route", name: "log", value: { method: "GET", path: "/log", pool: "desk", idempotent: true } },
            {
                kind: "route",
                name: "news",
                value: { method: "GET", path: "/news", pool: "desk", idempotent: true, open: true },
            },
        ])).kind === "accepted");
    await eventually("all entries serve and all agents know their endpoints", async () => {
        const loads = await Promise.all(
            site.endpoints.map(each => getJson<{ readonly slots: number; }>(`${each.agent.url}/healthz`)),
        );
        const ready = await Promise.all(site.entries.map(async entry => {
            const models = await getJson<ModelList>(`${entry.callersUrl}/v1/models`, callerKey);
            const status = await rpcStatus(entry.url);
            return models.data?.length === 1 && status.endpoints.every(each => each.agent !== undefined);
        }));
        return loads.every(load => load.slots > 0) && ready.every(each => each);
    });
}

interface ModelList {
    /** Absent in an error response. */
    readonly data?: readonly { readonly id: string; }[];
}

interface EntryStatus {
    readonly revision: number;
    readonly endpoints: readonly { readonly agent?: string; }[];
    readonly counters: Readonly<Record<string, number>>;
    readonly pendingWithdrawals: readonly string[];
}

/** Calls the `status` method of an entry. */
export async function rpcStatus(url: string): Promise<EntryStatus> {
    const response = await post(`${url}/rpc`, { jsonrpc: "2.0", id: 1, method: operatorMethods.status, params: {} });
    return (response as { readonly result: EntryStatus; }).result;
}

/** A completion response as its caller received it. */
export interface CompletionResponse {
    readonly status: number;
    readonly text: string;
    readonly done: boolean;
    readonly error: { readonly code: string; readonly notRun: boolean; readonly retryAfterMs?: number; } | undefined;
    readonly usage: { readonly prompt_tokens: number; readonly completion_tokens: number; } | undefined;
}

interface StreamEvent {
    readonly choices?: readonly { readonly text?: string; }[];
    readonly error?: CompletionResponse["error"];
    readonly usage?: CompletionResponse["usage"];
}

/** Sends a streamed completion and reads the response to its end; `onChunk` receives each chunk as it arrives. */
export async function complete(
    entry: Process,
    body: Readonly<Record<string, unknown>>,
    key: string = callerKey,
    onChunk: (chunk: string) => void = () => undefined,
    signal?: AbortSignal,
): Promise<CompletionResponse> {
    const response = await fetch(`${entry.callersUrl}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}` },
        body: JSON.stringify({ model: "guide", stream: true, ...body }),
        signal,
    });
    let raw = "";
    for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
        const text = Buffer.from(chunk).toString("utf8");
        raw += text;
        onChunk(text);
    }
    if (response.status !== 200) {
        const { error } = JSON.parse(raw) as StreamEvent;
        return { status: response.status, text: "", done: false, error, usage: undefined };
    }
    const events = raw.split("\n\n").filter(line => line.startsWith("data: {")).map(line =>
        JSON.parse(line.slice(6)) as StreamEvent
    );
    return {
        status: response.status,
        text: events.flatMap(event => event.choices ?? []).map(choice => choice.text ?? "").join(""),
        done: raw.includes("data: [DONE]"),
        error: events.find(event => event.error !== undefined)?.error,
        usage: events.find(event => event.usage !== undefined)?.usage,
    };
}
