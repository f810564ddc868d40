/**
 * What a caller receives of each kind of answer to a take-up of a stream, over real connections: events in order, each
 * once, and a complete response only if its last engine's answer was sound. The first engine sends events 1 and 2 and
 * breaks off, or the caller itself has got them; whole streams have five events.
 */

import { afterEach, describe, expect, it } from "vitest";
import { routeOf } from "../fakes/forwardingHarness.js";
import { beganRequestId, callEntry, startEntry, startRawEngines } from "../fakes/rawEngines.js";
import type { Cleanups, Close, RawRequest, RawResponse } from "../fakes/rawEngines.js";
import type { Route } from "../src/routes/desiredState.js";

const lastEvent = 5;
const eventOf = (id: number | string): string => `id: ${id}\ndata: piece ${id}\n\n`;
const eventsOf = (...ids: readonly (number | string)[]): string => ids.map(eventOf).join("");
const eventsAfter = (lastEventId: string | undefined): string => {
    const first = Number(lastEventId ?? 0) + 1;
    return eventsOf(...Array.from({ length: lastEvent + 1 - first }, (unused, index) => first + index));
};
const begun = eventsOf(1, 2);
const wholeStream = eventsAfter(undefined);
const unnamedEvent = "data: piece\n\n";
const errorJson = "{\"error\":{\"message\":\"no memory\"}}";
const errorHead = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\ncontent-length: 0\r\n\r\n";

/** An answer of an engine; what is not given is as in a sound stream in chunks. */
interface Answer {
    readonly statusLine?: string;
    /** Responses before it. */
    readonly before?: string;
    readonly contentType?: string;
    readonly headers?: string;
    readonly requestId?: string;
    readonly isSealed?: boolean;
    readonly framing?: "chunks" | "length" | "connection";
    readonly text?: string;
    /** Written after the response. */
    readonly after?: string;
    readonly close?: Close;
    /** Written instead of a response. */
    readonly raw?: string;
}

function chunkOf(text: string): string {
    return text === "" ? "" : `${text.length.toString(16)}\r\n${text}\r\n`;
}

function responseOf(answer: Answer, requestId: string): RawResponse {
    const { framing = "chunks", text = "", close = framing === "connection" ? "end" : "keep" } = answer;
    if (answer.raw !== undefined) {
        return { bytes: answer.raw, close };
    }
    const contentType = answer.contentType ?? "text/event-stream";
    const head = [
        answer.statusLine ?? "HTTP/1.1 200 OK",
        `x-gooseberrywell-request-id: ${answer.requestId ?? requestId}`,
        ...answer.isSealed === false ? [] : ["x-gooseberrywell-response-seal: sealed"],
        ...contentType === "" ? [] : [`content-type: ${contentType}`],
        ...answer.headers === undefined ? [] : [answer.headers],
        ...framing === "chunks" ? ["transfer-encoding: chunked"] : [],
        ...framing === "length" ? [`content-length: ${text.length}`] : [],
    ];
    const isWholeInChunks = close === "keep" && answer.after === undefined;
    const body = framing === "chunks" ? chunkOf(text) + (isWholeInChunks ? "0\r\n\r\n" : "") : text;
    return { bytes: `${answer.before ?? ""}${head.join("\r\n")}\r\n\r\n${body}${answer.after ?? ""}`, close };
}

const cleanups: Cleanups = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

interface Played {
    /** The text that the caller received, and whether its response was complete. */
    readonly received: string;
    readonly lastEventIds: readonly (string | undefined)[];
}

/** Engines answer with each of `answers` in turn, and then with the rest of the stream. */
async function play(
    route: Route,
    answers: readonly Answer[],
    headers: Readonly<Record<string, string>> = {},
): Promise<Played> {
    const respond = ({ requestId, lastEventId, index }: RawRequest): RawResponse =>
        responseOf(answers[index] ?? { text: eventsAfter(lastEventId) }, requestId);
    const engines = await startRawEngines(3, respond, cleanups);
    const { status, text, isComplete } = await callEntry(await startEntry(engines, route, cleanups), route, headers);
    return {
        received: isComplete ? `${status} ${status === 200 ? text : ""}` : `broken ${text}`,
        lastEventIds: engines.requests.map(({ lastEventId }) => lastEventId),
    };
}

