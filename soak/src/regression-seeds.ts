interface RegressionSeed {
    readonly seed: number;
    readonly cause: string;
}

/** Seeds that failed in the past, with the cause of the failure. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
    { seed: 1_847_992_079, cause: "a second SIGTERM ended the process immediately and cut off requests" },
    { seed: 459_880_052, cause: "a request on an unused connection was read while the process was exiting" },
    { seed: 8_948_260, cause: "false positive of the checker: it counted the pause of a process as latency" },
];
