/**
 * Answers of the completions interface: whole, or as a stream of server-sent events.
 */

import type { ServerResponse } from "node:http";
import { formatEvent } from "../endpoint/messages.js";
import type { GenerationOutcome } from "../requests/context.js";
import { sendJson } from "../rpc/httpServer.js";
import type { CompletionStyle } from "./completionRequest.js";
import { errorBody, sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

type Completed = Extract<GenerationOutcome, { readonly kind: "completed"; }>;

/** Where the text of one generation goes. */
export interface CompletionWriter {
    readonly writeText: (text: string) => void;
    readonly complete: (outcome: Completed) => void;
    /** Ends with an error; after the first text it becomes the stream's last event. */
    readonly fail: (error: CallerError) => void;
}

/** What an answer repeats of its request. */
export interface CompletionHead {
    readonly id: string;
    readonly style: CompletionStyle;
    readonly model: string;
    readonly createdAtSeconds: number;
}

const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-store" };
const textPlaceholder = "\u0000text\u0000";
const streamEnd = "data: [DONE]\n\n";

export function createStreamWriter(response: ServerResponse, head: CompletionHead): CompletionWriter {
    const [beforeText, afterText] = textEventParts(head);
    let started = false;
    let buffered = "";

    // Tokens that arrive in one turn of the event loop leave in one write.
    function write(event: string): void {
        if (buffered === "") {
            setImmediate(flush);
        }
        buffered += event;
    }

    function flush(): void {
        if (buffered !== "" && response.writable) {
            response.write(buffered);
        }
        buffered = "";
    }

    function start(): void {
        if (!started) {
            started = true;
            response.writeHead(200, streamHeaders);
        }
    }

    return {
        writeText: text => {
            start();
            write(beforeText + JSON.stringify(text) + afterText);
        },
        complete: outcome => {
            start();
            write(formatEvent({
                ...headFields(head, true),
                choices: [streamChoice(head, "", outcome.finishReason)],
                usage: usageOf(outcome),
            }));
            flush();
            response.end(streamEnd);
        },
        fail: error => {
            if (!started) {
                sendError(response, error);
                return;
            }
            write(formatEvent(errorBody(error)));
            flush();
            response.end();
        },
    };
}

export function createWholeWriter(response: ServerResponse, head: CompletionHead): CompletionWriter {
    const parts: string[] = [];
    return {
        writeText: text => void parts.push(text),
        complete: outcome =>
            sendJson(response, 200, {
                ...headFields(head, false),
                choices: [wholeChoice(head, parts.join(""), outcome.finishReason)],
                usage: usageOf(outcome),
            }),
        fail: error => sendError(response, error),
    };
}

/** What stands before and after the text in each of a stream's many events; only the text differs. */
function textEventParts(head: CompletionHead): readonly [string, string] {
    const event = formatEvent({ ...headFields(head, true), choices: [streamChoice(head, textPlaceholder, null)] });
    const placeholder = JSON.stringify(textPlaceholder);
    const position = event.lastIndexOf(placeholder);
    return [event.slice(0, position), event.slice(position + placeholder.length)];
}

function headFields(head: CompletionHead, stream: boolean): Readonly<Record<string, unknown>> {
    const object = head.style === "completion"
        ? "text_completion"
        : stream
        ? "chat.completion.chunk"
        : "chat.completion";
    return { id: head.id, object, created: head.createdAtSeconds, model: head.model };
}

function streamChoice(head: CompletionHead, text: string, finishReason: string | null): unknown {
    const rest = { index: 0, finish_reason: finishReason };
    return head.style === "completion" ? { ...rest, text } : { ...rest, delta: text === "" ? {} : { content: text } };
}

function wholeChoice(head: CompletionHead, text: string, finishReason: string): unknown {
    const rest = { index: 0, finish_reason: finishReason };
    return head.style === "completion"
        ? { ...rest, text }
        : { ...rest, message: { role: "assistant", content: text } };
}

function usageOf(outcome: Completed): unknown {
    const { promptTokens, completionTokens } = outcome;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
    };
}
