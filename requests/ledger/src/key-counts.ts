/** Counts of keys in the owner's table. */
export interface KeyCounts {
    readonly granted: number;
    readonly completed: number;
    readonly unknown: number;
    readonly released: number;
    readonly storedBytes: number;
}
