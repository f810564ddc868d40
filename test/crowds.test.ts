/**
 * Crowds of clients that keep to no limit: the entry that they call lives, stays within the memory and descriptors of its
 * machine, and answers an ordinary caller afterwards. While bodies in small chunks arrive, it serves the others.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { callSite, isReady, siteKey, startPlatformSite, until } from "../fakes/platformSite.js";
import type { EntryProcess, PlatformSite } from "../fakes/platformSite.js";

/** The process's limits: half of the memory over the heap, as in `deploy/system.toml` on the smallest machines. */
const memoryMb = 160;
const heapMb = 88;
const maxDescriptors = 600;
const bytesPerMb = 1_048_576;
const maxBodyBytes = 4 * bytesPerMb;
/** A member of a crowd that has neither sent everything nor been disconnected by then waits with the others. */
const sendMs = 5_000;
const holdMs = 1_000;
const sampleMs = 50;
/** While a crowd sends, ordinary calls and questions for readiness are answered within this time. */
const maxAnswerMs = 1_000;
const callIntervalMs = 100;
const calls = 30;
/** Enough of an entry's log to show why it ended. */
const maxShownBytes = 4_096;

/** What a member sends: `head`, then `piece` over and over, `times` times. */
interface Sending {
    readonly head: string;
    readonly piece: Buffer;
    readonly times: number;
    readonly readsResponses: boolean;
}

interface Crowd {
    readonly name: string;
    readonly members: number;
    readonly sending: (member: number) => Sending;
}

const usual = `host: site.example\r\napi-key: ${siteKey}\r\n`;
const idHeader = "x-gooseberrywell-request-id";

function bodyOf(framing: string, piece: Buffer, times: number): Crowd["sending"] {
    return member => ({
        head: `POST /look/x HTTP/1.1\r\n${usual}${idHeader}: crowd-${member}\r\n${framing}\r\n\r\n`,
        piece,
        times,
        readsResponses: true,
    });
}

function chunkOf(sizeBytes: number): Buffer {
    return Buffer.from(`${sizeBytes.toString(16)}\r\n${"x".repeat(sizeBytes)}\r\n`);
}

const chunked = "transfer-encoding: chunked";
const longPiece = Buffer.alloc(65_536, "x");
const smallChunks = Buffer.from("1\r\nx\r\n".repeat(1_000));
const bareRequest = "GET /look/x HTTP/1.1\r\nhost: x\r\n\r\n";
const usualRequest = `GET /look/x HTTP/1.1\r\n${usual}${idHeader}: crowd\r\n\r\n`;

function requestsAhead(request: string): Crowd["sending"] {
    return () => ({ head: "", piece: Buffer.from(request.repeat(100)), times: 40, readsResponses: false });
}

const crowds: readonly Crowd[] = [
    { name: "chunked bodies in large chunks, held open", members: 60, sending: bodyOf(chunked, chunkOf(65_536), 60) },
    {
        name: "chunked bodies in chunks of one byte, held open",
        members: 20,
        sending: bodyOf(chunked, smallChunks, 100),
    },
    {
        name: "chunked bodies of one chunk, a byte short",
        members: 60,
        sending: member => {
            const { head, ...rest } = bodyOf(chunked, longPiece.subarray(1), 64)(member);
            return { head: `${head}${maxBodyBytes.toString(16)}\r\n`, ...rest };
        },
    },
    {
        name: "announced bodies, a byte short",
        members: 60,
        sending: bodyOf(`content-length: ${maxBodyBytes}`, longPiece.subarray(1), 64),
    },
    {
        name: "bodies announced far over the limit, and sent",
        members: 30,
        sending: bodyOf(`content-length: ${1_024 * bytesPerMb}`, longPiece, 256),
    },
    { name: "chunked bodies without end", members: 30, sending: bodyOf(chunked, chunkOf(65_536), 256) },
    { name: "bare requests sent ahead, answers unread", members: 20, sending: requestsAhead(bareRequest) },
    { name: "usual requests sent ahead, answers unread", members: 20, sending: requestsAhead(usualRequest) },
    {
        name: "heads that never end",
        members: 700,
        sending: () => ({
            head: `GET /look/x HTTP/1.1\r\n${usual}`,
            piece: Buffer.from("x: y\r\n"),
            times: 100,
            readsResponses: true,
        }),
    },
];

const everyCrowd: Crowd = {
    name: "all of these at once",
    members: crowds.length * 10,
    sending: member => {
        const crowd = crowds[member % crowds.length];
        if (crowd === undefined) {
            throw new Error(`member ${member} belongs to no crowd`);
        }
        return crowd.sending(member);
    },
};

