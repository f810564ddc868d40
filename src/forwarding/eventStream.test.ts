/**
 * Streams are split into complete events wherever their bytes are cut into pieces.
 */

import { afterEach, describe, expect, it, vi } from "vitest";
import { createEventAssembler, maxEventBytes } from "./eventStream.js";

afterEach(() => vi.restoreAllMocks());

function piecesOf(bytes: Buffer, pieceBytes: number): readonly Buffer[] {
    const count = Math.ceil(bytes.length / pieceBytes);
    return Array.from(
        { length: count },
        (unused, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes),
    );
}

const lineEnds = [["LF", "\n"], ["CR LF", "\r\n"], ["CR", "\r"]] as const;
const streams = [
    { what: "nothing complete", lines: ["data: a"], events: 0 },
    { what: "one event", lines: ["id: 1", "data: a", "", ""], events: 1 },
    { what: "an event and a half", lines: ["data: a", "", "id: 2", "data"], events: 1 },
    { what: "two events", lines: ["data: a", "", "data: b", "", ""], events: 2 },
] as const;

describe.each(lineEnds)("lines that end with %s", (name, lineEnd) => {
    describe.each(streams)("a stream of $what", ({ lines, events }) => {
        const text = lines.join(lineEnd);
        it.each([1, 2, 3, 5, 64])("in pieces of %i bytes", pieceBytes => {
            const assembler = createEventAssembler();
            const complete = piecesOf(Buffer.from(text), pieceBytes).map(piece => String(assembler.push(piece)));
            const joined = complete.join("");
            expect(text.startsWith(joined)).toBe(true);
            expect(assembler.keptBytes()).toBe(text.length - joined.length);
            expect(joined.split("data:").length - 1).toBe(events);
        });
    });
});

describe("an event without an end", () => {
    // It was copied with each piece, at a cost that grew with the square of its size.
    it.each([16, 4_096])("is copied once, in pieces of %i bytes", pieceBytes => {
        const pieces = piecesOf(Buffer.alloc(maxEventBytes, "z"), pieceBytes);
        const assembler = createEventAssembler();
        const joins = vi.spyOn(Buffer, "concat");
        pieces.forEach(assembler.push);
        const copiedBytes = joins.mock.results.reduce((sum, { value }) => sum + (value as Buffer).length, 0);
        expect(copiedBytes).toBeLessThan(2 * maxEventBytes);
        expect(assembler.keptBytes()).toBe(maxEventBytes);
    });
});
