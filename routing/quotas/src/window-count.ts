/** Requests by slices of time, oldest first. Slices without requests are absent. */
export type WindowCount = readonly {
    /** Time divided by the length of a slice. */
    readonly slice: number;
    /** Not a whole number where requests were spread over a window. */
    readonly count: number;
}[];