let site: PlatformSite;
let sockets: Socket[] = [];

afterEach(async () => {
    leave();
    await site.close();
});

function leave(): void {
    sockets.forEach(socket => socket.destroy());
    sockets = [];
}

/** Resolves when everything is sent, the connection has ended, or `sendMs` have passed. */
function send(port: number, { head, piece, times, readsResponses }: Sending): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        sockets.push(socket);
        setTimeout(resolve, sendMs);
        socket.on("error", () => undefined);
        socket.once("close", () => resolve());
        if (readsResponses) {
            socket.resume();
        }
        let sent = 0;
        const sendMore = (): void => {
            while (sent < times && !socket.destroyed) {
                sent += 1;
                if (!socket.write(piece)) {
                    socket.once("drain", sendMore);
                    return;
                }
            }
            resolve();
        };
        socket.once("connect", () => {
            socket.write(head);
            sendMore();
        });
    });
}

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function startEntry(): Promise<EntryProcess> {
    site = await startPlatformSite({
        entries: 1,
        heapMb,
        settingsLines: [`limits.memory_mb=${memoryMb}`, `limits.max_fds=${maxDescriptors}`],
    });
    const [entry] = site.entries;
    if (entry === undefined) {
        throw new Error("the site has no entry");
    }
    await until("the entry is ready", () => isReady(entry));
    return entry;
}

describe("a crowd that sends", () => {
    // Bodies and requests were kept as they came, whatever they took: the process used up its memory and ended.
    it.each(
        [...crowds, everyCrowd].map(crowd => [crowd.name, crowd] as const),
    )("%s ends no entry and takes no memory", async (name, { members, sending }) => {
        const entry = await startEntry();
        const port = Number(new URL(entry.callersUrl).port);
        let exit: unknown;
        void entry.exited.then(ended => (exit = ended));
        let peakDescriptors = 0;
        let peakMemoryBytes = 0;
        const sample = (): void => {
            if (exit === undefined) {
                peakDescriptors = Math.max(peakDescriptors, entry.openDescriptors());
                // Nothing is read of a process that has ended and is not reaped yet.
                peakMemoryBytes = Math.max(peakMemoryBytes, entry.peakMemoryBytes() || 0);
            }
        };
        const sampling = setInterval(sample, sampleMs);
        await Promise.all(Array.from({ length: members }, (unused, member) => send(port, sending(member))));
        await pause(holdMs);
        sample();
        clearInterval(sampling);
        leave();
        expect(exit, entry.log().slice(-maxShownBytes)).toBeUndefined();
        const isServed = (): Promise<boolean> =>
            callSite(entry, "/look/x").then(({ status }) => status === 200, () => false);
        await until("an ordinary call is served", isServed);
        expect(exit, entry.log().slice(-maxShownBytes)).toBeUndefined();
        expect(peakMemoryBytes).toBeLessThan(memoryMb * bytesPerMb);
        expect(peakDescriptors).toBeLessThan(maxDescriptors);
    });
});

/** Time until the response, whatever it is; not a number if there is none. */
async function answerMs(call: () => Promise<unknown>): Promise<number> {
    const startedAtMs = performance.now();
    return call().then(() => performance.now() - startedAtMs, () => Number.NaN);
}

describe("while a crowd sends in small chunks", () => {
    // All that a connection had brought was parsed in one turn of the event loop, and nobody else was served meanwhile.
    it.each([
        ["60 bodies of 400 KB in chunks of one byte", 60, 400],
        ["20 bodies of 400 KB in chunks of one byte, all within the limits", 20, 400],
    ])("%s, an entry serves ordinary callers and handles a stop", async (name, members, thousandChunks) => {
        const entry = await startEntry();
        const port = Number(new URL(entry.callersUrl).port);
        const sending = bodyOf(chunked, smallChunks, thousandChunks);
        const crowd = Promise.all(Array.from({ length: members }, (unused, member) => send(port, sending(member))));
        const answers: Promise<number>[] = [];
        for (let call = 0; call < calls; call += 1) {
            answers.push(answerMs(() => callSite(entry, "/look/x")), answerMs(() => fetch(entry.readyUrl)));
            await pause(callIntervalMs);
        }
        const signalledAtMs = performance.now();
        entry.signal("SIGTERM");
        await until("the stop is handled", () => entry.log().includes("stopping"));
        const stopMs = performance.now() - signalledAtMs;
        const answeredMs = await Promise.all(answers);
        leave();
        await crowd;
        expect(answeredMs.filter(ms => !(ms < maxAnswerMs))).toEqual([]);
        expect(stopMs).toBeLessThan(maxAnswerMs);
    });
});
