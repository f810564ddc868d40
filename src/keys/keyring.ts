/**
 * Looks up the client account of a caller's key and keeps the set of withdrawn keys.
 *
 * The set of withdrawn digests only grows, so it can be merged from the configuration and from peers in any order.
 * A digest withdrawn by a peer's message stays withdrawn even if the loaded configuration still lists the key as
 * active.
 */

import { digestsEqual, sha256Hex } from "../common/digest.js";
import type { Key } from "../configuration/objects.js";
import { listObjects } from "../configuration/state.js";
import type { ConfigurationState } from "../configuration/state.js";

/** The client account that a key belongs to, with the key's name and SHA-256 digest. */
export interface KeyOwner {
    readonly keyName: string;
    readonly clientAccount: string;
    readonly digestHex: string;
}

export type KeyError = "unknownKey" | "withdrawnKey";

export interface Keyring {
    /** Returns the owner of a key that a caller presented, or why the key is not accepted. */
    readonly lookUp: (presentedKey: string) => KeyOwner | KeyError;
    /** Rebuilds the index from a newer configuration. */
    readonly load: (state: ConfigurationState) => void;
    /** Adds withdrawn digests; returns those that were not withdrawn before. */
    readonly withdraw: (digestsHex: readonly string[]) => readonly string[];
    readonly isWithdrawn: (digestHex: string) => boolean;
    readonly withdrawnDigests: () => readonly string[];
    /** Calls `listener` with each newly withdrawn digest. */
    readonly onWithdrawal: (listener: (digestHex: string) => void) => void;
}

export function createKeyring(): Keyring {
    let owners = new Map<string, KeyOwner>();
    const withdrawn = new Set<string>();
    const listeners = new Set<(digestHex: string) => void>();

    function withdraw(digestsHex: readonly string[]): readonly string[] {
        const added = digestsHex.filter(digest => !withdrawn.has(digest));
        for (const digest of added) {
            withdrawn.add(digest);
            listeners.forEach(listener => listener(digest));
        }
        return added;
    }

    return {
        lookUp: presentedKey => {
            const digestHex = sha256Hex(presentedKey);
            if (withdrawn.has(digestHex)) {
                return "withdrawnKey";
            }
            const owner = owners.get(digestHex);
            if (owner === undefined || !digestsEqual(owner.digestHex, digestHex)) {
                return "unknownKey";
            }
            return owner;
        },
        load: state => {
            const keys = listObjects(state, "key");
            const next = new Map<string, KeyOwner>();
            for (const { name, value } of keys) {
                const { clientAccount, digestHex } = value as Key;
                next.set(digestHex, { keyName: name, clientAccount, digestHex });
            }
            owners = next;
            withdraw(
                keys.map(({ value }) => value as Key).filter(key => key.state === "withdrawn").map(key =>
                    key.digestHex
                ),
            );
        },
        withdraw,
        isWithdrawn: digestHex => withdrawn.has(digestHex),
        withdrawnDigests: () => [...withdrawn],
        onWithdrawal: listener => void listeners.add(listener),
    };
}
