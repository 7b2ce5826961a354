/** Limit on the active probing of backend servers, across the whole fleet. */
export interface ProbeBudget {
    readonly probesPerSecond: number;
}