interface TakeUpCase {
    readonly name: string;
    readonly answer: Answer;
    /** Events of the answer that the caller gets. */
    readonly passes: string;
    /** The answer ends the response, as a complete one. */
    readonly isWhole: boolean;
}

const whole = (name: string, answer: Answer): TakeUpCase => ({
    name,
    answer,
    passes: answer.text ?? "",
    isWhole: true,
});
const faulty = (name: string, answer: Answer, passes = ""): TakeUpCase => ({ name, answer, passes, isWhole: false });
const soundRest = eventsOf(3, 4, 5);

const takeUpCases: readonly TakeUpCase[] = [
    whole("the rest in chunks", { text: soundRest }),
    whole("the rest with a length", { text: soundRest, framing: "length" }),
    whole("the rest up to the end of the connection", { text: soundRest, framing: "connection" }),
    whole("the rest with CR LF", { text: soundRest.replaceAll("\n", "\r\n") }),
    whole("the rest, after a change of the weights", {
        text: `x-gooseberrywell-weight-versions: 2\n${soundRest}`,
    }),
    whole("the rest, with comments and a retry delay", {
        text: `: here\n\nretry: 100\n\n${eventOf(3)}: still here\n\n${eventsOf(4, 5)}`,
    }),
    whole("the rest, with a charset", { text: soundRest, contentType: "Text/Event-Stream; charset=utf-8" }),
    whole("the rest, after an informational response", {
        text: soundRest,
        before: "HTTP/1.1 102 Processing\r\n\r\n",
    }),
    // Ids only have to increase: they may count tokens, of which an event can hold several.
    whole("ids that are not consecutive", { text: eventsOf(4, 7) }),
    whole("nothing more, in chunks", { text: "" }),
    faulty("the stream from its first event again", { text: wholeStream }),
    faulty("the last event again", { text: eventsOf(2, 3, 4, 5) }),
    faulty("an event twice", { text: eventsOf(3, 3, 4, 5) }, eventOf(3)),
    faulty("an earlier event later on", { text: eventsOf(3, 4, 3, 4, 5) }, eventsOf(3, 4)),
    faulty("an event of the first engine later on", { text: eventsOf(3, 4, 2, 5) }, eventsOf(3, 4)),
    faulty("first an event without an id", { text: `${unnamedEvent}${soundRest}` }),
    faulty("later an event without an id", { text: `${eventOf(3)}${unnamedEvent}${eventsOf(4, 5)}` }, eventOf(3)),
    faulty("an event with an empty id", { text: eventsOf("") }),
    faulty("ids that are no numbers", { text: eventsOf("c", "d", "e") }),
    faulty("ids with a sign", { text: eventsOf("-3", "-2") }),
    faulty("an error as an event", { text: `event: error\ndata: ${errorJson}\n\n` }),
    faulty("an error as a line", { text: `${errorJson}\n\n` }),
    faulty("an error without a line's end", { text: errorJson }),
    faulty("an error after an event", { text: `${eventOf(3)}${errorJson}\n\n` }, eventOf(3)),
    faulty("an error's head after an event, in its chunk", { text: eventOf(3) + errorHead }, eventOf(3)),
    faulty(
        "an error's head after an event, up to the end of the connection",
        { text: eventOf(3) + errorHead, framing: "connection" },
        eventOf(3),
    ),
    faulty("an error's head instead of a chunk", { after: errorHead }),
    faulty("another content type", { text: `${errorJson}\n\n`, contentType: "application/json" }),
    faulty("events of another content type", { text: soundRest, contentType: "text/plain" }),
    faulty("no content type", { text: soundRest, contentType: "" }),
    faulty("a content encoding", { text: soundRest, headers: "content-encoding: gzip" }),
    faulty("no seal", { text: soundRest, isSealed: false }),
    faulty("an answer to another request", { text: soundRest, requestId: "r-9" }),
    ...[
        "204 No Content",
        "206 Partial Content",
        "302 Found",
        "404 Not Found",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "503 Service Unavailable",
    ].map(status =>
        faulty(`status ${status}`, {
            statusLine: `HTTP/1.1 ${status}`,
            ...status.startsWith("204") ? { framing: "connection" } : { text: soundRest },
        })
    ),
    faulty("informational responses without end", { raw: "HTTP/1.1 102 Processing\r\n\r\n".repeat(40) }),
    faulty("bytes that are no response", { raw: "no response\r\n\r\n" }),
    faulty("no answer before the connection ends", { raw: "", close: "end" }),
    faulty("no event before the connection ends", { framing: "connection" }),
    faulty("an event that breaks off", { text: `${eventOf(3)}id: 4\nda`, framing: "connection" }, eventOf(3)),
    faulty("a reset before the first event", { close: "reset" }),
];

