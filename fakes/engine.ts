/**
 * Fake language model engine: prefills that run one after another, decoding that slows down with the batch size, a KV
 * cache whose entries expire, KV export and import over a link of limited bandwidth, and cancellation. `/faults` sets its
 * faults, and `/record` returns what it did.
 *
 * The generated text depends on the prompt alone, so that a resumed stream can be compared with an uninterrupted one.
 */

import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { disconnectSignal, listen, readBody, sendJson } from "../src/rpc/httpServer.js";
import type { Handler } from "../src/rpc/httpServer.js";

/** Timings and sizes of the fake engine; the command line accepts them as JSON. */
export interface EngineTimings {
    readonly prefillMsPerThousandTokens: number;
    readonly tokenIntervalMs: number;
    readonly kvLifeMs: number;
    readonly linkBytesPerMs: number;
    readonly kvBytesPerToken: number;
    /** Fraction by which each additional concurrent decode lengthens the token interval. */
    readonly batchSlowdown: number;
}

export const defaultTimings: EngineTimings = {
    prefillMsPerThousandTokens: 40,
    tokenIntervalMs: 10,
    kvLifeMs: 800,
    linkBytesPerMs: 10_000_000,
    kvBytesPerToken: 1_000,
    batchSlowdown: 0.01,
};

/** Faults to inject, as in the body of `/faults`; they apply until the next call replaces them. */
export interface EngineFaults {
    readonly stallImport?: boolean;
    readonly stallDecode?: boolean;
    readonly refusePrefill?: boolean;
    /** Closes the connection after this many tokens of each stream. */
    readonly hangUpAfterTokens?: number;
    /** After each token but the first, sends the previous index with a wrong text and then the token again. */
    readonly crossTokens?: boolean;
    readonly prefillDelayMs?: number;
    /** As the engine names it from now on; `v1` by default. */
    readonly softwareVersion?: string;
    /** Ends this process when it begins to work on a prompt that contains this text. */
    readonly endOn?: string;
}

/** Counters and received requests, as in the response to `/record`. */
export interface FakeEngineRecord {
    prefills: number;
    prefillTokens: number;
    cachedTokens: number;
    /** Decodes that ran to the end. */
    finishedDecodes: number;
    /** Prompt tokens of these decodes. */
    finishedPrefillTokens: number;
    cancelled: number;
    decodes: number;
    imports: number;
    /** Path, headers and body of recent requests; tests search them for callers' keys. */
    readonly seen: string[];
}

export interface FakeEngine {
    readonly url: string;
    readonly record: FakeEngineRecord;
    readonly setFaults: (faults: EngineFaults) => void;
    readonly activeRequests: () => number;
    readonly heldKvBytes: () => number;
    readonly close: () => Promise<void>;
}

interface CachedKv {
    readonly prompt: string;
    readonly promptTokens: number;
    readonly kvBytes: number;
}

interface ActiveRequest {
    readonly requestId: string;
    readonly attempt: number;
    /** 1 for a decode and 0 for a prefill, not a real size: tests only check that the sum returns to 0. */
    readonly kvBytes: number;
    readonly abort: AbortController;
}

const charactersPerToken = 4;
const prefixBlockTokens = 2_000;
const maxBodyBytes = 32 * 1024 * 1024;
const maxRecordedRequests = 2_000;
const vocabulary = ["fern", "heron", "trail", "boiler", "ridge", "kettle", "moss", "cattery", "dawn", "lodge"];

/** The token that a fake engine generates at an index of the output for a prompt. */
export function expectedToken(prompt: string, index: number): string {
    const digest = createHash("sha256").update(`${prompt}|${index}`).digest();
    return ` ${vocabulary[(digest[0] ?? 0) % vocabulary.length]}${digest[1]}`;
}

/** The complete output for a prompt. */
export function expectedText(prompt: string, tokens: number): string {
    return Array.from({ length: tokens }, (unused, index) => expectedToken(prompt, index)).join("");
}

