/**
 * Rendezvous hashing: processes that know the same members choose the same one for a key, and the choice changes only
 * for the keys of a member that joins or leaves.
 */

import { sha256Hex } from "./digest.js";

/** The members in the order in which they are chosen for a key. */
export function rankByRendezvous(key: string, members: readonly string[]): readonly string[] {
    return members
        .map(member => ({ member, rank: sha256Hex(`${key}|${member}`) }))
        .sort((left, right) => left.rank < right.rank ? -1 : 1)
        .map(({ member }) => member);
}

/** The member chosen for a key; `undefined` if there are no members. */
export function chooseByRendezvous(key: string, members: readonly string[]): string | undefined {
    return members
        .map(member => ({ member, rank: sha256Hex(`${key}|${member}`) }))
        .reduce<{ readonly member: string; readonly rank: string; } | undefined>(
            (first, next) => first === undefined || next.rank < first.rank ? next : first,
            undefined,
        )?.member;
}