const broken: Answer = { text: begun, close: "end" };
const takeUpHeaders = { "last-event-id": "2", resumes: beganRequestId };
const resumableRoute = routeOf("stream", { isResumable: true });
const resumableAtThree = { ...resumableRoute, maxEngines: 3 };
const plainService = [{ service: "desk", weight: 1 }];

describe("an answer to a take-up within a response", () => {
    // Events came twice, and error texts and events of unknown order were passed on, in streams that looked complete.
    it.each(takeUpCases)("$name", async ({ answer, passes, isWhole }) => {
        const { received, lastEventIds } = await play(resumableRoute, [broken, answer]);
        expect(received).toBe(`${isWhole ? "200" : "broken"} ${begun}${passes}`);
        expect(lastEventIds).toEqual([undefined, "2"]);
    });

    // A stream broke off at the first unsound answer, although its route allowed further engines.
    it.each(takeUpCases.filter(({ isWhole }) => !isWhole))("$name, then goes on elsewhere", async each => {
        const { received, lastEventIds } = await play(resumableAtThree, [broken, each.answer]);
        const lastPassed = each.passes.match(/^id: (\d+)/gmu)?.at(-1)?.slice("id: ".length) ?? "2";
        expect(received).toBe(`200 ${begun}${each.passes}${eventsAfter(lastPassed)}`);
        expect(lastEventIds).toEqual([undefined, "2", lastPassed]);
    });

    it("a rejection that proves that nothing ran is no further engine", async () => {
        const rejection: Answer = {
            statusLine: "HTTP/1.1 503 Service Unavailable",
            headers: "x-gooseberrywell-not-executed: 1",
            text: errorJson,
        };
        const { received, lastEventIds } = await play(resumableRoute, [broken, rejection]);
        expect(received).toBe(`200 ${wholeStream}`);
        expect(lastEventIds).toEqual([undefined, "2", "2"]);
    });
});

/** Answers that a caller gets as they are when it takes up a stream itself. */
const isPassedOn = ({ answer }: TakeUpCase): boolean =>
    (answer.statusLine ?? "200").includes("200") && answer.contentType === undefined
    && answer.headers === undefined && answer.requestId === undefined && answer.isSealed !== false
    && answer.raw === undefined;

