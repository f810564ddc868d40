/**
 * What one request has cost engines so far. Each arrival beyond the first draws on the fleet's retry budget, whether
 * the engine took or rejected it; the first prefill that an engine accepts is free.
 *
 * A call is paid for before it is made, so that the budget holds even if the process ends right after it.
 */

import type { FleetRetryBudget } from "../limits/fleetRetryBudget.js";

export interface Arrivals {
    /** Whether one more call may be made; takes from the budget what it could cost, but nothing twice. */
    readonly mayCall: () => boolean;
    /** Counts a call to run the request, or a prefill whose fate is unknown. */
    readonly noteCall: () => void;
    /** Counts a prefill that an engine answered. */
    readonly notePrefill: (isAccepted: boolean) => void;
}

export function createArrivals(budget: FleetRetryBudget, service: string): Arrivals {
    let arrivals = 0;
    let paid = 0;
    let isPrefillFree = true;
    return {
        mayCall: () => {
            if (paid >= arrivals) {
                return true;
            }
            // Every call so far was paid for, except for the first: one more payment is enough.
            const isPaid = budget.take(service);
            paid += isPaid ? 1 : 0;
            return isPaid;
        },
        noteCall: () => {
            arrivals += 1;
        },
        notePrefill: isAccepted => {
            if (isAccepted && isPrefillFree) {
                isPrefillFree = false;
                return;
            }
            arrivals += 1;
        },
    };
}
