/**
 * The distribution tree: selects the sources from which an entry gets its configuration.
 *
 * The entries of a data centre are ordered by a hash. The first few read the store; every other entry asks an entry
 * with a smaller hash. How two entries are ordered depends only on these two, so the links form no cycle even while
 * entries see different lists of hosts.
 */

import { hash32 } from "../common/hash.js";

export type ConfigurationSource = { readonly kind: "store"; } | { readonly kind: "peer"; readonly url: string; };

/** Number of entries per data centre that poll the store. */
export const storeReaders = 3;
/** Number of entries that use the same entry as their first source. */
const fanOut = 8;

const store: ConfigurationSource = { kind: "store" };

/** The sources of the entry at `ownUrl`, in the order in which to try them; the store is always last. */
export function sourcesFor(
    dataCentre: string,
    ownUrl: string,
    entryUrls: readonly string[],
): readonly ConfigurationSource[] {
    const ownRank = rank(dataCentre, ownUrl);
    const lowerRanked = entryUrls
        .filter(url => url !== ownUrl && comesBefore(rank(dataCentre, url), url, ownRank, ownUrl))
        .sort((left, right) => rank(dataCentre, left) - rank(dataCentre, right));
    const position = lowerRanked.length;
    if (position < storeReaders) {
        return [store];
    }
    const parent = Math.floor((position - storeReaders) / fanOut);
    const others = lowerRanked.map((unused, index) => lowerRanked[(parent + index) % position]).filter(url =>
        url !== undefined
    );
    return [...others.map((url): ConfigurationSource => ({ kind: "peer", url })), store];
}

function rank(dataCentre: string, url: string): number {
    return hash32(`${dataCentre}|${url}`);
}

function comesBefore(rankA: number, urlA: string, rankB: number, urlB: string): boolean {
    return rankA < rankB || (rankA === rankB && urlA < urlB);
}
