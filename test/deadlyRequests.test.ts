/**
 * Requests that end each endpoint which begins to run them, and come again, on sites with agents: how many endpoints
 * they end, and whether sound requests beside them are served.
 */

import { afterEach, expect, test } from "vitest";
import { callerKey, complete, post, startSite } from "../fakes/site.js";
import type { EndpointProcess, Process, Site } from "../fakes/site.js";

const deadlyText = "deadly";
const copies = 10;
/** Limits: endpoints that may end before entries must react, and copies that may reach endpoints later. */
const endedEndpoints = 3;
const maxLaterEnds = 3;

let site: Site;

afterEach(() => site.stop());

/** What a caller learns: served, or refused and whether it was run. */
type Outcome = "served" | "not run" | "unknown";

interface DeadlyCase {
    readonly name: string;
    /** Endpoints with this role end. */
    readonly role: EndpointProcess["role"];
    readonly send: (entry: Process, text: string) => Promise<Outcome>;
}

async function call(entry: Process, method: string, path: string, body?: string): Promise<Outcome> {
    const headers = { authorization: `Bearer ${callerKey}` };
    const response = await fetch(`${entry.callersUrl}${path}`, {
        method,
        headers,
        ...body === undefined ? {} : { body },
    });
    const { error } = await response.json() as { readonly error?: { readonly notRun: boolean; }; };
    return error === undefined ? "served" : error.notRun ? "not run" : "unknown";
}

async function generate(entry: Process, prompt: string): Promise<Outcome> {
    const { done, error } = await complete(entry, { prompt, max_tokens: 5 });
    return done ? "served" : error?.notRun === true ? "not run" : "unknown";
}

const cases: readonly DeadlyCase[] = [
    { name: "a lookup", role: "plain", send: (entry, text) => call(entry, "GET", `/log?text=${text}`) },
    { name: "a payment", role: "plain", send: (entry, text) => call(entry, "POST", "/pay", text) },
    { name: "a generation, in its prefill", role: "prefill", send: generate },
    { name: "a generation, while it decodes", role: "decode", send: generate },
];

// Each copy, and each attempt of one, ended a further endpoint, until none was left.
test.each(cases)("$name that ends endpoints is refused by every entry after few of them", async ({ role, send }) => {
    const count = endedEndpoints + maxLaterEnds + 1;
    site = await startSite({ entries: 2, plain: count, prefill: count, decode: count });
    const targets = site.byRole(role);
    await Promise.all(targets.map(({ endpoint }) => post(`${endpoint.url}/faults`, { endOn: deadlyText })));
    let ended = 0;
    targets.forEach(({ endpoint }) => void endpoint.exited.then(() => ended += 1));
    const [first, second] = site.entries as [Process, Process];
    for (let copy = 0; copy < copies; copy++) {
        await send(copy % 2 === 0 ? first : second, deadlyText);
    }
    expect(ended).toBeLessThanOrEqual(endedEndpoints + maxLaterEnds);
    expect([await send(first, deadlyText), await send(second, deadlyText)]).toEqual(["not run", "not run"]);
    const sound = await Promise.all(
        [first, second, first, second].map((entry, index) => send(entry, `sound-${index}`)),
    );
    expect(sound).toEqual(["served", "served", "served", "served"]);
});
