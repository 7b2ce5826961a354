/** The clocks and the random source of the shell. */
export interface Clock {
    /** Monotonic milliseconds. */
    readonly atMs: () => number;
    /** Unix milliseconds. */
    readonly wallMs: () => number;
    /** Next number in [0, 1) of a seeded generator. */
    readonly random: () => number;
}
