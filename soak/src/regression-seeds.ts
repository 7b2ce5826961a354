interface RegressionSeed {
    readonly seed: number;
    readonly cause: string;
    /** Whether the store is restored from older copies. */
    readonly hasRestores: boolean;
    /** Whether servers ask for less and a request ends servers. Default: false. */
    readonly hasDirectives?: boolean;
}

/** Seeds that failed in the past, with the cause of the failure. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
    {
        seed: 1_847_992_079,
        cause: "a second SIGTERM ended the process immediately and cut off requests",
        hasRestores: false,
    },
    {
        seed: 459_880_052,
        cause: "a request on an unused connection was read while the process was exiting",
        hasRestores: false,
    },
    {
        seed: 8_948_260,
        cause: "false positive of the checker: it counted the pause of a process as latency",
        hasRestores: false,
    },
    { seed: 101, cause: "a restore of the store hid two servers and brought a removed one back", hasRestores: true },
    { seed: 104, cause: "a restore of the store hid a server and brought removed ones back", hasRestores: true },
    { seed: 105, cause: "a restore of the store hid a drain that was written after it", hasRestores: true },
    {
        seed: 818_091_450,
        cause: "a server that had taken back a small limit stayed unused, as no request showed its end",
        hasRestores: true,
        hasDirectives: true,
    },
    {
        seed: 1_071_118_416,
        cause: "a Retry-After with a fraction of 16 digits was ignored as malformed",
        hasRestores: true,
        hasDirectives: true,
    },
];