export async function startFakeEngine(
    timings: EngineTimings = defaultTimings,
    port = 0,
    recordBodies = true,
): Promise<FakeEngine> {
    const kvCache = new Map<string, CachedKv>();
    const prefixCache = new Set<string>();
    const running = new Map<string, ActiveRequest>();
    const record: FakeEngineRecord = {
        prefills: 0,
        prefillTokens: 0,
        cachedTokens: 0,
        finishedDecodes: 0,
        finishedPrefillTokens: 0,
        cancelled: 0,
        decodes: 0,
        imports: 0,
        seen: [],
    };
    let faults: EngineFaults = {};
    let decodingCount = 0;
    let lastPrefill: Promise<unknown> = Promise.resolve();

    const softwareVersion = (): string => faults.softwareVersion ?? "v1";

    async function readJson(request: IncomingMessage): Promise<Record<string, never>> {
        const body = await readBody(request, maxBodyBytes);
        const text = body.isOk ? body.value.toString("utf8") : "{}";
        if (recordBodies) {
            record.seen.push(`${request.url} ${JSON.stringify(request.headers)} ${text}`);
            record.seen.splice(0, Math.max(0, record.seen.length - maxRecordedRequests));
        }
        return JSON.parse(text) as Record<string, never>;
    }

    function track(requestId: string, attempt: number, kvBytes: number, disconnected: AbortSignal): ActiveRequest {
        const abort = new AbortController();
        const activeRequest = { requestId, attempt, kvBytes, abort };
        running.set(`${requestId}#${attempt}`, activeRequest);
        disconnected.addEventListener("abort", () => abort.abort());
        return activeRequest;
    }

    function untrack(activeRequest: ActiveRequest): void {
        if (running.get(`${activeRequest.requestId}#${activeRequest.attempt}`) === activeRequest) {
            running.delete(`${activeRequest.requestId}#${activeRequest.attempt}`);
        }
    }

    /** Counts the tokens of a prompt in cached prefix blocks, and adds its blocks to the cache. */
    function countCachedTokens(prompt: string): number {
        const blockCharacters = prefixBlockTokens * charactersPerToken;
        let cachedTokens = 0;
        for (let end = blockCharacters; end <= prompt.length; end += blockCharacters) {
            const hash = createHash("sha256").update(prompt.slice(0, end)).digest("hex");
            cachedTokens += prefixCache.has(hash) ? prefixBlockTokens : 0;
            prefixCache.add(hash);
        }
        return cachedTokens;
    }

    async function sleepUnlessAborted(durationMs: number, signal: AbortSignal): Promise<void> {
        await delay(durationMs, undefined, { signal }).catch(() => undefined);
    }

    const prefill: Handler = async (request, response) => {
        const disconnected = disconnectSignal(response);
        const { requestId, attempt, prompt } = await readJson(request) as unknown as {
            readonly requestId: string;
            readonly attempt: number;
            readonly prompt: string;
        };
        if (faults.endOn !== undefined && prompt.includes(faults.endOn)) {
            process.exit(1);
        }
        if (faults.refusePrefill === true) {
            sendJson(response, 503, { error: "prefill refused" });
            return;
        }
        const activeRequest = track(requestId, attempt, 0, disconnected);
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        const cachedTokens = countCachedTokens(prompt);
        const costMs = (promptTokens - cachedTokens) / 1_000 * timings.prefillMsPerThousandTokens;
        // Prefills run one after another, so a prefill also waits for those before it.
        const finished = lastPrefill.then(() =>
            sleepUnlessAborted(costMs + (faults.prefillDelayMs ?? 0), activeRequest.abort.signal)
        );
        lastPrefill = finished;
        await finished;
        untrack(activeRequest);
        if (activeRequest.abort.signal.aborted) {
            response.destroy();
            return;
        }
        record.prefills += 1;
        record.prefillTokens += promptTokens - cachedTokens;
        record.cachedTokens += cachedTokens;
        const kvId = randomUUID();
        const kvBytes = promptTokens * timings.kvBytesPerToken;
        kvCache.set(kvId, { prompt, promptTokens, kvBytes });
        setTimeout(() => kvCache.delete(kvId), timings.kvLifeMs).unref();
        sendJson(response, 200, {
            kvId,
            kvSource: server.url,
            kvBytes,
            promptTokens,
            cachedTokens,
            expiresInMs: timings.kvLifeMs,
            softwareVersion: softwareVersion(),
        });
    };

    const exportKv: Handler = async (request, response) => {
        const { kvId } = await readJson(request) as unknown as { readonly kvId: string; };
        const kv = kvCache.get(kvId);
        if (kv === undefined) {
            sendJson(response, 404, { error: "no such KV" });
            return;
        }
        sendJson(response, 200, kv);
    };

    async function importKv(kvSource: string, kvId: string, signal: AbortSignal): Promise<CachedKv | undefined> {
        const response = await fetch(`${kvSource}/export`, {
            method: "POST",
            body: JSON.stringify({ kvId }),
            signal,
        });
        if (!response.ok) {
            return undefined;
        }
        const kv = await response.json() as CachedKv;
        await sleepUnlessAborted(kv.kvBytes / timings.linkBytesPerMs, signal);
        record.imports += 1;
        return kv;
    }

    const decode: Handler = async (request, response) => {
        const disconnected = disconnectSignal(response);
        const body = await readJson(request) as unknown as {
            readonly requestId: string;
            readonly attempt: number;
            readonly kvId: string;
            readonly kvSource: string;
            readonly emittedTokens: number;
            readonly maxOutputTokens: number;
        };
        const activeRequest = track(body.requestId, body.attempt, 1, disconnected);
        decodingCount += 1;
        record.decodes += 1;
        try {
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.flushHeaders();
            await runDecode(body, activeRequest, response);
        }
        finally {
            decodingCount -= 1;
            untrack(activeRequest);
        }
    };

    async function runDecode(
        body: {
            readonly kvId: string;
            readonly kvSource: string;
            readonly emittedTokens: number;
            readonly maxOutputTokens: number;
        },
        activeRequest: ActiveRequest,
        response: ServerResponse,
    ): Promise<void> {
        const { signal } = activeRequest.abort;
        while (faults.stallImport === true && !signal.aborted) {
            await sleepUnlessAborted(20, signal);
        }
        const kv = await importKv(body.kvSource, body.kvId, signal).catch(() => undefined);
        if (kv === undefined || signal.aborted) {
            response.end(formatEvent({ type: "failed", stage: "import", cause: "KV could not be imported" }));
            return;
        }
        response.write(formatEvent({ type: "imported", softwareVersion: softwareVersion() }));
        if (faults.endOn !== undefined && kv.prompt.includes(faults.endOn)) {
            process.exit(1);
        }
        // The prompt of a resumed request ends with the text that the caller has already received.
        const sentTokens = body.emittedTokens;
        const basePrompt = sentTokens === 0 ? kv.prompt : stripOutput(kv.prompt, sentTokens);
        for (let index = sentTokens; index < body.maxOutputTokens; index++) {
            await sleepUnlessAborted(
                timings.tokenIntervalMs * (1 + timings.batchSlowdown * (decodingCount - 1)),
                signal,
            );
            while (faults.stallDecode === true && !signal.aborted) {
                await sleepUnlessAborted(20, signal);
            }
            if (signal.aborted) {
                response.destroy();
                return;
            }
            if (faults.hangUpAfterTokens !== undefined && index - sentTokens >= faults.hangUpAfterTokens) {
                response.destroy();
                return;
            }
            const event = formatEvent({ type: "token", index, text: expectedToken(basePrompt, index) });
            response.write(event);
            if (faults.crossTokens === true && index > sentTokens) {
                response.write(formatEvent({ type: "token", index: index - 1, text: "CROSSED" }) + event);
            }
        }
        record.finishedDecodes += 1;
        record.finishedPrefillTokens += kv.promptTokens;
        response.end(formatEvent({
            type: "end",
            finishReason: "length",
            completionTokens: body.maxOutputTokens,
        }));
    }

    const cancel: Handler = async (request, response) => {
        const { requestId, attempt } = await readJson(request) as unknown as {
            readonly requestId: string;
            readonly attempt: number;
        };
        const activeRequest = running.get(`${requestId}#${attempt}`);
        if (activeRequest !== undefined) {
            record.cancelled += 1;
            activeRequest.abort.abort();
        }
        sendJson(response, 200, {});
    };

    const routes: Readonly<Record<string, Handler>> = {
        "POST /prefill": prefill,
        "POST /export": exportKv,
        "POST /decode": decode,
        "POST /cancel": cancel,
        "POST /running": async (request, response) => {
            await readJson(request);
            const requests = [...running.values()].map(({ requestId, attempt }) => ({ requestId, attempt }));
            sendJson(response, 200, { requests });
        },
        "POST /faults": async (request, response) => {
            faults = await readJson(request) as EngineFaults;
            sendJson(response, 200, {});
        },
        "GET /record": async (request, response) => {
            const heldKvBytes = [...running.values()].reduce((sum, activeRequest) => sum + activeRequest.kvBytes, 0);
            sendJson(response, 200, { ...record, active: running.size, heldKvBytes });
        },
    };

    const server = await listen("127.0.0.1", port, (method, path) => routes[`${method} ${path}`]);
    return {
        url: server.url,
        record,
        setFaults: next => {
            faults = next;
        },
        activeRequests: () => running.size,
        heldKvBytes: () => [...running.values()].reduce((sum, activeRequest) => sum + activeRequest.kvBytes, 0),
        close: () => server.close(),
    };
}

/** Removes the last `tokens` output tokens from a prompt; each of them starts with a space. */
function stripOutput(prompt: string, tokens: number): string {
    let end = prompt.length;
    for (let stripped = 0; stripped < tokens; stripped++) {
        end = prompt.lastIndexOf(" ", end - 1);
    }
    return prompt.slice(0, end);
}

function formatEvent(event: unknown): string {
    return `data: ${JSON.stringify(event)}\n\n`;
}
