/**
 * Service level reports: the classification of requests, the burn rate, and logs with lines that cannot be parsed.
 */

import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { renderReport } from "./reportPage.js";
import { readRequestLog } from "./requestLog.js";
import type { EndedRequest } from "./requestLog.js";
import { computeServiceLevels } from "./serviceLevels.js";
import type { Indicators } from "./serviceLevels.js";

const target = { goodFraction: 0.9, windowMs: 1_000 };

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
    it("finds the lines of ended requests among others, whatever text comes before the JSON object", () => {
        const end = "{\"message\":\"request ended\",\"timeMs\":5,\"outcome\":\"200\",\"tookMs\":7,\"linesLeftOut\":3}";
        const log = readRequestLog(
            ["", "plain text", "{\"message\":\"starting\",\"timeMs\":1}", `12:00 host ${end}`].join("\n"),
        );
        expect(log.requests).toMatchObject([{ endedAtMs: 5, outcome: "200", tookMs: 7, clientAccount: undefined }]);
        expect(log).toMatchObject({ linesLeftOut: 3, linesUnreadable: 0 });
    });

    it("counts lines that it cannot parse", () => {
        const broken = ["{\"message\":\"request ended\",\"timeM", "{\"message\":7,\"timeMs\":1}"];
        expect(readRequestLog(broken.join("\n"))).toMatchObject({ requests: [], linesUnreadable: 2 });
    });

    it("accepts any text without throwing", () => {
        fc.assert(fc.property(fc.string(), text => {
            expect(readRequestLog(`{"${text}`).requests).toEqual([]);
        }));
    });
});

interface ClassificationCase {
    readonly name: string;
    readonly request: Partial<EndedRequest>;
    readonly expected: Partial<Indicators>;
}

const classifications: readonly ClassificationCase[] = [
    { name: "in time", request: {}, expected: { eligible: 1, good: 1 } },
    { name: "late first byte", request: { firstByteMs: 901 }, expected: { eligible: 1, late: 1 } },
    { name: "no objective known", request: { objectiveMs: undefined, firstByteMs: 9_000 }, expected: { good: 1 } },
    { name: "no time to the first byte", request: { firstByteMs: undefined, tookMs: 901 }, expected: { late: 1 } },
    { name: "refused", request: { outcome: "503" }, expected: { eligible: 1, refused: 1 } },
    { name: "over its rate", request: { outcome: "429" }, expected: { eligible: 0, overRate: 1 } },
    { name: "unknown key", request: { outcome: "401" }, expected: { eligible: 0 } },
    { name: "unknown outcome", request: { outcome: "502" }, expected: { eligible: 1, failed: 1 } },
    { name: "interrupted response", request: { outcome: "broken" }, expected: { eligible: 1, failed: 1 } },
    { name: "the engine failed", request: { outcome: "500" }, expected: { eligible: 1, failed: 1 } },
];

describe("service levels", () => {
    it.each(classifications)("$name: $expected", ({ request, expected }) => {
        expect(computeServiceLevels([ended(request)], target).overall).toMatchObject(expected);
    });

    it("computes the burn rate as a multiple of what the target allows, by window, with the worst account first", () => {
        const requests = [
            ...Array.from({ length: 8 }, () => ended({ endedAtMs: 100 })),
            ...Array.from({ length: 2 }, () => ended({ endedAtMs: 200, outcome: "503", clientAccount: "desk" })),
            ...Array.from({ length: 10 }, () => ended({ endedAtMs: 1_500 })),
        ];
        const levels = computeServiceLevels(requests, target);
        expect(levels.overall.burnRate).toBeCloseTo(1);
        expect(levels.windows.map(({ burnRate }) => Number(burnRate.toFixed(6)))).toEqual([2, 0]);
        expect(levels.byAccount.map(({ name }) => name)).toEqual(["desk", "walkers"]);
    });

    it("computes the median and the 99th percentile of successful responses", () => {
        const requests = Array.from({ length: 200 }, (unused, index) => ended({ firstByteMs: index + 1 }));
        expect(computeServiceLevels(requests, target).overall).toMatchObject({ p50Ms: 100, p99Ms: 198 });
    });
});

describe("the page", () => {
    it("escapes names", () => {
        const log = {
            requests: [ended({ clientAccount: "<script>alert(1)</script>" })],
            linesLeftOut: 0,
            linesUnreadable: 0,
        };
        const page = renderReport(computeServiceLevels(log.requests, target), log, target);
        expect(page).not.toContain("<script>");
        expect(page).toContain("&lt;script&gt;");
    });

    it("reports the dropped and unreadable lines", () => {
        const log = { requests: [ended()], linesLeftOut: 12, linesUnreadable: 1 };
        expect(renderReport(computeServiceLevels(log.requests, target), log, target)).toContain(
            "12 lines that the entries left out",
        );
    });
});
