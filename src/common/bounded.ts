/**
 * Bounds on the size of maps and sets that are kept in insertion order.
 */

/** Removes the entries that were added first until at most `maxSize` are left. */
export function removeOldest(entries: Map<unknown, unknown> | Set<unknown>, maxSize: number): void {
    for (const oldest of entries.keys()) {
        if (entries.size <= maxSize) {
            return;
        }
        entries.delete(oldest);
    }
}
