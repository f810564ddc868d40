/**
 * A fleet of 600 engines: its list takes two pages of the store. While an entry that was added reads the list over its link,
 * an engine of the payment desk is taken out of the list, as for a planned leaving without a report; it serves on for
 * `drain_ms` and some seconds, then exits. No request may reach it later than `drain_ms` after that, and no payment may be
 * lost with it. With TROUBLE=0 the engine is taken out once the new entry has read the list.
 */

import { setTimeout as delay } from "node:timers/promises";
import { desiredState, newId, send } from "../lib-2/client.mjs";
import { startEngine } from "../lib-2/engine.mjs";
import { allReady, endAll, startEntries } from "../lib-2/entries.mjs";
import { createRecord, runCase } from "../lib-2/record.mjs";
import { startStore } from "../lib-2/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const otherEngines = 597;
const drainMs = 2_000;
const stableWindowMs = 3_000;
/** "A little longer (at times many seconds)". */
const lingerMs = 6_000;
/** The slowest link of a front machine on the page of `grown/`: 16.1 Mbit/s. */
const bytesPerSecond = 16_100_000 / 8;
/** Time from the new entry's first read until the engine is taken out, in the transfer of the first page. */
const removedAfterMs = 30;
/** Payments at the new entry, each with the work of a desk call. */
const paymentIntervalMs = 35;
const workMs = 86;

const record = createRecord(import.meta.url);

async function main() {
    const store = await startStore();
    const engines = [
        await startEngine({ id: "i-1a02", workMs }),
        await startEngine({ id: "i-1b77", workMs }),
        await startEngine({ id: "i-2c31", workMs }),
    ];
    const [leaving] = engines;
    engines.forEach(engine => store.put("servers", engine.id, engine.recordFor("desk")));
    for (let index = 0; index < otherEngines; index++) {
        const ip = `127.0.${20 + Math.floor(index / 200)}.${1 + index % 200}`;
        const record = { ...leaving.recordFor("archive"), address: `${ip}:9` };
        store.put("servers", `i-3${index.toString(16).padStart(4, "0")}`, record);
    }
    const state = desiredState(3);
    store.put("op", "config", { ...state, services: [...state.services, { name: "archive", max_connections: 110 }] });

    let removedAtMs = Number.POSITIVE_INFINITY;
    let exitAtMs = Number.POSITIVE_INFINITY;
    const exited = new Promise(resolve => {
        leaving.takeOut = () => {
            removedAtMs = Date.now();
            exitAtMs = removedAtMs + drainMs + lingerMs;
            store.put("servers", leaving.id, undefined);
            record(`${leaving.id} is taken out of the list; it exits in ${drainMs + lingerMs} ms`);
            setTimeout(() => void leaving.close().then(resolve), drainMs + lingerMs);
        };
    });
    let isFirstRead = true;
    store.intercept(async ({ path, query }) => {
        if (path !== "/rows-get" || query.get("table") !== "servers") {
            return undefined;
        }
        record(`the list is read from ${query.get("from") ?? "its beginning"}`);
        if (hasTrouble && isFirstRead) {
            setTimeout(leaving.takeOut, removedAfterMs);
        }
        isFirstRead = false;
        return { bytesPerSecond };
    });

    const [entry] = await startEntries(1, { storeAddress: store.address, settings: { bootstrap: "false" } });
    const startedAtMs = Date.now();
    await allReady([entry]);
    if (!hasTrouble) {
        await delay(500);
        leaving.takeOut();
    }
    await delay(Math.max(startedAtMs + stableWindowMs, removedAtMs + drainMs) + 200 - Date.now());

    const sent = new Map();
    const pending = [];
    while (Date.now() < exitAtMs + 500) {
        const id = newId();
        sent.set(id, Date.now());
        pending.push(send(entry, { id, target: `/pay/${id}`, body: "fee" }));
        await delay(paymentIntervalMs);
    }
    await exited;
    const answers = await Promise.all(pending);
    const late = leaving.runs.filter(({ atMs }) => atMs > removedAtMs + drainMs);
    const lost = answers.filter(({ id, status }) => status !== 200 && late.some(({ requestId }) => requestId === id));
    for (const { requestId, atMs } of late) {
        const { status, how } = answers.find(({ id }) => id === requestId);
        record(`${requestId} sent ${sent.get(requestId) - removedAtMs} ms after ${leaving.id} was taken out, `
            + `reached it after ${atMs - removedAtMs} ms, answered ${status ?? how}`);
    }
    record(`payments sent: ${answers.length}; reached the engine that had left: ${late.length}; lost with it: ${lost.length}`);
    return late.length > 0;
}

await runCase(record, main, endAll);
