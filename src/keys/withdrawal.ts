/**
 * Withdraws keys on all entries immediately, even while the store cannot be written.
 *
 * A withdrawal takes effect on each entry that receives it, spreads between entries by gossip, and stays pending until
 * it is in the configuration. Every entry that has a pending withdrawal tries to write it, under the same change id, so
 * it becomes durable even if the entry that received the operator's request crashes.
 */

import type { Clock } from "../common/clock.js";
import { checkValue } from "../common/json.js";
import { pickSome } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { RpcClient } from "../rpc/rpcClient.js";
import { rpcMethod } from "../rpc/rpcServer.js";
import type { RpcMethods } from "../rpc/rpcServer.js";
import type { Telemetry } from "../telemetry/telemetry.js";
import type { Keyring } from "./keyring.js";
import { keyMethods, withdrawSchema } from "./messages.js";
import type { PendingWithdrawal } from "./messages.js";

export interface WithdrawalDependencies {
    readonly keyring: Keyring;
    readonly rpc: RpcClient;
    readonly clock: Clock;
    readonly random: Random;
    readonly telemetry: Telemetry;
    /** URLs of the other entries. */
    readonly peers: () => readonly string[];
    /** Writes a withdrawal to the configuration; resolves to whether the configuration contains it. */
    readonly makeDurable: (withdrawal: PendingWithdrawal) => Promise<boolean>;
    /** Called whenever a peer has responded or sent a message. */
    readonly onPeerContact: () => void;
}

export interface Withdrawals {
    readonly methods: RpcMethods;
    /** Applies a withdrawal on this entry and sends it to peers; resolves to whether it is already durable. */
    readonly withdraw: (withdrawal: PendingWithdrawal) => Promise<boolean>;
    /** Removes pending withdrawals that the configuration now contains. */
    readonly removeDurable: (digestsHex: ReadonlySet<string>) => void;
    readonly pending: () => readonly PendingWithdrawal[];
    /** Fetches the pending withdrawals of some peers; used when the process starts. */
    readonly loadInitial: () => Promise<void>;
    /** Sends pending withdrawals to random peers, applies theirs and retries the writes, until `stopped` aborts. */
    readonly run: (stopped: AbortSignal) => Promise<void>;
}

/** Peers to which an entry forwards a new withdrawal, and from which a starting entry fetches pending ones. */
const gossipFanOut = 8;
/** Peers to which the entry that received the operator's request sends a withdrawal. */
const initialFanOut = 64;
const antiEntropyIntervalMs = 1_000;
const callTimeoutMs = 1_000;
const writeRetryIntervalMs = 2_000;

export function createWithdrawals(dependencies: WithdrawalDependencies): Withdrawals {
    const { keyring, rpc, clock, random, telemetry } = dependencies;
    const pending = new Map<string, PendingWithdrawal>();

    /** Applies withdrawals on this entry; returns those that are new to it. */
    function applyWithdrawals(withdrawals: readonly PendingWithdrawal[]): readonly PendingWithdrawal[] {
        const newDigests = new Set(keyring.withdraw(withdrawals.map(withdrawal => withdrawal.digestHex)));
        const newWithdrawals = withdrawals.filter(withdrawal => newDigests.has(withdrawal.digestHex));
        for (const withdrawal of newWithdrawals) {
            pending.set(withdrawal.digestHex, withdrawal);
            telemetry.log.info("key withdrawn", { keyName: withdrawal.keyName });
        }
        return newWithdrawals;
    }

    /** Sends withdrawals to peers and applies those that they send back. */
    async function sendWithdrawals(peers: readonly string[], withdrawals: readonly PendingWithdrawal[]): Promise<void> {
        await Promise.all(peers.map(async url => {
            const response = await rpc.call(url, keyMethods.withdraw, { pending: withdrawals }, {
                timeoutMs: callTimeoutMs,
            });
            const checked = response.isOk ? checkValue(withdrawSchema, response.value).unwrapOr(undefined) : undefined;
            if (checked !== undefined) {
                dependencies.onPeerContact();
                gossip(applyWithdrawals(checked.pending));
            }
        }));
    }

    function gossip(newWithdrawals: readonly PendingWithdrawal[]): void {
        if (newWithdrawals.length > 0) {
            void sendWithdrawals(pickSome(random, dependencies.peers(), gossipFanOut), newWithdrawals);
        }
    }

    async function makeDurable(withdrawal: PendingWithdrawal): Promise<boolean> {
        const durable = await dependencies.makeDurable(withdrawal);
        if (durable) {
            pending.delete(withdrawal.digestHex);
        }
        return durable;
    }

    async function runAntiEntropy(stopped: AbortSignal): Promise<void> {
        while (!stopped.aborted) {
            await clock.sleep(antiEntropyIntervalMs * (0.5 + random()), stopped);
            await sendWithdrawals(pickSome(random, dependencies.peers(), 1), [...pending.values()]);
        }
    }

    async function retryWrites(stopped: AbortSignal): Promise<void> {
        while (!stopped.aborted) {
            await clock.sleep(writeRetryIntervalMs * (0.5 + random()), stopped);
            for (const withdrawal of [...pending.values()]) {
                await makeDurable(withdrawal);
            }
        }
    }

    return {
        methods: {
            [keyMethods.withdraw]: rpcMethod(withdrawSchema, async ({ pending: received }) => {
                dependencies.onPeerContact();
                gossip(applyWithdrawals(received));
                return { pending: [...pending.values()] };
            }),
        },
        withdraw: async withdrawal => {
            applyWithdrawals([withdrawal]);
            // A repeated request for a key that is already withdrawn must still become durable.
            pending.set(withdrawal.digestHex, withdrawal);
            const sent = sendWithdrawals(pickSome(random, dependencies.peers(), initialFanOut), [withdrawal]);
            const [durable] = await Promise.all([makeDurable(withdrawal), sent]);
            return durable;
        },
        removeDurable: digestsHex => {
            [...pending.keys()].filter(digest => digestsHex.has(digest)).forEach(digest => pending.delete(digest));
        },
        pending: () => [...pending.values()],
        loadInitial: () => sendWithdrawals(pickSome(random, dependencies.peers(), gossipFanOut), []),
        run: async stopped => {
            await Promise.all([runAntiEntropy(stopped), retryWrites(stopped)]);
        },
    };
}
