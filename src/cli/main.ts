#!/usr/bin/env node
/**
 * `gooseberrywell`: the operators' command-line tool.
 */

import { cac } from "cac";
import { parse } from "jsonc-parser";
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { sha256Hex } from "../common/digest.js";
import { objectKinds } from "../configuration/objects.js";
import type { ObjectKind } from "../configuration/objects.js";
import type { Change } from "../configuration/state.js";
import { listAnswerSchema, operatorMethods, withdrawKeyAnswerSchema } from "../operators/messages.js";
import type { ListAnswer } from "../operators/messages.js";
import { version } from "../version.js";
import { differences, parseConfigurationFile } from "./configurationFile.js";
import { formatFleetStatus, readFleetStatus } from "./fleetStatus.js";
import { applyChanges, callEntry, describeRefusal } from "./operatorClient.js";
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

const exitRefused = 1;
const exitBadUse = 2;
const keyBytes = 24;

function fail(message: string, code = exitRefused): never {
    process.stderr.write(`gooseberrywell: ${message}\n`);
    process.exit(code);
}

function print(text: string): void {
    process.stdout.write(`${text}\n`);
}

function printResult(flags: CommonFlags, value: unknown, text: string): void {
    print(flags.json === true ? JSON.stringify(value) : text);
}

function entryOf(flags: CommonFlags): string {
    const url = flags.entry ?? process.env["GOOSEBERRYWELL_ENTRY"];
    return url ?? fail("--entry URL (or GOOSEBERRYWELL_ENTRY) is required", exitBadUse);
}

/** The text of a file, or of standard input for "-" and for no name at all. */
function readInput(file: string | undefined): string {
    try {
        return readFileSync(file === undefined || file === "-" ? 0 : file, "utf8");
    }
    catch (error) {
        return fail((error as Error).message, exitBadUse);
    }
}

async function list(entryUrl: string, kind: ObjectKind): Promise<ListAnswer> {
    const answer = await callEntry(entryUrl, operatorMethods.list, { kind }, listAnswerSchema);
    return answer.isOk ? answer.value : fail(answer.error);
}

async function apply(flags: CommonFlags, changes: readonly Change[], summary: string): Promise<void> {
    const answer = await applyChanges(entryOf(flags), changes);
    if (answer.isErr) {
        fail(answer.error);
    }
    if (answer.value.kind !== "accepted") {
        fail(describeRefusal(answer.value));
    }
    printResult(flags, answer.value, `${summary}: revision ${answer.value.revision}`);
}

async function showObjects(kind: ObjectKind, flags: CommonFlags): Promise<void> {
    const answer = await list(entryOf(flags), kind);
    const rows = answer.objects.map(({ name, version: objectVersion, value }) => [
        name,
        String(objectVersion),
        JSON.stringify(value),
    ]);
    printResult(flags, answer, formatTable(["name", "version", "value"], rows));
}

async function setObject(kind: ObjectKind, name: string, file: string | undefined, flags: SetFlags): Promise<void> {
    const value: unknown = parse(readInput(file));
    const change = { kind, name, value, expectedVersion: flags.expect };
    await apply(flags, [change], `${kind} "${name}" set`);
}

async function addKey(name: string, flags: SetFlags): Promise<void> {
    if (flags.account === undefined) {
        fail("--account NAME is required", exitBadUse);
    }
    const key = `gw-${randomBytes(keyBytes).toString("base64url")}`;
    const value = { clientAccount: flags.account, digestHex: sha256Hex(key), state: "active" };
    await apply({ ...flags, json: false }, [{ kind: "key", name, value, expectedVersion: 0 }], `key "${name}" added`);
    printResult(flags, { name, key }, `key: ${key}\nIt is shown only this once.`);
}

