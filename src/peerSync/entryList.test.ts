/**
 * The list of entries in the store survives a restoration of the store from an older copy, and outages.
 */

import { Result } from "true-myth";
import { describe, expect, it } from "vitest";
import { silentDecisionLog } from "../../fakes/forwardingHarness.js";
import { createVirtualClock } from "../../fakes/virtualClock.js";
import { createMemoryPlatform } from "../platform/memoryPlatform.js";
import type { TableService } from "../platform/ports.js";
import { createEntryList } from "./entryList.js";

const own = { url: "http://a", start: "1" };

describe("the list of entries", () => {
    it("contains this entry again after a restoration that has lost its row", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        const restore = platform.snapshot();
        const lists: (readonly string[])[] = [];
        const list = createEntryList(platform.tables, clock, silentDecisionLog, own, urls => void lists.push(urls));
        void list.run(new AbortController().signal);
        await clock.advance(1_000);
        restore();
        await clock.advance(30_000);
        expect(platform.rowCount()).toBe(1);
        expect(lists).toEqual([[own.url], []]);
    });

    it("is read again soon after a failed read", async () => {
        const clock = createVirtualClock();
        const platform = createMemoryPlatform();
        let failures = 3;
        const tables: TableService = {
            ...platform.tables,
            scan: async (...query) => {
                failures -= 1;
                return failures >= 0
                    ? Result.err({ kind: "unavailable", cause: "test" })
                    : platform.tables.scan(...query);
            },
        };
        const lists: (readonly string[])[] = [];
        const list = createEntryList(tables, clock, silentDecisionLog, own, urls => void lists.push(urls));
        void list.run(new AbortController().signal);
        await clock.advance(3_100);
        expect(lists).toEqual([[own.url]]);
    });
});
