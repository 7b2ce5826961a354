// The memory in use is read once for this many bytes that were allocated.
const CHECK_INTERVAL_BYTES = 1_024 * 1_024;
// A full collection takes 3 to 30 ms.
const FULL_COLLECTION_INTERVAL_MS = 100;

interface BufferReclaimerOptions {
    readonly maxBytes: number;
    readonly nowMs: () => number;
    /** Memory of all buffers, including those that are no longer referenced. */
    readonly readBufferBytes: () => number;
    readonly collect: (scope: "young" | "all") => void;
}

/**
 * Collects buffers that are no longer referenced. V8 starts a collection only after 64 MB of them, more than a small VM
 * has to spare.
 */
export class BufferReclaimer {
    private readonly opts: BufferReclaimerOptions;
    private uncheckedBytes = 0;
    private fullCollectionAtMs = -Infinity;

    constructor(opts: BufferReclaimerOptions) {
        this.opts = opts;
    }

    /** Called for memory that was or is about to be allocated. */
    onAllocated(bytes: number): void {
        const { maxBytes, nowMs, readBufferBytes, collect } = this.opts;
        this.uncheckedBytes += bytes;
        if (this.uncheckedBytes < CHECK_INTERVAL_BYTES) {
            return;
        }
        const pendingBytes = this.uncheckedBytes;
        this.uncheckedBytes = 0;
        const isExceeded = (): boolean => readBufferBytes() + pendingBytes > maxBytes;
        if (!isExceeded()) {
            return;
        }
        collect("young");
        const atMs = nowMs();
        if (atMs - this.fullCollectionAtMs >= FULL_COLLECTION_INTERVAL_MS && isExceeded()) {
            this.fullCollectionAtMs = atMs;
            collect("all");
        }
    }
}
