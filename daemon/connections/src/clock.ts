/** Clocks and random number source of the runtime. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    readonly atMs: () => number;
    /** Unix time in milliseconds. */
    readonly wallMs: () => number;
    /** Next number in [0, 1) from a seeded generator. */
    readonly random: () => number;
}
