/** One step of the demonstration. */
export interface ScriptStep {
    /** Time since the start of the script. */
    readonly atMs: number;
    readonly title: string;
    readonly run: () => Promise<void>;
}
