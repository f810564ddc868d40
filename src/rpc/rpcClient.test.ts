/**
 * The client of calls between processes against whole responses: only the response to the call is its result.
 */

import { expect, it } from "vitest";
import { startScriptedServer, wholeResponses } from "../../fakes/cutResponses.js";
import { createRpcClient } from "./rpcClient.js";

const timeoutMs = 5_000;
const error = { code: -32_601, message: "no such method" };
const cases = [
    ["{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":null}", "ok"],
    [JSON.stringify({ jsonrpc: "2.0", id: 1, result: { taken: true } }), "ok"],
    [JSON.stringify({ jsonrpc: "2.0", id: 1, error }), "rejected"],
    [JSON.stringify({ jsonrpc: "2.0", id: null, error }), "rejected"],
    [JSON.stringify({ jsonrpc: "2.0", id: 2, result: {} }), "interrupted"],
    [JSON.stringify({ jsonrpc: "2.0", id: null, result: {} }), "interrupted"],
    [JSON.stringify({ jsonrpc: "2.0", id: 1 }), "interrupted"],
    [JSON.stringify({ error: { message: "no route", notRun: true } }), "interrupted"],
    ["{}", "interrupted"],
    ["[]", "interrupted"],
    ["7", "interrupted"],
    ["null", "interrupted"],
    ["", "interrupted"],
] as const;

// Any JSON without an error was the result of the call: what other entries had not taken counted as taken.
it.each(cases)("%s: %s", async (body, outcome) => {
    for (const response of wholeResponses({ status: "200 OK", headers: [], body })) {
        const server = await startScriptedServer([response]);
        const rpc = createRpcClient();
        const called = await rpc.call(`http://${server.address}`, "m", {}, { timeoutMs });
        expect(called.isOk ? "ok" : called.error.kind).toBe(outcome);
        await rpc.close();
        server.close();
    }
});
