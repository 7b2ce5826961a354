/** Fields of every root event. The runtime reads the clocks and draws the random number. */
export interface EventContext {
    /** Monotonic clock of the daemon. */
    readonly atMs: number;
    /** Unix milliseconds. */
    readonly wallMs: number;
    /** Number in [0, 1) from the runtime's seeded generator. */
    readonly random: number;
}
