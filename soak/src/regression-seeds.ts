interface RegressionSeed {
    readonly seed: number;
    /** What made it fail. */
    readonly cause: string;
}

/** Seeds that failed once. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [];
