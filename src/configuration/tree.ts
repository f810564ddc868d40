/**
 * Whom a process gets its configuration from.
 *
 * Entries of a data centre are ordered by a hash; the first few read the store, every other one asks an entry with a
 * smaller hash. Since the order depends on each pair alone, the links form no cycle even while processes see
 * different lists of hosts.
 */

import { hash32 } from "../common/hash.js";

export type ConfigurationSource = { readonly kind: "store"; } | { readonly kind: "peer"; readonly url: string; };

/** Processes per data centre that read the store regularly. */
export const storeReaders = 3;
const fanOut = 8;

const store: ConfigurationSource = { kind: "store" };

/** The sources of the process at `ownUrl`, in the order in which to try them; the store is always the last. */
export function sourcesFor(
    dataCentre: string,
    ownUrl: string,
    entryUrls: readonly string[],
): readonly ConfigurationSource[] {
    const ownRank = rank(dataCentre, ownUrl);
    const smaller = entryUrls
        .filter(url => url !== ownUrl && comesBefore(rank(dataCentre, url), url, ownRank, ownUrl))
        .sort((left, right) => rank(dataCentre, left) - rank(dataCentre, right));
    const position = smaller.length;
    if (position < storeReaders) {
        return [store];
    }
    const parent = Math.floor((position - storeReaders) / fanOut);
    const others = smaller.map((unused, index) => smaller[(parent + index) % position]).filter(url =>
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
