/** Limit on the active probing of backend servers, over the whole fleet. */
export interface MeasuringBudget {
    readonly probesPerSecond: number;
}
