/**
 * Parses the bodies of completion and chat requests into one normalized form.
 */

import type { Result } from "true-myth";
import { z } from "zod";
import { parseJson } from "../common/json.js";
import type { InvalidInput } from "../common/json.js";

const stopSchema = z.union([z.string().min(1), z.array(z.string().min(1)).max(4)]).nullish();

const commonFieldSchemas = {
    model: z.string().min(1),
    max_tokens: z.number().int().positive().nullish(),
    stream: z.boolean().nullish(),
    stop: stopSchema,
    n: z.literal(1, "only one choice per request is supported").nullish(),
};

const completionSchema = z.object({ ...commonFieldSchemas, prompt: z.string().min(1) });

const contentSchema = z.union([
    z.string(),
    z.array(z.object({ type: z.literal("text"), text: z.string() })),
]);

const chatSchema = z.object({
    ...commonFieldSchemas,
    max_completion_tokens: z.number().int().positive().nullish(),
    messages: z.array(z.object({ role: z.string().min(1), content: contentSchema })).min(1),
});

/** The API that a request uses. */
export type CompletionApi = "completion" | "chat";

export interface CompletionRequest {
    readonly api: CompletionApi;
    readonly model: string;
    readonly prompt: string;
    readonly maxOutputTokens: number | undefined;
    readonly stream: boolean;
    readonly stop: readonly string[];
}

export function parseCompletion(api: CompletionApi, body: string): Result<CompletionRequest, InvalidInput> {
    if (api === "completion") {
        return parseJson(completionSchema, body).map(parsed => ({
            ...normalizeCommonFields(api, parsed),
            prompt: parsed.prompt,
            maxOutputTokens: parsed.max_tokens ?? undefined,
        }));
    }
    return parseJson(chatSchema, body).map(parsed => ({
        ...normalizeCommonFields(api, parsed),
        prompt: renderMessages(parsed.messages),
        maxOutputTokens: parsed.max_completion_tokens ?? parsed.max_tokens ?? undefined,
    }));
}

interface CommonFields {
    readonly model: string;
    readonly stream?: boolean | null;
    readonly stop?: string | readonly string[] | null;
}

function normalizeCommonFields(
    api: CompletionApi,
    parsed: CommonFields,
): Pick<CompletionRequest, "api" | "model" | "stream" | "stop"> {
    const stop = parsed.stop ?? [];
    return {
        api,
        model: parsed.model,
        stream: parsed.stream ?? false,
        stop: typeof stop === "string" ? [stop] : stop,
    };
}

type Message = z.output<typeof chatSchema>["messages"][number];

function renderMessages(messages: readonly Message[]): string {
    const lines = messages.map(({ role, content }) => `${role}: ${contentText(content)}`);
    return [...lines, "assistant:"].join("\n");
}

function contentText(content: Message["content"]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}
