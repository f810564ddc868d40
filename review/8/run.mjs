/**
 * A payment desk with three engines, one of which fails a part of its requests although its status check is good: it runs
 * the payment and answers 503 with its own seal, and without the header by which an engine states that it has not run a
 * request. Callers follow the pages: they send a payment again, under a new id, only after 429, 503, 408 or 421. No payment
 * that has run may be answered with one of these. With TROUBLE=0 the engine answers 200.
 */

import { setTimeout as delay } from "node:timers/promises";
import { desiredState, send } from "../lib-2/client.mjs";
import { startEngine } from "../lib-2/engine.mjs";
import { allReady, endAll, startEntries } from "../lib-2/entries.mjs";
import { createRecord, runCase } from "../lib-2/record.mjs";
import { startStore } from "../lib-2/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const payments = 120;
const intervalMs = 100;
/** As on the sheet: `srv_grey` fails up to 0.45 of the requests of up to 0.14 of the engines, here of one engine. */
const failedShare = 0.45;
const promises = [429, 503, 408, 421];

const record = createRecord(import.meta.url);

/** Every n-th run fails, which comes to `failedShare`. */
let runsAtFailing = 0;
async function failAfterRun({ answer, response, seal, engine, record: run }) {
    runsAtFailing += 1;
    const fails = hasTrouble && Math.floor(runsAtFailing * failedShare) > Math.floor((runsAtFailing - 1) * failedShare);
    if (!fails) {
        return false;
    }
    await delay(engine.options.workMs ?? 15);
    run.answered = 503;
    answer(response, 503, "the payment was booked, the receipt service is down", seal);
    return true;
}

async function main() {
    const store = await startStore();
    const engines = [
        await startEngine({ id: "d-1", onRun: failAfterRun }),
        await startEngine({ id: "d-2" }),
        await startEngine({ id: "d-3" }),
    ];
    engines.forEach(engine => store.put("servers", engine.id, engine.recordFor("desk")));
    store.put("op", "config", desiredState(3));
    const entries = await startEntries(2, { storeAddress: store.address });
    await allReady(entries);

    const runsOf = payment =>
        engines.flatMap(engine => engine.runs.map(run => ({ ...run, engine: engine.id })))
            .filter(({ target }) => target === `/pay/${payment}`);
    let broken = 0;
    let booked = 0;
    async function pay(payment) {
        for (let attempt = 0; attempt < 2; attempt++) {
            const answer = await send(entries[(payment + attempt) % entries.length], { target: `/pay/${payment}`, body: "fee" });
            const run = runsOf(payment).find(({ requestId }) => requestId === answer.id);
            record(`payment ${payment} sent as ${answer.id}; ${run === undefined ? "not run" : `run at ${run.engine}`}; `
                + `answered ${answer.status}, seal ${answer.headers["x-gooseberrywell-response-seal"] ?? "none"}`);
            const isPromise = promises.includes(answer.status);
            broken += isPromise && run !== undefined ? 1 : 0;
            if (!isPromise) {
                break;
            }
            await delay(300);
        }
        booked += runsOf(payment).length > 1 ? 1 : 0;
    }
    const pending = [];
    for (let payment = 1; payment <= payments; payment++) {
        pending.push(pay(payment));
        await delay(intervalMs);
    }
    await Promise.all(pending);
    record(`payments that ran and were answered as not run: ${broken}; payments that ran twice in all: ${booked}`);
    return broken > 0;
}

await runCase(record, main, endAll);
