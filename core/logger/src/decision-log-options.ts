/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    /** Number of recent decisions kept for `explain`. */
    readonly capacity?: number;
    /** Writes one line for a concern instead of `debug`; for tests. */
    readonly write?: (concern: string, line: string) => void;
}
