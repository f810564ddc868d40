/**
 * Cuts generated text at the first stop string. Text that could be the beginning of a stop string is held back, so a
 * match may span several tokens and several attempts on different engines.
 */

/** Text that may be sent to the caller, and whether a stop string was reached. */
export interface MatchedText {
    readonly text: string;
    readonly stopped: boolean;
}

export interface StopMatcher {
    /** Adds text; returns the text that can no longer be part of a stop string. */
    readonly push: (text: string) => MatchedText;
    /** Returns the text still held back, at the end of the generation. */
    readonly flush: () => string;
}

export function createStopMatcher(stops: readonly string[]): StopMatcher {
    let heldBack = "";

    /** Length of the longest suffix of `text` that is a proper prefix of a stop string. */
    function heldBackLength(text: string): number {
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
            const joined = heldBack + text;
            const positions = stops.map(stop => joined.indexOf(stop)).filter(position => position >= 0);
            if (positions.length > 0) {
                heldBack = "";
                return { text: joined.slice(0, Math.min(...positions)), stopped: true };
            }
            const keepLength = heldBackLength(joined);
            heldBack = keepLength === 0 ? "" : joined.slice(-keepLength);
            return { text: joined.slice(0, joined.length - keepLength), stopped: false };
        },
        flush: () => {
            const remainingText = heldBack;
            heldBack = "";
            return remainingText;
        },
    };
}
