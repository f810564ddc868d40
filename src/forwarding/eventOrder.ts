/**
 * Checks the order of a stream's events, in the bytes of the stream as they arrive.
 *
 * Ids that are decimal numbers must increase; they need not be consecutive, since nothing tells whether they count events
 * or tokens. Other ids, and the events of streams without ids, are not checked. Once an id was a decimal number:
 *
 * - An event whose id is not a greater one is out of order: it comes twice or belongs to another run.
 * - In a continuation, an event without an id is out of order, because it may have been passed on before.
 * - Lines without an id that are neither fields of an event nor comments are no event, but part of another response.
 */

import { carriageReturn, lineFeed } from "./eventStream.js";

export interface EventOrder {
    /**
     * Scans the next bytes of the stream. Returns the number of them up to the end of the last complete event that is in
     * order; the first of these events may have begun in earlier bytes.
     */
    readonly push: (chunk: Buffer) => number;
    /** Why the next event is out of order; `undefined` as long as none is. */
    readonly fault: () => string | undefined;
    /** The last id that is a decimal number; `undefined` while there is none, so that nothing is checked. */
    readonly lastNumber: () => number | undefined;
    /** Whether the last event has an id, so that the stream can go on after it; also if there was no event. */
    readonly isLastNamed: () => boolean;
}

/** A line as far as it was read: `known` is the rest of a known field or a comment, `unknown` that of any other line. */
type LineState = "start" | "name" | "id" | "known" | "unknown";
type IdForm = "none" | "number" | "other";

const colon = 0x3a;
const space = 0x20;
const digitZero = 0x30;
const digitNine = 0x39;
const decimalBase = 10;
const decimalNumber = /^(?:0|[1-9]\d*)$/u;
const idName = Buffer.from("id");
const dataName = Buffer.from("data");
const fieldNames: readonly Uint8Array[] = [idName, dataName, Buffer.from("event"), Buffer.from("retry")];

/** Position of the next line end, or the length. The native search is several times as fast as the loop. */
function findLineEnd(bytes: Buffer, from: number, hasCarriageReturns: boolean): number {
    if (!hasCarriageReturns) {
        const position = bytes.indexOf(lineFeed, from);
        return position < 0 ? bytes.length : position;
    }
    for (let position = from; position < bytes.length; position++) {
        const byte = bytes[position];
        if (byte === lineFeed || byte === carriageReturn) {
            return position;
        }
    }
    return bytes.length;
}

function fieldStartingWith(byte: number): Uint8Array | undefined {
    for (const name of fieldNames) {
        if (name[0] === byte) {
            return name;
        }
    }
    return undefined;
}

function parseNumber(id: string): number | undefined {
    return decimalNumber.test(id) && Number.isSafeInteger(Number(id)) ? Number(id) : undefined;
}

/**
 * Creates the check of a stream that starts after the event with id `after`, or at its beginning if that is `undefined`.
 * Unless `isOrdered`, ids have no order: events are found but not checked.
 */
export function createEventOrder(after: string | undefined, isOrdered: boolean): EventOrder {
    let lastNumber = after === undefined || !isOrdered ? undefined : parseNumber(after);
    let isLastNamed = true;
    let fault: string | undefined;
    let line: LineState = "start";
    let isAfterCarriageReturn = false;
    /** The field whose name the line begins with, and how many bytes of the name were read. */
    let field: Uint8Array = idName;
    let matchedBytes = 0;
    /** The id that is being read, or that was read last in this event. */
    let id = 0;
    let idBytes = 0;
    let idForm: IdForm = "none";
    let isIdStart = false;
    let hasLines = false;
    let hasData = false;
    let hasUnknownLines = false;

    function startLine(byte: number): void {
        hasLines = true;
        const named = fieldStartingWith(byte);
        if (byte === colon) {
            line = "known";
        }
        else if (named === undefined) {
            setUnknown();
        }
        else {
            line = "name";
            field = named;
            matchedBytes = 1;
        }
    }

    function setUnknown(): void {
        line = "unknown";
        hasUnknownLines = true;
    }

    function endName(): void {
        if (matchedBytes < field.length) {
            setUnknown();
            return;
        }
        hasData ||= field === dataName;
        line = field === idName ? "id" : "known";
        if (field === idName) {
            id = 0;
            idBytes = 0;
            idForm = "none";
            isIdStart = true;
        }
    }

    function pushIdByte(byte: number): void {
        if (isIdStart && byte === space) {
            isIdStart = false;
            return;
        }
        isIdStart = false;
        const isDigit = byte >= digitZero && byte <= digitNine;
        const isLeadingZero = idBytes === 1 && id === 0;
        id = id * decimalBase + byte - digitZero;
        idBytes += 1;
        idForm = idForm !== "other" && isDigit && !isLeadingZero && id <= Number.MAX_SAFE_INTEGER ? "number" : "other";
    }

    function findFault(): string | undefined {
        if (lastNumber === undefined || (idForm === "number" && id > lastNumber)) {
            return undefined;
        }
        if (idForm !== "none") {
            return `after event ${lastNumber} comes one with ${
                idForm === "number" ? `id ${id}` : "another form of id"
            }`;
        }
        if (hasUnknownLines) {
            return `after event ${lastNumber} come bytes that are no event`;
        }
        return hasData && after !== undefined ? `after event ${lastNumber} comes one without an id` : undefined;
    }

    /** Ends the lines before a blank line; returns whether they are in order. */
    function endEvent(): boolean {
        if (!hasLines) {
            return true;
        }
        fault = findFault();
        if (fault !== undefined) {
            return false;
        }
        if (isOrdered && idForm === "number") {
            lastNumber = id;
        }
        if (hasData || idForm !== "none") {
            isLastNamed = idForm !== "none";
        }
        idForm = "none";
        hasLines = false;
        hasData = false;
        hasUnknownLines = false;
        return true;
    }

    /** A single loop with a state, since bytes of a line may be split between chunks at any place. */
    function push(chunk: Buffer): number {
        const hasCarriageReturns = chunk.includes(carriageReturn);
        let end = 0;
        for (let position = 0; position < chunk.length && fault === undefined; position++) {
            const byte = chunk[position] ?? 0;
            if (byte === lineFeed || byte === carriageReturn) {
                const isSecondOfPair = byte === lineFeed && isAfterCarriageReturn;
                isAfterCarriageReturn = byte === carriageReturn;
                if (line === "name") {
                    endName();
                }
                if (line === "start" && (isSecondOfPair ? !hasLines : endEvent())) {
                    end = position + 1;
                }
                line = "start";
                continue;
            }
            isAfterCarriageReturn = false;
            if (line === "known" || line === "unknown") {
                position = findLineEnd(chunk, position, hasCarriageReturns) - 1;
            }
            else if (line === "start") {
                startLine(byte);
            }
            else if (line === "id") {
                pushIdByte(byte);
            }
            else if (byte === colon) {
                endName();
            }
            else if (field[matchedBytes] === byte) {
                matchedBytes += 1;
            }
            else {
                setUnknown();
            }
        }
        return end;
    }

    return { push, fault: () => fault, lastNumber: () => lastNumber, isLastNamed: () => isLastNamed };
}
