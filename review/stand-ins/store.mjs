/**
 * Stand-in of the platform's metadata store: rows, transactions and change feeds, without faults of its own.
 */

import { createServer } from "node:http";

const maxRows = 500;
const maxPageBytes = 1_000_000;

export async function startStore() {
    const rows = new Map();
    const history = [];
    let revision = 0;
    let waiting = [];

    const idOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

    function apply(row) {
        history.push(row);
        if (row.deleted === true) {
            rows.delete(idOf(row));
        }
        else {
            rows.set(idOf(row), row);
        }
    }

    function wake() {
        const due = waiting;
        waiting = [];
        due.forEach(check => check());
    }

    function send(response, status, body) {
        response.writeHead(status, { "content-type": "application/json", "store-era": "1" });
        response.end(
            body === undefined ? "" : JSON.stringify({ ...body, row_version: revision, now_ms: performance.now() }),
        );
    }

    function rowsGet(query, response) {
        const [table, part, from, to] = ["table", "part", "from", "to"].map(name => query.get(name) ?? "");
        const found = [...rows.values()]
            .filter(row => row.table === table && row.part === part && row.key >= from && (to === "" || row.key < to))
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
        const page = [];
        let bytes = 0;
        for (const row of found.slice(0, Math.min(maxRows, Number(query.get("limit") ?? maxRows)))) {
            bytes += row.value.length;
            if (bytes > maxPageBytes) {
                break;
            }
            page.push(row);
        }
        send(response, 200, { rows: page, more_pages: page.length < found.length });
    }

    function rowsFeed(query, response) {
        const table = query.get("table");
        const after = Number(query.get("after"));
        if (after > revision) {
            send(response, 410);
            return;
        }
        const untilMs = performance.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
        const check = () => {
            const changed = history.filter(row => row.table === table && row.row_version > after);
            if (changed.length > 0 || performance.now() >= untilMs) {
                send(response, 200, { rows: changed });
                return;
            }
            waiting.push(check);
        };
        check();
        setTimeout(() => {
            if (waiting.includes(check)) {
                waiting = waiting.filter(other => other !== check);
                send(response, 200, { rows: [] });
            }
        }, Math.max(0, untilMs - performance.now())).unref();
    }

    function commit({ writes = [], remove = [] }) {
        revision += 1;
        writes.forEach(row => apply({ part: "", ...row, row_version: revision }));
        remove.forEach(row => apply({ part: "", ...row, deleted: true, row_version: revision }));
        wake();
    }

    function rowsTx(text, response) {
        const { expected_revision: conditions = [], ...changes } = JSON.parse(text);
        if (conditions.some(row => (rows.get(idOf(row))?.row_version ?? 0) !== row.row_version)) {
            send(response, 412, { rows: conditions.map(row => rows.get(idOf(row))).filter(row => row !== undefined) });
            return;
        }
        if (
            [...changes.writes ?? [], ...changes.remove ?? []].some(({ table }) =>
                table === "op" || table === "servers"
            )
        ) {
            send(response, 403);
            return;
        }
        commit(changes);
        send(response, 200, {});
    }

    const server = createServer(async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        const calls = {
            "/rows-get": () => rowsGet(url.searchParams, response),
            "/rows-feed": () => rowsFeed(url.searchParams, response),
            "/rows-tx": () => rowsTx(Buffer.concat(chunks).toString(), response),
        };
        (calls[url.pathname] ?? (() => send(response, 404)))();
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        /** Writes a row as the operator or an engine does. */
        put: (table, key, value) =>
            commit({ writes: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] }),
        remove: (table, key) => commit({ remove: [{ table, key }] }),
        close: () => server.closeAllConnections(),
    };
}
