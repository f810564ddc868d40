#!/usr/bin/env node
/**
 * `gooseberrywelld SETTINGS`: runs an entry or an agent, depending on the role in the settings file.
 */

import { cac } from "cac";
import { readFileSync } from "node:fs";
import { startAgent } from "../endpoint/agent.js";
import { createHttpPlatform } from "../platform/httpPlatform.js";
import { describeSettingsError, parseSettings } from "../settings/settings.js";
import type { Settings } from "../settings/settings.js";
import { createTelemetry } from "../telemetry/telemetry.js";
import { version } from "../version.js";
import { startEntry } from "./entry.js";

interface RunningProcess {
    readonly shutDown: () => Promise<void>;
}

const exitUsageError = 2;
const exitFailure = 1;

function exitWithUsageError(message: string): never {
    process.stderr.write(`gooseberrywelld: ${message}\n`);
    process.exit(exitUsageError);
}

function readSettings(file: string): Settings {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return exitWithUsageError(`${file}: ${(error as Error).message}`);
    }
    const settings = parseSettings(file, text);
    return settings.isOk ? settings.value : exitWithUsageError(describeSettingsError(settings.error));
}

async function start(settings: Settings): Promise<RunningProcess> {
    const telemetry = createTelemetry(settings.host, settings.statsd);
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
    const running = await start(readSettings(file));
    let isShuttingDown = false;
    const shutDownOnce = (): void => {
        if (!isShuttingDown) {
            isShuttingDown = true;
            void running.shutDown().then(() => process.exit(0));
        }
    };
    process.on("SIGTERM", shutDownOnce);
    process.on("SIGINT", shutDownOnce);
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
