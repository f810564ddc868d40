/**
 * Writes responses of the completions and chat APIs, as one JSON body or as a stream of server-sent events.
 */

import type { ServerResponse } from "node:http";
import { formatEvent } from "../endpoint/messages.js";
import type { GenerationOutcome } from "../requests/context.js";
import { sendJson } from "../rpc/httpServer.js";
import type { CompletionApi } from "./completionRequest.js";
import { errorBody, sendError } from "./errors.js";
import type { CallerError } from "./errors.js";

type CompletedOutcome = Extract<GenerationOutcome, { readonly kind: "completed"; }>;

/** Writes the response of one generation. */
export interface CompletionWriter {
    readonly writeText: (text: string) => void;
    readonly complete: (outcome: CompletedOutcome) => void;
    /** Ends the response with an error; in a stream that has started, the error is the last event. */
    readonly fail: (error: CallerError) => void;
}

/** Fields that identify a completion in its response. */
export interface CompletionMetadata {
    readonly id: string;
    readonly api: CompletionApi;
    readonly model: string;
    readonly createdAtSeconds: number;
}

const streamHeaders = { "content-type": "text/event-stream", "cache-control": "no-store" };
const textPlaceholder = "\u0000text\u0000";
const doneEvent = "data: [DONE]\n\n";

export function createStreamWriter(response: ServerResponse, metadata: CompletionMetadata): CompletionWriter {
    const [beforeText, afterText] = textEventParts(metadata);
    let started = false;
    let buffered = "";

    // Events produced in the same turn of the event loop are sent in one write.
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
                ...metadataFields(metadata, true),
                choices: [streamChoice(metadata, "", outcome.finishReason)],
                usage: usageOf(outcome),
            }));
            flush();
            response.end(doneEvent);
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

export function createNonStreamingWriter(response: ServerResponse, metadata: CompletionMetadata): CompletionWriter {
    const parts: string[] = [];
    return {
        writeText: text => void parts.push(text),
        complete: outcome =>
            sendJson(response, 200, {
                ...metadataFields(metadata, false),
                choices: [nonStreamingChoice(metadata, parts.join(""), outcome.finishReason)],
                usage: usageOf(outcome),
            }),
        fail: error => sendError(response, error),
    };
}

/** The parts of a text event before and after its text. They are the same for all text events of a stream. */
function textEventParts(metadata: CompletionMetadata): readonly [string, string] {
    const event = formatEvent({
        ...metadataFields(metadata, true),
        choices: [streamChoice(metadata, textPlaceholder, null)],
    });
    const placeholder = JSON.stringify(textPlaceholder);
    const position = event.lastIndexOf(placeholder);
    return [event.slice(0, position), event.slice(position + placeholder.length)];
}

function metadataFields(metadata: CompletionMetadata, stream: boolean): Readonly<Record<string, unknown>> {
    const object = metadata.api === "completion"
        ? "text_completion"
        : stream
        ? "chat.completion.chunk"
        : "chat.completion";
    return { id: metadata.id, object, created: metadata.createdAtSeconds, model: metadata.model };
}

function streamChoice(metadata: CompletionMetadata, text: string, finishReason: string | null): unknown {
    const choiceFields = { index: 0, finish_reason: finishReason };
    return metadata.api === "completion"
        ? { ...choiceFields, text }
        : { ...choiceFields, delta: text === "" ? {} : { content: text } };
}

function nonStreamingChoice(metadata: CompletionMetadata, text: string, finishReason: string): unknown {
    const choiceFields = { index: 0, finish_reason: finishReason };
    return metadata.api === "completion"
        ? { ...choiceFields, text }
        : { ...choiceFields, message: { role: "assistant", content: text } };
}

function usageOf(outcome: CompletedOutcome): unknown {
    const { promptTokens, completionTokens } = outcome;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
    };
}
