/**
 * Exchange of evidence between entries on sites of their own: new evidence is sent to all entries at once, and all of it
 * again from time to time, for entries that have started since or were cut off.
 */

import { z } from "zod";
import type { Clock } from "../common/clock.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import { crashEvidenceSchema } from "./crashEvidence.js";
import type { RequestQuarantine } from "./requestQuarantine.js";

export interface EvidenceExchange {
    /** Methods that other entries call. */
    readonly methods: RpcMethods;
    /** Sends the evidence to all other entries now. */
    readonly send: () => void;
    /** Sends the evidence from time to time until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

const sendMethod = "quarantine.evidence";
const evidenceSchema = z.object({ evidence: z.array(crashEvidenceSchema) });
const callTimeoutMs = 1_000;
const sendIntervalMs = 5_000;

export function createEvidenceExchange(
    rpc: RpcClient,
    clock: Clock,
    peers: () => readonly string[],
    quarantine: Pick<RequestQuarantine, "evidence" | "applyEvidence">,
): EvidenceExchange {
    function send(): void {
        const evidence = quarantine.evidence();
        if (evidence.length === 0) {
            return;
        }
        for (const url of peers()) {
            // A lost message is made up for by the next one.
            void rpc.call(url, sendMethod, { evidence }, { timeoutMs: callTimeoutMs });
        }
    }

    return {
        methods: {
            [sendMethod]: rpcMethod(evidenceSchema, async ({ evidence }) => {
                quarantine.applyEvidence(evidence);
                return {};
            }),
        },
        send,
        run: async signal => {
            while (!signal.aborted) {
                await clock.sleep(sendIntervalMs, signal);
                send();
            }
        },
    };
}
