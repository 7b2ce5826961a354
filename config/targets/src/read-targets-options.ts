/** Options of {@link readTargets}. */
export interface ReadTargetsOptions {
    /** File name to show in error messages. */
    readonly file: string;
}
