interface RegressionSeed {
    readonly seed: number;
    /** What made it fail. */
    readonly cause: string;
}

/** Seeds that failed once. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
    { seed: 1_847_992_079, cause: "a second SIGTERM ended the process at once and cut requests" },
    { seed: 459_880_052, cause: "a request on a connection not used before was read while the process ended" },
    { seed: 8_948_260, cause: "no fault of the daemon: a paused process was taken to hold a request too long" },
];
