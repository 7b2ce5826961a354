import type { MemoryHolder } from "./memory-holder.js";

// Fewer bytes are no progress, so that a body that comes byte by byte counts as stalled.
const MIN_PROGRESS_BYTES = 1_024;

interface HeldMemoryOptions {
    readonly phase: MemoryHolder["phase"];
    readonly startedAtMs: number;
    readonly drop: () => void;
}

/** The memory of a body, and the progress of its caller. */
export class HeldMemory implements MemoryHolder {
    readonly startedAtMs: number;
    phase: MemoryHolder["phase"];
    heldBytes = 0;
    progressAtMs: number;
    drop: () => void;
    private unnotedBytes = 0;

    constructor(opts: HeldMemoryOptions) {
        this.phase = opts.phase;
        this.startedAtMs = opts.startedAtMs;
        this.progressAtMs = opts.startedAtMs;
        this.drop = opts.drop;
    }

    noteReceived(bytes: number, opts: { readonly nowMs: number; }): void {
        this.unnotedBytes += bytes;
        if (this.unnotedBytes >= MIN_PROGRESS_BYTES) {
            this.unnotedBytes = 0;
            this.progressAtMs = opts.nowMs;
        }
    }
}
