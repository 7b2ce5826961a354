/** Events in each of the last seconds, up to `second`. Second `s` is at `counts[s % counts.length]`. */
export interface RollingCount {
    readonly second: number;
    readonly counts: readonly number[];
}
