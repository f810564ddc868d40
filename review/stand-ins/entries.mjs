/**
 * Starts entries as separate processes with the command of the deploy file, on free loopback ports, with the settings of
 * a small deployment.
 */

import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
const firstPort = 11_000;
const portSpan = 18_000;
let nextPort = firstPort + process.pid * 97 % portSpan;

async function freePort() {
    for (;;) {
        nextPort = nextPort + 1 < firstPort + portSpan ? nextPort + 1 : firstPort;
        const port = nextPort;
        const server = createServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return port;
        }
    }
}

/** The words of the entry's `run` in the deploy file. */
function deployCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.+)"$/mu.exec(text)[1].split(" ");
}

export async function startEntries(count, storeAddress, bounds = {}) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const ports = [];
    for (let index = 0; index < count; index++) {
        ports.push({
            callers: await freePort(),
            readiness: await freePort(),
            control: await freePort(),
            metrics: await freePort(),
        });
    }
    const seeds = ports.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`).join(",");
    const allBounds = {
        stable_window_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        loss_slack_ms: 200,
        config_apply_ms: 2000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 56,
        quota_window_s: 8,
        quota_overshoot: 0.1,
        quota_slack: 190000,
        ...bounds,
    };
    const entries = ports.map((port, index) => {
        const name = `front-a-${index + 1}`;
        const settings = join(folder, `${name}.conf`);
        const lines = [
            `node_name=${name}`,
            "machine_class=front",
            "serves=front,control",
            "ip=127.0.0.1",
            "zone=a",
            "region=r",
            "zones.a=r",
            `listen.front=127.0.0.1:${port.callers}`,
            `listen.readiness=127.0.0.1:${port.readiness}`,
            `listen.control=127.0.0.1:${port.control}`,
            `port_range=${port.metrics},${port.metrics}`,
            `seeds=${seeds}`,
            "bootstrap=true",
            "limits.memory_mb=200",
            ...Object.entries(allBounds).map(([key, value]) => `bounds.${key}=${value}`),
            `platform.address=${storeAddress}`,
            "platform.form=table",
        ];
        writeFileSync(settings, lines.join("\n"));
        return { name, settings, port: port.callers, readiness: port.readiness, child: undefined, log: "" };
    });

    function start(entry) {
        const [program, ...args] = deployCommand();
        const output = createWriteStream(join(folder, `${entry.name}.log`), { flags: "a" });
        entry.child = spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, GOOSEBERRYWELL_BOOT: entry.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        entry.child.stdout.on("data", chunk => {
            entry.log += chunk;
            output.write(chunk);
        });
        entry.child.stderr.on("data", chunk => {
            entry.log += chunk;
        });
    }

    function isReady(entry) {
        return new Promise(resolve => {
            const sent = request(
                { host: "127.0.0.1", port: entry.readiness, path: "/ready", agent: false },
                response => {
                    response.resume();
                    resolve(response.statusCode === 200);
                },
            );
            sent.on("error", () => resolve(false));
            sent.end();
        });
    }

    async function waitUntilReady(timeoutMs = 15_000) {
        const untilMs = performance.now() + timeoutMs;
        for (const entry of entries) {
            while (!await isReady(entry)) {
                if (performance.now() > untilMs) {
                    throw new Error(`${entry.name} is not ready: ${entry.log.slice(-2_000)}`);
                }
                await delay(50);
            }
        }
    }

    entries.forEach(start);
    return {
        entries,
        start,
        waitUntilReady,
        isReady,
        close: async () => {
            for (const { child } of entries) {
                if (child.exitCode === null && child.signalCode === null) {
                    const exited = new Promise(resolve => child.once("exit", resolve));
                    child.kill("SIGKILL");
                    await exited;
                }
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}
