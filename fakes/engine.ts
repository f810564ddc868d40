/**
 * A stand-in for a model engine: continuous batching, prefill cost, decode slots, KV cache with a short life, export
 * and import over a link of limited rate, cancellation, lagging load. Faults are switched on by `/faults`.
 *
 * The text it generates depends on the prompt alone, so that a resumed stream can be compared with a whole one.
 */

import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { hangUpSignal, listen, readBody, sendJson } from "../src/rpc/httpServer.js";
import type { Handler } from "../src/rpc/httpServer.js";

export interface EngineTimings {
    readonly prefillMsPerThousandTokens: number;
    readonly tokenIntervalMs: number;
    readonly kvLifeMs: number;
    readonly linkBytesPerMs: number;
    readonly kvBytesPerToken: number;
    /** Part by which a token takes longer for each further request that decodes at the same time. */
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

/** Faults; each stays on until switched off. */
export interface EngineFaults {
    readonly stallImport?: boolean;
    readonly stallDecode?: boolean;
    readonly refusePrefill?: boolean;
    /** Hangs up after this many tokens of each stream. */
    readonly hangUpAfterTokens?: number;
    /** Sends every token twice, and each pair late and crossed. */
    readonly crossTokens?: boolean;
    readonly prefillDelayMs?: number;
}

/** What the stand-in saw and did. */
export interface EngineRecord {
    prefills: number;
    prefillTokens: number;
    cachedTokens: number;
    /** Prefills whose result was decoded to the end. */
    finishedDecodes: number;
    finishedPrefillTokens: number;
    cancelled: number;
    decodes: number;
    imports: number;
    /** Every header and body received, for the search for callers' keys. */
    readonly seen: string[];
}

export interface FakeEngine {
    readonly url: string;
    readonly record: EngineRecord;
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

interface Running {
    readonly requestId: string;
    readonly attempt: number;
    readonly kvBytes: number;
    readonly abort: AbortController;
}

const charactersPerToken = 4;
const pieceTokens = 2_000;
const maxBodyBytes = 32 * 1024 * 1024;
const maxSeen = 2_000;
const words = ["fern", "heron", "trail", "boiler", "ridge", "kettle", "moss", "cattery", "dawn", "lodge"];

/** The token at a position of the answer to a prompt. */
export function expectedToken(prompt: string, index: number): string {
    const digest = createHash("sha256").update(`${prompt}|${index}`).digest();
    return ` ${words[(digest[0] ?? 0) % words.length]}${digest[1]}`;
}

/** The whole answer to a prompt. */
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
    const running = new Map<string, Running>();
    const record: EngineRecord = {
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
    let decoding = 0;
    let prefillTail: Promise<unknown> = Promise.resolve();

    async function readJson(request: IncomingMessage): Promise<Record<string, never>> {
        const body = await readBody(request, maxBodyBytes);
        const text = body.isOk ? body.value.toString("utf8") : "{}";
        if (recordBodies) {
            record.seen.push(`${request.url} ${JSON.stringify(request.headers)} ${text}`);
            record.seen.splice(0, Math.max(0, record.seen.length - maxSeen));
        }
        return JSON.parse(text) as Record<string, never>;
    }

    function track(requestId: string, attempt: number, kvBytes: number, hungUp: AbortSignal): Running {
        const abort = new AbortController();
        const entry = { requestId, attempt, kvBytes, abort };
        running.set(`${requestId}#${attempt}`, entry);
        hungUp.addEventListener("abort", () => abort.abort());
        return entry;
    }

    function untrack(entry: Running): void {
        if (running.get(`${entry.requestId}#${entry.attempt}`) === entry) {
            running.delete(`${entry.requestId}#${entry.attempt}`);
        }
    }

    function countCached(prompt: string): number {
        const pieceLength = pieceTokens * charactersPerToken;
        let cached = 0;
        for (let end = pieceLength; end <= prompt.length; end += pieceLength) {
            const hash = createHash("sha256").update(prompt.slice(0, end)).digest("hex");
            cached += prefixCache.has(hash) ? pieceTokens : 0;
            prefixCache.add(hash);
        }
        return cached;
    }

    async function sleepUnless(durationMs: number, signal: AbortSignal): Promise<void> {
        await delay(durationMs, undefined, { signal }).catch(() => undefined);
    }

    const prefill: Handler = async (request, response) => {
        const hungUp = hangUpSignal(response);
        const { requestId, attempt, prompt } = await readJson(request) as unknown as {
            readonly requestId: string;
            readonly attempt: number;
            readonly prompt: string;
        };
        if (faults.refusePrefill === true) {
            sendJson(response, 503, { error: "prefill refused" });
            return;
        }
        const entry = track(requestId, attempt, 0, hungUp);
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        const cachedTokens = countCached(prompt);
        const costMs = (promptTokens - cachedTokens) / 1_000 * timings.prefillMsPerThousandTokens;
        // Prefills share one engine, so their costs add up.
        const turn = prefillTail.then(() => sleepUnless(costMs + (faults.prefillDelayMs ?? 0), entry.abort.signal));
        prefillTail = turn;
        await turn;
        untrack(entry);
        if (entry.abort.signal.aborted) {
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
        const answer = await fetch(`${kvSource}/export`, {
            method: "POST",
            body: JSON.stringify({ kvId }),
            signal,
        });
        if (!answer.ok) {
            return undefined;
        }
        const kv = await answer.json() as CachedKv;
        await sleepUnless(kv.kvBytes / timings.linkBytesPerMs, signal);
        record.imports += 1;
        return kv;
    }

    const decode: Handler = async (request, response) => {
        const hungUp = hangUpSignal(response);
        const body = await readJson(request) as unknown as {
            readonly requestId: string;
            readonly attempt: number;
            readonly kvId: string;
            readonly kvSource: string;
            readonly emittedTokens: number;
            readonly maxOutputTokens: number;
        };
        const entry = track(body.requestId, body.attempt, 1, hungUp);
        decoding += 1;
        record.decodes += 1;
        try {
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.flushHeaders();
            await runDecode(body, entry, response);
        }
        finally {
            decoding -= 1;
            untrack(entry);
        }
    };

    async function runDecode(
        body: {
            readonly kvId: string;
            readonly kvSource: string;
            readonly emittedTokens: number;
            readonly maxOutputTokens: number;
        },
        entry: Running,
        response: ServerResponse,
    ): Promise<void> {
        const { signal } = entry.abort;
        while (faults.stallImport === true && !signal.aborted) {
            await sleepUnless(20, signal);
        }
        const kv = await importKv(body.kvSource, body.kvId, signal).catch(() => undefined);
        if (kv === undefined || signal.aborted) {
            response.end(formatEvent({ type: "failed", stage: "import", cause: "KV could not be imported" }));
            return;
        }
        response.write(formatEvent({ type: "imported" }));
        // The prompt that came with a resumed request ends with the text already sent.
        const sent = body.emittedTokens;
        const basePrompt = sent === 0 ? kv.prompt : stripAnswer(kv.prompt, sent);
        for (let index = sent; index < body.maxOutputTokens; index++) {
            await sleepUnless(timings.tokenIntervalMs * (1 + timings.batchSlowdown * (decoding - 1)), signal);
            while (faults.stallDecode === true && !signal.aborted) {
                await sleepUnless(20, signal);
            }
            if (signal.aborted) {
                response.destroy();
                return;
            }
            if (faults.hangUpAfterTokens !== undefined && index - sent >= faults.hangUpAfterTokens) {
                response.destroy();
                return;
            }
            const event = formatEvent({ type: "token", index, text: expectedToken(basePrompt, index) });
            response.write(event);
            if (faults.crossTokens === true && index > sent) {
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
        const entry = running.get(`${requestId}#${attempt}`);
        if (entry !== undefined) {
            record.cancelled += 1;
            entry.abort.abort();
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
            const heldKvBytes = [...running.values()].reduce((sum, entry) => sum + entry.kvBytes, 0);
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
        heldKvBytes: () => [...running.values()].reduce((sum, entry) => sum + entry.kvBytes, 0),
        close: () => server.close(),
    };
}

/** Removes the last `tokens` tokens, each of which starts with a blank, from a prompt. */
function stripAnswer(prompt: string, tokens: number): string {
    let end = prompt.length;
    for (let stripped = 0; stripped < tokens; stripped++) {
        end = prompt.lastIndexOf(" ", end - 1);
    }
    return prompt.slice(0, end);
}

function formatEvent(event: unknown): string {
    return `data: ${JSON.stringify(event)}\n\n`;
}
