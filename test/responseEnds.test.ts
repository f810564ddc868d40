/**
 * How a caller sees each way in which an engine's response can end: complete only if the engine's response was, over
 * real connections from the engine's socket to the caller's.
 *
 * A response may have a length, chunks or neither; one with neither ends with its connection. A stream that ends inside
 * an event was broken off, however it is framed.
 */

import { afterEach, describe, expect, it } from "vitest";
import { cutHeads } from "../fakes/cutResponses.js";
import { routeOf } from "../fakes/forwardingHarness.js";
import { callEntry, startEntry, startRawEngines } from "../fakes/rawEngines.js";
import type { Cleanups, Close, RawEngines } from "../fakes/rawEngines.js";
import type { BodyFraming } from "../src/engines/enginePort.js";
import type { Route } from "../src/routes/desiredState.js";

/** One response of an engine: what it writes, and what it then does with the connection. */
interface ResponseEnd {
    readonly name: string;
    readonly framing: BodyFraming;
    readonly text: string;
    /** Announced beyond `text`: bytes of a length, or a last chunk that never comes. */
    readonly isShort: boolean;
    readonly close: Close;
    readonly isComplete: boolean;
    /** A part of the head, instead of all else. */
    readonly cutHead?: string;
}

const firstEvent = "id: 1\ndata: a\n\n";
const firstEventPattern = /^id: 1\r?\ndata: a\r?\n\r?\n/u;
const secondEvent = "id: 2\ndata: b\n\n";
const wholeStream = firstEvent + secondEvent;
const insideData = `${firstEvent}id: 2\ndata: b`;
const insideField = `${firstEvent}id: 2\nda`;
const beforeBlankLine = `${firstEvent}id: 2\ndata: b\n`;
const shortCases: readonly ResponseEnd[] = (["length", "chunks"] as const).flatMap(framing =>
    (["end", "reset"] as const).map(close => ({
        name: `${framing}, the rest is missing`,
        framing,
        text: firstEvent,
        isShort: true,
        close,
        isComplete: false,
    }))
);
const closeDelimited = (name: string, text: string, close: Close, isComplete: boolean): ResponseEnd => ({
    name: `connection, ${name}`,
    framing: "connection",
    text,
    isShort: false,
    close,
    isComplete,
});

const named = (ends: readonly ResponseEnd[]): readonly (readonly [string, ResponseEnd])[] =>
    ends.map(end => [`${end.name}, then ${end.close}`, end]);

const streamEnds: readonly ResponseEnd[] = [
    { name: "length, whole", framing: "length", text: wholeStream, isShort: false, close: "keep", isComplete: true },
    { name: "chunks, whole", framing: "chunks", text: wholeStream, isShort: false, close: "keep", isComplete: true },
    ...shortCases,
    {
        name: "length, in an event",
        framing: "length",
        text: insideData,
        isShort: false,
        close: "keep",
        isComplete: false,
    },
    {
        name: "chunks, in an event",
        framing: "chunks",
        text: insideData,
        isShort: false,
        close: "keep",
        isComplete: false,
    },
    closeDelimited("whole", wholeStream, "end", true),
    closeDelimited("whole, with CR LF", wholeStream.replaceAll("\n", "\r\n"), "end", true),
    closeDelimited("whole, with CR", wholeStream.replaceAll("\n", "\r"), "end", true),
    closeDelimited("in the data of an event", insideData, "end", false),
    closeDelimited("in a field name", insideField, "end", false),
    closeDelimited("before the blank line", beforeBlankLine, "end", false),
    closeDelimited("before the blank line, with CR LF", beforeBlankLine.replaceAll("\n", "\r\n"), "end", false),
    closeDelimited("in the first event", "id: 1\nda", "end", false),
    closeDelimited("before the first event", "", "end", false),
    closeDelimited("in an event, reset", insideData, "reset", false),
    closeDelimited("between events, reset", firstEvent, "reset", false),
];

const plainEnds: readonly ResponseEnd[] = [
    { name: "length, whole", framing: "length", text: "done", isShort: false, close: "keep", isComplete: true },
    { name: "chunks, whole", framing: "chunks", text: "done", isShort: false, close: "keep", isComplete: true },
    ...shortCases,
    closeDelimited("whole", "done", "end", true),
    closeDelimited("reset", "do", "reset", false),
];

