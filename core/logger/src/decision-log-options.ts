/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
    /** Number of recent decisions retained for `explain`. */
    readonly capacity?: number;
    /** Replaces `debug` as the output of a concern's lines in tests. */
    readonly write?: (concern: string, line: string) => void;
}
