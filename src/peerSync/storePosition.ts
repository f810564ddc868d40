/**
 * Position in the history of the store.
 *
 * A store that is restored from an older copy loses its latest revisions and assigns their numbers again, so a revision
 * identifies a state only together with the era, which increases with each restoration.
 */

export interface StorePosition {
    /** Number of restorations as the store reports it; 0 for a store that does not report it. */
    readonly era: number;
    /** Newest revision that is included; -1 for nothing. */
    readonly revision: number;
}

export const unknownPosition: StorePosition = { era: 0, revision: -1 };

/** Negative if `left` is the earlier position, positive if it is the later one, 0 if they are equal. */
export function comparePositions(left: StorePosition, right: StorePosition): number {
    return left.era === right.era ? left.revision - right.revision : left.era - right.era;
}

export function isLater(left: StorePosition, right: StorePosition): boolean {
    return comparePositions(left, right) > 0;
}
