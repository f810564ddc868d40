/** Connections take turns in parsing: none waits for all that others have sent, and nothing is forgotten. */

import { describe, expect, it } from "vitest";
import { createFeedTurns } from "./feedTurns.js";
import type { Feeder, FeedTurns } from "./feedTurns.js";

const pieceMs = 0.5;

interface Loop {
    readonly turns: FeedTurns;
    /** The name of the feeder of each piece, in order; `|` between turns of the event loop. */
    readonly parsed: string[];
    readonly feederOf: (name: string, pieces: number) => Feeder;
    /** Runs what waits for the next turn; false if nothing does. */
    readonly poll: () => boolean;
}

function createLoop(): Loop {
    let nowMs = 0;
    let next: (() => void) | undefined;
    const parsed: string[] = [];
    return {
        turns: createFeedTurns({ nowMs: () => nowMs, nextTurn: run => (next = run) }),
        parsed,
        feederOf: (name, pieces) => {
            let left = pieces;
            return mayGoOn => {
                do {
                    parsed.push(name);
                    nowMs += pieceMs;
                    left -= 1;
                }
                while (left > 0 && mayGoOn());
                return left > 0;
            };
        },
        poll: () => {
            const run = next;
            next = undefined;
            parsed.push("|");
            run?.();
            return run !== undefined;
        },
    };
}

describe("connections that take turns", () => {
    // Each connection was parsed to its end in the turn in which it was read.
    it("give each other a bounded time, and the event loop its turns", () => {
        const { turns, parsed, feederOf, poll } = createLoop();
        ["a", "b", "c", "d", "e", "f"].forEach(name => turns.feed(feederOf(name, 1_000)));
        expect(parsed.join("")).toBe("aabbcc");
        poll();
        expect(parsed.join("").split("|").at(-1)).toBe("defaabb");
        poll();
        expect(parsed.join("").split("|").at(-1)).toBe("ccddee");
    });

    it("let what has just been read go before the rest of what takes long", () => {
        const { turns, parsed, feederOf, poll } = createLoop();
        const names = "abcdefghijklmnopqrst".split("");
        names.forEach(name => turns.feed(feederOf(name, 1_000)));
        turns.feed(feederOf("x", 1));
        Array.from({ length: 4 }, poll);
        expect(parsed.filter(name => name !== "|").indexOf("x")).toBeLessThan(2 * names.length);
        turns.feed(feederOf("y", 1));
        poll();
        expect(parsed.join("").split("|").at(-1)).toMatch(/^y/u);
    });

    it("parse a body of ordinary size at once", () => {
        const { turns, parsed, feederOf } = createLoop();
        turns.feed(feederOf("a", 2));
        expect(parsed.join("")).toBe("aa");
    });

    it("come to an end with everything parsed, but for those that have left", () => {
        const { turns, parsed, feederOf, poll } = createLoop();
        const leaving = feederOf("z", 1_000);
        turns.feed(leaving);
        "abcdefghijklmnopqrstuvwxy".split("").forEach(name => turns.feed(feederOf(name, 20)));
        turns.leave(leaving);
        while (poll()) {
            expect(parsed.length).toBeLessThan(2_000);
        }
        expect(parsed.filter(name => name === "z")).toHaveLength(2);
        expect(parsed.filter(name => name !== "z" && name !== "|")).toHaveLength(25 * 20);
    });

    // All that waited in the same turn were left until other traffic began a turn.
    it("go on after one of them fails", () => {
        const { turns, parsed, feederOf, poll } = createLoop();
        const failing: Feeder = () => {
            throw new Error("test");
        };
        turns.feed(feederOf("a", 20));
        turns.feed(feederOf("b", 20));
        turns.feed(feederOf("c", 20));
        turns.feed(failing);
        turns.feed(feederOf("d", 2));
        expect(poll).toThrow("test");
        while (poll()) {
            // Until nothing waits any more.
        }
        expect(parsed.filter(name => name === "d")).toHaveLength(2);
        expect(parsed.filter(name => name === "a")).toHaveLength(20);
    });
});
