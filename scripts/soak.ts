/**
 * Fault-injection soak test: real entry processes under external faults; the guarantees are checked from what callers
 * and engines observe. The seed determines the whole schedule.
 *
 *     npm run soak -- --seed 7 --seconds 30
 */

import { cac } from "cac";
import { setTimeout as delay } from "node:timers/promises";
import { runSoak } from "../fakes/soakRun.js";

const exitFailed = 1;
const program = cac("soak");
program
    .command("", "Runs one seeded soak and checks the guarantees")
    .option("--seed <number>", "Determines the schedule of requests and faults", { default: 1 })
    .option("--seconds <number>", "Duration of the fault injection", { default: 20 })
    .option("--entries <number>", "Number of entry processes", { default: 3 })
    .option("--planned", "Injects planned work only, and checks that it cuts off no response")
    .option("--plant", "Runs one payment twice, to check that the soak fails")
    .example("npm run soak -- --seed 7 --seconds 30")
    .action(async (flags: Readonly<Record<string, string | number | boolean>>) => {
        const seed = Number(flags["seed"]);
        const result = await runSoak({
            seed,
            seconds: Number(flags["seconds"]),
            entries: Number(flags["entries"]),
            isPlanned: flags["planned"] === true,
            runPaymentTwice: flags["plant"] === true,
        });
        console.log(
            `seed ${seed}: ${result.requests} requests, ${result.takenUp} streams taken up, ${result.goingOn} went on, `
                + `${result.faults} faults, ${result.broken.length} broken`,
        );
        result.broken.forEach(line => console.log(`  ${line}`));
        if (result.broken.length > 0) {
            console.log(
                `reproduce with: npm run soak -- --seed ${seed} --seconds ${flags["seconds"]} --entries ${
                    flags["entries"]
                }`
                    + `${flags["planned"] === true ? " --planned" : ""}; logs: ${result.logFile}`,
            );
            process.exitCode = exitFailed;
        }
        // Sockets of callers whose entries were killed may otherwise keep this process alive.
        await delay(100);
        process.exit();
    });
program.help();
program.parse();
