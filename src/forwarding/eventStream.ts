/**
 * Boundaries of events in a stream of server-sent events, found in its bytes without parsing the events.
 *
 * An event ends with a blank line. Lines end with LF, CR LF or CR. The order of events is checked in `eventOrder.ts`.
 */

import { createBodyBlocks } from "../common/bodyBlocks.js";
import type { BodyFraming } from "../engines/enginePort.js";
import type { RouteKind } from "../routes/desiredState.js";

export const lineFeed = 0x0a;
export const carriageReturn = 0x0d;
/** Bytes before a position that decide whether an event ends there. */
const boundaryBytes = 3;
/** Limit on an incomplete event, which is kept in memory: a faulty engine may send bytes that never end an event. */
export const maxEventBytes = 262_144;
const idField = "id:";
const eventStreamType = "text/event-stream";

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** A loop, since a function called for each byte takes several times as long. */
function containsOnlyLineEnds(bytes: Uint8Array): boolean {
    for (const byte of bytes) {
        if (!isLineEnd(byte)) {
            return false;
        }
    }
    return true;
}

/** Whether the bytes before `position` end with a blank line. */
function endsWithBlankLine(bytes: Uint8Array, position: number): boolean {
    const last = bytes[position - 1];
    if (!isLineEnd(last)) {
        return false;
    }
    const isPair = last === lineFeed && bytes[position - 2] === carriageReturn;
    return isLineEnd(bytes[position - (isPair ? 3 : 2)]);
}

/** Whether a successful response is a stream of events: by its content type, given in raw headers, or by its route. */
export function isEventStream(routeKind: RouteKind, headers: readonly string[]): boolean {
    return routeKind === "stream" || mediaTypeOf(headers) === eventStreamType;
}

/** Media type in lower case, without parameters; empty if raw headers name none. */
export function mediaTypeOf(headers: readonly string[]): string {
    const nameIndex = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === "content-type");
    const contentType = nameIndex < 0 ? "" : headers[nameIndex + 1] ?? "";
    return toMediaType(contentType);
}

export function isEventStreamType(contentType: string): boolean {
    return toMediaType(contentType) === eventStreamType;
}

function toMediaType(contentType: string): string {
    return (contentType.split(";")[0] ?? "").trim().toLowerCase();
}

/**
 * Raw headers without the length. A stream that breaks off can't be told from a complete one once its announced length
 * was sent, and one that resumes at another engine may have another length.
 */
export function withoutLength(headers: readonly string[]): readonly string[] {
    const isLength = (index: number): boolean => headers[index]?.toLowerCase() === "content-length";
    return headers.filter((text, index) => !isLength(index - index % 2));
}

/** Number of bytes up to the end of the last complete event; the search covers the bytes from `from` on. */
function completeEventsLength(bytes: Uint8Array, from = 0): number {
    for (let position = bytes.length; position > from; position--) {
        if (endsWithBlankLine(bytes, position)) {
            return position;
        }
    }
    return 0;
}

/** Splits a stream into complete events; keeps the beginning of the next one. */
export interface EventAssembler {
    /** Returns the events that are complete with the chunk; empty if none is. */
    readonly push: (chunk: Buffer) => Buffer;
    /** Size of what is kept: the bytes after the last complete event. */
    readonly keptBytes: () => number;
    /** Keeps nothing any more; to be called when the stream has ended. */
    readonly drop: () => void;
}

export function createEventAssembler(): EventAssembler {
    const partialEvent = createBodyBlocks();
    /** The last bytes of the partial event, which decide whether it ends in the next chunk. */
    let tail: Buffer = Buffer.alloc(0);

    function keep(bytes: Buffer): void {
        if (bytes.length > 0) {
            partialEvent.append(bytes);
        }
    }

    return {
        push: chunk => {
            const searched = tail.length === 0 ? chunk : Buffer.concat([tail, chunk]);
            const searchedEnd = completeEventsLength(searched, tail.length);
            const end = Math.max(0, searchedEnd - tail.length);
            keep(chunk.subarray(0, end));
            const events = end === 0 ? Buffer.alloc(0) : partialEvent.take();
            keep(chunk.subarray(end));
            tail = searched.subarray(Math.max(searchedEnd, searched.length - boundaryBytes));
            return events;
        },
        keptBytes: partialEvent.sizeBytes,
        drop: partialEvent.drop,
    };
}

/** The value of the last `id` field in a sequence of complete events. */
export function lastEventIdIn(events: Buffer): string | undefined {
    let fieldStart = events.lastIndexOf(idField);
    while (fieldStart > 0 && !isLineEnd(events[fieldStart - 1])) {
        fieldStart = events.lastIndexOf(idField, fieldStart - 1);
    }
    if (fieldStart < 0) {
        return undefined;
    }
    const valueStart = fieldStart + idField.length;
    const valueLength = events.subarray(valueStart).findIndex(isLineEnd);
    return events.subarray(valueStart, valueStart + valueLength).toString("utf8").trim();
}

/** Tracks whether a stream ends inside an event. */
export interface EventBoundaryTracker {
    readonly push: (chunk: Uint8Array) => void;
    /** Whether bytes of an event without its blank line are the last that were pushed. */
    readonly isInsideEvent: () => boolean;
    readonly sizeBytes: () => number;
}

export function createEventBoundaryTracker(): EventBoundaryTracker {
    let sizeBytes = 0;
    let tail: Uint8Array = new Uint8Array();
    let hasOnlyLineEnds = true;
    return {
        push: chunk => {
            sizeBytes += chunk.length;
            hasOnlyLineEnds &&= containsOnlyLineEnds(chunk);
            tail = chunk.length >= boundaryBytes
                ? chunk.subarray(-boundaryBytes)
                : Buffer.concat([tail, chunk]).subarray(-boundaryBytes);
        },
        isInsideEvent: () => !hasOnlyLineEnds && !endsWithBlankLine(tail, tail.length),
        sizeBytes: () => sizeBytes,
    };
}

/**
 * Why a stream that its engine ended without an error is incomplete; `undefined` if it is complete.
 *
 * The end of a connection does not prove that a body is whole, so a stream without any event is complete only if its
 * framing says so.
 */
export function findMissingEnd(boundaries: EventBoundaryTracker, framing: BodyFraming): string | undefined {
    if (boundaries.isInsideEvent()) {
        return "the engine ended the stream inside an event";
    }
    return boundaries.sizeBytes() === 0 && framing === "connection"
        ? "the engine closed the connection before the first event"
        : undefined;
}
