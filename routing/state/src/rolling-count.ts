/** Events per second over the last seconds. `counts[second % counts.length]` holds a second up to `second`. */
export interface RollingCount {
    readonly second: number;
    readonly counts: readonly number[];
}
