/**
 * Reports on service levels: what counts as good, how burn is told, and that bad lines spoil nothing.
 */

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { renderReport } from "./reportPage.js";
import { readRequestLog } from "./requestLog.js";
import type { EndedRequest } from "./requestLog.js";
import { computeServiceLevels } from "./serviceLevels.js";
import type { Levels } from "./serviceLevels.js";

const target = { goodPart: 0.9, windowMs: 1_000 };

function ended(changes: Partial<EndedRequest> = {}): EndedRequest {
    return {
        endedAtMs: 0,
        outcome: "200",
        tookMs: 100,
        firstByteMs: 50,
        clientAccount: "walkers",
        route: "chat",
        objectiveMs: 900,
        ...changes,
    };
}

describe("reading a log", () => {
    it("finds the ends of requests among other lines, whatever stands before them", () => {
        const end = "{\"message\":\"request ended\",\"timeMs\":5,\"outcome\":\"200\",\"tookMs\":7,\"linesLeftOut\":3}";
        const log = readRequestLog(
            ["", "plain text", "{\"message\":\"starting\",\"timeMs\":1}", `12:00 host ${end}`].join("\n"),
        );
        expect(log.requests).toMatchObject([{ endedAtMs: 5, outcome: "200", tookMs: 7, clientAccount: undefined }]);
        expect(log).toMatchObject({ linesLeftOut: 3, linesUnreadable: 0 });
    });

    it("counts lines that it can't read", () => {
        const broken = ["{\"message\":\"request ended\",\"timeM", "{\"message\":7,\"timeMs\":1}"];
        expect(readRequestLog(broken.join("\n"))).toMatchObject({ requests: [], linesUnreadable: 2 });
    });

    it("reads any text without failing", () => {
        fc.assert(fc.property(fc.string(), text => {
            expect(readRequestLog(`{"${text}`).requests).toEqual([]);
        }));
    });
});

interface VerdictCase {
    readonly name: string;
    readonly request: Partial<EndedRequest>;
    readonly counted: Partial<Levels>;
}

const verdicts: readonly VerdictCase[] = [
    { name: "in time", request: {}, counted: { owed: 1, good: 1 } },
    { name: "began late", request: { firstByteMs: 901 }, counted: { owed: 1, late: 1 } },
    { name: "no objective known", request: { objectiveMs: undefined, firstByteMs: 9_000 }, counted: { good: 1 } },
    { name: "no first byte noted", request: { firstByteMs: undefined, tookMs: 901 }, counted: { late: 1 } },
    { name: "refused", request: { outcome: "503" }, counted: { owed: 1, refused: 1 } },
    { name: "over its rate", request: { outcome: "429" }, counted: { owed: 0, overRate: 1 } },
    { name: "unknown key", request: { outcome: "401" }, counted: { owed: 0 } },
    { name: "unknown outcome", request: { outcome: "502" }, counted: { owed: 1, failed: 1 } },
    { name: "broke off", request: { outcome: "broken" }, counted: { owed: 1, failed: 1 } },
    { name: "the engine failed", request: { outcome: "500" }, counted: { owed: 1, failed: 1 } },
];

describe("service levels", () => {
    it.each(verdicts)("$name: $counted", ({ request, counted }) => {
        expect(computeServiceLevels([ended(request)], target).whole).toMatchObject(counted);
    });

    it("tells burn as a multiple of what the target allows, by window, worst account first", () => {
        const requests = [
            ...Array.from({ length: 8 }, () => ended({ endedAtMs: 100 })),
            ...Array.from({ length: 2 }, () => ended({ endedAtMs: 200, outcome: "503", clientAccount: "desk" })),
            ...Array.from({ length: 10 }, () => ended({ endedAtMs: 1_500 })),
        ];
        const levels = computeServiceLevels(requests, target);
        expect(levels.whole.burn).toBeCloseTo(1);
        expect(levels.windows.map(({ burn }) => Number(burn.toFixed(6)))).toEqual([2, 0]);
        expect(levels.byAccount.map(({ name }) => name)).toEqual(["desk", "walkers"]);
    });

    it("tells the median and the slowest hundredth of successful answers", () => {
        const requests = Array.from({ length: 200 }, (unused, index) => ended({ firstByteMs: index + 1 }));
        expect(computeServiceLevels(requests, target).whole).toMatchObject({ p50Ms: 100, p99Ms: 198 });
    });
});

describe("the page", () => {
    it("shows names as text, never as markup", () => {
        const log = {
            requests: [ended({ clientAccount: "<script>alert(1)</script>" })],
            linesLeftOut: 0,
            linesUnreadable: 0,
        };
        const page = renderReport(computeServiceLevels(log.requests, target), log, target);
        expect(page).not.toContain("<script>");
        expect(page).toContain("&lt;script&gt;");
    });

    it("says what its figures leave out", () => {
        const log = { requests: [ended()], linesLeftOut: 12, linesUnreadable: 1 };
        expect(renderReport(computeServiceLevels(log.requests, target), log, target)).toContain(
            "12 lines that the entries left out",
        );
    });
});
