/** Options of {@link readTargets}. */
export interface ReadTargetsOptions {
    /** Name of the file that the text comes from, for messages. */
    readonly file: string;
}
