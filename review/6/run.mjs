/**
 * Generations with separate prefill and decode engines. One of three prefill engines writes a second copy of some of its
 * answers to a prefill, late, at the point where the next answer on that connection is expected. No request may go on from
 * the KV handle of another request. With TROUBLE=0 the engine writes no copies.
 */

import { setTimeout as delay } from "node:timers/promises";
import { desiredState, generationHeaders, newId, send } from "../lib-2/client.mjs";
import { startEngine } from "../lib-2/engine.mjs";
import { allReady, endAll, startEntries } from "../lib-2/entries.mjs";
import { createRecord, runCase } from "../lib-2/record.mjs";
import { startStore } from "../lib-2/store.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** Every n-th answer of the engine is written twice: a share of 0.03, as in the site file. */
const copyEvery = 34;
const runMs = 80_000;
/** Callers come in pairs, a moment apart. */
const pairIntervalMs = 280;
const inPairMs = 25;
/** A prompt of 5,200 tokens at 55.6 tokens a millisecond. */
const prefillMs = 94;
const promptTokens = 5_200;

const record = createRecord(import.meta.url);

async function main() {
    const store = await startStore();
    /** The copy that waits on a connection until the next request arrives there. */
    const copies = new Map();
    let answers = 0;
    let written = 0;
    const faulty = {
        onPrefilled: ({ socket, requestId, handle, text }) => {
            answers += 1;
            if (hasTrouble && answers % copyEvery === 0) {
                copies.set(socket, { requestId, handle, text });
            }
        },
        onHead: async ({ request }) => {
            const copy = copies.get(request.socket);
            if (copy !== undefined) {
                copies.delete(request.socket);
                written += 1;
                record(`p-1 writes its answer to ${copy.requestId}, handle ${copy.handle}, once more`);
                request.socket.write(
                    `HTTP/1.1 200 OK\r\ncontent-length: ${copy.text.length}\r\ncontent-type: application/json\r\n\r\n${copy.text}`,
                );
            }
            return false;
        },
    };
    const owners = () => new Map(prefillEngines.flatMap(({ handles }) => [...handles]));
    const mixed = [];
    const onRun = async ({ request, requestId }) => {
        const source = request.headers["x-gooseberrywell-kv-source"];
        const handle = source?.split("/")[1];
        const owner = handle === undefined ? requestId : owners().get(handle);
        if (owner !== requestId) {
            mixed.push(requestId);
            record(`${requestId} runs from the handle ${handle} of ${owner}`);
        }
        return false;
    };
    const prefillEngines = [
        await startEngine({ id: "p-1", stage: "prefill", slots: 64, prefillMs, ...faulty }),
    ];
    const decodeEngines = [];
    for (const id of ["m-1", "m-2", "m-3"]) {
        decodeEngines.push(await startEngine({ id, stage: "decode", slots: 64, events: 8, eventMs: 60, onRun }));
    }
    [...prefillEngines, ...decodeEngines].forEach(engine => store.put("servers", engine.id, engine.recordFor("models")));
    store.put("op", "config", desiredState(3));
    const [entry] = await startEntries(1, { storeAddress: store.address });
    await allReady([entry]);

    const outcomes = {};
    const pending = [];
    const endsAtMs = performance.now() + runMs;
    for (let sent = 1; performance.now() < endsAtMs; sent++) {
        const id = newId();
        const headers = generationHeaders(promptTokens, 67);
        pending.push(
            send(entry, { id, target: `/sum/${id}`, body: "prompt", headers, timeoutMs: 15_000 }).then(answer => {
                const kind = `${answer.status ?? answer.how} ${answer.isComplete ? "complete" : "not complete"}`;
                outcomes[kind] = (outcomes[kind] ?? 0) + 1;
                if (mixed.includes(id)) {
                    record(`${id} was answered ${kind}`);
                }
            }),
        );
        await delay((sent % 2 === 1 ? inPairMs : pairIntervalMs) * (0.5 + Math.random()));
    }
    await Promise.all(pending);
    record(`generations by outcome: ${JSON.stringify(outcomes)}; prefills at p-1: ${answers}, second copies: ${written}`);
    record(`requests that went on from the handle of another request: ${mixed.length}`);
    return mixed.length > 0;
}

await runCase(record, main, endAll);
