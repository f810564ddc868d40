#!/usr/bin/env node
/**
 * `gooseberrywell`: the command-line tool for operators.
 */

import { cac } from "cac";
import { parse } from "jsonc-parser";
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { sha256Hex } from "../common/digest.js";
import { objectKinds } from "../configuration/objects.js";
import type { ObjectKind } from "../configuration/objects.js";
import type { Change } from "../configuration/state.js";
import { listResponseSchema, operatorMethods, withdrawKeyResponseSchema } from "../operators/messages.js";
import type { ListResponse } from "../operators/messages.js";
import { version } from "../version.js";
import { computeChanges, parseConfigurationFile } from "./configurationFile.js";
import { formatFleetStatus, readFleetStatus } from "./fleetStatus.js";
import { applyChanges, callEntry, describeApplyFailure } from "./operatorClient.js";
import { writeReport } from "./report.js";
import type { ReportFlags } from "./report.js";
import { formatTable } from "./table.js";

interface CommonFlags {
    readonly entry?: string;
    readonly json?: boolean;
}

interface SetFlags extends CommonFlags {
    readonly expect?: number;
    readonly account?: string;
}

const exitFailure = 1;
const exitUsageError = 2;
const keyBytes = 24;

function fail(message: string, code = exitFailure): never {
    process.stderr.write(`gooseberrywell: ${message}\n`);
    process.exit(code);
}

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}

function printResult(flags: CommonFlags, value: unknown, text: string): void {
    print(flags.json === true ? JSON.stringify(value) : text);
}

function requireEntryUrl(flags: CommonFlags): string {
    const url = flags.entry ?? process.env["GOOSEBERRYWELL_ENTRY"];
    return url ?? fail("--entry URL (or GOOSEBERRYWELL_ENTRY) is required", exitUsageError);
}

/** Reads a file, or standard input if `file` is "-" or omitted. */
function readInput(file: string | undefined): string {
    try {
        return readFileSync(file === undefined || file === "-" ? 0 : file, "utf8");
    }
    catch (error) {
        return fail((error as Error).message, exitUsageError);
    }
}

async function list(entryUrl: string, kind: ObjectKind): Promise<ListResponse> {
    const response = await callEntry(entryUrl, operatorMethods.list, { kind }, listResponseSchema);
    return response.isOk ? response.value : fail(response.error);
}

async function apply(flags: CommonFlags, changes: readonly Change[], summary: string): Promise<void> {
    const response = await applyChanges(requireEntryUrl(flags), changes);
    if (response.isErr) {
        fail(response.error);
    }
    if (response.value.kind !== "accepted") {
        fail(describeApplyFailure(response.value));
    }
    printResult(flags, response.value, `${summary}: revision ${response.value.revision}`);
}

async function showObjects(kind: ObjectKind, flags: CommonFlags): Promise<void> {
    const response = await list(requireEntryUrl(flags), kind);
    const rows = response.objects.map(({ name, version: objectVersion, value }) => [
        name,
        String(objectVersion),
        JSON.stringify(value),
    ]);
    printResult(flags, response, formatTable(["name", "version", "value"], rows));
}

async function setObject(kind: ObjectKind, name: string, file: string | undefined, flags: SetFlags): Promise<void> {
    const value: unknown = parse(readInput(file));
    const change = { kind, name, value, expectedVersion: flags.expect };
    await apply(flags, [change], `${kind} "${name}" set`);
}

async function addKey(name: string, flags: SetFlags): Promise<void> {
    if (flags.account === undefined) {
        fail("--account NAME is required", exitUsageError);
    }
    const key = `gw-${randomBytes(keyBytes).toString("base64url")}`;
    const value = { clientAccount: flags.account, digestHex: sha256Hex(key), state: "active" };
    await apply({ ...flags, json: false }, [{ kind: "key", name, value, expectedVersion: 0 }], `key "${name}" added`);
    printResult(flags, { name, key }, `key: ${key}\nIt will not be shown again.`);
}

async function withdrawKey(name: string, flags: CommonFlags): Promise<void> {
    const response = await callEntry(
        requireEntryUrl(flags),
        operatorMethods.withdrawKey,
        { name },
        withdrawKeyResponseSchema,
    );
    if (response.isErr) {
        fail(response.error);
    }
    if (response.value.kind === "unknownKey") {
        fail(`key "${name}" does not exist`);
    }
    const durability = response.value.durable ? "durable" : "not yet durable; it is written once the store responds";
    printResult(flags, response.value, `key "${name}" withdrawn: in force, ${durability}`);
}

async function applyFile(file: string | undefined, flags: CommonFlags & { readonly dryRun?: boolean; }): Promise<void> {
    const parsed = parseConfigurationFile(readInput(file));
    if (parsed.isErr) {
        fail(`${file ?? "standard input"}: ${parsed.error}`, exitUsageError);
    }
    const current = new Map<ObjectKind, ListResponse>();
    for (const kind of objectKinds.filter(each => parsed.value[each] !== undefined)) {
        current.set(kind, await list(requireEntryUrl(flags), kind));
    }
    const changes = computeChanges(parsed.value, current);
    const lines = changes.map(change => {
        const sign = change.value === undefined ? "-" : change.expectedVersion === 0 ? "+" : "~";
        return `${sign} ${change.kind} ${change.name} ${
            change.value === undefined ? "" : JSON.stringify(change.value)
        }`;
    });
    if (flags.json !== true) {
        lines.forEach(print);
    }
    if (changes.length === 0) {
        printResult(flags, { kind: "unchanged" }, "nothing to change");
        return;
    }
    if (flags.dryRun === true) {
        printResult(flags, { kind: "dryRun", changes }, `${changes.length} changes, none applied`);
        return;
    }
    await apply(flags, changes, `${changes.length} changes applied`);
}