async function withdrawKey(name: string, flags: CommonFlags): Promise<void> {
    const answer = await callEntry(entryOf(flags), operatorMethods.withdrawKey, { name }, withdrawKeyAnswerSchema);
    if (answer.isErr) {
        fail(answer.error);
    }
    if (answer.value.kind === "unknownKey") {
        fail(`key "${name}" does not exist`);
    }
    const durability = answer.value.durable ? "durable" : "not yet durable; it is written once the store answers";
    printResult(flags, answer.value, `key "${name}" withdrawn: in force, ${durability}`);
}

async function applyFile(file: string | undefined, flags: CommonFlags & { readonly dryRun?: boolean; }): Promise<void> {
    const parsed = parseConfigurationFile(readInput(file));
    if (parsed.isErr) {
        fail(`${file ?? "standard input"}: ${parsed.error}`, exitBadUse);
    }
    const current = new Map<ObjectKind, ListAnswer>();
    for (const kind of objectKinds.filter(each => parsed.value[each] !== undefined)) {
        current.set(kind, await list(entryOf(flags), kind));
    }
    const changes = differences(parsed.value, current);
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
    const { objects } = await list(entryOf(flags), "endpoint");
    const endpoint = objects.find(object => object.name === name);
    if (endpoint === undefined) {
        fail(`endpoint "${name}" does not exist`);
    }
    const value = { ...endpoint.value as Readonly<Record<string, unknown>>, state };
    const change: Change = { kind: "endpoint", name, value, expectedVersion: endpoint.version };
    await apply(flags, [change], `endpoint "${name}" is ${state}`);
}

async function showStatus(flags: CommonFlags): Promise<void> {
    const status = await readFleetStatus(entryOf(flags));
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
        fail(`${kind} ${verb}: a name is required`, exitBadUse);
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
        ?? fail(`unknown verb "${verb}" for ${kind}; see gooseberrywell ${kind} --help`, exitBadUse);
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
program.option("--entry <url>", "The entry to talk to, by its internal address; default: $GOOSEBERRYWELL_ENTRY");
program.option("--json", "Print JSON instead of text");

for (const kind of objectKinds) {
    program
        .command(
            `${kind} <verb> [name] [file]`,
            `Verbs: ${verbHelp[kind]}; without FILE the value is read from standard input`,
        )
        .option("--expect <version>", "Refuse the change unless the object is at this version (0: does not exist)")
        .option("--account <name>", "The client account of a new key")
        .example(
            kind === "key" ? "gooseberrywell key add desk-1 --account bookings" : `gooseberrywell ${kind} list --json`,
        )
        .action((verb: string, name: string | undefined, file: string | undefined, flags: SetFlags) =>
            runObjectVerb(kind, verb, name, file, flags)
        );
}

program
    .command("apply [file]", "Check a whole configuration file, show the difference and apply it in one transaction")
    .option("--dry-run", "Only show the difference")
    .example("gooseberrywell apply site.jsonc --entry http://127.0.0.1:4100")
    .action(applyFile);

program
    .command("status", "Show an entry's revision, who lags, endpoints and their agents")
    .example("gooseberrywell status --json")
    .action(showStatus);

program
    .command("report [...logs]", "Service-level burn, latency, refusals and fairness from entries' logs, as HTML")
    .option("--out <file>", "Where the page is written; default: report.html")
    .option("--target <percent>", "Part of the requests that is to be good; default: 95")
    .option("--window <seconds>", "Length of a window in the plots; default: 2")
    .example("gooseberrywell report entry-1.log entry-2.log --out report.html --target 99")
    .action((logs: readonly string[], flags: ReportFlags) => {
        const written = writeReport(logs, flags);
        print(written.isOk ? written.value : fail(written.error, exitBadUse));
    });

program.help();
program.version(version);

try {
    program.parse(process.argv, { run: false });
    if (
        program.matchedCommand === undefined && program.options["help"] !== true && program.options["version"] !== true
    ) {
        fail(`unknown command "${program.args[0] ?? ""}"; see gooseberrywell --help`, exitBadUse);
    }
    await program.runMatchedCommand();
}
catch (error) {
    fail((error as Error).message, exitBadUse);
}
