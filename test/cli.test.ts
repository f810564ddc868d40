/**
 * Runs the operators' command-line tool and the daemon as child processes, and checks exit codes and output.
 */

import { spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { complete, eventually, startSite } from "../fakes/site.js";
import type { Process, Site } from "../fakes/site.js";

interface Output {
    readonly code: number | null;
    readonly stdout: string;
    readonly stderr: string;
}

const tool = "dist/src/cli/main.js";
const daemon = "dist/src/daemon/main.js";
let site: Site;
let entry: Process;

beforeAll(async () => {
    site = await startSite({ decode: 2 });
    entry = site.entries[0] as Process;
});

afterAll(() => site.stop());

function run(file: string, args: readonly string[], input = ""): Promise<Output> {
    const child = spawn(process.execPath, [file, ...args], {
        env: { ...process.env, GOOSEBERRYWELL_ENTRY: entry.url },
    });
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (chunk: Buffer) => {
        stdout += chunk.toString();
    });
    child.stderr.on("data", (chunk: Buffer) => {
        stderr += chunk.toString();
    });
    child.stdin.end(input);
    return new Promise(resolve => child.once("close", code => resolve({ code, stdout, stderr })));
}

interface InvocationCase {
    readonly name: string;
    readonly file?: string;
    readonly args: readonly string[];
    readonly input?: string;
    readonly code: number;
    readonly stdout?: string;
    readonly stderr?: string;
}

const invocationCases: readonly InvocationCase[] = [
    { name: "help with examples", args: ["key", "--help"], code: 0, stdout: "gooseberrywell key add desk-1" },
    { name: "a version", args: ["--version"], code: 0, stdout: "gooseberrywell/0.1.0" },
    { name: "an unknown command", args: ["fly"], code: 2, stderr: "unknown command \"fly\"" },
    { name: "an unknown verb", args: ["account", "fly", "x"], code: 2, stderr: "unknown verb \"fly\" for account" },
    { name: "an unknown option", args: ["status", "--fast"], code: 2, stderr: "--fast" },
    { name: "a missing name", args: ["account", "delete"], code: 2, stderr: "a name is required" },
    {
        name: "an entry address on which nothing listens",
        args: ["status", "--entry", "http://127.0.0.1:1"],
        code: 1,
        stderr: "ECONNREFUSED",
    },
    { name: "a list as a table", args: ["account", "list"], code: 0, stdout: "NAME     VERSION  VALUE" },
    {
        name: "a list as JSON",
        args: ["account", "list", "--json"],
        code: 0,
        stdout: "{\"revision\":1,\"objects\":[{\"name\":\"desk\"",
    },
    {
        name: "a value from standard input",
        args: ["template", "set", "night"],
        input: "{ \"ratePerSecond\": 2, \"burstRequests\": 4 } // slow",
        code: 0,
        stdout: "template \"night\" set: revision 2",
    },
    {
        name: "an invalid value",
        args: ["template", "set", "night"],
        input: "{ \"ratePerSecond\": \"x\" }",
        code: 1,
        stderr: "template/night: ratePerSecond",
    },
    {
        name: "an expected version that is out of date",
        args: ["template", "delete", "night", "--expect", "1"],
        code: 1,
        stderr: "now at version 2: {\"ratePerSecond\":2",
    },
    {
        name: "a deletion",
        args: ["template", "delete", "night", "--expect", "2"],
        code: 0,
        stdout: "deleted: revision 3",
    },
    { name: "an unknown key", args: ["key", "withdraw", "none"], code: 1, stderr: "key \"none\" does not exist" },
    { name: "a drain", args: ["endpoint", "drain", "decode-2"], code: 0, stdout: "endpoint \"decode-2\" is leaving" },
    { name: "the status", args: ["status"], code: 0, stdout: "decode-2   chat  decode   leaving" },
    { name: "daemon help", file: daemon, args: ["--help"], code: 0, stdout: "gooseberrywelld --check agent.jsonc" },
    {
        name: "a daemon without a settings file",
        file: daemon,
        args: [],
        code: 2,
        stderr: "a settings file is required",
    },
    {
        name: "a daemon with a settings file that does not exist",
        file: daemon,
        args: ["none.jsonc"],
        code: 2,
        stderr: "none.jsonc",
    },
];

test("each invocation exits with its code, and a failure prints one line to stderr", async () => {
    for (const { name, file = tool, args, input, code, stdout = "", stderr = "" } of invocationCases) {
        const output = await run(file, args, input);
        expect({ name, code: output.code, stderr: output.stderr }).toEqual({
            name,
            code,
            stderr: expect.stringContaining(stderr) as string,
        });
        expect(output.stdout).toContain(stdout);
        expect(code === 0 ? "" : output.stderr.trim().split("\n").length).toBe(code === 0 ? "" : 1);
    }
});

test("--check validates a settings file without starting the daemon", async () => {
    const file = join(mkdtempSync(join(tmpdir(), "gooseberrywell-")), "agent.jsonc");
    writeFileSync(file, "{\n  \"role\": \"agent\",\n  \"host\": 7\n}\n");
    const output = await run(daemon, ["--check", file]);
    expect(output.code).toBe(2);
    expect(output.stderr).toContain("agent.jsonc:3: host: ");
});

test("a new key works and a withdrawn one does not", async () => {
    const added = await run(tool, ["key", "add", "desk-2", "--account", "desk", "--json"]);
    const key = /"key":"([^"]+)"/.exec(added.stdout)?.[1] ?? "";
    await eventually("the key works", async () => (await complete(entry, { prompt: "x", max_tokens: 1 }, key)).done);
    const withdrawn = await run(tool, ["key", "withdraw", "desk-2"]);
    expect(withdrawn.stdout).toContain("in force, durable");
    expect((await complete(entry, { prompt: "x", max_tokens: 1 }, key)).error?.code).toBe("key_withdrawn");
});

test("a configuration file is validated, compared with the current state and applied in one transaction", async () => {
    const file = {
        template: {
            standard: { ratePerSecond: 300, burstRequests: 300 },
            night: { ratePerSecond: 1, burstRequests: 1 },
        },
        account: { walkers: { template: "standard" }, desk: { template: "standard" }, owls: { template: "night" } },
    };
    const dryRun = await run(tool, ["apply", "--dry-run"], JSON.stringify(file));
    expect(dryRun.stdout).toContain("+ account owls");
    expect(dryRun.stdout).toContain("~ template standard");
    expect(dryRun.stdout).toContain("3 changes, none applied");
    const applied = await run(tool, ["apply"], JSON.stringify(file));
    expect(applied.stdout).toContain("3 changes applied: revision");
    expect((await run(tool, ["apply"], JSON.stringify(file))).stdout).toContain("nothing to change");
    const { owls: removed, ...account } = file.account;
    const smaller = await run(tool, ["apply"], JSON.stringify({ ...file, account }));
    expect(removed).toBeDefined();
    expect(smaller.stdout).toContain("- account owls");
    const invalid = await run(tool, ["apply"], "{ \"account\": { \"x\": { \"tmplate\": \"y\" } } }");
    expect([invalid.code, invalid.stderr]).toEqual([2, expect.stringContaining("account.x.template")]);
});
