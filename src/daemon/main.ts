#!/usr/bin/env node
/**
 * `gooseberrywelld SETTINGS`: runs an entry or an agent, depending on the role in the settings file.
 */

import { cac } from "cac";
import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import { systemClock } from "../common/clock.js";
import { startAgent } from "../endpoint/agent.js";
import { createHttpPlatform } from "../platform/httpPlatform.js";
import { describeSettingsError, parseSettings } from "../settings/settings.js";
import type { Settings } from "../settings/settings.js";
import { createTelemetry } from "../telemetry/telemetry.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import { version } from "../version.js";
import { startEntry } from "./entry.js";
import { createProcessErrors } from "./processErrors.js";

interface RunningProcess {
    readonly shutDown: () => Promise<void>;
}

const exitUsageError = 2;
const exitFailure = 1;

function exitWithUsageError(message: string): never {
    process.stderr.write(`gooseberrywelld: ${message}\n`);
    process.exit(exitUsageError);
}

function loadSettings(file: string): Result<Settings, string> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return Result.err(`${file}: ${(error as Error).message}`);
    }
    return parseSettings(file, text).mapErr(describeSettingsError);
}

function readSettings(file: string): Settings {
    const settings = loadSettings(file);
    return settings.isOk ? settings.value : exitWithUsageError(settings.error);
}

async function start(settings: Settings, telemetry: Telemetry): Promise<RunningProcess> {
    if (settings.role === "entry") {
        const entry = await startEntry(settings, createHttpPlatform(settings.platform), telemetry);
        process.stdout.write(`${JSON.stringify({ url: entry.url, callersUrl: entry.callersUrl })}\n`);
        return entry;
    }
    const { host, endpoint, endpointUrl, entryUrls, listen } = settings;
    const agent = await startAgent({
        host,
        endpoint,
        endpointUrl,
        entryUrls,
        listenAddress: listen.address,
        listenPort: listen.port,
    }, telemetry);
    process.stdout.write(`${JSON.stringify({ url: agent.url })}\n`);
    return agent;
}

async function run(file: string): Promise<void> {
    const settings = readSettings(file);
    const telemetry = createTelemetry(settings.host, settings.statsd);
    // A signal may come while the listeners are being opened; the process then stops once it has started.
    const stopRequested = new Promise<number>(resolve => {
        process.on("SIGTERM", () => resolve(0));
        process.on("SIGINT", () => resolve(0));
        keepRunning(file, telemetry, () => resolve(exitFailure));
    });
    const running = await start(settings, telemetry);
    const exitCode = await stopRequested;
    await running.shutDown();
    process.exit(exitCode);
}

/**
 * Without handlers, a reload request, an error that no other code handles, or a log without a reader would end the process
 * and every request in progress. `drain` is called if such errors keep coming.
 */
function keepRunning(file: string, { log }: Telemetry, drain: () => void): void {
    process.on("SIGHUP", () => {
        const reread = loadSettings(file);
        const outcome = reread.isOk ? "valid; changes apply at the next start" : reread.error;
        log.info("settings were read again", { outcome });
    });
    process.stdout.on("error", () => undefined);
    process.stderr.on("error", () => undefined);
    const errors = createProcessErrors({ clock: systemClock, log: { error: log.warn }, drain });
    // Rejections that nothing handles arrive here as well.
    process.on("uncaughtException", errors.record);
}

const program = cac("gooseberrywelld");
program
    .command("[settings]", "Run the process that a settings file describes")
    .option("--check", "Check the settings file and exit")
    .example("gooseberrywelld entry.jsonc")
    .example("gooseberrywelld --check agent.jsonc")
    .action(async (file: string | undefined, flags: { readonly check?: boolean | string; }) => {
        const path = file ?? (typeof flags.check === "string" ? flags.check : undefined);
        if (path === undefined) {
            exitWithUsageError("a settings file is required; see gooseberrywelld --help");
        }
        if (flags.check !== undefined) {
            const settings = readSettings(path);
            process.stdout.write(`${path}: valid, role ${settings.role}\n`);
            return;
        }
        await run(path);
    });
program.help();
program.version(version);

try {
    program.parse(process.argv, { run: false });
    await program.runMatchedCommand();
}
catch (error) {
    const message = (error as Error).message;
    process.stderr.write(`gooseberrywelld: ${message}\n`);
    process.exit((error as Error).name === "CACError" ? exitUsageError : exitFailure);
}
