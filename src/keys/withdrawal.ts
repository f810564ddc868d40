/**
 * Withdraws keys on all entries at once, whether or not the store can be written.
 *
 * A withdrawal takes effect where it is heard, is passed on from entry to entry, and stays pending until it is in the
 * configuration. Every entry that holds a pending withdrawal tries to write it, under one change id, so it becomes
 * durable even if the entry that took the order dies.
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
    readonly peers: () => readonly string[];
    /** Writes a withdrawal to the configuration; tells whether it is there now. */
    readonly makeDurable: (withdrawal: PendingWithdrawal) => Promise<boolean>;
    readonly noteContact: () => void;
}

export interface Withdrawals {
    readonly methods: RpcMethods;
    /** Puts a withdrawal in force here and spreads it; resolves to whether it is durable already. */
    readonly withdraw: (withdrawal: PendingWithdrawal) => Promise<boolean>;
    /** Forgets pending withdrawals that the configuration now holds. */
    readonly noteDurable: (digestsHex: ReadonlySet<string>) => void;
    readonly pending: () => readonly PendingWithdrawal[];
    /** Asks some peers for pending withdrawals; for a starting process. */
    readonly loadInitial: () => Promise<void>;
    /** Exchanges pending withdrawals with random peers and retries writing them. */
    readonly run: (stopped: AbortSignal) => Promise<void>;
}

const relayPeers = 8;
const originPeers = 64;
const exchangeMs = 1_000;
const callTimeoutMs = 1_000;
const durableRetryMs = 2_000;

export function createWithdrawals(dependencies: WithdrawalDependencies): Withdrawals {
    const { keyring, rpc, clock, random, telemetry } = dependencies;
    const pending = new Map<string, PendingWithdrawal>();

    function takeUp(withdrawals: readonly PendingWithdrawal[]): readonly PendingWithdrawal[] {
        const added = new Set(keyring.withdraw(withdrawals.map(withdrawal => withdrawal.digestHex)));
        const news = withdrawals.filter(withdrawal => added.has(withdrawal.digestHex));
        for (const withdrawal of news) {
            pending.set(withdrawal.digestHex, withdrawal);
            telemetry.log.info("key withdrawn", { keyName: withdrawal.keyName });
        }
        return news;
    }

    async function tell(peers: readonly string[], withdrawals: readonly PendingWithdrawal[]): Promise<void> {
        await Promise.all(peers.map(async url => {
            const answer = await rpc.call(url, keyMethods.withdraw, { pending: withdrawals }, {
                timeoutMs: callTimeoutMs,
            });
            const checked = answer.isOk ? checkValue(withdrawSchema, answer.value).unwrapOr(undefined) : undefined;
            if (checked !== undefined) {
                dependencies.noteContact();
                relay(takeUp(checked.pending));
            }
        }));
    }

    function relay(news: readonly PendingWithdrawal[]): void {
        if (news.length > 0) {
            void tell(pickSome(random, dependencies.peers(), relayPeers), news);
        }
    }

    async function makeDurable(withdrawal: PendingWithdrawal): Promise<boolean> {
        const durable = await dependencies.makeDurable(withdrawal);
        if (durable) {
            pending.delete(withdrawal.digestHex);
        }
        return durable;
    }

    async function exchange(stopped: AbortSignal): Promise<void> {
        while (!stopped.aborted) {
            await clock.sleep(exchangeMs * (0.5 + random()), stopped);
            await tell(pickSome(random, dependencies.peers(), 1), [...pending.values()]);
        }
    }

    async function retryWrites(stopped: AbortSignal): Promise<void> {
        while (!stopped.aborted) {
            await clock.sleep(durableRetryMs * (0.5 + random()), stopped);
            for (const withdrawal of [...pending.values()]) {
                await makeDurable(withdrawal);
            }
        }
    }

    return {
        methods: {
            [keyMethods.withdraw]: rpcMethod(withdrawSchema, async ({ pending: told }) => {
                dependencies.noteContact();
                relay(takeUp(told));
                return { pending: [...pending.values()] };
            }),
        },
        withdraw: async withdrawal => {
            takeUp([withdrawal]);
            // A repeated order for a key that is known as withdrawn must still become durable.
            pending.set(withdrawal.digestHex, withdrawal);
            const spread = tell(pickSome(random, dependencies.peers(), originPeers), [withdrawal]);
            const [durable] = await Promise.all([makeDurable(withdrawal), spread]);
            return durable;
        },
        noteDurable: digestsHex => {
            [...pending.keys()].filter(digest => digestsHex.has(digest)).forEach(digest => pending.delete(digest));
        },
        pending: () => [...pending.values()],
        loadInitial: () => tell(pickSome(random, dependencies.peers(), relayPeers), []),
        run: async stopped => {
            await Promise.all([exchange(stopped), retryWrites(stopped)]);
        },
    };
}
