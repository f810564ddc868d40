/**
 * Budget for the memory that callers' connections hold in a process: parts of heads and bodies, and requests sent ahead.
 *
 * What a holder takes is charged before it is taken. Over the budget, the holder that takes the most of those that may
 * yield does so: nothing that it holds has run.
 */

/** What a connection or a body holds. */
export interface Holder {
    /** False once a request that it holds has been read whole and may run. */
    readonly mayYield: () => boolean;
    /** Called when its charge has been released; it drops what it holds. */
    readonly onYield: () => void;
}

/** The charge of one holder, in bytes. */
export interface Holding {
    /** Changes the charge to `bytes`; false if the holder has yielded and must take nothing. */
    readonly charge: (bytes: number) => boolean;
    /** Releases the charge for good. */
    readonly release: () => void;
}

export interface ConnectionBudget {
    readonly limitBytes: number;
    readonly open: (holder: Holder) => Holding;
    readonly heldBytes: () => number;
}

/** Fraction of a process's memory that callers' connections may hold. */
const memoryFraction = 1 / 12;
/** A body of the largest usual size, 4 MB, is charged twice while its parts are joined. */
const minLimitBytes = 9 * 1_024 * 1_024;
/** Without a setting for the memory. */
const defaultLimitBytes = 64 * 1_024 * 1_024;

/** `memoryBytes` is the memory of the process; `undefined` if no setting names it. */
export function createConnectionBudget(memoryBytes: number | undefined): ConnectionBudget {
    return createBudgetOf(
        memoryBytes === undefined
            ? defaultLimitBytes
            : Math.max(minLimitBytes, Math.floor(memoryBytes * memoryFraction)),
    );
}

export function createBudgetOf(limitBytes: number): ConnectionBudget {
    /** The charges that are not zero. */
    const charges = new Map<Holder, number>();
    let heldBytes = 0;

    function setCharge(holder: Holder, bytes: number): void {
        heldBytes += bytes - (charges.get(holder) ?? 0);
        if (bytes === 0) {
            charges.delete(holder);
        }
        else {
            charges.set(holder, bytes);
        }
    }

    function largest(): Holder | undefined {
        let found: Holder | undefined;
        let mostBytes = 0;
        for (const [holder, bytes] of charges) {
            if (bytes > mostBytes && holder.mayYield()) {
                found = holder;
                mostBytes = bytes;
            }
        }
        return found;
    }

    return {
        limitBytes,
        heldBytes: () => heldBytes,
        open: holder => {
            let isReleased = false;
            const own: Holder = {
                mayYield: holder.mayYield,
                onYield: () => {
                    isReleased = true;
                    holder.onYield();
                },
            };
            return {
                charge: bytes => {
                    if (isReleased) {
                        return false;
                    }
                    const grows = bytes > (charges.get(own) ?? 0);
                    setCharge(own, bytes);
                    while (grows && heldBytes > limitBytes) {
                        const victim = largest();
                        if (victim === undefined) {
                            break;
                        }
                        setCharge(victim, 0);
                        victim.onYield();
                    }
                    return !isReleased;
                },
                release: () => {
                    isReleased = true;
                    setCharge(own, 0);
                },
            };
        },
    };
}