function responseText(
    { framing, text, isShort, cutHead }: ResponseEnd,
    requestId: string,
    contentType: string,
): string {
    if (cutHead !== undefined) {
        return cutHead;
    }
    const framingHeader = {
        length: `content-length: ${text.length + (isShort ? 10 : 0)}\r\n`,
        chunks: "transfer-encoding: chunked\r\n",
        connection: "",
    }[framing];
    const chunk = text === "" ? "" : `${text.length.toString(16)}\r\n${text}\r\n`;
    const body = framing === "chunks" ? chunk + (isShort ? "" : "0\r\n\r\n") : text;
    return `HTTP/1.1 200 OK\r\ncontent-type: ${contentType}\r\nx-gooseberrywell-request-id: ${requestId}\r\n`
        + `x-gooseberrywell-response-seal: sealed\r\n${framingHeader}\r\n${body}`;
}

const cleanups: Cleanups = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

/** Two engines that respond to the requests that they run with each of `ends` in turn; the last one repeats. */
function startEngines(ends: readonly ResponseEnd[], contentType: string): Promise<RawEngines> {
    return startRawEngines(2, ({ requestId, index }) => {
        const end = ends[Math.min(index, ends.length - 1)];
        return end === undefined
            ? { bytes: "", close: "keep" }
            : { bytes: responseText(end, requestId, contentType), close: end.close };
    }, cleanups);
}

/** What a caller receives: status and text of a complete response, the status alone of an error, or how it failed. */
async function outcomeOf(
    entryUrl: string,
    route: Route,
    headers: Readonly<Record<string, string>> = {},
): Promise<string> {
    const { status, text, isComplete } = await callEntry(entryUrl, route, headers);
    if (!isComplete) {
        return status === 0 ? "no response" : "broken";
    }
    return status === 200 ? `200 ${text}` : String(status);
}

async function outcomeAt(engines: RawEngines, route: Route): Promise<string> {
    return outcomeOf(await startEntry(engines, route, cleanups), route);
}

const wholeEnd: ResponseEnd = {
    name: "whole",
    framing: "chunks",
    text: secondEvent,
    isShort: false,
    close: "keep",
    isComplete: true,
};
const streamRoute = routeOf("stream");
const resumableRoute = routeOf("stream", { isResumable: true });
const plainServiceStreamRoute = routeOf("stream", { services: [{ service: "desk", weight: 1 }] });

describe("the end of an engine's stream", () => {
    // An engine closed its connection in order inside an event; the caller received the short stream as a complete one.
    it.each(named(streamEnds))("on a route that is not resumable: %s", async (name, end) => {
        const engine = await startEngines([end], "text/event-stream");
        const outcome = await outcomeAt(engine, streamRoute);
        expect(outcome).toBe(end.isComplete ? `200 ${end.text}` : "broken");
        expect(engine.requests).toHaveLength(1);
    });

    // A stream that ended inside an event was completed with that event instead of being resumed.
    it.each(named(streamEnds))("on a resumable route: %s", async (name, end) => {
        const received = firstEventPattern.exec(end.text)?.[0];
        const rest = received === undefined ? { ...wholeEnd, text: wholeStream } : wholeEnd;
        const engine = await startEngines([end, rest], "text/event-stream");
        const outcome = await outcomeAt(engine, resumableRoute);
        expect(outcome).toBe(`200 ${end.isComplete ? end.text : (received ?? "") + rest.text}`);
        expect(engine.requests.map(({ lastEventId }) => lastEventId)).toEqual(
            end.isComplete ? [undefined] : [undefined, received === undefined ? undefined : "1"],
        );
    });

    // Streams of services without model engines were never checked for their last event.
    it.each(named(streamEnds))("of a plain service: %s", async (name, end) => {
        const engine = await startEngines([end], "text/event-stream");
        const outcome = await outcomeAt(engine, plainServiceStreamRoute);
        expect(outcome).toBe(end.isComplete ? `200 ${end.text}` : "502");
        expect(engine.requests).toHaveLength(1);
    });

    // The part of a large body that is passed on as it arrives was not checked either.
    it.each(
        [
            ["connection", true, wholeStream],
            ["connection", false, insideData],
            ["length", true, wholeStream],
            ["length", false, insideData],
        ] as const,
    )(
        "of a plain service, too large to be buffered: %s, whole: %s",
        async (framing, isComplete, lastText) => {
            const text = `data: ${"x".repeat(400_000)}\n\n${lastText}`;
            const close = framing === "connection" ? "end" : "keep";
            const end = { name: "", framing, text, isShort: false, close, isComplete } as const;
            const engine = await startEngines([end], "text/event-stream");
            const outcome = await outcomeAt(engine, plainServiceStreamRoute);
            expect(outcome).toBe(isComplete ? `200 ${text}` : "broken");
        },
    );
});

