// A piece takes some microseconds of the event loop, so that pieces at this pace take a tenth to a fifth of a core.
const MS_PER_PIECE = 0.02;

/** Spreads the bodies in tiny pieces of all connections over time, so that the other connections are read meanwhile. */
export class PiecePacer {
    private freeAtMs = -Infinity;

    /** Takes the time for pieces that were read. Returns how long their connection waits before it is read again. */
    take(pieces: number, opts: { readonly nowMs: number; }): number {
        this.freeAtMs = Math.max(this.freeAtMs, opts.nowMs) + pieces * MS_PER_PIECE;
        return this.freeAtMs - opts.nowMs;
    }
}
