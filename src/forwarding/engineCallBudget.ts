/**
 * Charges the engine calls of one request to the fleet's retry budget.
 *
 * The first call is free; each further one takes a retry from the budget, whether the engine accepts or rejects it. The
 * first prefill that an engine accepts is free as well. A retry is taken before its call is made, so that the budget
 * is not exceeded even if the process ends right after the call.
 */

import type { FleetRetryBudget } from "../limits/fleetRetryBudget.js";

export interface EngineCallBudget {
    /**
     * Whether one more call may be made. Takes a retry from the budget if that call needs one; if this is called again
     * before a call is recorded, it takes no second retry.
     */
    readonly tryAcquireCall: () => boolean;
    /** Counts a request sent to an engine to be run, accepted or not, or a prefill whose outcome is unknown. */
    readonly recordCall: () => void;
    /** Counts a prefill that an engine accepted or rejected, except for the first accepted one. */
    readonly recordPrefill: (isAccepted: boolean) => void;
}

export function createEngineCallBudget(budget: FleetRetryBudget, service: string): EngineCallBudget {
    let calls = 0;
    let retriesTaken = 0;
    let isFirstPrefill = true;
    return {
        tryAcquireCall: () => {
            if (retriesTaken >= calls) {
                return true;
            }
            // A retry was taken for every counted call except the first, so one more covers the next call.
            const isTaken = budget.take(service);
            retriesTaken += isTaken ? 1 : 0;
            return isTaken;
        },
        recordCall: () => {
            calls += 1;
        },
        recordPrefill: isAccepted => {
            if (isAccepted && isFirstPrefill) {
                isFirstPrefill = false;
                return;
            }
            calls += 1;
        },
    };
}
