/**
 * Cuts generated text at the first stop string. Text that could be the beginning of a stop string is held back, so a
 * match may straddle tokens and even attempts on different engines.
 */

/** Text that may be sent on, and whether a stop string was reached. */
export interface MatchedText {
    readonly text: string;
    readonly stopped: boolean;
}

export interface StopMatcher {
    readonly push: (text: string) => MatchedText;
    /** The text still held back, once no more will come. */
    readonly flush: () => string;
}

export function createStopMatcher(stops: readonly string[]): StopMatcher {
    let held = "";

    function heldLength(text: string): number {
        const longest = Math.max(0, ...stops.map(stop => stop.length - 1));
        for (let length = Math.min(longest, text.length); length > 0; length--) {
            const tail = text.slice(-length);
            if (stops.some(stop => stop.startsWith(tail))) {
                return length;
            }
        }
        return 0;
    }

    return {
        push: text => {
            const joined = held + text;
            const positions = stops.map(stop => joined.indexOf(stop)).filter(position => position >= 0);
            if (positions.length > 0) {
                held = "";
                return { text: joined.slice(0, Math.min(...positions)), stopped: true };
            }
            const keep = heldLength(joined);
            held = keep === 0 ? "" : joined.slice(-keep);
            return { text: joined.slice(0, joined.length - keep), stopped: false };
        },
        flush: () => {
            const rest = held;
            held = "";
            return rest;
        },
    };
}