const brokenEnd: ResponseEnd = { ...wholeEnd, framing: "chunks", text: firstEvent, isShort: true, close: "end" };
const thirdEvent = "id: 3\ndata: b\n\n";
const headEnds: readonly ResponseEnd[] = cutHeads({
    status: "200 OK",
    headers: ["x-gooseberrywell-request-id: r-1", "x-gooseberrywell-response-seal: sealed"],
    body: secondEvent,
}).filter(({ close }) => close !== "keep").map(({ name, pieces, close }) => ({
    ...wholeEnd,
    name: `in the head, ${name}`,
    isComplete: false,
    close,
    cutHead: pieces.join(""),
}));
/** The ends of streams, as they go on after the first event. */
const continuedEnds: readonly ResponseEnd[] = streamEnds.map(end => ({
    ...end,
    text: end.text.replace("id: 2", "id: 3").replace("id: 1", "id: 2"),
}));
const firstContinuedPattern = /^id: 2\r?\ndata: a\r?\n\r?\n/u;

// Only the first response of a stream had been cut at each place; none that goes on from another one.
describe("the end of a response with which a broken stream goes on", () => {
    it.each(named([...headEnds, ...continuedEnds]))("within one response to the caller: %s", async (name, end) => {
        const engine = await startEngines([brokenEnd, end], "text/event-stream");
        expect(await outcomeAt(engine, resumableRoute)).toBe(
            end.isComplete ? `200 ${firstEvent}${end.text}` : "broken",
        );
        expect(engine.requests.map(({ lastEventId }) => lastEventId)).toEqual([undefined, "1"]);
    });

    it.each(named([...headEnds, ...continuedEnds]))("taken up by its caller: %s", async (name, end) => {
        const received = end.cutHead === undefined ? firstContinuedPattern.exec(end.text)?.[0] : undefined;
        const rest = received === undefined ? secondEvent : thirdEvent;
        const engine = await startEngines(
            [brokenEnd, wholeEnd, end, { ...wholeEnd, text: rest }],
            "text/event-stream",
        );
        const entryUrl = await startEntry(engine, resumableRoute, cleanups);
        expect(await outcomeOf(entryUrl, resumableRoute)).toBe(`200 ${wholeStream}`);
        const outcome = await outcomeOf(entryUrl, resumableRoute, {
            "x-gooseberrywell-request-id": "r-2",
            "resumes": "r-1",
            "last-event-id": "1",
        });
        const resumed = end.isComplete ? end.text : (received ?? "") + rest;
        // A reset discards what has arrived while the engine's start is checked; the stream then goes on before it.
        const lost = end.close === "reset" ? [`200 ${rest}`] : [];
        expect(end.cutHead === undefined ? [`200 ${resumed}`, ...lost] : ["502"]).toContain(outcome);
        expect(engine.requests).toHaveLength(end.isComplete || end.cutHead !== undefined ? 3 : 4);
    });
});

describe("the end of a plain response", () => {
    it.each(named(plainEnds))("on a route that allows no repeats: %s", async (name, end) => {
        const route = routeOf("nonIdempotent");
        const engine = await startEngines([end], "application/json");
        const outcome = await outcomeAt(engine, route);
        expect(outcome).toBe(end.isComplete ? `200 ${end.text}` : "502");
        expect(engine.requests).toHaveLength(1);
    });
});
