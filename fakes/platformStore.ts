/**
 * Fake platform store that implements the platform's published store protocol: rows, transactions and change feeds.
 * Faults: outages, lost responses, compacted history and restoration from an older copy.
 */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/**
 * Fault applied to calls until the next one is set. `unavailable` and `tooMany` respond with 503 and 429, `silent` never
 * responds, `reset` resets the connection, `lostAnswer` commits a transaction but drops its response, and `garbage`
 * responds with a body that is not JSON.
 */
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
    /** Writes a row as the operator or an engine does. */
    readonly put: (table: string, key: string, text: string) => void;
    readonly remove: (table: string, key: string) => void;
    /** Deletes the change history, so that feeds that start at an earlier revision get status 410. */
    readonly compact: () => void;
    /** Newest revision. */
    readonly revision: () => number;
    /** Number of calls that have arrived. */
    readonly calls: () => number;
    /** Calls `listener` with the number of each page of rows from now on, after the page was read. */
    readonly onPageRead: (listener: (page: number) => void) => void;
    /** Returns to the state at an earlier revision, as a store that is restored from an older copy, in a new era. */
    readonly restore: (revision: number) => void;
    /** Whether responses report the era. */
    readonly setReportsEra: (reports: boolean) => void;
    readonly close: () => Promise<void>;
}

/** A feed request that has no response yet, because its table has not changed. */
interface FeedRequest {
    readonly table: string;
    readonly after: number;
    readonly notify: () => void;
}

export async function startFakeStore(maxPageRows = 500): Promise<FakeStore> {
    const rows = new Map<string, WireRow>();
    let history: WireRow[] = [];
    /** All changes of the current era's past, also compacted ones. */
    let allChanges: readonly WireRow[] = [];
    let era = 1;
    let reportsEra = true;
    let revision = 0;
    let oldestRevision = 0;
    let fault: StoreFault = "none";
    let calls = 0;
    let pagesRead = 0;
    let pageListener: (page: number) => void = () => undefined;
    let openFeeds: FeedRequest[] = [];

    const idOf = (table: string, key: string): string => `${table}\n${key}`;

    function applyChange(row: WireRow): void {
        history.push(row);
        allChanges = [...allChanges, row];
        if (row.deleted === true) {
            rows.delete(idOf(row.table, row.key));
        }
        else {
            rows.set(idOf(row.table, row.key), row);
        }
    }

    function notifyFeeds(): void {
        const due = openFeeds;
        openFeeds = [];
        due.forEach(feed => feed.notify());
    }

    function send(response: ServerResponse, status: number, body?: unknown): void {
        response.writeHead(status, {
            "content-type": "application/json",
            ...reportsEra ? { "store-era": String(era) } : {},
        });
        response.end(body === undefined ? undefined : JSON.stringify(body));
    }

    function rowsGet(query: URLSearchParams, response: ServerResponse): void {
        const found = [...rows.values()]
            .filter(row => row.table === query.get("table") && row.key >= (query.get("from") ?? ""))
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
        const limit = Math.min(maxPageRows, Number(query.get("limit") ?? maxPageRows));
        send(response, 200, {
            rows: found.slice(0, limit),
            more_pages: found.length > limit,
            row_version: revision,
            now_ms: 1,
        });
        pagesRead += 1;
        pageListener(pagesRead);
    }

    function rowsFeed(query: URLSearchParams, response: ServerResponse): void {
        const after = Number(query.get("after"));
        const table = query.get("table") ?? "";
        if (after < oldestRevision || after > revision) {
            send(response, 410);
            return;
        }
        const respond = (): void => {
            if (after > revision) {
                send(response, 410);
                return;
            }
            const changed = history.filter(row => row.table === table && row.row_version > after);
            send(response, 200, { rows: changed, row_version: revision, now_ms: 1 });
        };
        if (history.some(row => row.table === table && row.row_version > after)) {
            respond();
            return;
        }
        const feed = { table, after, notify: respond };
        openFeeds.push(feed);
        setTimeout(() => {
            if (openFeeds.includes(feed)) {
                openFeeds = openFeeds.filter(other => other !== feed);
                respond();
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
        transaction.writes.forEach(row => applyChange({ ...row, row_version: revision }));
        transaction.remove.forEach(row => applyChange({ ...row, deleted: true, row_version: revision }));
        if (fault === "lostAnswer") {
            response.destroy();
            return;
        }
        send(response, 200, { row_version: revision, now_ms: 1 });
        notifyFeeds();
    }

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        calls += 1;
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
            applyChange({ table, part: "", key, value, row_version: revision });
            notifyFeeds();
        },
        remove: (table, key) => {
            revision += 1;
            applyChange({ table, part: "", key, deleted: true, row_version: revision });
            notifyFeeds();
        },
        compact: () => {
            history = [];
            oldestRevision = revision + 1;
            revision += 1;
        },
        revision: () => revision,
        calls: () => calls,
        onPageRead: listener => {
            pageListener = listener;
        },
        restore: restored => {
            const kept = allChanges.filter(row => row.row_version <= restored);
            rows.clear();
            history = [];
            allChanges = [];
            kept.forEach(applyChange);
            revision = restored;
            oldestRevision = 0;
            era += 1;
            notifyFeeds();
        },
        setReportsEra: reports => {
            reportsEra = reports;
        },
        close: async () => {
            server.closeAllConnections();
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
