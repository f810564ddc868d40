/** What a case writes down, and how it ends: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */

import { appendFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Writes lines with the time since the start to `record.txt` beside the module. */
export function createRecord(moduleUrl) {
    const file = join(dirname(fileURLToPath(moduleUrl)), "record.txt");
    const startedAtMs = performance.now();
    writeFileSync(file, "");
    return line => appendFileSync(file, `${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${line}\n`);
}

/** `main` resolves to whether the rule was broken. */
export async function runCase(record, main, end) {
    let exitCode = 2;
    const timer = setTimeout(() => {
        record("the case took too long");
        void end().finally(() => process.exit(2));
    }, 110_000);
    try {
        const isBroken = await main();
        exitCode = isBroken ? 1 : 0;
        record(isBroken ? "the rule was broken" : "the rule held");
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
        process.stderr.write(`${error.stack}\n`);
    }
    clearTimeout(timer);
    await end();
    process.exit(exitCode);
}
