/**
 * Which entries hold a share of an account that nobody uses (rendezvous hashing). All entries agree on it as far as
 * they see the same entries.
 */

import { hash32 } from "../common/hash.js";

export interface Preference {
    /** The accounts for which `url` is among the first choices. */
    readonly accountsOf: (
        url: string,
        entryUrls: readonly string[],
        clientAccounts: readonly string[],
    ) => readonly string[];
}

const preferredHolders = 2;

/** Entries in an account's own order, which all entries agree on (rendezvous hashing). */
export function byPreference(clientAccount: string, urls: readonly string[]): readonly string[] {
    return [...urls].sort((left, right) => hash32(`${clientAccount}|${left}`) - hash32(`${clientAccount}|${right}`));
}

/** Remembers the last result: hashing every account with every entry is dear and its input seldom changes. */
export function createPreference(): Preference {
    let basis: string | undefined;
    let accounts: readonly string[] = [];
    return {
        accountsOf: (url, entryUrls, clientAccounts) => {
            const nextBasis = [url, "", ...entryUrls, "", ...clientAccounts].join(" ");
            if (nextBasis !== basis) {
                basis = nextBasis;
                accounts = clientAccounts.filter(clientAccount =>
                    byPreference(clientAccount, entryUrls).slice(0, preferredHolders).includes(url)
                );
            }
            return accounts;
        },
    };
}
