/**
 * Default holders: the entries that hold a share of an account even while no requests use it, chosen by rendezvous
 * hashing. Entries that know the same set of entries choose the same holders.
 */

import { hash32 } from "../common/hash.js";

export interface DefaultHolders {
    /** The accounts of which the entry at `url` is a default holder. */
    readonly accountsOf: (
        url: string,
        entryUrls: readonly string[],
        clientAccounts: readonly string[],
    ) => readonly string[];
}

const defaultHoldersPerAccount = 2;

/** Sorts entries by their rendezvous hash with the account, lowest first; every entry computes the same order. */
export function rankByRendezvousHash(clientAccount: string, urls: readonly string[]): readonly string[] {
    return [...urls].sort((left, right) => hash32(`${clientAccount}|${left}`) - hash32(`${clientAccount}|${right}`));
}

/** Caches the last result: hashing every account with every entry is expensive, and the input rarely changes. */
export function createDefaultHolders(): DefaultHolders {
    let cacheKey: string | undefined;
    let accounts: readonly string[] = [];
    return {
        accountsOf: (url, entryUrls, clientAccounts) => {
            const nextCacheKey = [url, "", ...entryUrls, "", ...clientAccounts].join(" ");
            if (nextCacheKey !== cacheKey) {
                cacheKey = nextCacheKey;
                accounts = clientAccounts.filter(clientAccount =>
                    rankByRendezvousHash(clientAccount, entryUrls).slice(0, defaultHoldersPerAccount).includes(url)
                );
            }
            return accounts;
        },
    };
}
