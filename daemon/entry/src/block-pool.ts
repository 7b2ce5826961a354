// Reads from a connection return up to this many bytes.
const BLOCK_BYTES = 64 * 1_024;

/**
 * Buffers of one size that are used again. Buffers of many sizes that come and go leave holes that the C library does not
 * return to the system: a process with 59 MB of them took over 200 MB.
 */
export class BlockPool {
    readonly blockBytes = BLOCK_BYTES;
    private readonly free: Buffer[] = [];

    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }

    /** Takes blocks back. Nothing may read or write them any more, not even a write to a connection in progress. */
    give(blocks: readonly Buffer[]): void {
        this.free.push(...blocks);
    }
}
