/**
 * Boundaries of events in a stream of server-sent events, found in its bytes without parsing the events.
 *
 * An event ends with a blank line. Lines end with LF, CR LF or CR.
 */

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Bytes before a position that decide whether an event ends there. */
const boundaryBytes = 3;

function isLineEnd(byte: number | undefined): boolean {
    return byte === lineFeed || byte === carriageReturn;
}

/** Whether the bytes before `position` end with a blank line. */
function endsWithBlankLine(bytes: Uint8Array, position: number): boolean {
    const last = bytes[position - 1];
    if (!isLineEnd(last)) {
        return false;
    }
    const isPair = last === lineFeed && bytes[position - 2] === carriageReturn;
    return isLineEnd(bytes[position - (isPair ? 3 : 2)]);
}

/** Tracks whether a stream ends inside an event. */
export interface EventBoundaryTracker {
    readonly push: (chunk: Uint8Array) => void;
    /** Whether bytes of an event without its blank line are the last that were pushed. */
    readonly isInsideEvent: () => boolean;
    readonly sizeBytes: () => number;
}

export function createEventBoundaryTracker(): EventBoundaryTracker {
    let sizeBytes = 0;
    let tail: Uint8Array = new Uint8Array();
    let hasOnlyLineEnds = true;
    return {
        push: chunk => {
            sizeBytes += chunk.length;
            hasOnlyLineEnds &&= chunk.every(isLineEnd);
            tail = chunk.length >= boundaryBytes
                ? chunk.subarray(-boundaryBytes)
                : Buffer.concat([tail, chunk]).subarray(-boundaryBytes);
        },
        isInsideEvent: () => !hasOnlyLineEnds && !endsWithBlankLine(tail, tail.length),
        sizeBytes: () => sizeBytes,
    };
}