async function setEndpointState(name: string, state: "serving" | "leaving", flags: CommonFlags): Promise<void> {
    const { objects } = await list(requireEntryUrl(flags), "endpoint");
    const endpoint = objects.find(object => object.name === name);
    if (endpoint === undefined) {
        fail(`endpoint "${name}" does not exist`);
    }
    const value = { ...endpoint.value as Readonly<Record<string, unknown>>, state };
    const change: Change = { kind: "endpoint", name, value, expectedVersion: endpoint.version };
    await apply(flags, [change], `endpoint "${name}" is ${state}`);
}

async function showStatus(flags: CommonFlags): Promise<void> {
    const status = await readFleetStatus(requireEntryUrl(flags));
    if (status.isErr) {
        fail(status.error);
    }
    printResult(flags, status.value, formatFleetStatus(status.value));
}

async function runObjectVerb(
    kind: ObjectKind,
    verb: string,
    name: string | undefined,
    file: string | undefined,
    flags: SetFlags,
): Promise<void> {
    if (verb === "list") {
        await showObjects(kind, flags);
        return;
    }
    if (name === undefined) {
        fail(`${kind} ${verb}: a name is required`, exitUsageError);
    }
    const verbs: Readonly<Record<string, (() => Promise<void>) | undefined>> = {
        set: () => setObject(kind, name, file, flags),
        delete: () => apply(flags, [{ kind, name, expectedVersion: flags.expect }], `${kind} "${name}" deleted`),
        add: kind === "key" ? () => addKey(name, flags) : undefined,
        withdraw: kind === "key" ? () => withdrawKey(name, flags) : undefined,
        drain: kind === "endpoint" ? () => setEndpointState(name, "leaving", flags) : undefined,
        undrain: kind === "endpoint" ? () => setEndpointState(name, "serving", flags) : undefined,
    };
    const run = verbs[verb]
        ?? fail(`unknown verb "${verb}" for ${kind}; see gooseberrywell ${kind} --help`, exitUsageError);
    await run();
}

const verbHelp: Readonly<Record<ObjectKind, string>> = {
    template: "list, set NAME [FILE], delete NAME",
    account: "list, set NAME [FILE], delete NAME",
    key: "list, add NAME --account ACCOUNT, withdraw NAME",
    pool: "list, set NAME [FILE], delete NAME",
    endpoint: "list, set NAME [FILE], delete NAME, drain NAME, undrain NAME",
    route: "list, set NAME [FILE], delete NAME",
};

const program = cac("gooseberrywell");
program.option("--entry <url>", "Internal address of the entry to call; default: $GOOSEBERRYWELL_ENTRY");
program.option("--json", "Print JSON instead of text");

for (const kind of objectKinds) {
    program
        .command(
            `${kind} <verb> [name] [file]`,
            `Verbs: ${verbHelp[kind]}; without FILE the value is read from standard input`,
        )
        .option("--expect <version>", "Reject the change unless the object has this version (0: does not exist)")
        .option("--account <name>", "Client account of a new key")
        .example(
            kind === "key" ? "gooseberrywell key add desk-1 --account bookings" : `gooseberrywell ${kind} list --json`,
        )
        .action((verb: string, name: string | undefined, file: string | undefined, flags: SetFlags) =>
            runObjectVerb(kind, verb, name, file, flags)
        );
}

program
    .command("apply [file]", "Validate a configuration file, show the changes and apply them in one transaction")
    .option("--dry-run", "Only show the changes")
    .example("gooseberrywell apply site.jsonc --entry http://127.0.0.1:4100")
    .action(applyFile);

program
    .command("status", "Show the configuration revision, hosts behind it, endpoints and their agents")
    .example("gooseberrywell status --json")
    .action(showStatus);

program
    .command("report [...logs]", "Render burn rate, latency, refusals and fairness from the logs of entries as HTML")
    .option("--out <file>", "Output file; default: report.html")
    .option("--target <percent>", "Percentage of requests that should be good; default: 95")
    .option("--window <seconds>", "Window length of the plots; default: 2")
    .example("gooseberrywell report entry-1.log entry-2.log --out report.html --target 99")
    .action((logs: readonly string[], flags: ReportFlags) => {
        const written = writeReport(logs, flags);
        print(written.isOk ? written.value : fail(written.error, exitUsageError));
    });

program.help();
program.version(version);

try {
    program.parse(process.argv, { run: false });
    if (
        program.matchedCommand === undefined && program.options["help"] !== true && program.options["version"] !== true
    ) {
        fail(`unknown command "${program.args[0] ?? ""}"; see gooseberrywell --help`, exitUsageError);
    }
    await program.runMatchedCommand();
}
catch (error) {
    fail((error as Error).message, exitUsageError);
}
