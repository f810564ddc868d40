/**
 * Stand-in of the platform's store: rows, transactions and change feeds, as PROTOCOL.md describes them. It loses nothing
 * that it has acknowledged.
 */

import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

export async function startStore({ ip = "127.0.0.1" } = {}) {
    const startedAtMs = performance.now();
    /** Rows by `table part key`, and the changes in order. */
    const rows = new Map();
    const changes = [];
    const waiting = new Set();
    const calls = [];
    let version = 0;
    let era;
    /**
     * Called with each call; resolves to "drop" to lose the answer, to a status that refuses the call, or to a number of
     * bytes a second at which the rows that were read arrive.
     */
    let intercept = async () => undefined;

    const idOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

    function apply(table, part, key, value) {
        version += 1;
        const row = { table, part, key, value, row_version: version };
        if (value === undefined) {
            rows.delete(idOf(row));
            changes.push({ table, part, key, row_version: version, deleted: true });
        }
        else {
            rows.set(idOf(row), row);
            changes.push(row);
        }
        [...waiting].forEach(wake => wake());
    }

    function put(table, key, value) {
        apply(table, "", key, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64"));
        return version;
    }

    function answer(response, status, body = {}) {
        const text = JSON.stringify({ row_version: version, ...body, now_ms: Math.round(performance.now() - startedAtMs) });
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            ...era === undefined ? {} : { "store-era": String(era) },
        });
        response.end(text);
    }

    function transact({ expected_revision: conditions = [], writes = [], remove = [] }) {
        const current = conditions.map(row => rows.get(idOf(row))).filter(row => row !== undefined);
        const holds = conditions.every(row => (rows.get(idOf(row))?.row_version ?? 0) === row.row_version);
        if (!holds) {
            return { status: 412, body: { rows: current } };
        }
        writes.forEach(({ table, part = "", key, value }) => apply(table, part, key, value));
        remove.forEach(({ table, part = "", key }) => apply(table, part, key, undefined));
        return { status: 200, body: {} };
    }

    async function feed(query, request, response) {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const since = () => changes.filter(row => row.table === table && row.row_version > after);
        const endsAtMs = performance.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
        while (since().length === 0 && performance.now() < endsAtMs && !request.socket.destroyed) {
            await new Promise(resolve => {
                const timer = setTimeout(wake, Math.max(1, endsAtMs - performance.now()));
                function wake() {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    request.socket.removeListener("close", wake);
                    resolve();
                }
                waiting.add(wake);
                request.socket.once("close", wake);
            });
        }
        answer(response, 200, { rows: since() });
    }

    const server = createServer(async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { pathname, searchParams: query } = new URL(request.url, "http://store");
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
        calls.push({ path: pathname, body, atMs: Date.now() });
        const outcome = await intercept({ path: pathname, query, body });
        if (typeof outcome === "number") {
            answer(response, outcome);
            return;
        }
        if (pathname === "/rows-feed") {
            await feed(query, request, response);
        }
        else if (pathname === "/rows-get") {
            const [from, to, limit] = [query.get("from"), query.get("to"), Number(query.get("limit") ?? 500)];
            const found = [...rows.values()]
                .filter(row => row.table === query.get("table") && row.part === (query.get("part") ?? ""))
                .filter(row => (from === null || row.key >= from) && (to === null || row.key < to))
                .sort((a, b) => (a.key < b.key ? -1 : 1));
            const page = { rows: found.slice(0, limit), more_pages: found.length > limit, row_version: version };
            if (outcome?.bytesPerSecond !== undefined) {
                const sizeBytes = JSON.stringify(page).length;
                await delay(sizeBytes / outcome.bytesPerSecond * 1_000);
            }
            answer(response, 200, page);
        }
        else if (pathname === "/rows-tx") {
            const { status, body: result } = transact(body);
            if (outcome === "drop") {
                response.destroy();
                return;
            }
            answer(response, status, result);
        }
        else {
            answer(response, 404);
        }
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, ip, resolve));
    return {
        address: `${ip}:${server.address().port}`,
        put,
        calls,
        rows: () => [...rows.values()].map(row => ({
            ...row,
            value: JSON.parse(Buffer.from(row.value, "base64").toString()),
        })),
        setEra: next => {
            era = next;
        },
        intercept: next => {
            intercept = next;
        },
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}
