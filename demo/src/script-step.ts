/** One step of the demonstration, at a time after the first call. */
export interface ScriptStep {
    readonly atMs: number;
    readonly title: string;
    readonly run: () => Promise<void>;
}
