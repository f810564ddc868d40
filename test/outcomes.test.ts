/**
 * docs/OUTCOMES.md is generated from the code; this test fails if the page is out of date.
 */

import { readFileSync } from "node:fs";
import { expect, it } from "vitest";
import { outcomesPage } from "../scripts/outcomesPage.js";

it("docs/OUTCOMES.md is what `npm run outcomes` prints", async () => {
    expect(readFileSync("docs/OUTCOMES.md", "utf8")).toBe(await outcomesPage());
});
