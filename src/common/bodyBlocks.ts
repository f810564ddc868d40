/**
 * Bytes of a body, or of an event, that arrives in pieces of any size, copied into blocks so that a small piece costs no
 * object of its own, and each piece is copied once.
 *
 * Whole blocks are used again for other bodies: the runtime frees the memory of buffers late.
 */

export interface BodyBlocks {
    /** Bytes that the body takes once `bytes` more have been appended. */
    readonly costWith: (bytes: number) => number;
    readonly sizeBytes: () => number;
    readonly append: (piece: Buffer) => void;
    /** The whole body; its blocks are free afterwards. */
    readonly take: () => Buffer;
    readonly drop: () => void;
}

const blockBytes = 65_536;
/** A body up to this size takes no whole block. */
const smallBytes = 4_096;
/**
 * Free blocks; there are never more blocks than bodies and events have taken at once, which the connection budget and the
 * limit on an event bound.
 */
const free: Buffer[] = [];

export function createBodyBlocks(): BodyBlocks {
    /** The only piece so far, not copied. */
    let first: Buffer | undefined;
    let blocks: Buffer[] = [];
    let sizeBytes = 0;

    function copy(piece: Buffer, offset: number): void {
        for (let done = 0; done < piece.length;) {
            const position = offset + done;
            const index = Math.floor(position / blockBytes);
            blocks[index] ??= free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
            done += piece.copy(blocks[index], position % blockBytes, done);
        }
    }

    function grow(neededBytes: number): void {
        if (neededBytes <= smallBytes) {
            blocks = blocks.length === 0 ? [Buffer.allocUnsafeSlow(smallBytes)] : blocks;
            return;
        }
        const [small] = blocks;
        if (small?.length === smallBytes) {
            blocks = [];
            copy(small.subarray(0, sizeBytes), 0);
        }
    }

    function drop(): void {
        free.push(...blocks.filter(block => block.length === blockBytes));
        blocks = [];
        first = undefined;
        sizeBytes = 0;
    }

    return {
        sizeBytes: () => sizeBytes,
        costWith: bytes => {
            const neededBytes = sizeBytes + bytes;
            if (sizeBytes === 0 || neededBytes <= smallBytes) {
                return Math.max(neededBytes, sizeBytes === 0 ? 0 : smallBytes);
            }
            return Math.ceil(neededBytes / blockBytes) * blockBytes;
        },
        append: piece => {
            if (sizeBytes === 0) {
                first = piece;
            }
            else {
                grow(sizeBytes + piece.length);
                if (first !== undefined) {
                    copy(first, 0);
                    first = undefined;
                }
                copy(piece, sizeBytes);
            }
            sizeBytes += piece.length;
        },
        take: () => {
            const body = first ?? Buffer.concat(blocks, sizeBytes);
            drop();
            return body;
        },
        drop,
    };
}
