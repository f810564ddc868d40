import { readFileSync } from "node:fs";
import { defineConfig } from "vitest/config";

/** Tests that KNOWN-RED.txt lists, in lines that begin with `test: `, are skipped; `.ci/run` prints that file. */
const knownRed = readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter(line => line.startsWith("test: "))
    .map(line => line.slice("test: ".length).replace(/[.*+?^${}()|[\]\\]/gu, "\\$&"));

export default defineConfig({
    test: {
        include: ["src/**/*.test.ts", "platform/**/*.test.ts", "test/**/*.test.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        // Several files start dozens of processes each, so files run one at a time.
        fileParallelism: false,
        // Set KNOWN_RED=run to run the known failures too: KNOWN_RED=run npx vitest run FILE
        ...knownRed.length === 0 || process.env["KNOWN_RED"] === "run"
            ? {}
            : { testNamePattern: new RegExp(`^(?!.*(?:${knownRed.join("|")})$)`, "u") },
    },
});