describe("an answer to a caller that takes up a stream", () => {
    it.each(takeUpCases.filter(isPassedOn))("$name", async ({ answer, passes, isWhole }) => {
        const route = { ...resumableRoute, maxEngines: 1 };
        const { received, lastEventIds } = await play(route, [answer], takeUpHeaders);
        expect(received).toBe(`${isWhole ? "200" : "broken"} ${passes}`);
        expect(lastEventIds).toEqual(["2"]);
    });

    // Nothing of an answer of a plain service is passed on before it is whole.
    it.each(takeUpCases.filter(isPassedOn))("at a plain service: $name", async ({ answer, passes, isWhole }) => {
        const route = { ...resumableRoute, services: plainService };
        const { received, lastEventIds } = await play(route, [answer], takeUpHeaders);
        expect(received).toBe(`200 ${isWhole ? passes : soundRest}`);
        expect(lastEventIds).toEqual(isWhole ? ["2"] : ["2", "2"]);
    });
});

interface FirstAnswerCase {
    readonly name: string;
    readonly answer: Answer;
    /** What of it the caller gets; all of it if its stream is whole. */
    readonly passes: string;
    readonly isWhole: boolean;
}

const firstAnswerCases: readonly FirstAnswerCase[] = [
    whole("ids that are not consecutive", { text: eventsOf(2, 10, 11) }),
    whole("ids that are no numbers, in any order", { text: eventsOf("b", "a", "a") }),
    whole("ids of numbers too large to be compared", { text: eventsOf("9007199254740993", "9007199254740992") }),
    whole("events without ids", { text: unnamedEvent.repeat(3) }),
    whole("a last event without an id", { text: `${eventsOf(1, 2)}data: [DONE]\n\n` }),
    whole("an event with several fields and lines", {
        text: `${eventOf(1)}event: text\nid:2\ndata: a\ndata: b\nother: c\n\n`,
    }),
    faulty("an event twice", { text: eventsOf(1, 2, 2, 3) }, eventsOf(1, 2)),
    faulty("the stream twice", { text: wholeStream + wholeStream }, wholeStream),
    faulty("an id of fewer digits", { text: eventsOf(9, 10, 9) }, eventsOf(9, 10)),
    faulty(
        "a surplus response after the stream",
        { text: wholeStream + errorHead, framing: "connection" },
        wholeStream,
    ),
    faulty("an error as a line", { text: `${begun}${errorJson}\n\n` }, begun),
];

describe("a stream from its first event", () => {
    it.each(firstAnswerCases)("$name", async ({ answer, passes, isWhole }) => {
        const { received } = await play(routeOf("stream"), [answer]);
        expect(received).toBe(`${isWhole ? "200" : "broken"} ${passes}`);
    });

    it.each(firstAnswerCases)("at a plain service: $name", async ({ answer, passes, isWhole }) => {
        const { received } = await play(routeOf("stream", { services: plainService }), [answer]);
        expect(received).toBe(isWhole ? `200 ${passes}` : "502 ");
    });

    it("events split in any way between reads are checked all the same", async () => {
        const text = `${begun}\r\n${eventOf(2)}`;
        for (let length = 1; length < begun.length; length += 5) {
            const chunks = text.match(new RegExp(`[^]{1,${length}}`, "gu"))?.map(chunkOf).join("") ?? "";
            const answer: Answer = { after: `${chunks}0\r\n\r\n` };
            const { received } = await play(routeOf("stream"), [answer]);
            expect([length, received.trimEnd()]).toEqual([length, `broken ${begun}`.trimEnd()]);
        }
    });

    // The stream began anew in the same response.
    it.each([
        { name: "without ids", text: unnamedEvent.repeat(2) },
        { name: "with an event without an id after the last id", text: begun + unnamedEvent },
    ])("$name, is not resumed after it broke off", async ({ text }) => {
        const { received, lastEventIds } = await play(resumableRoute, [{ text, close: "end" }]);
        expect(received).toBe(`broken ${text}`);
        expect(lastEventIds).toEqual([undefined]);
    });
});

// Ids need not increase in other responses of this type.
it("events on a route that is no stream route are passed on in any order", async () => {
    const text = eventsOf(2, 1, 1);
    const { received } = await play(routeOf("idempotent"), [{ text }]);
    expect(received).toBe(`200 ${text}`);
});
