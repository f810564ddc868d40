/**
 * A stand-in of the platform's store by its published protocol: rows, transactions and change feeds, with outages,
 * lost answers and dropped history.
 */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** What happens to the calls that come next. */
export type StoreFault = "none" | "unavailable" | "tooMany" | "silent" | "reset" | "lostAnswer" | "garbage";

interface WireRow {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    readonly value?: string;
    readonly row_version: number;
    readonly deleted?: boolean;
}

export interface FakeStore {
    /** IP address and port. */
    readonly address: string;
    readonly setFault: (fault: StoreFault) => void;
    /** Writes a row as the operator or an engine would. */
    readonly put: (table: string, key: string, text: string) => void;
    readonly remove: (table: string, key: string) => void;
    /** Drops the history, so that feeds answer 410. */
    readonly compact: () => void;
    readonly close: () => Promise<void>;
}

interface Waiter {
    readonly table: string;
    readonly after: number;
    readonly answer: () => void;
}

export async function startFakeStore(pageRows = 500): Promise<FakeStore> {
    const rows = new Map<string, WireRow>();
    let history: WireRow[] = [];
    let revision = 0;
    let oldestRevision = 0;
    let fault: StoreFault = "none";
    let waiters: Waiter[] = [];

    const idOf = (table: string, key: string): string => `${table}\n${key}`;

    function record(row: WireRow): void {
        history.push(row);
        if (row.deleted === true) {
            rows.delete(idOf(row.table, row.key));
        }
        else {
            rows.set(idOf(row.table, row.key), row);
        }
    }

    function wake(): void {
        const due = waiters;
        waiters = [];
        due.forEach(waiter => waiter.answer());
    }

    function send(response: ServerResponse, status: number, body?: unknown): void {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(body === undefined ? undefined : JSON.stringify(body));
    }

    function rowsGet(query: URLSearchParams, response: ServerResponse): void {
        const found = [...rows.values()]
            .filter(row => row.table === query.get("table") && row.key >= (query.get("from") ?? ""))
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
        const limit = Math.min(pageRows, Number(query.get("limit") ?? pageRows));
        send(response, 200, {
            rows: found.slice(0, limit),
            more_pages: found.length > limit,
            row_version: revision,
            now_ms: 1,
        });
    }

    function rowsFeed(query: URLSearchParams, response: ServerResponse): void {
        const after = Number(query.get("after"));
        const table = query.get("table") ?? "";
        if (after < oldestRevision) {
            send(response, 410);
            return;
        }
        const answer = (): void => {
            const changed = history.filter(row => row.table === table && row.row_version > after);
            send(response, 200, { rows: changed, row_version: revision, now_ms: 1 });
        };
        if (history.some(row => row.table === table && row.row_version > after)) {
            answer();
            return;
        }
        const waiter = { table, after, answer };
        waiters.push(waiter);
        setTimeout(() => {
            if (waiters.includes(waiter)) {
                waiters = waiters.filter(other => other !== waiter);
                answer();
            }
        }, Number(query.get("wait_ms") ?? 0));
    }

    function rowsTx(body: string, response: ServerResponse): void {
        const transaction = JSON.parse(body) as {
            readonly expected_revision: readonly WireRow[];
            readonly writes: readonly WireRow[];
            readonly remove: readonly WireRow[];
        };
        const versionOf = ({ table, key }: WireRow): number => rows.get(idOf(table, key))?.row_version ?? 0;
        if (transaction.expected_revision.some(row => versionOf(row) !== row.row_version)) {
            send(response, 412, { rows: [], row_version: revision, now_ms: 1 });
            return;
        }
        revision += 1;
        transaction.writes.forEach(row => record({ ...row, row_version: revision }));
        transaction.remove.forEach(row => record({ ...row, deleted: true, row_version: revision }));
        if (fault === "lostAnswer") {
            response.destroy();
            return;
        }
        send(response, 200, { row_version: revision, now_ms: 1 });
        wake();
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        if (fault === "silent") {
            return;
        }
        if (fault === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (fault === "unavailable" || fault === "tooMany") {
            send(response, fault === "unavailable" ? 503 : 429);
            return;
        }
        if (fault === "garbage") {
            response.end("no JSON");
            return;
        }
        const url = new URL(request.url ?? "/", "http://store");
        const body = Buffer.concat(chunks).toString();
        switch (url.pathname) {
            case "/rows-get":
                return rowsGet(url.searchParams, response);
            case "/rows-feed":
                return rowsFeed(url.searchParams, response);
            case "/rows-tx":
                return rowsTx(body, response);
            default:
                return send(response, 404);
        }
    }

    const server = createServer((request, response) => void serve(request, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    const { port } = server.address() as AddressInfo;

    return {
        address: `127.0.0.1:${port}`,
        setFault: next => {
            fault = next;
        },
        put: (table, key, text) => {
            revision += 1;
            const value = Buffer.from(text).toString("base64");
            record({ table, part: "", key, value, row_version: revision });
            wake();
        },
        remove: (table, key) => {
            revision += 1;
            record({ table, part: "", key, deleted: true, row_version: revision });
            wake();
        },
        compact: () => {
            history = [];
            oldestRevision = revision + 1;
            revision += 1;
        },
        close: async () => {
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
