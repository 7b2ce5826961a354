// Messages have five levels.
const MAX_DEPTH = 16;

const FIRST_HEAD_WITH_LENGTH = 0xc0;
const FIRST_NEGATIVE_INTEGER = 0xe0;
const MIN_FIXED_MAP = 0x80;
const MIN_FIXED_ARRAY = 0x90;
const MIN_FIXED_STRING = 0xa0;

// For each head from 0xc0 to 0xdf: the bytes that follow it besides a length, the bytes of its length, and how many
// values each counted entry has. A count of no values is one of bytes.
const HEADS: readonly (readonly [extraBytes: number, lengthBytes: number, valuesPerEntry: number])[] = [
    // nil, unused, false, true
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
    // bin 8, 16, 32
    [0, 1, 0],
    [0, 2, 0],
    [0, 4, 0],
    // ext 8, 16, 32
    [1, 1, 0],
    [1, 2, 0],
    [1, 4, 0],
    // float 32, 64
    [4, 0, 0],
    [8, 0, 0],
    // uint 8, 16, 32, 64
    [1, 0, 0],
    [2, 0, 0],
    [4, 0, 0],
    [8, 0, 0],
    // int 8, 16, 32, 64
    [1, 0, 0],
    [2, 0, 0],
    [4, 0, 0],
    [8, 0, 0],
    // fixext 1, 2, 4, 8, 16
    [2, 0, 0],
    [3, 0, 0],
    [5, 0, 0],
    [9, 0, 0],
    [17, 0, 0],
    // str 8, 16, 32
    [0, 1, 0],
    [0, 2, 0],
    [0, 4, 0],
    // array 16, 32
    [0, 2, 1],
    [0, 4, 1],
    // map 16, 32
    [0, 2, 2],
    [0, 4, 2],
];
const EXTRA_BYTES = Uint8Array.from(HEADS, ([extraBytes]) => extraBytes);
const LENGTH_BYTES = Uint8Array.from(HEADS, ([, lengthBytes]) => lengthBytes);
const VALUES_PER_ENTRY = Uint8Array.from(HEADS, ([, , valuesPerEntry]) => valuesPerEntry);

/**
 * Whether a MessagePack message is complete and not too deep. The decoder allocates an array when it reads its head, so a
 * few bytes that announce millions of elements would take all memory; in a complete message each element takes a byte.
 * Runs for each datagram, and takes less time than decoding it because it creates no objects.
 */
export const isBoundedMessage = (bytes: Uint8Array): boolean => {
    const size = bytes.length;
    // Values that are still to come at each level, and at all levels together.
    const pending = new Uint32Array(MAX_DEPTH + 1);
    pending[0] = 1;
    let depth = 0;
    let pendingSum = 1;
    let position = 0;
    for (;;) {
        while (pending[depth] === 0) {
            if (depth === 0) {
                return position === size;
            }
            depth -= 1;
        }
        pending[depth] = (pending[depth] ?? 0) - 1;
        const head = bytes[position] ?? 0;
        position += 1;
        let children = 0;
        if (head >= FIRST_HEAD_WITH_LENGTH && head < FIRST_NEGATIVE_INTEGER) {
            const kind = head - FIRST_HEAD_WITH_LENGTH;
            let length = 0;
            for (let count = LENGTH_BYTES[kind] ?? 0; count > 0; count -= 1) {
                length = length * 256 + (bytes[position] ?? 0);
                position += 1;
            }
            const valuesPerEntry = VALUES_PER_ENTRY[kind] ?? 0;
            position += (EXTRA_BYTES[kind] ?? 0) + (valuesPerEntry === 0 ? length : 0);
            children = valuesPerEntry * length;
        }
        else if (head >= MIN_FIXED_STRING && head < FIRST_HEAD_WITH_LENGTH) {
            position += head - MIN_FIXED_STRING;
        }
        else if (head >= MIN_FIXED_ARRAY && head < MIN_FIXED_STRING) {
            children = head - MIN_FIXED_ARRAY;
        }
        else if (head >= MIN_FIXED_MAP && head < MIN_FIXED_ARRAY) {
            children = 2 * (head - MIN_FIXED_MAP);
        }
        pendingSum += children - 1;
        if (position + pendingSum > size) {
            return false;
        }
        if (children > 0) {
            depth += 1;
            if (depth > MAX_DEPTH) {
                return false;
            }
            pending[depth] = children;
        }
    }
};
