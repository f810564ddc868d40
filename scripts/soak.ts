/**
 * The fault soak: real entries as processes, faults from outside, and the promises checked from what callers and engines
 * see. The seed decides everything that the soak does.
 *
 *     npm run soak -- --seed 7 --seconds 30
 */

import { cac } from "cac";
import { setTimeout as delay } from "node:timers/promises";
import { runSoak } from "../fakes/soakRun.js";

const exitFailed = 1;
const program = cac("soak");
program
    .command("", "Plays one seeded run and checks the promises")
    .option("--seed <number>", "Decides the whole schedule", { default: 1 })
    .option("--seconds <number>", "How long faults are injected", { default: 20 })
    .option("--entries <number>", "Entry processes", { default: 3 })
    .option("--plant", "Runs one payment twice on purpose: the soak must fail")
    .example("npm run soak -- --seed 7 --seconds 30")
    .action(async (flags: Readonly<Record<string, string | number | boolean>>) => {
        const seed = Number(flags["seed"]);
        const result = await runSoak({
            seed,
            seconds: Number(flags["seconds"]),
            entries: Number(flags["entries"]),
            plant: flags["plant"] === true,
        });
        console.log(
            `seed ${seed}: ${result.requests} requests, ${result.faults} faults, ${result.broken.length} broken`,
        );
        result.broken.forEach(line => console.log(`  ${line}`));
        if (result.broken.length > 0) {
            console.log(`again: npm run soak -- --seed ${seed} --seconds ${flags["seconds"]}; logs: ${result.logFile}`);
            process.exitCode = exitFailed;
        }
        // Sockets of callers whose entries were killed may linger.
        await delay(100);
        process.exit();
    });
program.help();
program.parse();
