/** Starts the entries with the command of the deploy file, each on a loopback address of its own. */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "../..");
const children = new Set();
let directory;

/** A port that is free on all of these addresses. */
export async function freePort(ips) {
    for (;;) {
        const port = 12_000 + Math.floor(Math.random() * 18_000);
        const free = await Promise.all(ips.map(ip =>
            new Promise(resolve => {
                const server = createServer();
                server.once("error", () => resolve(false));
                server.listen(port, ip, () => server.close(() => resolve(true)));
            })
        ));
        if (free.every(Boolean)) {
            return port;
        }
    }
}

/**
 * `count` entries on 127.0.1.1, 127.0.1.2 and so on, with the same ports on each; `settings` overrides lines of the
 * settings file, for all or by index.
 */
export async function startEntries(count, { storeAddress, settings = {}, settingsOf = () => ({}), seeds }) {
    directory ??= mkdtempSync(join(tmpdir(), "review-2-"));
    const ips = Array.from({ length: count }, (unused, index) => `127.0.1.${index + 1}`);
    const [front, readiness, control, metrics] = [
        await freePort(ips),
        await freePort(ips),
        await freePort(ips),
        await freePort(ips),
    ];
    return ips.map((ip, index) => {
        const file = join(directory, `settings-${index + 1}.conf`);
        const lines = {
            node_name: `front-a-${index + 1}`,
            role: "entry",
            machine_class: "front",
            serves: "front,control",
            ip,
            zone: "a",
            region: "r",
            "zones.a": "r",
            "listen.front": `${ip}:${front}`,
            "listen.readiness": `${ip}:${readiness}`,
            "listen.control": `${ip}:${control}`,
            port_range: `${metrics},${metrics + 1}`,
            seeds: seeds ?? ips.slice(0, 3).map(seed => `${seed}:${control}`).join(","),
            bootstrap: "true",
            "limits.cpu_share": "0.513",
            "limits.cores": "1",
            "limits.memory_mb": "200",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "56",
            "bounds.quota_window_s": "8",
            "bounds.quota_overshoot": "0.1",
            "bounds.quota_slack": "190000",
            "bounds.lease_ms": "3000",
            "platform.address": storeAddress,
            "platform.form": "table",
            ...settings,
            ...settingsOf(index),
        };
        writeFileSync(file, Object.entries(lines).map(([key, value]) => `${key}=${value}`).join("\n") + "\n");
        const entry = {
            name: lines.node_name,
            ip,
            front,
            readiness,
            control,
            metrics,
            file,
            log: "",
            exit: undefined,
            start: () => {
                entry.exit = undefined;
                const child = spawn("node", ["--max-old-space-size=110", "target/start.cjs"], {
                    cwd: root,
                    env: { GOOSEBERRYWELL_BOOT: file, PATH: process.env.PATH },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                children.add(child);
                entry.child = child;
                child.stdout.on("data", data => (entry.log += data));
                child.stderr.on("data", data => (entry.log += data));
                entry.exited = new Promise(resolve =>
                    child.once("exit", (code, signal) => {
                        children.delete(child);
                        entry.exit = signal ?? code;
                        resolve(entry.exit);
                    })
                );
            },
            signal: name => entry.child.kill(name),
        };
        entry.start();
        return entry;
    });
}

export async function isReady({ ip, readiness }) {
    try {
        const response = await fetch(`http://${ip}:${readiness}/ready`, { signal: AbortSignal.timeout(500) });
        await response.arrayBuffer();
        return response.status === 200;
    }
    catch {
        return false;
    }
}

/** Polls until `check` holds; throws after `timeoutMs`. */
export async function until(what, check, timeoutMs = 15_000) {
    const endsAtMs = performance.now() + timeoutMs;
    while (!await check()) {
        if (performance.now() > endsAtMs) {
            throw new Error(`gave up waiting for: ${what}`);
        }
        await delay(20);
    }
}

export async function allReady(entries) {
    await until("the entries are ready", async () => (await Promise.all(entries.map(isReady))).every(Boolean));
}

/** Ends all processes that were started here. */
export async function endAll() {
    for (const child of children) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
    }
    await until("the entries have ended", () => children.size === 0, 5_000);
    if (directory !== undefined) {
        rmSync(directory, { recursive: true, force: true });
    }
}
