/** Number of keys in the owner's table by status, and the total size of their stored responses. */
export interface KeyCounts {
    readonly granted: number;
    readonly completed: number;
    readonly unknown: number;
    readonly released: number;
    readonly storedBytes: number;
}
