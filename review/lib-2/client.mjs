/** A client on a raw connection, and the desired state of the cases. */

import { connect } from "node:net";

let lastRequest = 0;
export const newId = () => `c${process.pid.toString(16)}${(++lastRequest).toString(16).padStart(8, "0")}`;

export const host = "site.example";

/** A desired state with a route of each kind. */
export function desiredState(version, overrides = {}) {
    const route = { host, timeout_ms: 5_000, target_latency_ms: 400, priority: 1, attempts: 2, public: false };
    const stream = { kind: "stream", service: "models", timeout_ms: 14_000, session_affinity: true };
    return {
        version,
        routes: [
            { ...route, name: "pay", prefix: "/pay/", kind: "non_idempotent", service: "desk", attempts: 1 },
            { ...route, name: "look", prefix: "/look/", kind: "idempotent", service: "desk" },
            { ...route, ...stream, name: "sum", prefix: "/sum/", attempts: 1 },
            { ...route, ...stream, name: "long", prefix: "/long/", resumable: true },
        ],
        services: [
            {
                name: "models",
                max_connections: 370,
                health_check: "/health",
                engine: { slots: 64, kv_tokens: 58_379, reconfigure_s: 6, hold_ms: 2_000, stride: 8 },
            },
            { name: "desk", max_connections: 110, health_check: "/health" },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "hule930", api_keys: ["key-1"], unit: "tokens", plain_tokens: 200, rate_per_s: 0 }],
        ...overrides,
    };
}

/** Sends a request on a new connection; resolves with its status, headers, body and whether the answer was complete. */
export function send({ ip, front }, { method = "POST", target, body = "", headers = {}, id = newId(), timeoutMs = 10_000 }) {
    return new Promise(resolve => {
        const socket = connect(front, ip);
        const startedAtMs = performance.now();
        let text = "";
        let settled = false;
        const timer = setTimeout(() => settle("timeout"), timeoutMs);
        function settle(how) {
            if (settled) {
                return;
            }
            settled = true;
            clearTimeout(timer);
            socket.destroy();
            resolve({ id, how, tookMs: Math.round(performance.now() - startedAtMs), ...parse(text) });
        }
        socket.on("connect", () => {
            const head = [
                `${method} ${target} HTTP/1.1`,
                `host: ${host}`,
                `x-gooseberrywell-request-id: ${id}`,
                "x-gooseberrywell-model-name: m",
                "api-key: key-1",
                ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
                ...method === "GET" ? [] : [`content-length: ${Buffer.byteLength(body)}`],
            ];
            socket.write(`${head.join("\r\n")}\r\n\r\n${body}`);
        });
        socket.on("data", data => {
            text += data.toString("latin1");
            if (parse(text).isComplete) {
                settle("answered");
            }
        });
        socket.on("end", () => settle("closed"));
        socket.on("error", error => settle(error.code));
    });
}

/** Reads an answer as far as it has arrived. */
export function parse(text) {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: undefined, headers: {}, body: "", isComplete: false };
    }
    const [first, ...lines] = text.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => [
        line.slice(0, line.indexOf(":")).toLowerCase(),
        line.slice(line.indexOf(":") + 1).trim(),
    ]));
    const rest = text.slice(headEnd + 4);
    const status = Number(first.split(" ")[1]);
    if (headers["transfer-encoding"]?.includes("chunked")) {
        return { status, headers, ...unchunk(rest) };
    }
    const length = Number(headers["content-length"] ?? Number.NaN);
    return { status, headers, body: rest, isComplete: rest.length >= length };
}

function unchunk(text) {
    let body = "";
    for (let position = 0;;) {
        const lineEnd = text.indexOf("\r\n", position);
        if (lineEnd < 0) {
            return { body, isComplete: false };
        }
        const size = Number.parseInt(text.slice(position, lineEnd), 16);
        const chunk = text.slice(lineEnd + 2, lineEnd + 2 + size);
        body += chunk;
        if (size === 0 || chunk.length < size) {
            return { body, isComplete: size === 0 && text.length >= lineEnd + 4 };
        }
        position = lineEnd + 2 + size + 2;
    }
}

export const generationHeaders = (promptTokens = 5_000, outputTokens = 60, part = newId()) => ({
    "x-gooseberrywell-token-usage": `${promptTokens},${outputTokens}`,
    "x-gooseberrywell-prompt-prefix": `5c1e07a2:200,${part}:${promptTokens - 200}`,
    "x-gooseberrywell-length-hint": String(outputTokens),
    "x-gooseberrywell-request-deadline": "14000",
});
